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
			c, _, ok := policy.Pick(now, candidates, 0)
			if !ok {
				t.Fatal("nothing is picked")
			}
			latency := 50 * time.Millisecond
			if c.Incarnation == 1 {
				latency = near
			}
			policy.Sent(now, c.Incarnation)
			now = now.Add(latency)
			policy.Done(now, c.Incarnation, latency, choice.ResultOK)
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

// TestNearestWithinTheTarget replays uploads whose only server of the own zone is
// four times as slow as the others and now and then ten times, but in time. It
// guards against uploads that cross zones although nobody is served better, and
// against a zone whose server is late or silent and goes on getting all of them.
func TestNearestWithinTheTarget(t *testing.T) {
	const target = 300 * time.Millisecond
	candidates := []choice.Candidate{{Incarnation: 1, AvailabilityZone: "a"}, {Incarnation: 2, AvailabilityZone: "b"}, {Incarnation: 3, AvailabilityZone: "c"}}
	replay := func(near, rarely, within time.Duration) int {
		policy := choice.NewTwoChoices(choice.TwoChoicesConfig{Seed: 1, AvailabilityZone: "a", ZoneFactor: choice.NearestZoneFactor})
		now, own := time.Unix(100, 0), 0
		for n := range 60 {
			// The others are known from requests that the own zone could not take.
			other := uint64(2 + n%2)
			policy.Sent(now, other)
			now = now.Add(20 * time.Millisecond)
			policy.Done(now, other, 20*time.Millisecond, choice.ResultOK)
		}
		for n := range 400 {
			c, _, _ := policy.Pick(now, candidates, within)
			latency := 20 * time.Millisecond
			if c.Incarnation == 1 {
				latency = near
				if n%10 == 9 {
					latency = rarely
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
		t.Errorf("%d of 400 at a server of the own zone that is in time", got)
	}
	if got := replay(80*time.Millisecond, 250*time.Millisecond, 0); got > 100 {
		t.Errorf("%d of 400 without a target: the replay shows nothing", got)
	}
	if got := replay(800*time.Millisecond, 800*time.Millisecond, target); got > 100 {
		t.Errorf("%d of 400 at a server that is late", got)
	}
}
