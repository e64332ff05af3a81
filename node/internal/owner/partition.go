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

// PartitionID names a partition of an upstream.
type PartitionID struct {
	Upstream  string
	Partition uint32
}

type partitionState int

const (
	stateServing partitionState = iota
	// stateReleasing partitions admit nothing and wait for calls to end.
	stateReleasing
	// stateReleased partitions never admit again at their epoch.
	stateReleased
)

// partition is a partition that this node owns by its table.
type partition struct {
	id    PartitionID
	epoch uint64
	// fence and handover are what a backend server is granted with by beats.
	fence    uint64
	handover string
	// held is whether the latest beat said that the partition is held.
	held  bool
	state partitionState
	// order is set once the partition is to be released by beats.
	order *pendingRelease
	// active calls hold the partition: from their first check to the end of
	// their answer.
	active int
	// idle is closed when active reaches 0 while releasing.
	idle chan struct{}
	// halt is closed when queued calls must leave.
	halt chan struct{}
	// granted is closed once the backend server knows of the grant, or the
	// node stopped waiting for that.
	granted chan struct{}
	opened  bool
	// count of calls since the last load report.
	count uint64
}

// term is the time of one lease, from registration to its end.
type term struct {
	context context.Context
	cancel  context.CancelFunc
}

func newTerm() *term {
	ctx, cancel := context.WithCancel(context.Background())
	return &term{context: ctx, cancel: cancel}
}

// hold checks that this node may run a keyed call and counts it as active. The
// refusal says why it may not.
func (s *Server) hold(c *relay.Call) (*partition, *outcome.Refusal) {
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
	case p.state != stateServing:
		return nil, relay.NotRun(outcome.ReasonMoving)
	}
	p.active++
	p.count++
	return p, nil
}

// drop ends the hold of a call.
func (s *Server) drop(p *partition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.active--
	if p.active == 0 && p.idle != nil {
		close(p.idle)
		p.idle = nil
	}
}

// confirm checks again, right before the first byte is written, and returns
// the term of the lease.
func (s *Server) confirm(p *partition) (backend.Permit, *outcome.Refusal) {
	now := s.cfg.Clock.Now()
	identity := s.cfg.View.Identity()
	if identity.Incarnation == 0 || !now.Before(identity.LeaseExpiry) {
		return backend.Permit{}, relay.NotRun(outcome.ReasonNoLease)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.state != stateServing || s.partitions[p.id] != p {
		return backend.Permit{}, relay.NotRun(outcome.ReasonMoving)
	}
	t := backend.Permit{Context: s.term.context}
	if b := s.cfg.Backend.Announced(); !b.GetChecksFences() {
		t.Until = identity.LeaseExpiry
	}
	return t, nil
}

// TableChanged follows a new table: partitions that this incarnation has got
// are granted at the backend server, others are dropped.
func (s *Server) TableChanged(ctx context.Context, t *routing.Table) {
	self := s.cfg.View.Identity().Incarnation
	now := s.cfg.Clock.Now()
	var fresh []*partition
	s.mu.Lock()
	s.homes.Record(now, t.Serving(s.cfg.Backend.Announced().GetUpstream()), t.Limits().ResendWindow)
	kept := make(map[PartitionID]*partition, len(s.partitions))
	t.EachOwned(self, func(upstream string, number uint32, a routing.Assignment) {
		id := PartitionID{upstream, number}
		if p := s.partitions[id]; p != nil && p.epoch == a.Epoch {
			kept[id] = p
			return
		}
		p := &partition{id: id, epoch: a.Epoch, fence: a.Fence, handover: a.Handover, halt: make(chan struct{}), granted: make(chan struct{})}
		kept[id] = p
		fresh = append(fresh, p)
		s.taken(now, id, a)
	})
	for id, p := range s.partitions {
		if kept[id] != p {
			p.stop()
			s.cfg.Backend.RemoveGrants(p.grant())
		}
	}
	s.partitions = kept
	s.newsLocked()
	s.openGrants(self, fresh)
	s.mu.Unlock()
	if len(fresh) > 0 && !s.cfg.GrantsByHeartbeat {
		s.sendFresh(ctx, fresh)
	}
}

// report returns the partition as control is told of its release.
func (p *partition) report() *wirev1.ReleasedPartition {
	return &wirev1.ReleasedPartition{Upstream: p.id.Upstream, Partition: p.id.Partition, Epoch: p.epoch}
}

// stop makes queued calls leave.
func (p *partition) stop() {
	if p.state == stateServing {
		close(p.halt)
	}
	p.state = stateReleased
}

// taken starts the window in which earlier request ids of a partition are not
// known, unless they came with a planned move or there were none.
func (s *Server) taken(now time.Time, id PartitionID, a routing.Assignment) {
	key := movedKey{id, a.Epoch}
	known := a.Epoch == 1 || a.Planned && s.moved[key]
	delete(s.moved, key)
	s.requests.taken(now, id, known)
}

// unsure reports whether another node may have got earlier sendings of a call
// without a key that has the caller's own id, because the nodes of the upstream
// have changed within the resend window.
func (s *Server) unsure(c *relay.Call) bool {
	if c.Keyed || !c.IDFromCaller {
		return false
	}
	self := s.cfg.View.Identity().Incarnation
	window := s.cfg.View.Table().Limits().ResendWindow
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.homes.AlwaysSelected(s.cfg.Clock.Now(), c.ID, self, window)
}

// BeginLease starts a lease after a registration. Nothing of an earlier term is
// used again.
func (s *Server) BeginLease() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clear()
	s.homes = choice.RendezvousHistory{}
	s.term = newTerm()
}

// EndLease ends the lease: queued keyed calls leave, keyed calls in flight are
// cancelled, and the grants at the backend server are closed.
func (s *Server) EndLease(ctx context.Context) {
	s.mu.Lock()
	closing := s.clear()
	s.cfg.Backend.EndGrants()
	s.mu.Unlock()
	if closing > 0 {
		s.cfg.Log.Warn().Int("partitions", closing).Msg("lease ended, keyed work stopped")
		s.sendGrants(ctx)
	}
}

// clear ends the term and returns the number of partitions whose grants are
// open. The lock is held.
func (s *Server) clear() (closing int) {
	if s.term != nil {
		s.term.cancel()
	}
	for _, p := range s.partitions {
		if p.state != stateReleased {
			closing++
		}
		p.stop()
	}
	clear(s.partitions)
	clear(s.released)
	return closing
}
