package choice_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jujubeknot/jujubeknot/core/choice"
)

// TestEachPolicyPicksACandidate guards against a policy that picks none although there are
// candidates. The budget token of a hedged request, which is taken before, would be lost.
func TestEachPolicyPicksACandidate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		policies := map[string]choice.Policy{
			"random": choice.NewRandom(seed), "roundRobin": &choice.RoundRobin{}, "leastInFlight": choice.NewLeastInFlight(seed),
			"twoChoices": choice.NewTwoChoices(choice.TwoChoicesConfig{Seed: seed, AvailabilityZone: "a"}),
			"nearest":    choice.NewTwoChoices(choice.TwoChoicesConfig{Seed: seed, AvailabilityZone: "a", ZoneFactor: choice.NearestZoneFactor}),
		}
		now := time.Unix(0, 0)
		for range 50 {
			candidates, _ := drawCandidates(t)
			target := time.Duration(rapid.IntRange(0, 300).Draw(t, "target ms")) * time.Millisecond
			result := choice.Result(rapid.IntRange(0, 5).Draw(t, "result"))
			for name, p := range policies {
				c, _, ok := p.Pick(now, candidates, target)
				if ok != (len(candidates) > 0) {
					t.Fatalf("%s picks %v of %d candidates", name, ok, len(candidates))
				}
				if ok {
					p.Sent(now, c.Incarnation)
					p.Done(now, c.Incarnation, 50*time.Millisecond, result)
				}
			}
			now = now.Add(10 * time.Millisecond)
		}
	})
}
