package backend

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/jujubeknot/jujubeknot/node/dialect"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// refusalRetryDelay is the time after which a refused connection is tried
// again, to distinguish a backend server that has ended from one whose listener
// is restarting.
const refusalRetryDelay = 30 * time.Millisecond

// firstSequence is the sequence of the first heartbeat of an incarnation of a backend
// server.
const firstSequence = 1

// minRestartTime is the least time between the end of a process of the node and
// the start of the next one. What the backend server reported to the earlier
// process is older than the adoption by at least this time.
const minRestartTime = 300 * time.Millisecond

// ErrForeignHeartbeat is returned for a heartbeat that does not come from the
// backend server beside this node, or that no backend server can have sent.
var ErrForeignHeartbeat = errors.New("the heartbeat is not one of the backend server beside this node")

// Heartbeat applies a heartbeat. It reports false for a heartbeat that is older
// than the latest one, and for one of a backend server that is not known to be
// the one beside this node. Such a heartbeat has no effect, and its sender must
// not be granted anything. healthPath is the path at which backend servers of the
// upstream state their names, empty if it is unknown.
func (s *Server) Heartbeat(ctx context.Context, b dialect.Heartbeat, healthPath string) (bool, error) {
	if _, err := netip.ParseAddrPort(b.Address); err != nil || b.Name == "" || b.Upstream == "" || b.Slots < 1 || b.Slots > maxSlots {
		return false, ErrForeignHeartbeat
	}
	incarnation := b.Incarnation()
	next := &wirev1.BackendServer{
		Name: b.Name, Upstream: b.Upstream, Address: b.Address, BootId: incarnation, Slots: uint32(b.Slots), ChecksFences: true,
		StartedUnixMs: b.Started.UnixMilli(),
	}
	s.mu.Lock()
	old := s.announced
	sameIncarnation := old.GetBootId() == incarnation
	s.mu.Unlock()
	found := evidenceNone
	if !sameIncarnation {
		found = s.evidenceFor(ctx, b, healthPath)
	}
	now, grantsEnd := s.cfg.Clock.Now(), s.HoldsUntil()
	s.mu.Lock()
	if s.announced != old || sameIncarnation && b.Sequence <= s.sequence || !sameIncarnation && !s.acceptsClaim(now, grantsEnd, b, found, healthPath) {
		s.mu.Unlock()
		return false, nil
	}
	next.Leaving = sameIncarnation && old.GetLeaving()
	changed := s.lost || !proto.Equal(old, next)
	s.announced, s.lastContact, s.lastHeartbeat, s.lost, s.started, s.sequence = next, now, now, false, b.Started, b.Sequence
	s.adopted.since, s.claim = time.Time{}, claim{}
	if !sameIncarnation {
		s.adopted.holdsUntil = time.Time{}
	}
	beganLeaving := s.recordLeaving(now, b.Draining, sameIncarnation)
	s.mu.Unlock()
	s.pool.countHeartbeat()
	s.recordColdStart(now, b.ColdRemaining, !sameIncarnation, !sameIncarnation && b.Sequence <= firstSequence)
	if changed {
		s.log.Info().Str("name", b.Name).Str("upstream", b.Upstream).Str("address", b.Address).Str("life", incarnation).
			Bool("started", !sameIncarnation).Msg("backend server announced")
		s.applyConfig(!sameIncarnation)
	}
	if !sameIncarnation {
		s.admission.backendStarted(incarnation)
	}
	if beganLeaving {
		s.log.Info().Str("name", b.Name).Msg("backend server leaves")
	}
	if changed || beganLeaving {
		s.cfg.OnChange()
	}
	return true, nil
}

