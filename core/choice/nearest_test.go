package choice_test

import (
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/core/choice"
)

// TestNearest replays uploads whose zone has one server of three: it takes them
// all while it answers as fast as the others, and none goes on to it once it is
// ten times as slow. It guards against bytes that cross zones without need, and
// against a zone that suffers with its only server.
func TestNearest(t *testing.T) {
	policy := choice.NewTwoChoices(choice.TwoChoicesConfig{Seed: 1, AvailabilityZone: "a", ZoneFactor: choice.NearestZoneFactor})
	candidates := []choice.Candidate{{Incarnation: 1, AvailabilityZone: "a"}, {Incarnation: 2, AvailabilityZone: "b"}, {Incarnation: 3, AvailabilityZone: "c"}}
	now := time.Unix(100, 0)
	replay := func(n int, near time.Duration) map[string]int {
		counts := map[string]int{}
		for range n {
			c, _, ok := policy.Pick(now, candidates)
			if !ok {
				t.Fatal("nothing is picked")
			}
			latency := 50 * time.Millisecond
			if c.Incarnation == 1 {
				latency = near
			}
			policy.Sent(now, c.Incarnation)
			now = now.Add(latency)
			policy.Done(now, c.Incarnation, latency, choice.KindOK)
			counts[c.AvailabilityZone]++
		}
		return counts
	}
	if got := replay(300, 60*time.Millisecond); got["a"] != 300 {
		t.Errorf("with equal servers the zones get %v", got)
	}
	replay(50, 600*time.Millisecond)
	if got := replay(200, 600*time.Millisecond); got["a"] > 20 {
		t.Errorf("with a slow server of the own zone the zones get %v", got)
	}
}
