package nodes_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/control/internal/leader"
	"github.com/jujubeknot/jujubeknot/control/internal/nodes"
)

// TestTurns guards against more snapshots at once than the bound, nodes that
// are overtaken by later ones, and a node that does not read and holds up all
// others.
func TestTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		turns := make(nodes.Turns, 2)
		ends := make([]func(), 2)
		for i := range ends {
			ends[i], _ = nodes.Take(turns, t.Context(), nil)
		}
		order := make(chan int, 3)
		for i := range 3 {
			go func() {
				if _, err := nodes.Take(turns, t.Context(), nil); err == nil {
					order <- i
				}
			}()
			synctest.Wait()
		}
		if len(order) != 0 {
			t.Fatalf("%d more than the bound have a turn", len(order))
		}
		ends[0]()
		ends[0]()
		synctest.Wait()
		if len(order) != 1 {
			t.Fatalf("after one turn ended %d have theirs, want 1", len(order))
		}
		if first := <-order; first != 0 {
			t.Fatalf("after one turn ended %d has its turn, want the first", first)
		}
		gone := make(chan struct{})
		close(gone)
		if _, err := nodes.Take(turns, t.Context(), gone); !errors.Is(err, leader.ErrStreamReplaced) {
			t.Errorf("stream that was replaced: %v", err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if _, err := nodes.Take(turns, ctx, nil); !errors.Is(err, context.Canceled) {
			t.Errorf("stream that ended: %v", err)
		}
		// None of those that have turns ends them.
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if len(order) != 2 || len(turns) != 0 {
			t.Errorf("%d more had turns and %d are taken, want 2 and none", len(order), len(turns))
		}
	})
}
