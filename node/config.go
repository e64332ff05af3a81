package node

import (
	"cmp"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/jujubeknot/jujubeknot/core/intake"
	"github.com/jujubeknot/jujubeknot/node/dialect"
)

// DefaultDrainTimeout limits two waits of a stopping node: first for its
// partitions to be moved to other nodes, then for its requests to complete.
// Each wait may take this long.
const DefaultDrainTimeout = 15 * time.Second

// GCPercent is the value that the program passes to debug.SetGCPercent. The
// live heap of a node is a few MB. With Go's default of 100 a busy node would
// spend a seventh of its processor time on garbage collection.
const GCPercent = 400

// MemoryLimit is the value that the program passes to debug.SetMemoryLimit, in
// bytes. Close to the limit the garbage collector runs more often than
// GCPercent specifies. With GCPercent alone, 4,000 busy connections raised a
// node to 530 MiB, most of it garbage. It is a soft limit: live memory may
// exceed it.
const MemoryLimit = 192 << 20

// Config has the settings of a node. Name, AvailabilityZone, ControlMembers and
// NodeSecret are required, and so is an address or a listener for each port
// that the node opens. The zero value of any other field means its default.
type Config struct {
	Name             string
	Region           string
	AvailabilityZone string
	// ControlMembers are the addresses of control members, at least one.
	ControlMembers []netip.AddrPort
	// NodeSecret authenticates nodes to control.
	NodeSecret string

	// Callers, Peer, Backend and Operator are the addresses to listen on. Each is
	// ignored if the listener of the same name is set. Port 0 means any free port.
	// Other nodes connect to the peer address, so it must not be an unspecified
	// one such as 0.0.0.0.
	Callers, Peer, Backend, Operator netip.AddrPort
	// CallersTLS is an additional address for callers that use TLS. The zero value
	// means none.
	CallersTLS netip.AddrPort
	// CertificateFile and KeyFile are required with CallersTLS. They are PEM files
	// and are reloaded when they change.
	CertificateFile, KeyFile string
	// CallersListener, PeerListener, BackendListener and OperatorListener replace
	// the addresses of the same name. The node closes them.
	CallersListener, PeerListener, BackendListener, OperatorListener net.Listener

	// HealthInterval is the time between two health checks of the backend server.
	// Default 250 ms.
	HealthInterval time.Duration
	// ConnectTimeout is the time limit for opening a connection to the backend
	// server. Default 500 ms.
	ConnectTimeout time.Duration
	// LinkMbps is the bandwidth of the VM's network link in Mbit/s. Bodies of
	// calls are received no faster than that. Default 0: unknown.
	LinkMbps float64
	// CallerHeaderTimeout is the time limit for reading the header of a caller's
	// request. Default 5 s.
	CallerHeaderTimeout time.Duration
	// CallerBodyTimeout is the longest time between two reads of the body of a
	// caller's request. Default 10 s.
	CallerBodyTimeout time.Duration
	// CallerMaxInFlight is the highest number of callers' requests that the node
	// handles at a time. Nested calls have a separate limit of the same size.
	// Default 4096.
	CallerMaxInFlight int
	// CallerMaxConnections is the highest number of open connections of callers.
	// The backend server's own connections have a separate limit of the same size.
	// Default 4096.
	CallerMaxConnections int
	// CallerMaxHeaderFields is the highest number of fields in the header of a caller's
	// request. Default 8192, which is more than fit into 16 KiB.
	CallerMaxHeaderFields int
	// CallerMemory is the memory in bytes that callers may hold with connections,
	// headers, bodies and answers that they have not read. Beyond it, those of the least
	// progress are closed. Default: half of SoftMemoryLimit.
	CallerMemory int64
	// SoftMemoryLimit is the soft memory limit of the process in bytes. Default
	// MemoryLimit.
	SoftMemoryLimit int64
	// CallerIdleTimeout is the time without a request after which a caller's
	// connection is closed. Default 2 minutes.
	CallerIdleTimeout time.Duration
	// DrainNotice is how long a stopping node that TakesOver still accepts callers
	// after it has begun to report that it is not ready. It is used where the
	// backend server keeps running. Default 0.
	DrainNotice time.Duration
	// DrainTimeout limits the wait for partitions to be moved away and, without
	// StopTimeout, the wait for requests to complete. Default DefaultDrainTimeout.
	DrainTimeout time.Duration
	// StopTimeout limits the whole stop, except that the return of the lease may take
	// 200 ms more. The time that remains of it after the moves is given to requests to
	// complete. Default 0: requests get another DrainTimeout.
	StopTimeout time.Duration
	// OperatorSecret is required from clients of the operator port. Empty means
	// that only loopback addresses have access.
	OperatorSecret string
	// Log receives the log of the node, including a line for each routing
	// decision. The zero value discards it.
	Log zerolog.Logger
	// Dialect is the protocol used with callers and the backend server. Nil means
	// the project's own. With a dialect the backend server's heartbeats are passed
	// to Node.Heartbeat, and the node does not listen on Backend.
	Dialect *dialect.Dialect
	// PeerSecret is shared by all nodes and authenticates them to each other.
	// Empty means that each registration has a secret of its own, and that a node
	// without a lease is not trusted.
	PeerSecret string
	// WithoutLease lets the node route requests, and run those without a key,
	// while it has no lease. A node that control cannot reach may then use rules
	// for longer than they are in force.
	WithoutLease bool
	// RulesGrace limits how long a node that control cannot reach uses rules that
	// may no longer be in force. Other nodes refuse its calls once they have had
	// newer rules in force for longer than this. Once control has not responded
	// for this time, the node no longer responds that a route does not exist.
	// Default 0: no limit.
	RulesGrace time.Duration
	// RulesFromPeers makes the node request newer rules from other nodes once
	// control has not responded for RulesGrace.
	RulesFromPeers bool
	// HeartbeatInterval is the usual time between two heartbeats of the backend
	// server. It is used only with a dialect.
	HeartbeatInterval time.Duration
	// TakesOver states that no other process can use the node's peer address. An
	// earlier node registered there has therefore ended. A stopping node whose
	// backend server keeps running then keeps its partitions for the next process.
	TakesOver bool
	// RoutingSample selects the requests whose completed routing decisions are
	// logged: one in RoutingSample. 0 and 1 mean all. Refusals and responses with
	// status 500 or higher are always logged.
	RoutingSample int
}

func (c Config) validate() error {
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
	c.SoftMemoryLimit = cmp.Or(c.SoftMemoryLimit, MemoryLimit)
	c.CallerMemory = cmp.Or(c.CallerMemory, intake.Bound(c.SoftMemoryLimit))
	return c
}

// peerRulesDelay returns the time without a response from control after which
// the node requests rules from other nodes. 0 means never.
func (c Config) peerRulesDelay() time.Duration {
	if !c.RulesFromPeers {
		return 0
	}
	return c.RulesGrace
}
