// Package view has what a node currently knows from control: its own
// incarnation and lease, and the routing table.
package view

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jujubeknot/jujubeknot/core/routing"
)

// Identity is the node's registration.
type Identity struct {
	// Incarnation is 0 while the node is not registered.
	Incarnation uint64
	Secret      string
	// LeaseExpiry is the end of the lease by the node's clock.
	LeaseExpiry time.Time
}

// View is safe for concurrent use.
type View struct {
	table    atomic.Pointer[routing.Table]
	identity atomic.Pointer[Identity]
	// since is when the rules in force came, heard when control last answered, by
	// the node's clock in nanoseconds.
	since, heard atomic.Int64
	// superseded says which rules are known to be out of force, nil for none.
	superseded atomic.Pointer[supersession]
	mu         sync.Mutex
	changed    chan struct{}
}

// supersession is a rules revision and since when a later one has been in force.
type supersession struct {
	revision uint64
	since    time.Time
}

// New returns a view with a table and without a registration.
func New(t *routing.Table) *View {
	v := &View{changed: make(chan struct{})}
	v.table.Store(t)
	v.identity.Store(&Identity{})
	return v
}

// Table returns the current table.
func (v *View) Table() *routing.Table { return v.table.Load() }

// Identity returns the current registration.
func (v *View) Identity() Identity { return *v.identity.Load() }

// HasLease reports whether the lease is valid at a time.
func (v *View) HasLease(now time.Time) bool {
	i := v.identity.Load()
	return i.Incarnation != 0 && now.Before(i.LeaseExpiry)
}

// Changed returns a channel that is closed at the next change of the table or
// of the incarnation. Take it before reading what may change.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// SetTable puts a table in force.
func (v *View) SetTable(now time.Time, t *routing.Table) {
	if old := v.table.Swap(t); old.Revision() != t.Revision() {
		v.since.Store(now.UnixNano())
	}
	v.Notify()
}

// RulesAge returns for how long the rules have been in force here.
func (v *View) RulesAge(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - v.since.Load())
}

// RecordSuperseded notes that rules later than a revision have been in force since a
// time, although they have not come here.
func (v *View) RecordSuperseded(revision uint64, since time.Time) {
	v.superseded.Store(&supersession{revision, since})
}

// SupersededFor returns for how long the rules in force here have had a later
// revision, 0 if none is known.
func (v *View) SupersededFor(now time.Time) time.Duration {
	s := v.superseded.Load()
	if s == nil || v.Table().Revision() > s.revision {
		return 0
	}
	return now.Sub(s.since)
}

// RecordConfirmation notes that control confirmed at a time what the node knows.
func (v *View) RecordConfirmation(at time.Time) {
	for {
		before := v.heard.Load()
		if at.UnixNano() <= before || v.heard.CompareAndSwap(before, at.UnixNano()) {
			return
		}
	}
}

// SinceConfirmation returns the time since control confirmed what the node knows.
func (v *View) SinceConfirmation(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - v.heard.Load())
}

// SetIdentity puts a registration or the end of its lease in force. Waiters
// are woken only when the incarnation or the presence of a lease changes.
func (v *View) SetIdentity(i Identity) {
	old := v.identity.Swap(&i)
	if old.Incarnation != i.Incarnation || old.LeaseExpiry.IsZero() != i.LeaseExpiry.IsZero() {
		v.Notify()
	}
}

// Notify wakes everyone who waits for a change.
func (v *View) Notify() {
	v.mu.Lock()
	defer v.mu.Unlock()
	close(v.changed)
	v.changed = make(chan struct{})
}
