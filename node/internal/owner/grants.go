package owner

import (
	"context"
	"sync"
	"time"

	"github.com/jujubeknot/jujubeknot/core/lease"
)

// grantWait bounds the time that calls for a new partition wait until the
// backend server knows of the grant. It stays well under the 100 ms for which a
// key may be paused by a planned move.
const grantWait = 50 * time.Millisecond

// openGrants notes the grants of new partitions. It comes before any closing
// of the same partitions. The lock is held.
func (s *Server) openGrants(self uint64, fresh []*partition) {
	if s.cfg.GrantsByHeartbeat {
		for _, p := range fresh {
			// A token of before this registration: the backend server was granted the
			// partition by an earlier process and may hold it yet. It refuses what it
			// does not hold.
			if p.fence > 0 && p.fence < self {
				p.opened = true
				close(p.granted)
			}
		}
		return
	}
	byUpstream := map[string][]lease.GrantedPartition{}
	for _, p := range fresh {
		byUpstream[p.id.Upstream] = append(byUpstream[p.id.Upstream], p.grant())
	}
	for upstream, list := range byUpstream {
		s.cfg.Backend.AddGrants(self, upstream, list)
	}
}

// sendFresh sends the grants of new partitions without making the caller wait.
func (s *Server) sendFresh(ctx context.Context, fresh []*partition) {
	s.background.Go(func() {
		var once sync.Once
		open := func() {
			once.Do(func() { s.open(fresh) })
		}
		timer := time.AfterFunc(grantWait, open)
		defer timer.Stop()
		s.sendGrants(ctx)
		open()
	})
}

// ExtendGrants tells the backend server the new end of the lease.
func (s *Server) ExtendGrants(ctx context.Context) { s.sendGrants(ctx) }

// sendGrants tells the backend server what it does not know. A failure is
// logged only: the fencing token of each request says the same.
func (s *Server) sendGrants(ctx context.Context) {
	if s.cfg.GrantsByHeartbeat {
		return
	}
	if err := s.cfg.Backend.SendGrants(ctx, s.cfg.View.Identity().LeaseExpiry); err != nil {
		s.cfg.Log.Warn().Err(err).Msg("grant did not reach the backend server")
	}
}
