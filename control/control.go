// Package control is a member of the control group, which keeps the durable
// state and grants leases to nodes.
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
	"github.com/jujubeknot/jujubeknot/wire/tasks"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// stopTimeout bounds each step of a graceful stop.
const stopTimeout = 2 * time.Second

// Config configures a member. Zero values of Lease, Placement, Policy,
// MoveTimeout and Clock mean the defaults.
type Config struct {
	Name             string
	MemberID         uint64
	GroupID          string
	DataFolder       string
	Region           string
	AvailabilityZone string
	// Members of the group at its first start.
	Members      []settings.Member
	MemberSecret string
	NodeSecret   string
	// Formation is set for a group that finds its members itself. MemberID is
	// then 0 and chosen by the data folder, and Members are those that form the
	// group at its first start.
	Formation *Formation
	// Peer is the address for members and nodes, Operator that for operators.
	// Without a valid Operator there is no such listener.
	Peer     netip.AddrPort
	Operator netip.AddrPort
	// OperatorAddress is what other members name to operators while this one
	// leads. Empty means the address of the listener for operators.
	OperatorAddress string
	Lease           lease.Config
	// OperatorSecret admits its holders to the operator port. Empty admits
	// only requests from loopback.
	OperatorSecret string
	Logger         zerolog.Logger
	Placement      placement.Config
	Policy         string
	MoveTimeout    time.Duration
	// LoadWindow is the time constant of load averages. Default 10 s.
	LoadWindow time.Duration
	// BySpeed gives servers that answer faster a larger share of the load.
	BySpeed bool
	// Processor is the share of a core that the member has, above 0. Default 1.
	Processor float64
	// Clock must count through suspension. Default is the machine's.
	Clock clock.Clock
}

// Formation describes a group that finds its members itself.
type Formation struct {
	// Bootstrap is true only where the whole group starts for the first time.
	Bootstrap bool
	// Seeds are addresses of members to ask.
	Seeds []netip.AddrPort
	// Voters is the number of voters wanted, at least 1.
	Voters int
}

// Member is one member of the control group.
type Member struct {
	config   Config
	log      *replica.Replica
	leader   *leader.Leader
	peer     net.Listener
	operator net.Listener
	killed   chan struct{}
	killOnce sync.Once
}

// New opens the data folder and the listeners. A damaged or foreign data
// folder is an error.
func New(config Config) (*Member, error) {
	if config.Clock == nil {
		config.Clock = boottime.Clock{}
	}
	if config.NodeSecret == "" || config.MemberSecret == "" {
		return nil, errors.New("control: no node secret or no member secret")
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
		LoadWindow: config.LoadWindow, WeightBySpeed: config.BySpeed, ProcessorShare: config.Processor,
	})
	return m, nil
}

// operatorAddress returns what other members name to operators, empty if there
// is nothing to name.
func (m *Member) operatorAddress() string {
	if m.config.OperatorAddress != "" || m.operator == nil {
		return m.config.OperatorAddress
	}
	return operatorAddress(m.config, m.operator.Addr())
}

// operatorAddress returns the address that other members name to operators.
// One that listens on all addresses is reached at that for members.
func operatorAddress(config Config, listener net.Addr) string {
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
	initial := make([]*wirev1.Member, 0, len(config.Members))
	for _, m := range config.Members {
		initial = append(initial, &wirev1.Member{Id: m.ID, Address: m.Address.String()})
	}
	var formation *replica.Discovery
	if f := config.Formation; f != nil {
		formation = &replica.Discovery{Bootstrap: f.Bootstrap, TargetVoters: f.Voters}
		for _, s := range f.Seeds {
			formation.Seeds = append(formation.Seeds, s.String())
		}
	}
	log, err := replica.New(replica.Config{
		GroupID: config.GroupID, MemberID: config.MemberID, Address: config.Peer.String(),
		OperatorAddress: operator, Secret: config.MemberSecret,
		Files: files, Clock: config.Clock, Initial: initial, Logger: config.Logger,
		AvailabilityZone: config.AvailabilityZone, Discovery: formation,
	})
	if err != nil {
		return nil, fmt.Errorf("replicated log: %w", err)
	}
	return log, nil
}

// Kill ends Run as the loss of the process would: connections are closed at
// once and leadership is not handed over. It is for laboratories that run
// several members in one process.
func (m *Member) Kill() {
	m.killOnce.Do(func() { close(m.killed) })
}

// Run serves until the context ends, then hands leadership over and stops. It
// returns nil after such a stop and the error of the part that failed first
// otherwise. It must be called once.
func (m *Member) Run(ctx context.Context) error {
	logContext, stopLog := context.WithCancelCause(context.Background())
	defer stopLog(nil)
	leaderContext, stopLeader := context.WithCancel(context.Background())
	defer stopLeader()
	peer := m.server(m.peerHandler())
	operators := m.server(m.operatorHandler())
	servers, log := tasks.New(4), tasks.New(1)
	if f := m.config.Formation; f != nil {
		servers.Go(leaderContext, "membership", tasks.WithoutError(func(ctx context.Context) {
			membership.Run(ctx, membership.Config{Log: m.log, Logger: m.config.Logger, TargetVoters: f.Voters})
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
	case end := <-servers.Results():
		err = wrap(end.Name, servers.Ack(end))
		stopLog(nil)
	case end := <-log.Results():
		err = wrap(end.Name, log.Ack(end))
	case <-m.killed:
		_ = peer.Close()
		_ = operators.Close()
		stopLog(replica.ErrAbandoned)
	case <-ctx.Done():
		// The log hands leadership over before it ends, so that nodes need
		// not wait for an election. Watch streams end with it.
		stopLog(nil)
	}
	err = cmp.Or(err, wrap("replicated log", log.Wait()))
	stopLeader()
	shutDown(peer)
	shutDown(operators)
	err = cmp.Or(err, wrap("servers", servers.Wait()))
	m.config.Logger.Info().Err(err).Msg("member stopped")
	return err
}

func wrap(part string, err error) error {
	if err == nil || errors.Is(err, http.ErrServerClosed) || errors.Is(err, context.Canceled) {
		return nil
	}
	return fmt.Errorf("%s: %w", part, err)
}

// server returns a server for HTTP/1.1 and for HTTP/2 without TLS. Half-open
// connections are found by pings: without them each would keep its watch
// stream and its memory for ever.
func (m *Member) server(handler http.Handler) *http.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		ReadHeaderTimeout: 5 * time.Second,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: 1000,
			SendPingTimeout:      time.Second,
			PingTimeout:          500 * time.Millisecond,
		},
	}
}

func shutDown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		// Connections that are still in use are closed.
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
		// A failed write means that the operator has gone.
		_ = m.WriteMetrics(w)
	})
	if m.config.OperatorSecret != "" {
		return rpc.RequireSecret(m.config.OperatorSecret, mux)
	}
	return rpc.RequireLoopback(mux)
}
