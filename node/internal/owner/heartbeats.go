package owner

import (
	"context"
	"slices"
	"time"

	"github.com/jujubeknot/jujubeknot/core/keyspace"
	"github.com/jujubeknot/jujubeknot/node/dialect"
)

const (
	// settleTime is given to a backend server to act on the answer to its beat
	// before a call for newly granted keys is sent.
	settleTime = 5 * time.Millisecond
	// holdMargin is taken off the lease for the time between this node's check
	// of its lease and the answer.
	holdMargin = 50 * time.Millisecond
	// answerBytes bounds the grants of one answer, which has at most 4 KiB.
	answerBytes = 4000
	// holderDriftPercent is how much slower a backend server's clock may run.
	holderDriftPercent = 2
)

// ReceivedHeartbeat is a beat that has not been answered.
type ReceivedHeartbeat struct {
	dialect.Heartbeat
	received time.Time
	number   uint64
}

// Receive notes a beat of the backend server beside this node: it ends releases
// that the backend server has carried out. Respond must follow.
func (s *Server) Receive(b dialect.Heartbeat) ReceivedHeartbeat {
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beats++
	s.lastBeat = now
	s.newsLocked()
	s.noteReleased(b)
	s.noteHeld(b)
	return ReceivedHeartbeat{b, now, s.beats}
}

