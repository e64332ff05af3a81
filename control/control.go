// Package control implements a member of the control group. The group
// replicates the durable cluster state in a log. Its leader assigns partitions
// and grants leases to nodes.
package control

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/jujubeknot/jujubeknot/control/internal/disk"
	"github.com/jujubeknot/jujubeknot/control/internal/leader"
	"github.com/jujubeknot/jujubeknot/control/internal/membership"
	"github.com/jujubeknot/jujubeknot/control/internal/nodes"
	"github.com/jujubeknot/jujubeknot/control/internal/operator"
	"github.com/jujubeknot/jujubeknot/control/internal/replica"
	"github.com/jujubeknot/jujubeknot/control/internal/rpc"
	"github.com/jujubeknot/jujubeknot/core/clock"
	"github.com/jujubeknot/jujubeknot/core/lease"
	"github.com/jujubeknot/jujubeknot/core/placement"
	"github.com/jujubeknot/jujubeknot/core/settings"
	"github.com/jujubeknot/jujubeknot/wire/boottime"
	"github.com/jujubeknot/jujubeknot/wire/conns"
	"github.com/jujubeknot/jujubeknot/wire/tasks"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// stopTimeout limits the shutdown of each HTTP server in a graceful stop.
const stopTimeout = 2 * time.Second

// Limits of the servers for members, nodes and operators.
const (
	// maxHeaderBytes is several times the size of a header that they send.
	maxHeaderBytes = 8 << 10
	// maxConnections is several times the number of nodes of the largest deployment, and
	// maxConnecting is enough for all of them and the members to connect at once, which
	// they do over HTTP/2.
	maxConnections = 4096
	maxConnecting  = 1024
)

// Config configures a member. Zero values of Lease, Placement, Policy,
// MoveTimeout and Clock mean the defaults.
type Config struct {
	// Name identifies the member in metrics.
	Name string
	// MemberID is the member's id in the group. It is 0 if Discovery is set.
	MemberID uint64
	GroupID  string
	// DataFolder holds the replicated log and its snapshots.
	DataFolder       string
	Region           string
	AvailabilityZone string
	// InitialMembers are the members of the group at its first start.
	InitialMembers []settings.Member
	// MemberSecret is the shared secret of the members. It must not be empty.
	MemberSecret string
	// NodeSecret is the shared secret that nodes present. It must not be empty.
	NodeSecret string
	// Discovery is set for a group that finds its members itself. MemberID is
	// then 0, and the id comes from the data folder or, when the group starts for
	// the first time, from InitialMembers.
	Discovery *Discovery
	// Peer is the listen address for members and nodes.
	Peer netip.AddrPort
	// Operator is the listen address for operators. The zero value means that
	// there is no such listener.
	Operator netip.AddrPort
	// OperatorAddress is the address that other members report to operators while
	// this member leads. Empty means the address of the listener for operators.
	OperatorAddress string
	Lease           lease.Config
	// OperatorSecret is the bearer token that requests to the operator port must
	// carry. Empty means that only requests from loopback are admitted.
	OperatorSecret string
	Logger         zerolog.Logger
	Placement      placement.Config
	// Policy is the placement policy of upstreams whose rules name none.
	Policy string
	// MoveTimeout limits how long a planned move waits for requests in flight if
	// the rules set no limit.
	MoveTimeout time.Duration
	// LoadWindow is the time constant of load averages. The default is 10 s.
	LoadWindow time.Duration
	// WeightBySpeed gives servers that answer faster a larger share of the load.
	WeightBySpeed bool
	// ProcessorShare is the part of a processor core that the member may use. It
	// must be above 0. The default is 1.
	ProcessorShare float64
	// Clock must advance while the machine is suspended. The default is the
	// machine's boot-time clock.
	Clock clock.Clock
}

// Discovery describes a group that finds its members itself.
type Discovery struct {
	// Bootstrap must be true only when the whole group starts for the first time.
	// The members in Config.InitialMembers then form the group.
	Bootstrap bool
	// Seeds returns the addresses in the settings at which the group is looked
	// for, also after the settings have changed. The processes there need not be
	// members. It must be safe for concurrent use.
	Seeds func() []netip.AddrPort
	// TargetVoters is the number of voters that the group keeps, at least 1.
	TargetVoters int
}

