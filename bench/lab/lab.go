package lab

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/bench/backend"
	"github.com/jujubeknot/jujubeknot/bench/operator"
	"github.com/jujubeknot/jujubeknot/control"
	"github.com/jujubeknot/jujubeknot/core/placement"
	"github.com/jujubeknot/jujubeknot/core/settings"
	"github.com/jujubeknot/jujubeknot/node"
)

// Secrets of the lab. They are constants because all roles run in one process
// and listen only on loopback.
const (
	memberSecret = "laboratory-member-secret"
	nodeSecret   = "laboratory-node-secret"
)

// Lab is a running group. Its methods are safe for concurrent use.
type Lab struct {
	config  Config
	records *backend.Recorder
	// externalOperators are the operator addresses of control members that
	// the Lab did not start.
	externalOperators []string
	operatorClient    *operator.Client

	mu      sync.Mutex
	members []*Member
	servers []*Server
	rules   rulesFile
}

// Member is a control member started by the Lab.
type Member struct {
	ID       uint64
	Peer     netip.AddrPort
	Operator netip.AddrPort
	folder   string
	running  *control.Member
	stop     context.CancelFunc
	done     chan error
}

// Server is a backend server and its node.
type Server struct {
	Name     string
	Upstream string
	Zone     string
	Backend  *backend.Server
	config   backend.Config
	node     *node.Node
	// peers is nil unless Config.PeerFaults is set.
	peers *peerListener
	stop  context.CancelFunc
	done  chan error
}

// Start starts all roles and returns once they listen. WaitReady waits until they
// serve requests.
func Start(config Config) (*Lab, error) {
	if config.Folder == "" || len(config.Deployment.Zones) == 0 || len(config.Deployment.Upstreams) == 0 {
		return nil, errors.New("lab: folder, zones and upstreams are required")
	}
	if config.Members == 0 {
		config.Members = DefaultMembers
	}
	l := &Lab{config: config, records: backend.NewRecorder(0)}
	l.operatorClient = newOperatorClient(l)
	l.rules.text = config.Deployment.Rules
	if err := l.start(); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

// Attach returns a Lab that starts no roles. It operates a running group through
// address, the operator address of the group's only control member.
func Attach(rules, address string) *Lab {
	l := &Lab{externalOperators: []string{address}, rules: rulesFile{text: rules}, records: backend.NewRecorder(0)}
	l.operatorClient = newOperatorClient(l)
	return l
}

func newOperatorClient(l *Lab) *operator.Client {
	return operator.New(operator.Config{Addresses: l.operatorAddresses, CallTimeout: callTimeout, Poll: pollInterval})
}

func (l *Lab) start() error {
	for i := range l.config.Members {
		m := &Member{ID: uint64(i + 1), folder: filepath.Join(l.config.Folder, fmt.Sprintf("control-%d", i+1))}
		var err error
		if m.Peer, err = freeAddress(); err != nil {
			return err
		}
		if m.Operator, err = freeAddress(); err != nil {
			return err
		}
		l.members = append(l.members, m)
	}
	for i := range l.members {
		if err := l.StartMember(i); err != nil {
			return err
		}
	}
	index := 0
	for _, u := range l.config.Deployment.Upstreams {
		for i := range u.Servers {
			zone := l.config.Deployment.Zones[index%len(l.config.Deployment.Zones)]
			s := &Server{Name: fmt.Sprintf("%s-%d", u.Name, i+1), Upstream: u.Name, Zone: zone, config: u.Server}
			s.config.Name, s.config.Upstream, s.config.Zone = s.Name, u.Name, zone
			s.config.Seed, s.config.Records = l.config.Seed+uint64(index), l.records
			l.servers = append(l.servers, s)
			if err := l.StartServer(index); err != nil {
				return err
			}
			index++
		}
	}
	return nil
}

// freeAddress returns a loopback address whose port was free during the call. The
// port is not reserved.
func freeAddress() (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("reserve a loopback port: %w", err)
	}
	defer listener.Close()
	return netip.ParseAddrPort(listener.Addr().String())
}

// StartMember starts control member i with its existing data folder. The member
// must not be running.
func (l *Lab) StartMember(i int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.members[i]
	initial := make([]settings.Member, 0, len(l.members))
	for _, other := range l.members {
		initial = append(initial, settings.Member{ID: other.ID, Address: other.Peer})
	}
	running, err := control.New(control.Config{
		Name: fmt.Sprintf("control-%d", m.ID), MemberID: m.ID, GroupID: "laboratory", DataFolder: m.folder,
		Region: "laboratory", AvailabilityZone: l.config.Deployment.Zones[i%len(l.config.Deployment.Zones)],
		InitialMembers: initial, MemberSecret: memberSecret, NodeSecret: nodeSecret,
		Peer: m.Peer, Operator: m.Operator, Lease: l.config.Lease, Logger: l.config.Logger, Policy: l.config.Policy,
		Placement: placement.Config{MovesInFlight: l.config.MovesInFlight, ChurnPerMinute: l.config.ChurnPerMinute},
	})
	if err != nil {
		return fmt.Errorf("start control member %d: %w", m.ID, err)
	}
	ctx, stop := context.WithCancel(context.Background())
	m.running, m.stop, m.done = running, stop, make(chan error, 1)
	go func(done chan<- error) { done <- running.Run(ctx) }(m.done)
	return nil
}

