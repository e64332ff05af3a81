package leader_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestOneOwner guards against a partition for which two nodes admit requests,
// request ids that are lost in a planned move, and a node that returns to an
// older rules revision. Leaders change at any time, also between a quorum round
// and the response that depends on it. Former leaders continue to act as
// leaders. Messages are lost, late, repeated and out of order, and responses to
// proposals are lost.
func TestOneOwner(t *testing.T) {
	moves, takeovers, movedIDs := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		s.random = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		s.dropResponse = func() bool { return s.oneIn(10) }
		s.afterConfirm = func() {
			if s.oneIn(150) {
				s.now += time.Duration(s.randomBelow(2000)) * time.Millisecond
				s.elect(s.randomBelow(3))
			}
		}
		for range 150 {
			s.step(t)
		}
		moves += s.moves
		takeovers += s.takeovers
		movedIDs += s.movedIDs
	})
	t.Logf("%d planned moves with %d request ids, %d other assignments", moves, movedIDs, takeovers)
	if moves < 100 || takeovers < 100 || movedIDs < 100 {
		t.Error("the cases have under 100 planned moves, moved request ids or other assignments")
	}
}
