// Package node is the process beside each backend server: it takes callers'
// requests, finds the owner of the key, forwards to the owner's node, and
// guards the backend server on its own VM.
package node

import (
	"cmp"
	"context"
	"crypto/tls"
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/jujubeknot/jujubeknot/core/routing"
	"github.com/jujubeknot/jujubeknot/node/internal/backend"
	"github.com/jujubeknot/jujubeknot/node/internal/caller"
	"github.com/jujubeknot/jujubeknot/node/internal/certificate"
	"github.com/jujubeknot/jujubeknot/node/internal/controlclient"
	"github.com/jujubeknot/jujubeknot/node/internal/metrics"
	"github.com/jujubeknot/jujubeknot/node/internal/operator"
	"github.com/jujubeknot/jujubeknot/node/internal/owner"
	"github.com/jujubeknot/jujubeknot/node/internal/peer"
	"github.com/jujubeknot/jujubeknot/node/internal/pressure"
	"github.com/jujubeknot/jujubeknot/node/internal/view"
	"github.com/jujubeknot/jujubeknot/node/loglines"
	"github.com/jujubeknot/jujubeknot/wire/boottime"
	"github.com/jujubeknot/jujubeknot/wire/tasks"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// drainPoll is the time between two looks at what keeps a node from stopping.
const drainPoll = 20 * time.Millisecond

// bytesPerMegabit turns a rate in Mbit/s into one in bytes/s.
const bytesPerMegabit = 1e6 / 8

// Addresses are where a node listens.
type Addresses struct {
	Callers, Peer, Backend, Operator net.Addr
	// CallersTLS is nil where callers have no TLS.
	CallersTLS net.Addr
}

// Node is one node. Use New. Several can run in one process.
type Node struct {
	cfg     Config
	view    *view.View
	backend *backend.Server
	owner   *owner.Server
	peers   *peer.Client
	peer    *peer.Handler
	session *controlclient.Session
	metrics *metrics.Set
	// pressure is shared by callers and other nodes.
	pressure *pressure.Monitor
	sample   *loglines.Sample
	started  time.Time
	draining atomic.Bool

	killed   chan struct{}
	killOnce sync.Once

	// certificates is nil without TLS for callers.
	certificates *certificate.Files

	// listeners and servers have nil at places that the settings leave out.
	listeners [places]net.Listener
	servers   [places]server
}

// server is an http.Server or one like it.
type server interface {
	Serve(net.Listener) error
	Shutdown(context.Context) error
	Close() error
}

// Places of listeners and servers.
const (
	placeCallers = iota
	placePeer
	placeBackend
	placeOperator
	placeCallersTLS
	places
)

// New checks the settings and opens the listeners, so that the addresses are
// known before Run. Without Run the listeners stay open until Close.
func New(cfg Config) (*Node, error) {
	if err := cfg.check(); err != nil {
		return nil, fmt.Errorf("settings of the node: %w", err)
	}
	n := &Node{cfg: cfg.withDefaults(), metrics: metrics.New(), pressure: pressure.New(), sample: loglines.NewSample(cfg.RoutingSample), view: view.New(routing.New()), killed: make(chan struct{})}
	if cfg.CallersTLS.IsValid() {
		files, err := certificate.Load(certificate.Config{CertificateFile: cfg.CertificateFile, KeyFile: cfg.KeyFile, Log: cfg.Log})
		if err != nil {
			return nil, fmt.Errorf("TLS for callers: %w", err)
		}
		n.certificates = files
	}
	if err := n.listen(); err != nil {
		n.Close()
		return nil, err
	}
	n.build()
	return n, nil
}

func (n *Node) listen() error {
	given := [...]struct {
		what     string
		address  netip.AddrPort
		listener net.Listener
	}{
		placeCallers:  {"callers", n.cfg.Callers, n.cfg.CallersListener},
		placePeer:     {"peer", n.cfg.Peer, n.cfg.PeerListener},
		placeBackend:  {"backend", n.cfg.Backend, n.cfg.BackendListener},
		placeOperator: {"operator", n.cfg.Operator, n.cfg.OperatorListener},

		placeCallersTLS: {"callers with TLS", n.cfg.CallersTLS, nil},
	}
	for i, g := range given {
		if n.listeners[i] = g.listener; g.listener != nil {
			continue
		}
		if i == placeCallersTLS && n.certificates == nil || i == placeBackend && n.cfg.Dialect != nil {
			continue
		}
		if !g.address.IsValid() {
			return errors.Errorf("settings of the node: the %s address is missing", g.what)
		}
		l, err := net.Listen("tcp", g.address.String())
		if err != nil {
			return fmt.Errorf("listening for %s: %w", g.what, err)
		}
		n.listeners[i] = l
	}
	return nil
}

func (n *Node) build() {
	clock, log := boottime.Clock{}, n.cfg.Log
	n.started = clock.Now()
	n.backend = backend.New(backend.Config{
		Clock: clock, Log: log, HealthInterval: n.cfg.HealthInterval, ConnectTimeout: n.cfg.ConnectTimeout, LinkRate: n.cfg.LinkMbps * bytesPerMegabit,
		OnChange: func() { n.session.BackendChanged() },
		Dialect:  n.cfg.Dialect, HoldsUntil: func() time.Time { return n.owner.HoldsUntil() },
	})
	n.owner = owner.New(owner.Config{Clock: clock, Log: log, View: n.view, Backend: n.backend, GrantsByHeartbeat: n.cfg.Dialect != nil, HeartbeatInterval: n.cfg.BeatInterval, WithoutLease: n.cfg.WithoutLease})
	n.backend.SetPartitionCounter(n.owner.Partitions)
	n.peers = peer.NewClient(peer.ClientConfig{Clock: clock, Log: log, View: n.view})
	n.peer = &peer.Handler{Log: log, Sample: n.sample, Clock: clock, View: n.view, Owner: n.owner, Pressure: n.pressure, SharedSecret: n.cfg.PeerSecret, RulesGrace: n.cfg.RulesGrace}
	n.session = controlclient.New(controlclient.Config{
		Clock: clock, Log: log, Members: n.cfg.ControlMembers, Secret: n.cfg.NodeSecret,
		Node: &wirev1.Node{
			Name: n.cfg.Name, Region: n.cfg.Region, AvailabilityZone: n.cfg.AvailabilityZone,
			PeerAddress: n.listeners[placePeer].Addr().String(),
		},
		View: n.view, Owner: n.owner, Backend: n.backend, Registered: n.peer.AddIncarnation,
		PeerSecret: n.cfg.PeerSecret, TakesOver: n.cfg.TakesOver, GrantsByHeartbeat: n.cfg.Dialect != nil, KeepsLeaseOnStop: n.cfg.TakesOver,
		Peers: n.peers, FetchRulesAfter: n.cfg.askAfter(),
	})
	callers := caller.New(caller.Config{
		Log: log, Sample: n.sample, Clock: clock, View: n.view, Owner: n.owner, Remote: n.peers, Metrics: n.metrics, Pressure: n.pressure,
		Dialect: n.cfg.Dialect, WithoutLease: n.cfg.WithoutLease, RulesGrace: n.cfg.RulesGrace,
		AvailabilityZone: n.cfg.AvailabilityZone, IsBackendServer: n.backend.IsAddress,
		HeaderTimeout: n.cfg.CallerHeaderTimeout, BodyTimeout: n.cfg.CallerBodyTimeout, MaxInFlight: n.cfg.CallerMaxInFlight,
		MaxConnections: n.cfg.CallerMaxConnections, IdleTimeout: n.cfg.CallerIdleTimeout,
	})
	n.listeners[placeCallers] = callers.LimitListener(n.listeners[placeCallers])
	figures := &operator.Handler{Secret: n.cfg.OperatorSecret, Vars: n.vars, Metrics: n.WriteMetrics, Ready: n.Ready}
	// What net/http reports is about single connections.
	errorLog := stdlog.New(log.With().Str("component", "http").Logger().Level(zerolog.DebugLevel), "", 0)
	quiet := func(s *http.Server) *http.Server {
		s.ErrorLog = errorLog
		return s
	}
	n.servers = [places]server{
		placeCallers: callers.PipelineServer(quiet(callers.Server())), placePeer: peer.NewServer(n.peer, errorLog),
		placeOperator: quiet(figures.Server()),
	}
	if n.cfg.Dialect == nil {
		n.servers[placeBackend] = quiet(n.backend.HTTPServer())
	}
	if n.certificates != nil {
		n.listeners[placeCallersTLS] = tls.NewListener(callers.LimitListener(n.listeners[placeCallersTLS]), n.certificates.TLS())
		s := callers.Server()
		s.Protocols.SetHTTP2(true)
		n.servers[placeCallersTLS] = quiet(s)
	}
}

// Addresses returns where the node listens.
func (n *Node) Addresses() Addresses {
	a := Addresses{
		Callers: n.listeners[placeCallers].Addr(), Peer: n.listeners[placePeer].Addr(),
		Operator: n.listeners[placeOperator].Addr(),
	}
	if l := n.listeners[placeBackend]; l != nil {
		a.Backend = l.Addr()
	}
	if l := n.listeners[placeCallersTLS]; l != nil {
		a.CallersTLS = l.Addr()
	}
	return a
}

// Ready reports whether the node is registered, has a lease and a table.
func (n *Node) Ready() bool {
	if n.draining.Load() {
		return false
	}
	if n.cfg.WithoutLease {
		return n.view.Table().Revision() > 0
	}
	return n.view.HasLease(boottime.Clock{}.Now()) && n.view.Table().Revision() > 0
}

// Close closes the listeners and ends open requests at once. It is for nodes
// that do not run, and for a second signal to stop.
func (n *Node) Close() {
	for i := range n.listeners {
		if n.servers[i] != nil {
			_ = n.servers[i].Close()
		}
		if n.listeners[i] != nil {
			_ = n.listeners[i].Close()
		}
	}
}

// Kill ends Run as the loss of the process would: connections are closed at
// once, nothing is drained, and the lease is not returned. It is for
// laboratories that run several nodes in one process.
func (n *Node) Kill() {
	n.killOnce.Do(func() { close(n.killed) })
}

// Run serves until the context ends, then drains: control moves the partitions
// away, requests end, and the lease is returned. It returns nil after a
// graceful stop and an error if a listener failed. It must be called once.
func (n *Node) Run(ctx context.Context) error {
	work, stop := context.WithCancelCause(context.WithoutCancel(ctx))
	defer stop(nil)
	parts := tasks.New(6 + len(n.servers))
	parts.Go(work, "backend server", tasks.WithoutError(n.backend.Run))
	parts.Go(work, "pressure", tasks.WithoutError(n.pressure.Run))
	parts.Go(work, "control session", tasks.WithoutError(n.session.Run))
	parts.Go(work, "connections to nodes", tasks.WithoutError(n.peers.Run))
	parts.Go(work, "connections from nodes", tasks.WithoutError(n.peer.Run))
	if n.certificates != nil {
		parts.Go(work, "certificate", tasks.WithoutError(n.certificates.Run))
	}
	for i, s := range n.servers {
		if s == nil {
			continue
		}
		parts.Go(work, "listener", func(context.Context) error {
			if err := s.Serve(n.listeners[i]); !errors.Is(err, http.ErrServerClosed) {
				return fmt.Errorf("serving at %s: %w", n.listeners[i].Addr(), err)
			}
			return nil
		})
	}
	var err error
	select {
	case end := <-parts.Results():
		err = parts.Ack(end)
	case <-n.killed:
		n.Close()
		stop(controlclient.ErrAbandoned)
	case <-ctx.Done():
		n.drain()
	}
	stop(nil)
	n.Close()
	err = cmp.Or(err, parts.Wait())
	n.owner.Wait()
	n.peers.Close()
	return err
}

// drain ends the node's work in the order in which nobody notices: no new
// partitions and requests from other nodes, then no new callers, then the end
// of what is in flight.
func (n *Node) drain() {
	n.draining.Store(true)
	began := boottime.Clock{}.Now()
	if n.cfg.TakesOver && !n.backend.Leaving() && n.backend.Announced() != nil {
		// The backend server goes on, and the next process here takes over. Callers
		// would meet a closed port meanwhile.
		time.Sleep(n.cfg.DrainNotice)
		n.shutDown(began)
		return
	}
	n.session.Drain()
	n.cfg.Log.Info().Int("partitions", n.owner.Partitions()).Msg("draining")
	n.waitMoved()
	n.shutDown(began)
}

// shutDown ends listeners once their requests have ended, in a stop that began at
// a time.
func (n *Node) shutDown(began time.Time) {
	left := n.cfg.DrainTimeout
	if n.cfg.StopTimeout > 0 {
		left = n.cfg.StopTimeout - boottime.Clock{}.Now().Sub(began)
	}
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	for _, place := range []int{placeCallers, placeCallersTLS, placePeer, placeBackend} {
		if n.servers[place] == nil {
			continue
		}
		if err := n.servers[place].Shutdown(ctx); err != nil {
			n.cfg.Log.Warn().Err(err).Str("listener", n.listeners[place].Addr().String()).Msg("requests were cut off at the end of the drain timeout")
		}
	}
}

// waitMoved waits until control has moved all partitions away and shows this
// node as leaving, so that other nodes choose others.
func (n *Node) waitMoved() {
	ctx, cancel := context.WithTimeout(context.Background(), n.cfg.DrainTimeout)
	defer cancel()
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for {
		t := n.view.Table()
		self := t.Node(n.view.Identity().Incarnation)
		if self == nil || n.owner.Partitions() == 0 && t.Leaving(self) {
			return
		}
		select {
		case <-ctx.Done():
			n.cfg.Log.Warn().Int("partitions", n.owner.Partitions()).Msg("partitions were not moved away in time")
			return
		case <-ticker.C:
		}
	}
}
