package caller

import (
	"sync"
	"time"

	"github.com/jujubeknot/jujubeknot/core/outcome"
)

// Limits for the attempts that all held requests together make at a node that
// was not reached. A node that is reachable again without a change of the
// routing table is detected within maxRetryInterval.
const (
	minRetryInterval = 5 * time.Millisecond
	maxRetryInterval = 50 * time.Millisecond
	// nodeRetention is the time after which a node that was not reached is removed
	// if no attempt was due since.
	nodeRetention = time.Minute
)

// UnreachableNodes tracks the nodes that keyed requests could not reach, and
// limits how often held requests try them. When held requests were retried
// independently, the loss of one node for 1.4 s caused 9,300 attempts, at
// 290 requests/s for its keys. The zero value is ready for use. It is safe for
// concurrent use.
type UnreachableNodes struct {
	mu    sync.Mutex
	nodes map[uint64]*unreachableNode
}

type unreachableNode struct {
	outage outcome.Outage
	// nextAttempt is the earliest time of the next attempt. interval is the time
	// from that attempt to the one after it.
	nextAttempt time.Time
	interval    time.Duration
	// reached is closed when the node is reached again.
	reached chan struct{}
}

// Hold returns 0 if a request may be sent to the node with the incarnation, and
// otherwise the time to wait before the next call of Hold. The channel is
// closed if the node is reached earlier.
func (u *UnreachableNodes) Hold(now time.Time, incarnation uint64) (wait time.Duration, reached <-chan struct{}) {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := u.nodes[incarnation]
	if n == nil {
		return 0, nil
	}
	if now.Before(n.nextAttempt) {
		return n.nextAttempt.Sub(now), n.reached
	}
	// This request tests the node, and the others wait for its result.
	n.nextAttempt = now.Add(n.interval)
	n.interval = min(2*n.interval, maxRetryInterval)
	return 0, nil
}

// RecordFailure records an attempt that did not reach the node.
func (u *UnreachableNodes) RecordFailure(now time.Time, incarnation uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if n := u.nodes[incarnation]; n != nil {
		n.outage = n.outage.WithFailure(now)
		return
	}
	for i, old := range u.nodes {
		if now.Sub(old.nextAttempt) > nodeRetention {
			delete(u.nodes, i)
		}
	}
	if u.nodes == nil {
		u.nodes = map[uint64]*unreachableNode{}
	}
	u.nodes[incarnation] = &unreachableNode{outage: outcome.Outage{}.WithFailure(now), nextAttempt: now.Add(minRetryInterval), interval: 2 * minRetryInterval, reached: make(chan struct{})}
}

// Outage returns the outage of the node, or the zero value if the node is not
// known to be unreachable.
func (u *UnreachableNodes) Outage(incarnation uint64) outcome.Outage {
	u.mu.Lock()
	defer u.mu.Unlock()
	if n := u.nodes[incarnation]; n != nil {
		return n.outage
	}
	return outcome.Outage{}
}

// RecordSuccess records that the node was reached, and wakes the requests that
// wait for it.
func (u *UnreachableNodes) RecordSuccess(incarnation uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if n := u.nodes[incarnation]; n != nil {
		close(n.reached)
		delete(u.nodes, incarnation)
	}
}
