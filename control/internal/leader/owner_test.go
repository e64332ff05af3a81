package leader_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestOneOwner guards against a partition that two nodes admit requests for,
// request ids that a planned move loses, and rules that fall back at a node.
// Leaders change at any moment, also between a quorum round and the answer
// that rests on it, and go on working without knowing it; messages are lost,
// late, repeated and out of order; answers to proposals are lost.
func TestOneOwner(t *testing.T) {
	moves, takeovers, carried := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.random = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		w.lost = func() bool { return w.chance(10) }
		w.afterConfirm = func() {
			if w.chance(150) {
				w.now += time.Duration(w.below(2000)) * time.Millisecond
				w.elect(w.below(3))
			}
		}
		for range 150 {
			w.step(t)
		}
		moves += w.moves
		takeovers += w.takeovers
		carried += w.carried
	})
	t.Logf("%d planned moves with %d request ids, %d other assignments", moves, carried, takeovers)
	if moves < 100 || takeovers < 100 || carried < 100 {
		t.Error("the cases no longer exercise moves and takeovers")
	}
}
