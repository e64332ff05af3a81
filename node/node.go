// Package node implements the process that runs beside each backend server. It
// receives callers' requests, looks up the owner of the key and forwards the
// request to the owner's node. It also limits the load of the backend server on
// its own VM.
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

	"github.com/jujubeknot/jujubeknot/core/intake"
	"github.com/jujubeknot/jujubeknot/core/routing"
	"github.com/jujubeknot/jujubeknot/node/internal/backend"
	"github.com/jujubeknot/jujubeknot/node/internal/caller"
	"github.com/jujubeknot/jujubeknot/node/internal/certificate"
	"github.com/jujubeknot/jujubeknot/node/internal/controlclient"
	"github.com/jujubeknot/jujubeknot/node/internal/ledger"
	"github.com/jujubeknot/jujubeknot/node/internal/metrics"
	"github.com/jujubeknot/jujubeknot/node/internal/operator"
	"github.com/jujubeknot/jujubeknot/node/internal/owner"
	"github.com/jujubeknot/jujubeknot/node/internal/peer"
	"github.com/jujubeknot/jujubeknot/node/internal/pressure"
	"github.com/jujubeknot/jujubeknot/node/internal/quota"
	"github.com/jujubeknot/jujubeknot/node/internal/view"
	"github.com/jujubeknot/jujubeknot/node/loglines"
	"github.com/jujubeknot/jujubeknot/wire/boottime"
	"github.com/jujubeknot/jujubeknot/wire/tasks"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// bytesPerMegabit converts a rate in Mbit/s to bytes/s.
const bytesPerMegabit = 1e6 / 8

// Addresses has the addresses that a node listens on.
type Addresses struct {
	Callers, Peer, Backend, Operator net.Addr
	// CallersTLS is nil without TLS for callers.
	CallersTLS net.Addr
}

// Node is one node of the system. New creates it. Several nodes can run in one
// process.
type Node struct {
	cfg     Config
	view    *view.View
	backend *backend.Server
	callers *caller.Handler
	owner   *owner.Server
	peers   *peer.Client
	peer    *peer.Handler
	session *controlclient.Session
	quota   *quota.Limiter
	metrics *metrics.Set
	// ledger counts the memory that callers hold.
	ledger *ledger.Ledger
	// pressure is used for requests of callers and of other nodes.
	pressure *pressure.Monitor
	sample   *loglines.Sample
	started  time.Time
	draining atomic.Bool

	killed   chan struct{}
	killOnce sync.Once

	// certificates is nil without TLS for callers.
	certificates *certificate.Files

	// listeners and servers have nil for ports that the settings do not enable.
	listeners [listenerCount]net.Listener
	servers   [listenerCount]server
}

// server is implemented by http.Server and the servers of internal packages.
type server interface {
	Serve(net.Listener) error
	Shutdown(context.Context) error
	Close() error
}

// Indexes into Node.listeners and Node.servers.
const (
	listenerCallers = iota
	listenerPeer
	listenerBackend
	listenerOperator
	listenerCallersTLS
	listenerCount
)