// Member is a member of the control group.
type Member struct {
	config   Config
	log      *replica.Replica
	leader   *leader.Leader
	peer     net.Listener
	operator net.Listener
	killed   chan struct{}
	killOnce sync.Once
}

// New opens the data folder and the listeners. It fails if the data folder is
// damaged or belongs to another member or group.
func New(config Config) (*Member, error) {
	if config.Clock == nil {
		config.Clock = boottime.Clock{}
	}
	if config.NodeSecret == "" || config.MemberSecret == "" {
		return nil, errors.New("control: node secret or member secret is empty")
	}
	m := &Member{config: config, killed: make(chan struct{})}
	var err error
	if m.peer, err = net.Listen("tcp", config.Peer.String()); err != nil {
		return nil, fmt.Errorf("listen for members and nodes: %w", err)
	}
	if config.Operator.IsValid() {
		if m.operator, err = net.Listen("tcp", config.Operator.String()); err != nil {
			_ = m.peer.Close()
			return nil, fmt.Errorf("listen for operators: %w", err)
		}
	}
	if m.log, err = openLog(config, m.operatorAddress()); err != nil {
		m.close()
		return nil, err
	}
	m.leader = leader.New(leader.Config{
		Log: m.log, Clock: config.Clock, Logger: config.Logger, Lease: config.Lease,
		Placement: config.Placement, Policy: config.Policy, MoveTimeout: config.MoveTimeout,
		LoadWindow: config.LoadWindow, WeightBySpeed: config.WeightBySpeed, ProcessorShare: config.ProcessorShare,
	})
	return m, nil
}

// operatorAddress returns the address that other members report to operators,
// empty if the member has no address for operators.
func (m *Member) operatorAddress() string {
	if m.config.OperatorAddress != "" || m.operator == nil {
		return m.config.OperatorAddress
	}
	return reachableOperatorAddress(m.config, m.operator.Addr())
}

// reachableOperatorAddress returns the address at which operators reach the
// listener. For a listener on all addresses this is the IP address of
// config.Peer with the listener's port.
func reachableOperatorAddress(config Config, listener net.Addr) string {
	address, err := netip.ParseAddrPort(listener.String())
	if err != nil {
		return ""
	}
	if address.Addr().IsUnspecified() {
		address = netip.AddrPortFrom(config.Peer.Addr(), address.Port())
	}
	return address.String()
}

func (m *Member) close() {
	_ = m.peer.Close()
	if m.operator != nil {
		_ = m.operator.Close()
	}
}

func openLog(config Config, operator string) (*replica.Replica, error) {
	files, err := disk.OpenOrCreateFolder(config.DataFolder)
	if err != nil {
		return nil, fmt.Errorf("data folder: %w", err)
	}
	initial := make([]*wirev1.Member, 0, len(config.InitialMembers))
	for _, m := range config.InitialMembers {
		initial = append(initial, &wirev1.Member{Id: m.ID, Address: m.Address.String()})
	}
	var discovery *replica.Discovery
	if f := config.Discovery; f != nil {
		discovery = &replica.Discovery{Bootstrap: f.Bootstrap, TargetVoters: f.TargetVoters, Seeds: func() []string {
			var seeds []string
			for _, s := range f.Seeds() {
				seeds = append(seeds, s.String())
			}
			return seeds
		}}
	}
	log, err := replica.New(replica.Config{
		GroupID: config.GroupID, MemberID: config.MemberID, Address: config.Peer.String(),
		OperatorAddress: operator, Secret: config.MemberSecret,
		Files: files, Clock: config.Clock, Initial: initial, Logger: config.Logger,
		AvailabilityZone: config.AvailabilityZone, Discovery: discovery,
	})
	if err != nil {
		return nil, fmt.Errorf("replicated log: %w", err)
	}
	return log, nil
}

// Kill ends Run as a crash of the process would: connections are closed at once
// and leadership is not transferred. It is for test set-ups that run several
// members in one process. It is safe for concurrent use.
func (m *Member) Kill() {
	m.killOnce.Do(func() { close(m.killed) })
}

