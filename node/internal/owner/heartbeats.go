package owner

import (
	"context"
	"slices"
	"time"

	"github.com/jujubeknot/jujubeknot/core/keyspace"
	"github.com/jujubeknot/jujubeknot/node/dialect"
)

const (
	// grantApplyTime is the time that a backend server has to apply the response
	// to its heartbeat before calls for newly granted keys are sent.
	grantApplyTime = 5 * time.Millisecond
	// leaseCheckMargin is subtracted from the remaining time of the lease. It
	// covers the time between this node's check of its lease and the response.
	leaseCheckMargin = 50 * time.Millisecond
	// maxGrantBytes bounds the encoded grants of one response, which is limited to
	// 4 KiB.
	maxGrantBytes = 4000
	// maxClockDriftPercent is by how much the clock of a backend server may run
	// slower than this node's.
	maxClockDriftPercent = 2
)

// ReceivedHeartbeat is a heartbeat without a response so far.
type ReceivedHeartbeat struct {
	dialect.Heartbeat
	received time.Time
	number   uint64
}

// Receive records a heartbeat of the backend server beside this node and
// completes the releases that the backend server has carried out. The caller
// must call Respond afterwards.
func (s *Server) Receive(heartbeat dialect.Heartbeat) ReceivedHeartbeat {
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heartbeats++
	s.lastHeartbeat = now
	s.notifyGrantsChanged()
	s.recordReleased(heartbeat)
	s.recordHeld(heartbeat)
	return ReceivedHeartbeat{heartbeat, now, s.heartbeats}
}

