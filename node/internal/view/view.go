// Package view holds a node's copy of the state that control replicates to it:
// the routing table, and the node's own incarnation and lease.
package view

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jujubeknot/jujubeknot/core/routing"
)

// Identity is the node's registration with control.
type Identity struct {
	// Incarnation is 0 while the node is not registered.
	Incarnation uint64
	Secret      string
	// LeaseExpiry is the end of the lease on the node's clock, zero without a
	// lease.
	LeaseExpiry time.Time
}

// View holds the current routing table and registration. It is safe for
// concurrent use. Use New.
type View struct {
	table    atomic.Pointer[routing.Table]
	identity atomic.Pointer[Identity]
	// rulesSince is when the current rules took effect here and confirmedAt
	// when control last confirmed the state, both in nanoseconds on the node's
	// clock.
	rulesSince, confirmedAt atomic.Int64
	// superseded is the latest known supersession of rules, nil for none.
	superseded atomic.Pointer[supersession]
	mu         sync.Mutex
	changed    chan struct{}
}

// supersession records that rules newer than revision have been in effect since
// a time on the node's clock.
type supersession struct {
	revision uint64
	since    time.Time
}

// New returns a view of the table without a registration.
func New(t *routing.Table) *View {
	v := &View{changed: make(chan struct{})}
	v.table.Store(t)
	v.identity.Store(&Identity{})
	return v
}

// Table returns the current routing table.
func (v *View) Table() *routing.Table { return v.table.Load() }

// Identity returns the current registration; its Incarnation is 0 while the
// node is not registered.
func (v *View) Identity() Identity { return *v.identity.Load() }

// HasLease reports whether the node is registered and its lease is valid at
// now.
func (v *View) HasLease(now time.Time) bool {
	i := v.identity.Load()
	return i.Incarnation != 0 && now.Before(i.LeaseExpiry)
}

// Changed returns a channel that is closed at the next change of the table or
// of the registration, extensions of the lease excepted. Callers must get the
// channel before they read the state, so that they miss no change.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// SetTable replaces the routing table and wakes waiters. RulesAge restarts if
// the rules revision differs.
func (v *View) SetTable(now time.Time, t *routing.Table) {
	if old := v.table.Swap(t); old.Revision() != t.Revision() {
		v.rulesSince.Store(now.UnixNano())
	}
	v.Notify()
}

// RulesAge returns the time since the current rules took effect on this node.
func (v *View) RulesAge(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - v.rulesSince.Load())
}

// RecordSuperseded records that rules newer than revision have been in effect
// elsewhere since a time, although this node has not received them.
func (v *View) RecordSuperseded(revision uint64, since time.Time) {
	v.superseded.Store(&supersession{revision, since})
}

// SupersededFor returns the time since rules newer than the current ones took
// effect elsewhere, 0 if no newer rules are known.
func (v *View) SupersededFor(now time.Time) time.Duration {
	s := v.superseded.Load()
	if s == nil || v.Table().Revision() > s.revision {
		return 0
	}
	return now.Sub(s.since)
}

// RecordConfirmation records that control confirmed the node's state at a time.
// Times before the latest confirmation are ignored.
func (v *View) RecordConfirmation(at time.Time) {
	for {
		previous := v.confirmedAt.Load()
		if at.UnixNano() <= previous || v.confirmedAt.CompareAndSwap(previous, at.UnixNano()) {
			return
		}
	}
}

// SinceConfirmation returns the time since control last confirmed the node's
// state.
func (v *View) SinceConfirmation(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - v.confirmedAt.Load())
}

// SetIdentity replaces the registration. It wakes waiters only if the
// incarnation changes or a lease is gained or lost, not if a lease is extended.
func (v *View) SetIdentity(i Identity) {
	old := v.identity.Swap(&i)
	if old.Incarnation != i.Incarnation || old.LeaseExpiry.IsZero() != i.LeaseExpiry.IsZero() {
		v.Notify()
	}
}

// Notify closes the channel that Changed returned, and so wakes all waiters.
func (v *View) Notify() {
	v.mu.Lock()
	defer v.mu.Unlock()
	close(v.changed)
	v.changed = make(chan struct{})
}