// acceptsClaim records a heartbeat of a backend server that is not the announced
// one, and reports whether that backend server is to be announced. The caller holds
// the lock.
func (s *Server) acceptsClaim(now, grantsEnd time.Time, b dialect.Heartbeat, e evidence, healthPath string) bool {
	s.claim = s.claim.with(now, b)
	accepted := succession{
		evidence: e, claim: s.claim, announced: s.announced != nil && !s.lost, starting: s.announced == nil && healthPath == "", lastHeartbeat: s.lastHeartbeat, holdsUntil: grantsEnd,
		earlierStart: s.startedEarlier(b), interval: s.cfg.HeartbeatInterval,
	}.accepts(now)
	if !accepted && s.claim.heartbeats <= minClaimHeartbeats {
		s.log.Warn().Str("name", b.Name).Str("life", b.Incarnation()).Str("announced", s.announced.GetBootId()).Stringer("evidence", e).
			Int("heartbeats", s.claim.heartbeats).Msg("heartbeat of another backend server not accepted")
	}
	return accepted
}

// Adopt makes the backend server of an earlier process of the node the
// announced one until its next heartbeat. Without Adopt, the keys of the
// backend server would have no node until that heartbeat. From holdsUntil on
// the backend server holds no keys by grants of that process. If a backend server
// is already known, Adopt records only until when it may hold keys, if it is the same
// one.
//
// The backend server may have reported to the earlier process that it leaves.
// Without a heartbeat, calls are therefore refused from the time at which its
// drain would end.
func (s *Server) Adopt(b *wirev1.BackendServer, holdsUntil time.Time) {
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	if s.announced != nil {
		if s.announced.GetBootId() == b.GetBootId() {
			s.adopted.holdsUntil = holdsUntil
		}
		s.mu.Unlock()
		return
	}
	s.announced, s.lastContact, s.started = proto.CloneOf(b), now, time.UnixMilli(b.GetStartedUnixMs())
	s.adopted = adoption{since: now, holdsUntil: holdsUntil}
	s.mu.Unlock()
	s.log.Info().Str("name", b.GetName()).Str("upstream", b.GetUpstream()).Str("address", b.GetAddress()).Str("life", b.GetBootId()).
		Msg("backend server of the earlier process adopted")
	s.applyConfig(true)
	s.admission.backendStarted(b.GetBootId())
	s.cfg.OnChange()
}

// adoption has the times of a backend server that an earlier process of the node
// served. Since is zero once it has sent a heartbeat to this process. From holdsUntil
// on it holds no keys by grants of the earlier process.
type adoption struct {
	since, holdsUntil time.Time
}

// HoldsUntil returns the time from which the backend server holds no keys, unless
// another heartbeat arrives before: neither by grants of this process nor by those of
// the earlier one.
func (s *Server) HoldsUntil() time.Time {
	until := s.cfg.HoldsUntil()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.adopted.holdsUntil.After(until) {
		return s.adopted.holdsUntil
	}
	return until
}

// recordLeaving records whether the backend server leaves and reports whether
// it has just begun to. Only a new incarnation ends leaving. The caller holds
// the lock.
func (s *Server) recordLeaving(now time.Time, leaving, sameIncarnation bool) bool {
	beganLeaving := leaving && !(s.leaving && sameIncarnation)
	if !sameIncarnation {
		s.leaving, s.leavingStored = false, false
	}
	if beganLeaving {
		s.leavingSince = now
		s.announced = withLeaving(s.announced)
	}
	s.leaving = s.leaving || leaving
	return beganLeaving
}

// Deregister records that the backend server called name is about to end. It
// may still serve requests for a short time. If started is not zero, it must be the
// start of the announced incarnation. It returns that incarnation, or an empty string
// for a backend server that the announced one has replaced.
func (s *Server) Deregister(name string, started time.Time) (string, error) {
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	incarnation, named := s.announced.GetBootId(), s.announced.GetName() == name
	switch {
	case s.announced == nil || !started.IsZero() && started.After(s.started):
		s.mu.Unlock()
		return "", ErrUnknownServer
	case !named || !started.IsZero() && !started.Equal(s.started):
		s.mu.Unlock()
		return "", nil
	}
	beganLeaving := s.recordLeaving(now, true, true)
	s.mu.Unlock()
	if beganLeaving {
		s.log.Info().Str("name", name).Msg("backend server leaves without a drain")
		s.cfg.OnChange()
	}
	return incarnation, nil
}