// AwaitGrantChange waits until the backend server is to hold other keys than the beat
// says, for at most the time given: keys change hands with the answer to a beat,
// and a beat that is answered at once makes them wait for the next one.
func (s *Server) AwaitGrantChange(ctx context.Context, b ReceivedHeartbeat, limit time.Duration) {
	if len(b.Released) > 0 || b.Draining {
		return
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	s.addWaiting(1)
	defer s.addWaiting(-1)
	for {
		s.mu.Lock()
		news, due := s.news, b.number != s.beats || s.differs(b.Heartbeat)
		s.mu.Unlock()
		if due {
			return
		}
		select {
		case <-news:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) addWaiting(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting += n
}

// newsLocked wakes those who wait in AwaitGrantChange. The lock is held.
func (s *Server) newsLocked() {
	close(s.news)
	s.news = make(chan struct{})
}

// differs reports whether the backend server is to hold other keys than a beat
// says. The lock is held.
func (s *Server) differs(b dialect.Heartbeat) bool {
	owns, wanted := false, 0
	for _, p := range s.partitions {
		if p.id.Upstream != b.Upstream || p.state != stateServing {
			continue
		}
		owns = true
		if p.order != nil || !p.held {
			return true
		}
		wanted++
	}
	held := 0
	for _, h := range b.Held {
		held += int(h.Last) - int(h.First) + 1
	}
	count := s.cfg.View.Table().PartitionCount(b.Upstream)
	// Without keys nothing is known to be due, but for what must be released.
	return count > 0 && owns && held > wanted*(keyspace.MaxNumericKey+1)/int(count)
}

// Respond answers a beat: it begins the releases that were ordered and returns
// the keys to be held. Calls for keys that are left out are refused from now on;
// calls for new ones go on once Delivered was called.
func (s *Server) Respond(b ReceivedHeartbeat, limit time.Duration) dialect.HeartbeatResponse {
	answer := dialect.HeartbeatResponse{OnSent: func() {}}
	now := s.cfg.Clock.Now()
	identity := s.cfg.View.Identity()
	t := s.cfg.View.Table()
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.number != s.beats {
		// A later beat is answered, or was.
		return answer
	}
	if identity.Incarnation == 0 || !now.Before(identity.LeaseExpiry) || t.Node(identity.Incarnation) == nil {
		return answer
	}
	// The keys of this incarnation are those of one life of the backend server.
	if u := t.Upstream(b.Upstream); u == nil || !u.NumericKeys || t.Node(identity.Incarnation).GetBackendServer().GetBootId() != b.Incarnation() {
		return answer
	}
	// Keys are held from the sending of the beat, which was before its receipt.
	left := identity.LeaseExpiry.Sub(b.received) - holdMargin
	answer.GrantDuration = min(limit, left-left*holderDriftPercent/100)
	if answer.GrantDuration <= 0 {
		return answer
	}
	answer.UpdatesGrants = true
	var granted []*partition
	releasing, fresh := 0, 0
	for _, p := range s.partitions {
		if p.id.Upstream != b.Upstream {
			continue
		}
		if p.order != nil && p.state == stateServing {
			releasing++
			// From here on nothing is sent for it, and the backend server hears
			// that it no longer holds it.
			p.state = stateReleasing
			close(p.halt)
		}
		if p.state != stateServing {
			continue
		}
		if !p.held {
			fresh++
			// An earlier process may have granted it in one row with others, by a
			// higher token that no beat tells of once the hold is over. The
			// registration is later than that, and before each later assignment.
			p.fence = max(p.fence, identity.Incarnation)
		}
		granted = append(granted, p)
	}
	owned := len(granted)
	s.holdUntil = now.Add(answer.GrantDuration + answer.GrantDuration*holderDriftPercent/100)
	granted, answer.Grants = fit(granted, t.PartitionCount(b.Upstream), answerBytes)
	raise(granted, answer.Grants, t.PartitionCount(b.Upstream))
	if releasing > 0 || fresh > 0 {
		s.cfg.Log.Info().Str("backendServer", b.Name).Uint64("sequence", b.Sequence).Int64("waitedMillis", now.Sub(b.received).Milliseconds()).
			Int("owned", owned).Int("fresh", fresh).Int("releasing", releasing).Int("leftOut", owned-len(granted)).
			Int("rows", len(answer.Grants)).Int("bytes", size(answer.Grants)).Int64("holdMillis", answer.GrantDuration.Milliseconds()).Msg("keys granted")
	}
	answer.OnSent = func() { time.AfterFunc(settleTime, func() { s.open(granted) }) }
	return answer
}

// noteHeld drops the handovers of partitions that the backend server has taken
// over. The lock is held.
func (s *Server) noteHeld(b dialect.Heartbeat) {
	count := s.cfg.View.Table().PartitionCount(b.Upstream)
	for _, p := range s.partitions {
		if p.id.Upstream != b.Upstream || count == 0 {
			continue
		}
		first, last := keyspace.NumericKeyRange(p.id.Partition, count)
		p.held = slices.ContainsFunc(b.Held, func(h dialect.FencedRange) bool {
			return h.First <= first && last <= h.Last && h.Fence >= p.fence
		})
		if p.held {
			p.handover = ""
		}
		for _, h := range b.Held {
			if h.First <= last && first <= h.Last {
				// An earlier process may have granted it with a higher token.
				p.fence = max(p.fence, h.Fence)
			}
		}
	}
}

// HoldsUntil returns when all that the backend server was told to hold is over
// unless another beat comes.
func (s *Server) HoldsUntil() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holdUntil
}

// noteReleased ends the releases whose keys the backend server does not hold
// any more. The lock is held.
func (s *Server) noteReleased(b dialect.Heartbeat) {
	count := s.cfg.View.Table().PartitionCount(b.Upstream)
	for _, p := range s.partitions {
		if p.order == nil || p.state != stateReleasing || p.id.Upstream != b.Upstream || count == 0 {
			continue
		}
		first, last := keyspace.NumericKeyRange(p.id.Partition, count)
		if slices.ContainsFunc(b.Held, func(h dialect.FencedRange) bool { return h.First <= last && first <= h.Last }) {
			continue
		}
		for _, f := range b.Released {
			if f.First <= first && last <= f.Last {
				p.order.handover = f.Handover
			}
		}
		if !p.order.freed {
			p.order.freed = true
			close(p.order.done)
		}
	}
}

// pendingRelease is an ordered release that waits for the backend server.
type pendingRelease struct {
	handover string
	freed    bool
	// done is closed when the backend server has released the keys.
	done chan struct{}
}

// releaseByBeat carries out an order where the backend server is told by the
// answers to its beats. The partition serves until the next beat, so that it is
// paused only while it changes hands.
func (s *Server) releaseByBeat(ctx, term context.Context, p *partition, done func(Release)) {
	s.background.Go(func() {
		select {
		case <-p.order.done:
		case <-ctx.Done():
			return
		case <-term.Done():
			return
		}
		s.mu.Lock()
		if s.partitions[p.id] != p || p.state != stateReleasing {
			s.mu.Unlock()
			return
		}
		report := p.report()
		report.Handover = p.order.handover
		p.state = stateReleased
		s.released[p.id] = report
		s.mu.Unlock()
		records := s.requests.export(s.cfg.Clock.Now(), p.id)
		s.cfg.Log.Info().Str("upstream", p.id.Upstream).Uint32("partition", p.id.Partition).Uint64("epoch", p.epoch).
			Bool("handover", report.Handover != "").Msg("partition released")
		done(Release{Partition: report, Records: records})
	})
}