// New validates the settings and opens the listeners, so that the addresses are
// known before Run. If Run is not called, the listeners stay open until Close.
func New(cfg Config) (*Node, error) {
	if err := cfg.validate(); err != nil {
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
	specs := [...]struct {
		name     string
		address  netip.AddrPort
		listener net.Listener
	}{
		listenerCallers:  {"callers", n.cfg.Callers, n.cfg.CallersListener},
		listenerPeer:     {"peer", n.cfg.Peer, n.cfg.PeerListener},
		listenerBackend:  {"backend", n.cfg.Backend, n.cfg.BackendListener},
		listenerOperator: {"operator", n.cfg.Operator, n.cfg.OperatorListener},

		listenerCallersTLS: {"callers with TLS", n.cfg.CallersTLS, nil},
	}
	for i, s := range specs {
		if n.listeners[i] = s.listener; s.listener != nil {
			continue
		}
		if i == listenerCallersTLS && n.certificates == nil || i == listenerBackend && n.cfg.Dialect != nil {
			continue
		}
		if !s.address.IsValid() {
			return errors.Errorf("settings of the node: the %s address is missing", s.name)
		}
		l, err := net.Listen("tcp", s.address.String())
		if err != nil {
			return fmt.Errorf("listening for %s: %w", s.name, err)
		}
		n.listeners[i] = l
	}
	return nil
}

func (n *Node) build() {
	// Requests are measured by a clock that rarely makes a system call, leases and
	// grants by the exact one.
	clock, requestClock, log := boottime.Clock{}, boottime.NewCoarse(), n.cfg.Log
	n.started = clock.Now()
	n.ledger = ledger.New(ledger.Config{Bound: n.cfg.CallerMemory, Clock: requestClock, Dropped: func(s intake.Stage) { n.metrics.Dropped.Add(s.String(), 1) }})
	n.backend = backend.New(backend.Config{
		Clock: clock, RequestClock: requestClock, Log: log, HealthInterval: n.cfg.HealthInterval, ConnectTimeout: n.cfg.ConnectTimeout, LinkRate: n.cfg.LinkMbps * bytesPerMegabit, Memory: n.ledger,
		OnChange: func() { n.session.BackendChanged() },
		Dialect:  n.cfg.Dialect, HeartbeatInterval: n.cfg.HeartbeatInterval, HoldsUntil: func() time.Time { return n.owner.HoldsUntil() },
	})
	n.owner = owner.New(owner.Config{Clock: clock, Log: log, View: n.view, Backend: n.backend, GrantsByHeartbeat: n.cfg.Dialect != nil, HeartbeatInterval: n.cfg.HeartbeatInterval, WithoutLease: n.cfg.WithoutLease})
	n.backend.SetPartitionCounter(n.owner.Partitions)
	n.peers = peer.NewClient(peer.ClientConfig{Clock: requestClock, Log: log, View: n.view})
	n.peer = &peer.Handler{Log: log, Sample: n.sample, Clock: requestClock, View: n.view, Owner: n.owner, Pressure: n.pressure, SharedSecret: n.cfg.PeerSecret, RulesGrace: n.cfg.RulesGrace}
	n.quota = quota.New(quota.Config{Clock: clock, Log: log, View: n.view, Ask: n.peers.Ask, Stopping: n.draining.Load})
	n.peer.Answer = n.quota.Answer
	n.session = controlclient.New(controlclient.Config{
		Clock: clock, Log: log, Members: n.cfg.ControlMembers, Secret: n.cfg.NodeSecret,
		Node: &wirev1.Node{
			Name: n.cfg.Name, Region: n.cfg.Region, AvailabilityZone: n.cfg.AvailabilityZone,
			PeerAddress: n.listeners[listenerPeer].Addr().String(),
		},
		View: n.view, Owner: n.owner, Backend: n.backend, Registered: n.peer.AddIncarnation,
		PeerSecret: n.cfg.PeerSecret, TakesOver: n.cfg.TakesOver, GrantsByHeartbeat: n.cfg.Dialect != nil, KeepsLeaseOnStop: n.cfg.TakesOver,
		Peers: n.peers, FetchRulesAfter: n.cfg.peerRulesDelay(),
	})
	n.callers = caller.New(caller.Config{
		Log: log, Sample: n.sample, Clock: requestClock, View: n.view, Owner: n.owner, Remote: n.peers, Metrics: n.metrics, Pressure: n.pressure,
		Dialect: n.cfg.Dialect, WithoutLease: n.cfg.WithoutLease, RulesGrace: n.cfg.RulesGrace,
		AvailabilityZone: n.cfg.AvailabilityZone, IsBackendServer: n.backend.IsAddress, Parent: n.backend.Parent, Quota: n.quota,
		HeaderTimeout: n.cfg.CallerHeaderTimeout, BodyTimeout: n.cfg.CallerBodyTimeout, MaxInFlight: n.cfg.CallerMaxInFlight,
		MaxConnections: n.cfg.CallerMaxConnections, IdleTimeout: n.cfg.CallerIdleTimeout,
		MaxHeaderFields: n.cfg.CallerMaxHeaderFields, Ledger: n.ledger,
	})
	n.listeners[listenerCallers] = n.callers.LimitListener(n.listeners[listenerCallers])
	operators := &operator.Handler{Secret: n.cfg.OperatorSecret, Vars: n.vars, Metrics: n.WriteMetrics, Ready: n.Ready}
	// net/http reports faults of single connections. They are logged at debug
	// level.
	errorLog := stdlog.New(log.With().Str("component", "http").Logger().Level(zerolog.DebugLevel), "", 0)
	withErrorLog := func(s *http.Server) *http.Server {
		s.ErrorLog = errorLog
		return s
	}
	n.servers = [listenerCount]server{
		listenerCallers: n.callers.PipelineServer(withErrorLog(n.callers.Server())), listenerPeer: peer.NewServer(n.peer, errorLog),
	}
	operatorServer := operators.Server()
	withErrorLog(operatorServer.Server)
	n.servers[listenerOperator] = operatorServer
	if n.cfg.Dialect == nil {
		backendServer := n.backend.HTTPServer()
		withErrorLog(backendServer.Server)
		n.servers[listenerBackend] = backendServer
	}
	if n.certificates != nil {
		n.listeners[listenerCallersTLS] = tls.NewListener(n.callers.LimitListener(n.listeners[listenerCallersTLS]), n.certificates.TLS())
		n.servers[listenerCallersTLS] = n.callers.PipelineServer(withErrorLog(n.callers.Server()))
	}
}

// Addresses returns the addresses that the node listens on.
func (n *Node) Addresses() Addresses {
	a := Addresses{
		Callers: n.listeners[listenerCallers].Addr(), Peer: n.listeners[listenerPeer].Addr(),
		Operator: n.listeners[listenerOperator].Addr(),
	}
	if l := n.listeners[listenerBackend]; l != nil {
		a.Backend = l.Addr()
	}
	if l := n.listeners[listenerCallersTLS]; l != nil {
		a.CallersTLS = l.Addr()
	}
	return a
}

// Ready reports whether the node can serve requests: its rules have a route, it
// is not draining, and it has a lease unless Config.WithoutLease is set.
func (n *Node) Ready() bool {
	if n.draining.Load() {
		return false
	}
	if n.cfg.WithoutLease {
		return n.view.Table().HasRoutes()
	}
	return n.view.HasLease(boottime.Clock{}.Now()) && n.view.Table().HasRoutes()
}

// Close closes the listeners and aborts open requests immediately. It is for
// nodes whose Run is not called, and for a second signal to stop.
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

// Kill ends Run as a crash of the process would: connections are closed
// immediately, nothing is drained, and the lease is not returned. It is for
// test environments that run several nodes in one process. It is safe for
// concurrent use and may be called more than once.
func (n *Node) Kill() {
	n.killOnce.Do(func() { close(n.killed) })
}

// Run serves until the context ends and then drains: control moves the
// partitions away, requests complete, and the lease is returned. It returns nil
// after a graceful stop and an error if a listener failed. It must be called
// only once.
func (n *Node) Run(ctx context.Context) error {
	work, stop := context.WithCancelCause(context.WithoutCancel(ctx))
	defer stop(nil)
	workers := tasks.New(7 + len(n.servers))
	workers.Go(work, "backend server", tasks.WithoutError(n.backend.Run))
	workers.Go(work, "pressure", tasks.WithoutError(n.pressure.Run))
	workers.Go(work, "control session", tasks.WithoutError(n.session.Run))
	workers.Go(work, "connections to nodes", tasks.WithoutError(n.peers.Run))
	workers.Go(work, "quotas", tasks.WithoutError(n.quota.Run))
	workers.Go(work, "connections from nodes", tasks.WithoutError(n.peer.Run))
	if n.certificates != nil {
		workers.Go(work, "certificate", tasks.WithoutError(n.certificates.Run))
	}
	for i, s := range n.servers {
		if s == nil {
			continue
		}
		workers.Go(work, "listener", func(context.Context) error {
			if err := s.Serve(n.listeners[i]); !errors.Is(err, http.ErrServerClosed) {
				return fmt.Errorf("serving at %s: %w", n.listeners[i].Addr(), err)
			}
			return nil
		})
	}
	var err error
	select {
	case result := <-workers.Results():
		err = workers.Ack(result)
	case <-n.killed:
		n.Close()
		stop(controlclient.ErrAbandoned)
	case <-ctx.Done():
		n.logStop(n.drain)
	}
	stop(nil)
	n.Close()
	err = cmp.Or(err, workers.Wait())
	n.owner.Wait()
	n.peers.Close()
	return err
}
