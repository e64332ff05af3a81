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

// Secrets of the lab. All roles run in one process and on loopback only.
const (
	memberSecret = "laboratory-member-secret"
	nodeSecret   = "laboratory-node-secret"
)

// Lab is a running system. Its methods are safe for concurrent use.
type Lab struct {
	config  Config
	records *backend.Recorder
	// attached are operators' addresses of members that others run.
	attached  []string
	operators *operator.Client

	mu      sync.Mutex
	members []*Member
	servers []*Server
	rules   rulesFile
}

// Member is one control member.
type Member struct {
	ID       uint64
	Peer     netip.AddrPort
	Operator netip.AddrPort
	folder   string
	running  *control.Member
	stop     context.CancelFunc
	ended    chan error
}

// Server is one backend server with the node beside it.
type Server struct {
	Name     string
	Upstream string
	Zone     string
	Backend  *backend.Server
	config   backend.Config
	node     *node.Node
	// peers is nil without Config.PeerFaults.
	peers *peerListener
	stop  context.CancelFunc
	ended chan error
}

// Start starts all roles. It returns once they listen; use WaitReady to wait
// until requests are served.
func Start(config Config) (*Lab, error) {
	if config.Folder == "" || len(config.Deployment.Zones) == 0 || len(config.Deployment.Upstreams) == 0 {
		return nil, errors.New("lab: folder, zones and upstreams are required")
	}
	if config.Members == 0 {
		config.Members = DefaultMembers
	}
	l := &Lab{config: config, records: backend.NewRecorder(0)}
	l.operators = newOperators(l)
	l.rules.text = config.Deployment.Rules
	if err := l.start(); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

// Attach returns a Lab without roles of its own that operates a system through
// the operators' address of its only control member.
func Attach(rules, address string) *Lab {
	l := &Lab{attached: []string{address}, rules: rulesFile{text: rules}, records: backend.NewRecorder(0)}
	l.operators = newOperators(l)
	return l
}

func newOperators(l *Lab) *operator.Client {
	return operator.New(operator.Config{Addresses: l.operatorAddresses, CallTimeout: callTimeout, Poll: poll})
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
	place := 0
	for _, u := range l.config.Deployment.Upstreams {
		for i := range u.Servers {
			zone := l.config.Deployment.Zones[place%len(l.config.Deployment.Zones)]
			s := &Server{Name: fmt.Sprintf("%s-%d", u.Name, i+1), Upstream: u.Name, Zone: zone, config: u.Server}
			s.config.Name, s.config.Upstream, s.config.Zone = s.Name, u.Name, zone
			s.config.Seed, s.config.Records = l.config.Seed+uint64(place), l.records
			l.servers = append(l.servers, s)
			if err := l.StartServer(place); err != nil {
				return err
			}
			place++
		}
	}
	return nil
}

// freeAddress returns a loopback address whose port was free just now.
func freeAddress() (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("find a free port: %w", err)
	}
	defer listener.Close()
	return netip.ParseAddrPort(listener.Addr().String())
}

// StartMember starts control member i, which must not run, on its old data.
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
	m.running, m.stop, m.ended = running, stop, make(chan error, 1)
	go func(ended chan<- error) { ended <- running.Run(ctx) }(m.ended)
	return nil
}

// KillMember ends control member i as the loss of its process would.
func (l *Lab) KillMember(i int) {
	l.mu.Lock()
	m := l.members[i]
	running, ended := m.running, m.ended
	m.running = nil
	l.mu.Unlock()
	if running != nil {
		running.Kill()
		<-ended
	}
}

// StartServer starts server i, which must not run, with a new node.
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
		return fmt.Errorf("start the node of %s: %w", s.Name, err)
	}
	ctx, stop := context.WithCancel(context.Background())
	s.node, s.stop, s.ended = n, stop, make(chan error, 1)
	go func(ended chan<- error) { ended <- n.Run(ctx) }(s.ended)
	s.config.Node, s.config.Announce = n.Addresses().Callers.String(), n.Addresses().Backend.String()
	s.Backend = backend.New(s.config)
	if err := s.Backend.Start(); err != nil {
		return fmt.Errorf("start backend server %s: %w", s.Name, err)
	}
	return nil
}

// KillServer ends server i and its node as the loss of their VM would.
func (l *Lab) KillServer(i int) {
	n, _, ended, b := l.takeServer(i)
	if n == nil {
		return
	}
	n.Kill()
	b.Kill()
	<-ended
	b.Close()
	l.servers[i].endPeers()
}

// StopServer ends the node of server i gracefully, then the server.
func (l *Lab) StopServer(i int) error {
	n, stop, ended, b := l.takeServer(i)
	if n == nil {
		return nil
	}
	stop()
	err := <-ended
	b.Close()
	l.servers[i].endPeers()
	return err
}

func (s *Server) endPeers() {
	if s.peers != nil {
		s.peers.stop()
	}
}

func (l *Lab) takeServer(i int) (*node.Node, context.CancelFunc, <-chan error, *backend.Server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.servers[i]
	n := s.node
	s.node = nil
	return n, s.stop, s.ended, s.Backend
}

// Close ends all roles. Nodes and members are not stopped gracefully.
func (l *Lab) Close() {
	var group sync.WaitGroup
	for i := range l.servers {
		group.Go(func() { l.KillServer(i) })
	}
	group.Wait()
	for i := range l.members {
		group.Go(func() { l.KillMember(i) })
	}
	group.Wait()
}

// Targets returns the callers' addresses of the nodes that run.
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

// Members returns the addresses of the control members for nodes.
func (l *Lab) Members() []netip.AddrPort {
	l.mu.Lock()
	defer l.mu.Unlock()
	members := make([]netip.AddrPort, 0, len(l.members))
	for _, m := range l.members {
		members = append(members, m.Peer)
	}
	return members
}

// Servers returns the servers in the order of their numbers.
func (l *Lab) Servers() []*Server { return l.servers }

// Records returns what ran at the backend servers.
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

// poll is the time between two looks at a condition.
const poll = 10 * time.Millisecond

// wait waits until a condition holds or the context ends.
func wait(ctx context.Context, what string, holds func(context.Context) (bool, error)) error {
	var last error
	for {
		ok, err := holds(ctx)
		if ok {
			return nil
		}
		if err != nil {
			last = err
		}
		select {
		case <-ctx.Done():
			if last != nil {
				return fmt.Errorf("wait for %s: %w", what, last)
			}
			return fmt.Errorf("wait for %s: %w", what, ctx.Err())
		case <-time.After(poll):
		}
	}
}
