package owner

import (
	"context"
	"slices"
	"time"

	"github.com/jujubeknot/jujubeknot/node/internal/backend"
)

// grantWait bounds the time that calls for a new partition wait until the
// backend server knows of the grant. It stays well under the 100 ms for which a
// key may be paused by a planned move.
const grantWait = 50 * time.Millisecond

// grantFresh sends the grants of new partitions without making the caller wait.
func (s *Server) grantFresh(ctx context.Context, fresh []*partition) {
	s.background.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, grantWait)
		defer cancel()
		s.sendGrants(ctx, fresh, s.leaseLeft())
		for _, p := range fresh {
			close(p.granted)
		}
	})
}

func (s *Server) leaseLeft() time.Duration {
	return max(s.cfg.View.Identity().Until.Sub(s.cfg.Clock.Now()), 0)
}

// ExtendGrants tells the backend server the new end of the lease.
func (s *Server) ExtendGrants(ctx context.Context) {
	s.mu.Lock()
	open := make([]*partition, 0, len(s.partitions))
	for _, p := range s.partitions {
		if p.state != stateReleased {
			open = append(open, p)
		}
	}
	s.mu.Unlock()
	s.sendGrants(ctx, open, s.leaseLeft())
}

// sendGrants sends one grant for each upstream, 0 left to close. A failure is
// logged only: the fencing token of each request says the same.
func (s *Server) sendGrants(ctx context.Context, list []*partition, left time.Duration) {
	grants := map[string]*backend.Grant{}
	for _, p := range list {
		g := grants[p.id.Upstream]
		if g == nil {
			g = &backend.Grant{Upstream: p.id.Upstream, ExpiryMs: left.Milliseconds()}
			grants[p.id.Upstream] = g
		}
		g.Partitions = append(g.Partitions, backend.GrantedPartition{Partition: p.id.Partition, Epoch: p.epoch})
	}
	for _, g := range grants {
		slices.SortFunc(g.Partitions, func(a, b backend.GrantedPartition) int { return int(a.Partition) - int(b.Partition) })
		if err := s.cfg.Backend.Grant(ctx, *g); err != nil {
			s.cfg.Log.Warn().Err(err).Str("upstream", g.Upstream).Int("partitions", len(g.Partitions)).
				Int64("expiryMs", g.ExpiryMs).Msg("grant did not reach the backend server")
		}
	}
}