// AwaitGrantChange waits until the backend server is to hold other keys than
// the heartbeat reports, for at most limit. Keys are granted and revoked only
// by the response to a heartbeat. A change that follows an immediate response
// would have to wait for the next heartbeat.
func (s *Server) AwaitGrantChange(ctx context.Context, heartbeat ReceivedHeartbeat, limit time.Duration) {
	if len(heartbeat.Released) > 0 || heartbeat.Draining {
		return
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	s.addWaitingHeartbeats(1)
	defer s.addWaitingHeartbeats(-1)
	for {
		s.mu.Lock()
		grantsChanged, due := s.grantsChanged, heartbeat.number != s.heartbeats || s.grantsDiffer(heartbeat.Heartbeat)
		s.mu.Unlock()
		if due {
			return
		}
		select {
		case <-grantsChanged:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) addWaitingHeartbeats(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waitingHeartbeats += n
}

// notifyGrantsChanged wakes the callers of AwaitGrantChange. The caller holds
// s.mu.
func (s *Server) notifyGrantsChanged() {
	close(s.grantsChanged)
	s.grantsChanged = make(chan struct{})
}

// grantsDiffer reports whether the backend server is to hold other keys than
// the heartbeat reports. The caller holds s.mu.
func (s *Server) grantsDiffer(heartbeat dialect.Heartbeat) bool {
	if s.leaseReturned && len(heartbeat.Held) > 0 {
		return true
	}
	owns, wanted := false, 0
	for _, p := range s.partitions {
		if p.id.Upstream != heartbeat.Upstream || p.state != stateServing {
			continue
		}
		owns = true
		if p.order != nil || !p.held {
			return true
		}
		wanted++
	}
	held := 0
	for _, h := range heartbeat.Held {
		held += int(h.Last) - int(h.First) + 1
	}
	count := s.cfg.View.Table().PartitionCount(heartbeat.Upstream)
	// Without owned partitions no change is known to be due. Ordered releases were
	// found above.
	return count > 0 && owns && held > wanted*(keyspace.MaxNumericKey+1)/int(count)
}

// Respond returns the response to a heartbeat. It starts the ordered releases
// and grants the keys that the backend server is to hold, for at most limit.
// Calls for partitions that are being released are refused from now on. Calls
// for newly granted keys continue grantApplyTime after OnSent of the response
// was called.
func (s *Server) Respond(heartbeat ReceivedHeartbeat, limit time.Duration) dialect.HeartbeatResponse {
	response := dialect.HeartbeatResponse{OnSent: func() {}}
	now := s.cfg.Clock.Now()
	identity := s.cfg.View.Identity()
	t := s.cfg.View.Table()
	s.mu.Lock()
	defer s.mu.Unlock()
	if heartbeat.number != s.heartbeats {
		// A later heartbeat has arrived, and only the response to that one grants
		// keys.
		return response
	}
	u := t.Upstream(heartbeat.Upstream)
	if u == nil || !u.NumericKeys {
		return response
	}
	// The node's incarnation grants keys to one incarnation of the backend server
	// only.
	if identity.Incarnation == 0 || !now.Before(identity.LeaseExpiry) || t.Node(identity.Incarnation).GetBackendServer().GetBootId() != heartbeat.Incarnation() {
		if s.leaseReturned {
			// Others may own the keys that a backend server taken for lost holds.
			response.UpdatesGrants, response.GrantDuration = true, limit
		}
		return response
	}
	// The backend server counts the grant from the sending of the heartbeat, which
	// precedes its receipt.
	left := identity.LeaseExpiry.Sub(heartbeat.received) - leaseCheckMargin
	response.GrantDuration = min(limit, left-left*maxClockDriftPercent/100)
	if response.GrantDuration <= 0 {
		return response
	}
	response.UpdatesGrants, s.leaseReturned = true, false
	var granted []*partition
	releasing, added := 0, 0
	for _, p := range s.partitions {
		if p.id.Upstream != heartbeat.Upstream {
			continue
		}
		if p.order != nil && p.state == stateServing {
			releasing++
			// From here on no calls for the partition are sent, and the response revokes
			// the partition.
			p.state = stateReleasing
			close(p.halt)
		}
		if p.state != stateServing || s.lease.closing {
			continue
		}
		if !p.held {
			added++
			// An earlier process may have granted the partition in one range with
			// others, and so with a higher token. No heartbeat reports that token once
			// the grant has expired. The incarnation of this registration is higher than
			// that token and lower than the token of each later assignment.
			p.fence = max(p.fence, identity.Incarnation)
		}
		granted = append(granted, p)
	}
	owned := len(granted)
	s.grantExpiry = now.Add(response.GrantDuration + response.GrantDuration*maxClockDriftPercent/100)
	granted, response.Grants = fitGrants(granted, t.PartitionCount(heartbeat.Upstream), maxGrantBytes)
	recordFences(granted, response.Grants, t.PartitionCount(heartbeat.Upstream))
	if releasing > 0 || added > 0 {
		s.cfg.Log.Info().Str("backendServer", heartbeat.Name).Uint64("sequence", heartbeat.Sequence).Int64("waitedMillis", now.Sub(heartbeat.received).Milliseconds()).
			Int("owned", owned).Int("fresh", added).Int("releasing", releasing).Int("leftOut", owned-len(granted)).
			Int("rows", len(response.Grants)).Int("bytes", grantBytes(response.Grants)).Int64("holdMillis", response.GrantDuration.Milliseconds()).Msg("keys granted")
	}
	response.OnSent = func() { time.AfterFunc(grantApplyTime, func() { s.markGranted(granted) }) }
	return response
}

// recordHeld records which partitions the backend server holds, and drops the
// handover tokens of those. The caller holds s.mu.
func (s *Server) recordHeld(heartbeat dialect.Heartbeat) {
	count := s.cfg.View.Table().PartitionCount(heartbeat.Upstream)
	for _, p := range s.partitions {
		if p.id.Upstream != heartbeat.Upstream || count == 0 {
			continue
		}
		first, last := keyspace.NumericKeyRange(p.id.Partition, count)
		p.held = slices.ContainsFunc(heartbeat.Held, func(h dialect.FencedRange) bool {
			return h.First <= first && last <= h.Last && h.Fence >= p.fence
		})
		if p.held {
			p.handover = ""
		}
		for _, h := range heartbeat.Held {
			if h.First <= last && first <= h.Last {
				// An earlier process of the node may have granted the partition with a
				// higher token.
				p.fence = max(p.fence, h.Fence)
			}
		}
	}
}

// HoldsUntil returns the time at which all grants to the backend server have
// expired unless another heartbeat arrives.
func (s *Server) HoldsUntil() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.grantExpiry
}

// recordReleased completes the releases whose keys the backend server no longer
// holds. The caller holds s.mu.
func (s *Server) recordReleased(heartbeat dialect.Heartbeat) {
	count := s.cfg.View.Table().PartitionCount(heartbeat.Upstream)
	for _, p := range s.partitions {
		if p.order == nil || p.state != stateReleasing || p.id.Upstream != heartbeat.Upstream || count == 0 {
			continue
		}
		first, last := keyspace.NumericKeyRange(p.id.Partition, count)
		if slices.ContainsFunc(heartbeat.Held, func(h dialect.FencedRange) bool { return h.First <= last && first <= h.Last }) {
			continue
		}
		for _, f := range heartbeat.Released {
			if f.First <= first && last <= f.Last {
				p.order.handover = f.Handover
			}
		}
		if !p.order.released {
			p.order.released = true
			close(p.order.done)
		}
	}
}

// pendingRelease is an ordered release that the backend server has yet to carry
// out.
type pendingRelease struct {
	handover string
	released bool
	// done is closed when the backend server has released the keys.
	done chan struct{}
}

// releaseByHeartbeat carries out a release order where responses to heartbeats
// grant and revoke keys. The partition serves until the next heartbeat, so that
// its keys are paused only during the handover.
func (s *Server) releaseByHeartbeat(ctx, lease context.Context, p *partition, done func(Release)) {
	s.background.Go(func() {
		select {
		case <-p.order.done:
		case <-ctx.Done():
			return
		case <-lease.Done():
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
