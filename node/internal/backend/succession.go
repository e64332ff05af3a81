package backend

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/node/dialect"
)

const (
	// minIdentifyInterval is the least time between two requests for the name of a
	// backend server.
	minIdentifyInterval = 200 * time.Millisecond
	// minClaimHeartbeats is the number of heartbeats after which a backend server
	// can be announced without evidence.
	minClaimHeartbeats = 2
)

// errNoName is returned if a backend server does not state its name.
var errNoName = errors.New("the backend server states no name")

// evidence is what is known about a heartbeat of a backend server other than the
// announced one, besides the heartbeat itself.
type evidence int

const (
	evidenceNone evidence = iota
	// evidenceConfirms means that this backend server is the one beside the node.
	evidenceConfirms
	// evidenceRefutes means that it is not.
	evidenceRefutes
	// evidenceEnded means that the process of the announced backend server has ended.
	// It does not tell which process follows: the heartbeat may be a late one of an
	// earlier process.
	evidenceEnded
)

// String returns the evidence as it is written in log lines.
func (e evidence) String() string {
	return [...]string{"none", "confirms", "refutes", "ended"}[e]
}

// claim counts the heartbeats of one incarnation that is not the announced one.
type claim struct {
	incarnation string
	since       time.Time
	sequence    uint64
	heartbeats  int
}

// with returns the claim with another heartbeat. A heartbeat of another
// incarnation begins another claim.
func (c claim) with(now time.Time, b dialect.Heartbeat) claim {
	if c.incarnation != b.Incarnation() {
		return claim{b.Incarnation(), now, b.Sequence, 1}
	}
	if b.Sequence > c.sequence {
		c.sequence, c.heartbeats = b.Sequence, c.heartbeats+1
	}
	return c
}

// succession decides whether the backend server of a heartbeat replaces the
// announced one. The replaced one loses its lease at once, which cannot be undone,
// so one message is not enough: any process on the VM may have sent it.
type succession struct {
	evidence evidence
	claim    claim
	// announced is true if a backend server is announced and not lost.
	announced bool
	// starting is true if the process has announced no backend server and knows no
	// health path.
	starting bool
	// lastHeartbeat is the time of the latest heartbeat of the announced backend
	// server, and holdsUntil the time at which its grants end.
	lastHeartbeat, holdsUntil time.Time
	// earlierStart is true if the claim is of an incarnation of the same name that
	// started before the latest one by its own clock. Either that clock was set back, or
	// the heartbeat is a late one of an earlier process.
	earlierStart bool
	// interval is the usual time between two heartbeats.
	interval time.Duration
}

// sent reports whether the heartbeats of the claim were sent one after the other.
// Late heartbeats arrive together.
func (s succession) sent(now time.Time) bool {
	return s.claim.heartbeats >= minClaimHeartbeats && (!s.earlierStart || now.Sub(s.claim.since) >= s.interval/2)
}

// accepts reports whether the claim is accepted. Without evidence, it is accepted
// after a second heartbeat and once the announced backend server holds no keys and
// has been silent for as long as the claim exists. A process that starts accepts the
// first heartbeat: it gets no rules before it has registered, and a second
// registration of all nodes after the loss of all processes would delay each of them.
// If the announced process has ended, it holds no keys, but it may have sent a
// heartbeat right before, and one of another writer may follow.
func (s succession) accepts(now time.Time) bool {
	switch {
	case s.evidence == evidenceConfirms, s.evidence == evidenceRefutes:
		return s.evidence == evidenceConfirms
	case s.starting:
		return true
	case !s.sent(now):
		return false
	case s.evidence == evidenceEnded && now.Sub(s.lastHeartbeat) >= 3*s.interval/2:
		return true
	default:
		return !s.announced || now.After(s.holdsUntil) && !s.lastHeartbeat.After(s.claim.since)
	}
}

// evidenceFor returns the evidence for a heartbeat of a backend server that is not
// the announced one. Two backend servers of different names are distinguished by the
// name that the health path states. An incarnation of the same name is
// distinguished by the connections to the earlier one, which end with its process.
func (s *Server) evidenceFor(ctx context.Context, b dialect.Heartbeat, healthPath string) evidence {
	s.mu.Lock()
	lost, sameName, earlierStart := s.lost, s.announced.GetName() == b.Name, s.startedEarlier(b)
	s.mu.Unlock()
	switch ended := sameName && !lost && s.pool.allEnded(); {
	case ended && !earlierStart:
		return evidenceConfirms
	case ended:
		return evidenceEnded
	case earlierStart, sameName && !lost:
		return evidenceNone
	}
	switch name, err := s.identify(ctx, b.Address, healthPath); {
	case err != nil:
		s.log.Debug().Err(err).Str("name", b.Name).Msg("backend server not identified")
		return evidenceNone
	case name == b.Name:
		return evidenceConfirms
	default:
		return evidenceRefutes
	}
}

// startedEarlier reports whether a heartbeat is of an incarnation that has the name of
// the announced one, or of the lost one, and started before it by the backend server's
// clock. The caller holds the lock.
func (s *Server) startedEarlier(b dialect.Heartbeat) bool {
	return s.announced.GetName() == b.Name && b.Started.Before(s.started)
}

// identify requests the name of the backend server at an address.
func (s *Server) identify(ctx context.Context, address, healthPath string) (string, error) {
	if healthPath == "" {
		return "", errors.New("identify backend server: no health path is known")
	}
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	early := !s.lastIdentified.IsZero() && now.Sub(s.lastIdentified) < minIdentifyInterval
	if !early {
		s.lastIdentified = now
	}
	s.mu.Unlock()
	if early {
		return "", errors.New("identify backend server: requested too recently")
	}
	header, err := s.requestHealth(ctx, address, healthPath, true)
	if err != nil {
		return "", fmt.Errorf("identify backend server: %w", err)
	}
	name := s.cfg.Dialect.Backend.ServerName(header)
	if name == "" {
		return "", fmt.Errorf("identify backend server: %w", errNoName)
	}
	return name, nil
}

// confirmReplaced checks a response which states that another server than the one
// called name uses its address. The response may be damaged, and the loss of a
// backend server returns its lease.
func (s *Server) confirmReplaced(ctx context.Context, name string) {
	s.mu.Lock()
	address, healthPath := s.announced.GetAddress(), s.upstream.HealthPath
	s.mu.Unlock()
	if healthPath != "" {
		stated, err := s.identify(ctx, address, healthPath)
		if err != nil || stated == name {
			s.log.Warn().AnErr("cause", err).Str("name", name).Str("stated", stated).Msg("replacement of the backend server not confirmed")
			return
		}
	}
	s.loseReplaced(name)
}
