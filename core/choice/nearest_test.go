package choice_test

import (
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/core/choice"
)

// TestNearest guards against traffic between zones without need, and against a
// zone that is slow because its only server is slow. One of three servers is in
// the own zone. It gets all uploads while it is about as fast as the others,
// and hardly any once it is more than ten times as slow.
func TestNearest(t *testing.T) {
	policy := choice.NewTwoChoices(choice.TwoChoicesConfig{Seed: 1, AvailabilityZone: "a", ZoneFactor: choice.NearestZoneFactor})
	candidates := []choice.Candidate{{Incarnation: 1, AvailabilityZone: "a"}, {Incarnation: 2, AvailabilityZone: "b"}, {Incarnation: 3, AvailabilityZone: "c"}}
	now := time.Unix(100, 0)
	replay := func(n int, ownLatency time.Duration) map[string]int {
		counts := map[string]int{}
		for range n {
			c, _, ok := policy.Pick(now, candidates, 0)
			if !ok {
				t.Fatal("no candidate was picked")
			}
			latency := 50 * time.Millisecond
			if c.Incarnation == 1 {
				latency = ownLatency
			}
			policy.Sent(now, c.Incarnation)
			now = now.Add(latency)
			policy.Done(now, c.Incarnation, latency, choice.ResultOK)
			counts[c.AvailabilityZone]++
		}
		return counts
	}
	if got := replay(300, 60*time.Millisecond); got["a"] != 300 {
		t.Errorf("with servers of similar latency the zones get %v, want all 300 in zone a", got)
	}
	replay(50, 600*time.Millisecond)
	if got := replay(200, 600*time.Millisecond); got["a"] > 20 {
		t.Errorf("with a slow server in zone a the zones get %v, want at most 20 in zone a", got)
	}
}

// TestNearestWithinTarget guards against uploads that leave the own zone
// although its only server answers within the target, so that no caller gains
// by it. It also guards against a server that still gets all uploads although
// it is late or does not answer. The server is four times as slow as the
// others, and more than ten times for every tenth upload, but within the
// target.
func TestNearestWithinTarget(t *testing.T) {
	const target = 300 * time.Millisecond
	candidates := []choice.Candidate{{Incarnation: 1, AvailabilityZone: "a"}, {Incarnation: 2, AvailabilityZone: "b"}, {Incarnation: 3, AvailabilityZone: "c"}}
	replay := func(ownLatency, everyTenth, within time.Duration) int {
		policy := choice.NewTwoChoices(choice.TwoChoicesConfig{Seed: 1, AvailabilityZone: "a", ZoneFactor: choice.NearestZoneFactor})
		now, own := time.Unix(100, 0), 0
		for n := range 60 {
			// The latency of the other servers is known from earlier requests that the
			// own zone could not take.
			other := uint64(2 + n%2)
			policy.Sent(now, other)
			now = now.Add(20 * time.Millisecond)
			policy.Done(now, other, 20*time.Millisecond, choice.ResultOK)
		}
		for n := range 400 {
			c, _, _ := policy.Pick(now, candidates, within)
			latency := 20 * time.Millisecond
			if c.Incarnation == 1 {
				latency = ownLatency
				if n%10 == 9 {
					latency = everyTenth
				}
				own++
			}
			policy.Sent(now, c.Incarnation)
			now = now.Add(latency)
			policy.Done(now, c.Incarnation, latency, choice.ResultOK)
		}
		return own
	}
	if got := replay(80*time.Millisecond, 250*time.Millisecond, target); got < 390 {
		t.Errorf("own server within the target: got %d of 400 requests, want at least 390", got)
	}
	if got := replay(80*time.Millisecond, 250*time.Millisecond, 0); got > 100 {
		t.Errorf("own server without a target: got %d of 400 requests, want at most 100, or the case with a target proves nothing", got)
	}
	if got := replay(800*time.Millisecond, 800*time.Millisecond, target); got > 100 {
		t.Errorf("own server above the target: got %d of 400 requests, want at most 100", got)
	}
}
