package node

import (
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/jujubeknot/jujubeknot/node/dialect"
)

// DefaultDrainTimeout bounds how long a stopping node waits until its
// partitions have been moved away, and then again until its requests have
// ended.
const DefaultDrainTimeout = 15 * time.Second

// GCPercent is the value for debug.SetGCPercent that the program uses. The
// live heap of a node is a few MB; with Go's default of 100 a busy node would
// spend a seventh of its processor time on collecting it.
const GCPercent = 400

// MemoryLimit is the value for debug.SetMemoryLimit that the program uses, in
// bytes. Near it garbage is collected more often than GCPercent says: with
// GCPercent alone 4,000 busy connections raised a node to 530 MiB, most of it
// garbage. It is no bound: what is in use may exceed it.
const MemoryLimit = 192 << 20

// Config has the settings of a node. Name, AvailabilityZone, ControlMembers
// and NodeSecret are required; the zero value of the others means the default.
type Config struct {
	Name             string
	Region           string
	AvailabilityZone string
	// ControlMembers are the addresses of control members, at least one.
	ControlMembers []netip.AddrPort
	// NodeSecret is what control asks nodes for.
	NodeSecret string

	// Addresses to listen at, unless the listener of the same name is set.
	// Port 0 means any free port. The peer address is what other nodes connect
	// to, so it must not be unspecified.
	Callers, Peer, Backend, Operator netip.AddrPort
	// CallersTLS is a further address for callers, with TLS. Not set means none;
	// otherwise CertificateFile and KeyFile are required. They hold PEM and are
	// read again when they change.
	CallersTLS               netip.AddrPort
	CertificateFile, KeyFile string
	// Listeners that the node takes over and closes.
	CallersListener, PeerListener, BackendListener, OperatorListener net.Listener

	// HealthInterval is the time between two health questions to the backend
	// server. Default 250 ms.
	HealthInterval time.Duration
	// ConnectTimeout bounds a new connection to the backend server. Default
	// 500 ms.
	ConnectTimeout time.Duration
	// LinkMbps is the rate of the VM's link in Mbit/s. Bodies of calls are received
	// no faster. Default 0, which means that it is not known.
	LinkMbps float64
	// CallerHeaderTimeout bounds the time for the header of a caller's request.
	// Default 5 s.
	CallerHeaderTimeout time.Duration
	// CallerBodyTimeout bounds the time between two parts of its body. Default
	// 10 s.
	CallerBodyTimeout time.Duration
	// CallerMaxInFlight bounds the callers' requests that the node handles at a
	// time; nested calls get as many again. Default 4096.
	CallerMaxInFlight int
	// CallerMaxConnections bounds the connections of callers; those of the
	// backend server get as many again. Default 4096.
	CallerMaxConnections int
	// CallerIdleTimeout is the time without a request after which a caller's
	// connection is closed. Default 2 minutes.
	CallerIdleTimeout time.Duration
	// DrainNotice is how long a stopping node still takes callers while it says
	// that it is not ready. Default 0.
	DrainNotice time.Duration
	// DrainTimeout is described at DefaultDrainTimeout.
	DrainTimeout time.Duration
	// StopTimeout bounds the whole stop: what is left of it after the moves is for
	// requests to end. Default 0, which gives them another DrainTimeout.
	StopTimeout time.Duration
	// OperatorSecret is asked for on the operator port. Empty means that only
	// loopback addresses have access.
	OperatorSecret string
	// Log gets one line for each routing decision. The zero value drops them.
	Log zerolog.Logger
	// Dialect is the protocol towards callers and the backend server. Nil means
	// the project's own. With a dialect the backend server's beats come through
	// Node.Heartbeat, and nothing listens at Backend.
	Dialect *dialect.Dialect
	// PeerSecret is shared by all nodes and presented to each other. Empty means
	// that each registration has a secret of its own, and that a node without
	// lease is not trusted.
	PeerSecret string
	// WithoutLease lets the node route requests, and run those without a key,
	// while it has no lease. Rules may then be in force for longer on a node that
	// control cannot reach.
	WithoutLease bool
	// RulesGrace bounds how long rules are used that may be out of force, at a node
	// that control cannot reach: it runs no calls at nodes whose newer rules are
	// older than this, and says no more that there is no route once control has
	// been silent for that long. Default 0, which means no bound.
	RulesGrace time.Duration
	// RulesFromPeers makes a node that control has not answered for RulesGrace ask
	// other nodes for newer rules.
	RulesFromPeers bool
	// HeartbeatInterval is the usual time between two beats of the backend server,
	// with a dialect.
	HeartbeatInterval time.Duration
	// TakesOver says that no other process can use the node's peer address.
	TakesOver bool
	// RoutingSample writes the lines of completed routing decisions for one in
	// this number of requests. 0 and 1 mean all. Refusals and answers with a
	// status from 500 on are always written.
	RoutingSample int
}

func (c Config) check() error {
	switch {
	case c.Name == "":
		return errors.New("name is missing")
	case c.AvailabilityZone == "":
		return errors.New("availability zone is missing")
	case len(c.ControlMembers) == 0:
		return errors.New("control members are missing")
	case c.NodeSecret == "":
		return errors.New("node secret is missing")
	case c.PeerListener == nil && (!c.Peer.IsValid() || c.Peer.Addr().IsUnspecified()):
		return errors.New("peer address must be one that other nodes can connect to")
	case c.CallersTLS.IsValid() && (c.CertificateFile == "" || c.KeyFile == ""):
		return errors.New("TLS for callers needs the files of a certificate and its key")
	}
	return nil
}

func (c Config) withDefaults() Config {
	if c.DrainTimeout == 0 {
		c.DrainTimeout = DefaultDrainTimeout
	}
	return c
}

// askAfter returns after how much silence of control other nodes are asked, 0 for
// never.
func (c Config) askAfter() time.Duration {
	if !c.RulesFromPeers {
		return 0
	}
	return c.RulesGrace
}
