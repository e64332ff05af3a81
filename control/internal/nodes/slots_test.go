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

// TestSnapshotSlots guards against more concurrent snapshots than the limit,
// nodes that are overtaken by later ones, and a node that blocks all others
// because it does not read its stream.
func TestSnapshotSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slots := make(nodes.SnapshotSlots, 2)
		releases := make([]func(), 2)
		for i := range releases {
			releases[i], _ = nodes.Acquire(slots, t.Context(), nil)
		}
		order := make(chan int, 3)
		for i := range 3 {
			go func() {
				if _, err := nodes.Acquire(slots, t.Context(), nil); err == nil {
					order <- i
				}
			}()
			synctest.Wait()
		}
		if len(order) != 0 {
			t.Fatalf("%d streams above the limit have a slot, want 0", len(order))
		}
		releases[0]()
		releases[0]()
		synctest.Wait()
		if len(order) != 1 {
			t.Fatalf("after one slot was released %d streams got one, want 1", len(order))
		}
		if first := <-order; first != 0 {
			t.Fatalf("after one slot was released stream %d got it, want the first, 0", first)
		}
		replaced := make(chan struct{})
		close(replaced)
		if _, err := nodes.Acquire(slots, t.Context(), replaced); !errors.Is(err, leader.ErrStreamReplaced) {
			t.Errorf("acquire for a replaced stream: error %v, want ErrStreamReplaced", err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if _, err := nodes.Acquire(slots, ctx, nil); !errors.Is(err, context.Canceled) {
			t.Errorf("acquire with a canceled context: error %v, want context.Canceled", err)
		}
		// No stream releases its slot, so all slots must time out.
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if len(order) != 2 || len(slots) != 0 {
			t.Errorf("%d more streams got slots and %d slots are in use, want 2 and 0", len(order), len(slots))
		}
	})
}
