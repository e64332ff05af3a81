package owner

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/core/routing"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// Limits of a release.
const (
	defaultReleaseTimeout = 2 * time.Second
	maxReleaseTimeout     = time.Minute
	// removeGrantTimeout bounds the removal of a grant at a backend server that
	// does not respond. The node has stopped sending calls for the partition by
	// then, so the move continues.
	removeGrantTimeout = 100 * time.Millisecond
)

// Release is the result of a release order.
type Release struct {
	Partition *wirev1.ReleasedPartition
	// Records are the non-idempotent requests that the partition ran.
	Records []outcome.Record
}

// importKey identifies a partition at an epoch.
type importKey struct {
	id    PartitionID
	epoch uint64
}

// Release carries out an order to release a partition. It calls done with the
// result from another goroutine. Orders that are in progress or completed are
// ignored. Released returns the completed releases.
func (s *Server) Release(ctx context.Context, order *wirev1.Release, done func(Release)) {
	id := PartitionID{order.GetUpstream(), order.GetPartition()}
	s.mu.Lock()
	p := s.partitions[id]
	if p == nil || p.epoch != order.GetEpoch() || p.state != stateServing {
		s.mu.Unlock()
		return
	}
	if s.cfg.GrantsByHeartbeat {
		started := p.order == nil
		if started {
			p.order = &pendingRelease{done: make(chan struct{})}
			s.notifyGrantsChanged()
		}
		lease := s.lease.context
		s.mu.Unlock()
		if started {
			s.releaseByHeartbeat(ctx, lease, p, done)
		}
		return
	}
	p.state = stateReleasing
	close(p.halt)
	idle := make(chan struct{})
	if p.active == 0 {
		close(idle)
	} else {
		p.idle = idle
	}
	s.mu.Unlock()
	timeout := time.Duration(order.GetTimeoutMs()) * time.Millisecond
	if timeout == 0 {
		timeout = defaultReleaseTimeout
	}
	s.background.Go(func() { s.finishRelease(ctx, p, idle, min(timeout, maxReleaseTimeout), done) })
}

// finishRelease waits until the partition has no active calls and then releases
// it. The release is deferred if calls are still active after the timeout.
func (s *Server) finishRelease(ctx context.Context, p *partition, idle <-chan struct{}, timeout time.Duration, done func(Release)) {
	started := s.cfg.Clock.Now()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-idle:
	case <-timer.C:
	case <-ctx.Done():
		return
	}
	report := p.report()
	s.mu.Lock()
	if s.partitions[p.id] != p || p.state != stateReleasing {
		s.mu.Unlock()
		return
	}
	if p.active > 0 {
		report.PutOff = true
		p.state, p.halt, p.idle = stateServing, make(chan struct{}), nil
	} else {
		p.state = stateReleased
		s.released[p.id] = report
		s.cfg.Backend.RemoveGrants(p.grantedPartition())
	}
	s.mu.Unlock()
	release := Release{Partition: report}
	if !report.PutOff {
		ctx, cancel := context.WithTimeout(ctx, removeGrantTimeout)
		s.sendGrants(ctx)
		cancel()
		release.Records = s.requests.export(s.cfg.Clock.Now(), p.id)
	}
	s.cfg.Log.Info().Str("upstream", p.id.Upstream).Uint32("partition", p.id.Partition).Uint64("epoch", p.epoch).
		Bool("putOff", report.PutOff).Int("requestIds", len(release.Records)).
		Dur("took", s.cfg.Clock.Now().Sub(started)).Msg("partition released")
	done(release)
}

// Released returns the released partitions for which the table does not show a
// higher epoch yet, in order of upstream and partition.
func (s *Server) Released(t *routing.Table) []*wirev1.ReleasedPartition {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*wirev1.ReleasedPartition
	for id, r := range s.released {
		if t.Assignment(id.Upstream, id.Partition).Epoch > r.GetEpoch() {
			delete(s.released, id)
			continue
		}
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *wirev1.ReleasedPartition) int {
		return cmp.Or(cmp.Compare(a.GetUpstream(), b.GetUpstream()), cmp.Compare(a.GetPartition(), b.GetPartition()))
	})
	return list
}

// Records returns the request records of a released partition, to repeat the
// report of its release.
func (s *Server) Records(r *wirev1.ReleasedPartition) []outcome.Record {
	return s.requests.export(s.cfg.Clock.Now(), PartitionID{r.GetUpstream(), r.GetPartition()})
}

// Import adds the request ids of a partition that was moved to this node. It
// must be called before TableChanged with the table of the same update.
func (s *Server) Import(upstream string, number uint32, epoch uint64, records []outcome.Record) {
	id := PartitionID{upstream, number}
	s.requests.importRecords(s.cfg.Clock.Now(), records)
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.partitions[id]; p == nil || p.epoch < epoch {
		s.imported[importKey{id, epoch}] = true
	}
}
