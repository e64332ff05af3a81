package owner

import (
	"context"
	"time"

	"github.com/jujubeknot/jujubeknot/core/choice"
	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/core/routing"
	"github.com/jujubeknot/jujubeknot/node/internal/backend"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// PartitionID identifies a partition of an upstream.
type PartitionID struct {
	Upstream  string
	Partition uint32
}

type partitionState int

const (
	stateServing partitionState = iota
	// stateReleasing partitions admit no calls and wait for the active ones to
	// end.
	stateReleasing
	// stateReleased partitions admit no calls again at their epoch.
	stateReleased
)

// partition is a partition that this node owns according to its table.
type partition struct {
	id    PartitionID
	epoch uint64
	// fence and handover are the fencing token and the handover token of the grant
	// where responses to heartbeats grant keys.
	fence    uint64
	handover string
	// held is true if the backend server held the partition according to its
	// latest heartbeat.
	held  bool
	state partitionState
	// order is set once the partition is to be released by the response to a
	// heartbeat.
	order *pendingRelease
	// active is the number of calls between their first check and the end of their
	// response.
	active int
	// idle is closed when active reaches 0 during a release.
	idle chan struct{}
	// halt is closed when queued calls must leave the queue.
	halt chan struct{}
	// granted is closed once the backend server has received the grant, or once
	// the node has stopped waiting for this.
	granted chan struct{}
	// isGranted is true if granted is closed.
	isGranted bool
	// count is the number of calls since the last load report.
	count uint64
}

// leaseContext is a context that lasts from the registration to the end of the
// lease.
type leaseContext struct {
	context context.Context
	cancel  context.CancelFunc
	// closing is true once no further calls are admitted under the lease.
	closing bool
}

func newLeaseContext() *leaseContext {
	ctx, cancel := context.WithCancel(context.Background())
	return &leaseContext{context: ctx, cancel: cancel}
}

// beginCall checks that this node may run a keyed call and counts the call as
// active. Otherwise it returns a refusal with the reason.
func (s *Server) beginCall(c *relay.Call) (*partition, *outcome.Refusal) {
	now := s.cfg.Clock.Now()
	if !s.cfg.View.HasLease(now) {
		return nil, relay.NotRun(outcome.ReasonNoLease)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partitions[PartitionID{c.Upstream, c.Partition}]
	switch {
	case p == nil || p.epoch != c.Epoch:
		return nil, relay.NotRun(outcome.ReasonNotOwner)
	case p.state != stateServing || s.lease.closing:
		return nil, relay.NotRun(outcome.ReasonMoving)
	}
	p.active++
	p.count++
	s.activeCalls.add()
	return p, nil
}

// endCall counts a call as no longer active.
func (s *Server) endCall(p *partition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.active--
	if p.active == 0 && p.idle != nil {
		close(p.idle)
		p.idle = nil
	}
	s.activeCalls.done()
}

// permit checks the lease and the partition again, immediately before the first
// byte is written. The permit that it returns ends with the lease.
func (s *Server) permit(p *partition) (backend.Permit, *outcome.Refusal) {
	now := s.cfg.Clock.Now()
	identity := s.cfg.View.Identity()
	if identity.Incarnation == 0 || !now.Before(identity.LeaseExpiry) {
		return backend.Permit{}, relay.NotRun(outcome.ReasonNoLease)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.state != stateServing || s.partitions[p.id] != p || s.lease.closing {
		return backend.Permit{}, relay.NotRun(outcome.ReasonMoving)
	}
	t := backend.Permit{Context: s.lease.context}
	if b := s.cfg.Backend.Announced(); !b.GetChecksFences() {
		t.Until = identity.LeaseExpiry
	}
	return t, nil
}

// TableChanged applies a new table. Partitions that this incarnation newly owns
// are granted to the backend server. Partitions that it no longer owns are
// removed.
func (s *Server) TableChanged(t *routing.Table) {
	self := s.cfg.View.Identity().Incarnation
	now := s.cfg.Clock.Now()
	var added []*partition
	s.mu.Lock()
	s.rendezvous.Record(now, t.Serving(s.cfg.Backend.Announced().GetUpstream()), t.Limits().ResendWindow)
	kept := make(map[PartitionID]*partition, len(s.partitions))
	t.EachOwned(self, func(upstream string, number uint32, a routing.Assignment) {
		id := PartitionID{upstream, number}
		if p := s.partitions[id]; p != nil && p.epoch == a.Epoch {
			kept[id] = p
			return
		}
		p := &partition{id: id, epoch: a.Epoch, fence: a.Fence, handover: a.Handover, halt: make(chan struct{}), granted: make(chan struct{})}
		kept[id] = p
		added = append(added, p)
		s.becameOwner(now, id, a)
	})
	for id, p := range s.partitions {
		if kept[id] != p {
			p.stop()
			s.cfg.Backend.RemoveGrants(p.grantedPartition())
		}
	}
	s.partitions = kept
	s.notifyGrantsChanged()
	s.addGrants(self, added)
	lease := s.lease.context
	s.mu.Unlock()
	if len(added) > 0 && !s.cfg.GrantsByHeartbeat {
		s.sendNewGrants(lease, added)
	}
}

// report returns the partition in the form in which its release is reported to
// control.
func (p *partition) report() *wirev1.ReleasedPartition {
	return &wirev1.ReleasedPartition{Upstream: p.id.Upstream, Partition: p.id.Partition, Epoch: p.epoch}
}

// stop makes queued calls leave the queue and marks the partition as released.
func (p *partition) stop() {
	if p.state == stateServing {
		close(p.halt)
	}
	p.state = stateReleased
}

// becameOwner starts the window in which earlier request ids of a partition are
// unknown. There is no such window if the ids came with a planned move or if
// the partition had no owner before.
func (s *Server) becameOwner(now time.Time, id PartitionID, a routing.Assignment) {
	key := importKey{id, a.Epoch}
	known := a.Epoch == 1 || a.Planned && s.imported[key]
	delete(s.imported, key)
	s.requests.becameOwner(now, id, known)
}

// possiblySentElsewhere reports whether another node may have received earlier
// sendings of a call, because the nodes of the upstream have changed within the
// resend window. It is true only for calls without a key whose request id comes
// from the caller.
func (s *Server) possiblySentElsewhere(c *relay.Call) bool {
	if c.Keyed || !c.IDFromCaller {
		return false
	}
	self := s.cfg.View.Identity().Incarnation
	window := s.cfg.View.Table().Limits().ResendWindow
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.rendezvous.AlwaysSelected(s.cfg.Clock.Now(), c.ID, self, window)
}

// BeginLease starts a lease after a registration. No state of an earlier lease
// is used again.
func (s *Server) BeginLease() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clear()
	s.rendezvous = choice.RendezvousHistory{}
	s.lease = newLeaseContext()
}

// CloseLease admits no further keyed calls under the lease. Queued ones leave the
// queue. Of the returned channels, ended is closed when those in flight have ended, and
// answered when the backend server has answered them. The lease itself goes on until
// EndLease.
func (s *Server) CloseLease() (ended, answered <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease.closing = true
	for _, p := range s.partitions {
		if p.state == stateServing {
			close(p.halt)
			p.state = stateReleasing
		}
	}
	return s.activeCalls.whenNone(), s.pendingCalls.whenNone()
}

// EndLease ends the lease. Queued keyed calls leave the queue, keyed calls in
// flight are cancelled, and the grants to the backend server are ended.
func (s *Server) EndLease(ctx context.Context) {
	s.mu.Lock()
	openGrants, calls := s.clear()
	s.cfg.Backend.EndGrants()
	s.mu.Unlock()
	if openGrants > 0 || calls > 0 {
		s.cfg.Log.Warn().Int("partitions", openGrants).Int("callsCancelled", calls).Msg("lease ended, keyed work stopped")
		s.sendGrants(ctx)
	}
}

// LeaseReturned records that an ended lease is returned before its expiry. The responses
// to heartbeats revoke all keys until keys are granted under another lease.
func (s *Server) LeaseReturned() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaseReturned = true
	s.notifyGrantsChanged()
}

// clear cancels the context of the lease, drops all partitions, and returns the
// number of those that were not released yet and of their calls in flight. The
// caller holds s.mu.
func (s *Server) clear() (openGrants, calls int) {
	if s.lease != nil {
		s.lease.cancel()
	}
	for _, p := range s.partitions {
		if p.state != stateReleased {
			openGrants++
		}
		calls += p.active
		p.stop()
	}
	clear(s.partitions)
	clear(s.released)
	return openGrants, calls
}
