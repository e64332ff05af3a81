package owner

import (
	"context"
	"sync"
	"time"

	"github.com/jujubeknot/jujubeknot/core/lease"
)

// maxGrantWait bounds the time for which calls for a new partition wait until
// the backend server has received the grant. It is well below the 100 ms for
// which a planned move may pause a key.
const maxGrantWait = 50 * time.Millisecond

// addGrants records the grants of new partitions. It must be called before any
// removal of the grants of the same partitions. The caller holds s.mu.
func (s *Server) addGrants(self uint64, added []*partition) {
	if s.cfg.GrantsByHeartbeat {
		for _, p := range added {
			// The token is older than this registration, so an earlier process granted
			// the partition. The backend server may still hold the partition. It refuses
			// calls for keys that it does not hold.
			if p.fence > 0 && p.fence < self {
				p.isGranted = true
				close(p.granted)
			}
		}
		return
	}
	byUpstream := map[string][]lease.GrantedPartition{}
	for _, p := range added {
		byUpstream[p.id.Upstream] = append(byUpstream[p.id.Upstream], p.grantedPartition())
	}
	for upstream, list := range byUpstream {
		s.cfg.Backend.AddGrants(self, upstream, list)
	}
}

// sendNewGrants sends the grants of new partitions in the background, until the
// context ends, which is that of their lease. Calls for them continue once the grants were sent, or
// after maxGrantWait.
func (s *Server) sendNewGrants(ctx context.Context, added []*partition) {
	s.background.Go(func() {
		var once sync.Once
		markGranted := func() {
			once.Do(func() { s.markGranted(added) })
		}
		timer := time.AfterFunc(maxGrantWait, markGranted)
		defer timer.Stop()
		s.sendGrants(ctx)
		markGranted()
	})
}

// ExtendGrants sends the new expiry of the lease to the backend server.
func (s *Server) ExtendGrants(ctx context.Context) { s.sendGrants(ctx) }

// sendGrants sends the changes of the grants to the backend server. A failure
// is only logged, because the fencing token of each request carries the same
// grant.
func (s *Server) sendGrants(ctx context.Context) {
	if s.cfg.GrantsByHeartbeat {
		return
	}
	if err := s.cfg.Backend.SendGrants(ctx, s.cfg.View.Identity().LeaseExpiry); err != nil {
		s.cfg.Log.Warn().Err(err).Msg("grant did not reach the backend server")
	}
}
