package nodes

import (
	"context"
	"sync"
	"time"

	"github.com/jujubeknot/jujubeknot/control/internal/leader"
)

const (
	// snapshotsAtOnce bounds the snapshots that are sent at the same time. One
	// of 16,384 assignments is about 0.5 MB before compression.
	snapshotsAtOnce = 16
	// turnLimit is how long a node that does not read holds up the others.
	turnLimit = 500 * time.Millisecond
)

// turns bounds what is done at the same time; its capacity is the bound. Those
// who wait get their turns in the order of their calls.
type turns chan struct{}

// take waits for a turn and returns the function that ends it. The turn ends by
// itself after turnLimit. The error is leader.ErrReplaced if gone is closed
// first, or that of the context.
func (t turns) take(ctx context.Context, gone <-chan struct{}) (func(), error) {
	select {
	case t <- struct{}{}:
	case <-gone:
		return nil, leader.ErrStreamReplaced
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	end := sync.OnceFunc(func() { <-t })
	timer := time.AfterFunc(turnLimit, end)
	return func() {
		timer.Stop()
		end()
	}, nil
}
