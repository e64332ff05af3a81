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
		var order []int
		for i := range 3 {
			go func() {
				if _, err := nodes.Take(turns, t.Context(), nil); err == nil {
					order = append(order, i)
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
		if len(order) != 1 || order[0] != 0 {
			t.Fatalf("after one turn ended %v have theirs, want the first", order)
		}
		gone := make(chan struct{})
		close(gone)
		if _, err := nodes.Take(turns, t.Context(), gone); !errors.Is(err, leader.ErrReplaced) {
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
		if len(order) != 3 || len(turns) != 0 {
			t.Errorf("%v had turns and %d are taken, want all 3 and none", order, len(turns))
		}
	})
}
