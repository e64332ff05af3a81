package backend

import (
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/jujubeknot/jujubeknot/node/dialect"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// refusedAgain is the pause before a refused connection is tried again to tell
// an ended backend server from one whose listener is restarting.
const refusedAgain = 30 * time.Millisecond

// restartTime is the least time in which a process ends and another one follows
// it. What the backend server told the earlier one is older by it.
const restartTime = 300 * time.Millisecond

// ErrForeignBeat is returned for a beat that is not one of the backend server
// beside this node, or cannot be one of any.
var ErrForeignBeat = errors.New("the beat is not one of the backend server beside this node")

// Beat notes a beat. It reports false for one that is older than what is known:
// it has no effect, and its sender must not be granted anything.
func (s *Server) Beat(b dialect.Heartbeat) (bool, error) {
	if _, err := netip.ParseAddrPort(b.Address); err != nil || b.Name == "" || b.Upstream == "" || b.Slots < 1 || b.Slots > maxSlots {
		return false, ErrForeignBeat
	}
	life := b.Incarnation()
	next := &wirev1.BackendServer{
		Name: b.Name, Upstream: b.Upstream, Address: b.Address, BootId: life, Slots: uint32(b.Slots), ChecksFences: true,
		StartedUnixMs: b.Started.UnixMilli(),
	}
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	old := s.announced
	same := old.GetBootId() == life
	if old != nil && (b.Started.Before(s.started) || same && b.Sequence <= s.sequence) {
		s.mu.Unlock()
		return false, nil
	}
	changed := s.lost || !proto.Equal(old, next)
	s.announced, s.alive, s.lost, s.started, s.sequence = next, now, false, b.Started, b.Sequence
	s.adopted = adoption{}
	left := s.noteLeaving(now, b.Draining, same)
	s.mu.Unlock()
	if b.ColdRemaining > 0 {
		s.guard.chill(now.Add(b.ColdRemaining))
	}
	if changed {
		s.log.Info().Str("name", b.Name).Str("upstream", b.Upstream).Str("address", b.Address).Str("life", life).
			Bool("started", !same).Msg("backend server announced")
		s.apply(!same)
	}
	if !same {
		s.guard.backendStarted(life)
	}
	if left {
		s.log.Info().Str("name", b.Name).Msg("backend server leaves")
	}
	if changed || left {
		s.cfg.Changed()
	}
	return true, nil
}

// Adopt takes the backend server of an earlier process of the node for the one
// that serves here, until a beat says otherwise: its keys would have no node
// until its next beat. Holds is when it holds no keys any more unless a beat
// comes. It does nothing once a beat has come.
//
// The earlier process may have been told that the backend server leaves, so that
// calls end without a beat when a drain would end.
func (s *Server) Adopt(b *wirev1.BackendServer, holds time.Time) {
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	if s.announced != nil {
		s.mu.Unlock()
		return
	}
	s.announced, s.alive, s.started = proto.CloneOf(b), now, time.UnixMilli(b.GetStartedUnixMs())
	s.adopted = adoption{since: now, holds: holds}
	s.mu.Unlock()
	s.log.Info().Str("name", b.GetName()).Str("upstream", b.GetUpstream()).Str("address", b.GetAddress()).Str("life", b.GetBootId()).
		Msg("backend server of the earlier process goes on")
	s.apply(true)
	s.guard.backendStarted(b.GetBootId())
	s.cfg.Changed()
}

// adoption is what is known of a backend server that has not beaten yet. The zero
// value is that of one that has.
type adoption struct {
	since, holds time.Time
}

// noteLeaving reports whether the backend server has begun to leave. Leaving
// ends only with another life. The lock is held.
func (s *Server) noteLeaving(now time.Time, leaving, same bool) bool {
	began := leaving && !(s.leaving && same)
	if !same {
		s.leaving = false
	}
	if began {
		s.leavingSince = now
	}
	s.leaving = s.leaving || leaving
	return began
}

// Deregister notes that the backend server with a name ends. It may serve for a
// short time yet.
func (s *Server) Deregister(name string) {
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	known := s.announced.GetName() == name
	began := known && s.noteLeaving(now, true, true)
	s.mu.Unlock()
	if began {
		s.log.Info().Str("name", name).Msg("backend server leaves without a drain")
		s.cfg.Changed()
	}
}

// SetOut notes whether the rules or control take the backend server out of
// service.
func (s *Server) SetOut(out bool) {
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !out:
		s.outSince = time.Time{}
	case s.outSince.IsZero():
		s.outSince = now
	}
}

// drained reports whether a backend server that leaves, may leave or was taken out
// of service must get nothing any more.
func (s *Server) drained() bool {
	if s.cfg.Dialect == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock.Now()
	return s.leaving && now.Sub(s.leavingSince) >= s.cfg.Dialect.DrainTimeout ||
		!s.adopted.since.IsZero() && now.Sub(s.adopted.since) >= s.cfg.Dialect.DrainTimeout-restartTime ||
		!s.outSince.IsZero() && now.Sub(s.outSince) >= s.cfg.Dialect.OutOfServiceTimeout
}

// checkSilent finds a backend server that reports no more and holds no keys any
// more.
func (s *Server) checkSilent() {
	now, holds := s.cfg.Clock.Now(), s.cfg.HoldsUntil()
	s.mu.Lock()
	silent := now.Sub(s.alive)
	gone := s.announced != nil && !s.lost && silent >= s.cfg.Dialect.LostAfter && now.After(holds) && now.After(s.adopted.holds)
	s.lost = s.lost || gone
	s.mu.Unlock()
	if gone {
		s.lose("no beat and no answer", silent)
	}
}

// refused tells a backend server that has ended from one that is busy: its
// listener refuses a second connection, and no beat came meanwhile.
func (s *Server) refused(err error) {
	if s.cfg.Dialect == nil || !errors.Is(err, syscall.ECONNREFUSED) || !s.confirming.CompareAndSwap(false, true) {
		return
	}
	s.mu.Lock()
	alive, address := s.alive, s.announced.GetAddress()
	s.mu.Unlock()
	time.AfterFunc(refusedAgain, func() {
		defer s.confirming.Store(false)
		c, err := net.DialTimeout("tcp", address, s.cfg.ConnectTimeout)
		if err == nil {
			_ = c.Close()
			return
		}
		s.mu.Lock()
		gone := errors.Is(err, syscall.ECONNREFUSED) && s.alive.Equal(alive) && !s.lost && s.announced.GetAddress() == address
		s.lost = s.lost || gone
		s.mu.Unlock()
		if gone {
			s.lose("connections are refused", 0)
		}
	})
}

// replaced notes that another server answers at the address of the backend
// server with a name.
func (s *Server) replaced(name string) {
	s.mu.Lock()
	gone := !s.lost && s.announced.GetName() == name
	s.lost = s.lost || gone
	s.mu.Unlock()
	if gone {
		s.lose("another server answers at its address", 0)
	}
}

// lose follows the loss of the backend server, which has been noted.
func (s *Server) lose(why string, silent time.Duration) {
	s.log.Warn().Str("why", why).Dur("silentFor", silent).Msg("backend server lost")
	s.pool.configure("", 0, true)
	s.cfg.Changed()
}
