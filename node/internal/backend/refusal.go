package backend

import (
	"context"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// refusalRetryDelay is the time after which a refused connection is tried
// again, to distinguish a backend server that refuses connections from one whose
// listener is restarting.
const refusalRetryDelay = 30 * time.Millisecond

// minCallTime is the time from which the end of the connection of a call shows that
// the call was broken off. One that ends sooner may have been closed as an idle one
// before the backend server saw the call.
const minCallTime = 50 * time.Millisecond

// heartbeatSlack is by how much a heartbeat may be late before a backend server that
// refuses connections counts as lost.
const heartbeatSlack = 500 * time.Millisecond

// presence is what shows whether a backend server that refuses connections runs. Each
// incarnation has its own.
type presence struct {
	// refusedSince is when the backend server was first found to refuse connections,
	// zero while it accepts them.
	refusedSince time.Time
	// running is true if it was found to run since then.
	running bool
	// waiting is the number of its heartbeats that wait for their responses. The latest
	// that got its own got it at answered.
	waiting  int
	answered time.Time
	// brokenOff is when the backend server last ended a connection without the
	// response to a call, or without waiting for the response to its heartbeat.
	brokenOff time.Time
}

// recordRunning records that the backend server runs. It reports true if this was not
// known of one that refuses connections.
func (p *presence) recordRunning() bool {
	found := !p.refusedSince.IsZero() && !p.running
	p.running = p.running || found
	return found
}

// recordAccepted records that the backend server accepts connections. It reports true if
// that is a change for one that was found to run.
func (p *presence) recordAccepted() bool {
	changed := p.running
	p.refusedSince, p.running = time.Time{}, false
	return changed
}

// refusal is what is known about a backend server that refuses connections. A closed
// listener shows that it takes no new calls. Its process may run, and hold keys until
// it has returned them or its grants end.
type refusal struct {
	presence
	// open is true if a connection with it is open.
	open        bool
	lastContact time.Time
	// holdsUntil is when its grants end.
	holdsUntil        time.Time
	heartbeatInterval time.Duration
}

// ended reports whether the backend server counts as lost, and why. A process that goes
// on keeps the connections on which something is due, or sends its next heartbeat.
// That heartbeat may be later still: its response then revokes the keys.
func (r refusal) ended(now time.Time) (why string, ended bool) {
	nextHeartbeat := r.refusedSince
	if due := r.answered.Add(r.heartbeatInterval); due.After(nextHeartbeat) {
		nextHeartbeat = due
	}
	switch {
	case now.After(r.holdsUntil):
		return "connections are refused, no keys are held", true
	case r.open:
		return "", false
	case !r.brokenOff.IsZero() && !r.lastContact.After(r.brokenOff):
		return "connections are refused, open ones were broken off", true
	default:
		return "connections are refused, no heartbeat follows", now.Sub(nextHeartbeat) >= heartbeatSlack
	}
}

// confirmRefusal checks a refused connection.
func (s *Server) confirmRefusal(err error) {
	if s.cfg.Dialect != nil && errors.Is(err, syscall.ECONNREFUSED) {
		s.checkListener(refusalRetryDelay)
	}
}

// checkListener finds out after a delay whether the backend server accepts connections.
// A refusal counts if there was no contact during the delay.
func (s *Server) checkListener(delay time.Duration) {
	if !s.confirming.CompareAndSwap(false, true) {
		return
	}
	s.mu.Lock()
	lastContact, address := s.lastContact, s.announced.GetAddress()
	s.mu.Unlock()
	time.AfterFunc(delay, func() {
		defer s.confirming.Store(false)
		c, err := net.DialTimeout("tcp", address, s.cfg.ConnectTimeout)
		switch {
		case err == nil:
			_ = c.Close()
			s.recordAccepted(address)
		case errors.Is(err, syscall.ECONNREFUSED):
			s.recordRefused(address, lastContact)
		}
	})
}

// recordAccepted records that a connection to the address was accepted.
func (s *Server) recordAccepted(address string) {
	s.mu.Lock()
	name := s.announced.GetName()
	changed := s.announced.GetAddress() == address && s.presence.recordAccepted()
	s.mu.Unlock()
	if changed {
		s.log.Info().Str("name", name).Msg("backend server accepts connections again")
		s.cfg.OnChange()
	}
}

// recordRefused records a confirmed refusal. A backend server that has ended is lost,
// which returns its lease. One that runs leaves: its keys are revoked by the responses
// to its heartbeats.
func (s *Server) recordRefused(address string, lastContact time.Time) {
	now, holdsUntil, open := s.cfg.Clock.Now(), s.HoldsUntil(), s.pool.anyOpen()
	s.mu.Lock()
	if s.lost || s.announced.GetAddress() != address || !s.lastContact.Equal(lastContact) {
		s.mu.Unlock()
		return
	}
	p, name := s.presence, s.announced.GetName()
	if p.refusedSince.IsZero() {
		p.refusedSince = now
	}
	open = open || p.waiting > 0
	why, ended := refusal{presence: *p, open: open, lastContact: s.lastContact, holdsUntil: holdsUntil, heartbeatInterval: s.cfg.HeartbeatInterval}.ended(now)
	foundRunning := !ended && open && p.recordRunning()
	if ended {
		s.setLost(false)
	}
	s.mu.Unlock()
	switch {
	case ended:
		s.handleLoss(why, 0)
	case foundRunning:
		s.logRunning(name)
		s.cfg.OnChange()
	}
}

func (s *Server) logRunning(name string) {
	s.log.Warn().Str("name", name).Msg("backend server runs but refuses connections, its keys are moved")
}

// AwaitsResponse records that the backend server waits for the response to the heartbeat
// that was accepted. The context ends with the connection of the heartbeat. The caller
// calls the result once, when it has the response.
func (s *Server) AwaitsResponse(ctx context.Context) (answered func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.presence
	p.waiting++
	return func() {
		now := s.cfg.Clock.Now()
		s.mu.Lock()
		defer s.mu.Unlock()
		p.waiting--
		p.answered = now
		if ctx.Err() != nil {
			p.brokenOff = now
		}
	}
}

// recordBrokenOff records the end of the connection of a call that the backend server
// had received and not answered.
func (a *attempt) recordBrokenOff(err error) {
	s, now := a.s, a.s.cfg.RequestClock.Now()
	ended := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
	if s.cfg.Dialect == nil || !ended || a.x.aborted.Load() || now.Sub(a.sent) < minCallTime || !s.pool.isCurrent(a.x.c) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.presence.brokenOff = now
}
