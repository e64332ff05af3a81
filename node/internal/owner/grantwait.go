package owner

import (
	"time"

	"github.com/jujubeknot/jujubeknot/node/internal/relay"
)

// grantOf returns the channel that is closed once the backend server knows that
// it holds a partition.
func (s *Server) grantOf(p *partition) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return p.granted
}

// waitShare is the part of the time left, in percent, for which a call waits for
// its keys to be granted. Its caller can still come back afterwards.
const waitShare = 40

// grantWait returns how long a call may wait for its keys to be granted, 0 if
// the next beat will come too late for it, and the time until that beat.
func (s *Server) grantWait(c *relay.Call) (wait, next time.Duration) {
	now := s.cfg.Clock.Now()
	wait = c.Deadline.Sub(now)
	if !s.cfg.GrantsByHeartbeat {
		return wait, 0
	}
	wait = wait * waitShare / 100
	s.mu.Lock()
	defer s.mu.Unlock()
	next = s.lastBeat.Add(s.cfg.HeartbeatInterval).Sub(now)
	if s.waiting > 0 {
		// A beat waits for its answer.
		next = 0
	}
	if next > wait {
		return 0, next
	}
	return wait, max(next, settleTime)
}

// awaitGrant keeps calls for a partition that the backend server says it does
// not hold from being sent until it has been granted again.
func (s *Server) awaitGrant(p *partition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.GrantsByHeartbeat && p.opened {
		p.granted, p.opened = make(chan struct{}), false
	}
}

// open lets the calls of granted partitions go on.
func (s *Server) open(granted []*partition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range granted {
		if !p.opened {
			p.opened = true
			close(p.granted)
		}
	}
}
