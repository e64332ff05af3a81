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

// TestSnapshotSlots guards against more slots in use than the limit, a stream
// that gets a slot before another that has waited longer, and a stream that
// keeps its slot for ever. The latter happens if the node does not read the
// stream, and then no other stream gets the slot.
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
			t.Fatalf("%d streams got a slot while all slots were in use, want 0", len(order))
		}
		releases[0]()
		// A second release must not free the slot of another stream.
		releases[0]()
		synctest.Wait()
		if len(order) != 1 {
			t.Fatalf("after one slot was released, %d streams got a slot, want 1", len(order))
		}
		if first := <-order; first != 0 {
			t.Fatalf("after one slot was released, stream %d got the slot, want stream 0, which waited longest", first)
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
		// No stream releases its slot, so every slot must be released after
		// slotTimeout, 500 ms. 2 s are enough for the two streams that still wait to
		// get a slot and for their slots to be released.
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if len(order) != 2 || len(slots) != 0 {
			t.Errorf("%d more streams got a slot and %d slots are in use after 2 s, want 2 and 0", len(order), len(slots))
		}
	})
}
