package owner

import (
	"time"

	"github.com/jujubeknot/jujubeknot/node/internal/relay"
)

// grantedChannel returns the current channel partition.granted, which
// resetGranted may replace.
func (s *Server) grantedChannel(p *partition) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return p.granted
}

// grantWaitPercent is the percentage of the time until a call's deadline for
// which the call waits for its keys to be granted. The rest leaves its caller
// time for a retry.
const grantWaitPercent = 40

// grantTimeout returns how long a call may wait for its keys to be granted, and
// the time until the next heartbeat. The wait is 0 if that heartbeat is
// expected too late for the call.
func (s *Server) grantTimeout(c *relay.Call) (wait, next time.Duration) {
	now := s.cfg.Clock.Now()
	wait = c.Deadline.Sub(now)
	if !s.cfg.GrantsByHeartbeat {
		return wait, 0
	}
	wait = wait * grantWaitPercent / 100
	s.mu.Lock()
	defer s.mu.Unlock()
	next = s.lastHeartbeat.Add(s.cfg.HeartbeatInterval).Sub(now)
	if s.waitingHeartbeats > 0 {
		// The response to a heartbeat is pending and can carry the grant.
		next = 0
	}
	if next > wait {
		return 0, next
	}
	return wait, max(next, grantApplyTime)
}

// resetGranted delays the calls for a partition until it has been granted
// again. It is called when the backend server reports that it does not hold the
// partition.
func (s *Server) resetGranted(p *partition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.GrantsByHeartbeat && p.isGranted {
		p.granted, p.isGranted = make(chan struct{}), false
	}
}

// markGranted lets the calls that wait for the grants of partitions continue.
func (s *Server) markGranted(granted []*partition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range granted {
		if !p.isGranted {
			p.isGranted = true
			close(p.granted)
		}
	}
}