// Run serves until the context ends, then transfers leadership and stops. It
// returns nil after such a stop. Otherwise it returns the error of the part
// that failed first. It must be called only once.
func (m *Member) Run(ctx context.Context) error {
	logContext, stopLog := context.WithCancelCause(context.Background())
	defer stopLog(nil)
	leaderContext, stopLeader := context.WithCancel(context.Background())
	defer stopLeader()
	peer := m.server(m.peerHandler())
	operators := m.server(m.operatorHandler())
	servers, log := tasks.New(4), tasks.New(1)
	if f := m.config.Discovery; f != nil {
		servers.Go(leaderContext, "membership", tasks.WithoutError(func(ctx context.Context) {
			membership.Run(ctx, membership.Config{Log: m.log, Logger: m.config.Logger, TargetVoters: f.TargetVoters})
		}))
	}
	servers.Go(leaderContext, "leader", tasks.WithoutError(m.leader.Run))
	servers.Go(leaderContext, "members and nodes", func(context.Context) error { return peer.Serve(m.peer) })
	if m.operator != nil {
		servers.Go(leaderContext, "operators", func(context.Context) error { return operators.Serve(m.operator) })
	}
	log.Go(logContext, "replicated log", m.log.Run)
	m.config.Logger.Info().Stringer("peer", m.peer.Addr()).Str("operator", m.operatorAddress()).
		Uint64("memberId", m.config.MemberID).Str("groupId", m.config.GroupID).Msg("member started")
	var err error
	select {
	case result := <-servers.Results():
		err = unexpectedError(result.Name, servers.Ack(result))
		stopLog(nil)
	case result := <-log.Results():
		err = unexpectedError(result.Name, log.Ack(result))
	case <-m.killed:
		_ = peer.Close()
		_ = operators.Close()
		stopLog(replica.ErrAbandoned)
	case <-ctx.Done():
		// The log transfers leadership before it stops, so that nodes need not
		// wait for an election. Watch streams end when the log stops.
		stopLog(nil)
	}
	err = cmp.Or(err, unexpectedError("replicated log", log.Wait()))
	stopLeader()
	shutDown(peer)
	shutDown(operators)
	err = cmp.Or(err, unexpectedError("servers", servers.Wait()))
	m.config.Logger.Info().Err(err).Msg("member stopped")
	return err
}

// unexpectedError adds the name of the part to err. It returns nil for errors
// that a stop causes.
func unexpectedError(part string, err error) error {
	if err == nil || errors.Is(err, http.ErrServerClosed) || errors.Is(err, context.Canceled) {
		return nil
	}
	return fmt.Errorf("%s: %w", part, err)
}

// server returns a server for HTTP/1.1 and for HTTP/2 without TLS. Pings detect
// half-open connections. Without pings, each half-open connection would keep
// its watch stream and its memory for ever.
func (m *Member) server(handler http.Handler) *conns.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return conns.Bound(&http.Server{
		Handler:           handler,
		Protocols:         protocols,
		ReadHeaderTimeout: 5 * time.Second,
		MaxHeaderBytes:    maxHeaderBytes,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: 1000,
			SendPingTimeout:      time.Second,
			PingTimeout:          500 * time.Millisecond,
		},
	}, conns.Config{Max: maxConnections, MaxReceivingHTTP2: maxConnecting})
}

// shutDown stops a server gracefully. Connections that are still in use after
// stopTimeout are closed.
func shutDown(server *conns.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}

func (m *Member) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(nodes.Handler(m.leader, m.log, m.config.NodeSecret))
	mux.Handle(m.log.Handler())
	return mux
}

func (m *Member) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(operator.Handler(m.leader, m.log, m.config.Logger))
	mux.Handle("GET /debug/vars", m.variables())
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		// A failed write means that the client has closed the connection.
		_ = m.WriteMetrics(w)
	})
	if m.config.OperatorSecret != "" {
		return rpc.RequireSecret(m.config.OperatorSecret, mux)
	}
	return rpc.RequireLoopback(mux)
}