// SetOutOfService records whether the rules or control take the backend server
// out of service. One that is out of service at the first call may have been so for
// long before this process started. Its calls end after DrainTimeout.
func (s *Server) SetOutOfService(outOfService bool) {
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch d := s.cfg.Dialect; {
	case !outOfService:
		s.outOfServiceSince = time.Time{}
	case !s.serviceKnown && d != nil:
		s.outOfServiceSince = now.Add(min(0, d.DrainTimeout-d.OutOfServiceTimeout))
	case s.outOfServiceSince.IsZero():
		s.outOfServiceSince = now
	}
	s.serviceKnown = true
}

// drained reports whether the drain of a backend server that leaves, may be
// leaving or was taken out of service has ended. It must then get no more
// calls.
func (s *Server) drained() bool {
	if s.cfg.Dialect == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.RequestClock.Now()
	return s.leaving && now.Sub(s.leavingSince) >= s.cfg.Dialect.DrainTimeout ||
		!s.adopted.since.IsZero() && now.Sub(s.adopted.since) >= s.cfg.Dialect.DrainTimeout-minRestartTime ||
		!s.outOfServiceSince.IsZero() && now.Sub(s.outOfServiceSince) >= s.cfg.Dialect.OutOfServiceTimeout
}

// checkHeartbeats detects the loss of a backend server that no longer sends
// heartbeats or responses. It counts as lost only once it holds no keys.
func (s *Server) checkHeartbeats() {
	now, holdsUntil := s.cfg.Clock.Now(), s.HoldsUntil()
	s.mu.Lock()
	sinceContact := now.Sub(s.lastContact)
	gone := s.announced != nil && !s.lost && sinceContact >= s.cfg.Dialect.LostAfter && now.After(holdsUntil)
	if gone {
		s.lost, s.unresponsive = true, true
	}
	s.mu.Unlock()
	if gone {
		s.handleLoss("no heartbeat and no answer", sinceContact)
	}
}

// confirmRefusal distinguishes a backend server that has ended from one that is
// busy. It has ended if its listener refuses a second connection as well and
// there was no contact meanwhile.
func (s *Server) confirmRefusal(err error) {
	if s.cfg.Dialect == nil || !errors.Is(err, syscall.ECONNREFUSED) || !s.confirming.CompareAndSwap(false, true) {
		return
	}
	s.mu.Lock()
	lastContact, address := s.lastContact, s.announced.GetAddress()
	s.mu.Unlock()
	time.AfterFunc(refusalRetryDelay, func() {
		defer s.confirming.Store(false)
		c, err := net.DialTimeout("tcp", address, s.cfg.ConnectTimeout)
		if err == nil {
			_ = c.Close()
			return
		}
		s.mu.Lock()
		gone := errors.Is(err, syscall.ECONNREFUSED) && s.lastContact.Equal(lastContact) && !s.lost && s.announced.GetAddress() == address
		if gone {
			s.lost, s.unresponsive = true, false
		}
		s.mu.Unlock()
		if gone {
			s.handleLoss("connections are refused", 0)
		}
	})
}

// loseReplaced records that another server responds at the address of the
// backend server called name, which is therefore lost.
func (s *Server) loseReplaced(name string) {
	s.mu.Lock()
	gone := !s.lost && s.announced.GetName() == name
	if gone {
		s.lost, s.unresponsive = true, false
	}
	s.mu.Unlock()
	if gone {
		s.handleLoss("another server answers at its address", 0)
	}
}

// handleLoss logs the loss of the backend server, closes its connections and
// notifies the node. The caller has set lost.
func (s *Server) handleLoss(reason string, sinceContact time.Duration) {
	s.log.Warn().Str("why", reason).Dur("silentFor", sinceContact).Msg("backend server lost")
	s.pool.configure("", 0, true)
	s.cfg.OnChange()
}