// KillMember stops control member i without a graceful shutdown, as if its
// process had crashed.
func (l *Lab) KillMember(i int) {
	l.mu.Lock()
	m := l.members[i]
	running, done := m.running, m.done
	m.running = nil
	l.mu.Unlock()
	if running != nil {
		running.Kill()
		<-done
	}
}

// StartServer starts server i with a new node. The server must not be running.
func (l *Lab) StartServer(i int) error {
	members := l.Members()
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.servers[i]
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	config := node.Config{
		Name: "node-" + s.Name, Region: "laboratory", AvailabilityZone: s.Zone, ControlMembers: members, NodeSecret: nodeSecret,
		Callers: loopback, Peer: loopback, Backend: loopback, Operator: loopback, Log: l.config.Logger,
	}
	if l.config.PeerFaults {
		var err error
		if s.peers, err = newPeerListener(); err != nil {
			return err
		}
		config.PeerListener = s.peers
	}
	n, err := node.New(config)
	if err != nil {
		return fmt.Errorf("start node of backend server %s: %w", s.Name, err)
	}
	ctx, stop := context.WithCancel(context.Background())
	s.node, s.stop, s.done = n, stop, make(chan error, 1)
	go func(done chan<- error) { done <- n.Run(ctx) }(s.done)
	s.config.Node, s.config.Announce = n.Addresses().Callers.String(), n.Addresses().Backend.String()
	s.Backend = backend.New(s.config)
	if err := s.Backend.Start(); err != nil {
		return fmt.Errorf("start backend server %s: %w", s.Name, err)
	}
	return nil
}

// KillServer stops server i and its node without a graceful shutdown, as if their
// VM had failed.
func (l *Lab) KillServer(i int) {
	n, _, done, b := l.detachNode(i)
	if n == nil {
		return
	}
	n.Kill()
	b.Kill()
	<-done
	b.Close()
	l.servers[i].closePeers()
}

// StopServer shuts the node of server i down gracefully and then stops the
// server.
func (l *Lab) StopServer(i int) error {
	n, stop, done, b := l.detachNode(i)
	if n == nil {
		return nil
	}
	stop()
	err := <-done
	b.Close()
	l.servers[i].closePeers()
	return err
}

func (s *Server) closePeers() {
	if s.peers != nil {
		s.peers.stop()
	}
}

// detachNode marks the node of server i as stopped and returns what the caller
// needs to stop it. The returned node is nil if it was not running.
func (l *Lab) detachNode(i int) (*node.Node, context.CancelFunc, <-chan error, *backend.Server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.servers[i]
	n := s.node
	s.node = nil
	return n, s.stop, s.done, s.Backend
}

// Close stops all roles, without a graceful shutdown of nodes and members.
func (l *Lab) Close() {
	var stopping sync.WaitGroup
	for i := range l.servers {
		stopping.Go(func() { l.KillServer(i) })
	}
	stopping.Wait()
	for i := range l.members {
		stopping.Go(func() { l.KillMember(i) })
	}
	stopping.Wait()
}

// Targets returns the callers' addresses of the running nodes.
func (l *Lab) Targets() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var targets []string
	for _, s := range l.servers {
		if s.node != nil {
			targets = append(targets, s.node.Addresses().Callers.String())
		}
	}
	return targets
}

// Members returns the addresses at which nodes reach the control members.
func (l *Lab) Members() []netip.AddrPort {
	l.mu.Lock()
	defer l.mu.Unlock()
	members := make([]netip.AddrPort, 0, len(l.members))
	for _, m := range l.members {
		members = append(members, m.Peer)
	}
	return members
}

// Servers returns the servers, indexed as for StartServer and KillServer.
func (l *Lab) Servers() []*Server { return l.servers }

// Records returns the records of what ran at the backend servers.
func (l *Lab) Records() *backend.Recorder { return l.records }

// ready reports whether every running node is ready.
func (l *Lab) ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.servers {
		if s.node != nil && !s.node.Ready() {
			return false
		}
	}
	return true
}

// pollInterval is the time between two checks of a condition.
const pollInterval = 10 * time.Millisecond

// wait polls condition until it holds or ctx ends. The error contains description
// and wraps the last error of condition, or that of ctx if there was none.
func wait(ctx context.Context, description string, condition func(context.Context) (bool, error)) error {
	var last error
	for {
		ok, err := condition(ctx)
		if ok {
			return nil
		}
		if err != nil {
			last = err
		}
		select {
		case <-ctx.Done():
			if last != nil {
				return fmt.Errorf("wait for %s: %w", description, last)
			}
			return fmt.Errorf("wait for %s: %w", description, ctx.Err())
		case <-time.After(pollInterval):
		}
	}
}
