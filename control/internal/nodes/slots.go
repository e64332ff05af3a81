package nodes

import (
	"context"
	"sync"
	"time"

	"github.com/jujubeknot/jujubeknot/control/internal/leader"
)

const (
	// maxConcurrentSnapshots limits the snapshots that are sent at the same time.
	// A snapshot of 16,384 assignments is about 0.5 MB before compression.
	maxConcurrentSnapshots = 16
	// slotTimeout is how long a node that does not read its stream can keep a slot
	// from other nodes.
	slotTimeout = 500 * time.Millisecond
)

// snapshotSlots limits concurrent snapshots to its capacity. Waiting streams
// get slots in the order of their calls. It is safe for concurrent use.
type snapshotSlots chan struct{}

// acquire waits for a slot and returns the function that releases it. The slot
// is released automatically after slotTimeout. The error is
// leader.ErrStreamReplaced if replaced is closed first, or the context's error
// if the context is done first.
func (s snapshotSlots) acquire(ctx context.Context, replaced <-chan struct{}) (func(), error) {
	select {
	case s <- struct{}{}:
	case <-replaced:
		return nil, leader.ErrStreamReplaced
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	release := sync.OnceFunc(func() { <-s })
	timer := time.AfterFunc(slotTimeout, release)
	return func() {
		timer.Stop()
		release()
	}, nil
}
