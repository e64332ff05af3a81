// Package fleet runs many idle nodes, or the minimal stand-ins of their backend
// servers, in one process, so that what control members and nodes cost can be
// told apart by process.
package fleet

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"sync"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/jujubeknot/jujubeknot/node"
)

// Config configures Nodes. Count, Control, FirstPort and Secret are required.
type Config struct {
	Count int
	// Control has the peer addresses of the control members.
	Control []netip.AddrPort
	// FirstPort is the port at which node 0 listens for its backend server.
	// Node i listens at FirstPort+i.
	FirstPort uint16
	// Zones is the number of availability zones, default 5. Node i is in zone
	// i modulo Zones.
	Zones  int
	Secret string
	// Logger gets the log lines of all nodes. The zero value drops them.
	Logger zerolog.Logger
}

// defaultZones is the number of availability zones to design for.
const defaultZones = 5

// Nodes are idle nodes in one process. Its methods are safe for concurrent use.
type Nodes struct {
	config Config
	mu     sync.Mutex
	nodes  []*running
}

type running struct {
	node  *node.Node
	stop  context.CancelFunc
	ended chan error
}

// New starts all nodes.
func New(config Config) (*Nodes, error) {
	if config.Count < 1 || config.FirstPort == 0 || int(config.FirstPort)+config.Count > 1<<16 {
		return nil, errors.Errorf("fleet: %d nodes from port %d, expected at least 1 node and ports up to 65535", config.Count, config.FirstPort)
	}
	if config.Zones <= 0 {
		config.Zones = defaultZones
	}
	f := &Nodes{config: config, nodes: make([]*running, config.Count)}
	for i := range f.nodes {
		if err := f.Start(i); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// Start starts node i, which must not run.
func (f *Nodes) Start(i int) error {
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	n, err := node.New(node.Config{
		Name: fmt.Sprintf("node-%d", i), Region: "laboratory", AvailabilityZone: fmt.Sprintf("zone-%d", i%f.config.Zones+1),
		ControlMembers: f.config.Control, NodeSecret: f.config.Secret,
		Callers: loopback, Peer: loopback, Operator: loopback,
		Backend: netip.AddrPortFrom(loopback.Addr(), f.config.FirstPort+uint16(i)), Log: f.config.Logger,
	})
	if err != nil {
		return fmt.Errorf("start node %d: %w", i, err)
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &running{node: n, stop: stop, ended: make(chan error, 1)}
	go func() { r.ended <- n.Run(ctx) }()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[i] = r
	return nil
}

// take returns node i and forgets it, nil if it does not run.
func (f *Nodes) take(i int) *running {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.nodes[i]
	f.nodes[i] = nil
	return r
}

// Kill ends node i as the loss of its process would.
func (f *Nodes) Kill(i int) {
	if r := f.take(i); r != nil {
		r.node.Kill()
		r.stop()
		<-r.ended
	}
}

// Stop ends node i gracefully.
func (f *Nodes) Stop(i int) error {
	r := f.take(i)
	if r == nil {
		return nil
	}
	r.stop()
	return <-r.ended
}

// Close ends all nodes without moves.
func (f *Nodes) Close() {
	var group sync.WaitGroup
	for i := range f.nodes {
		group.Go(func() { f.Kill(i) })
	}
	group.Wait()
}

// Handler serves the orders of a measurement: POST /kill, /stop and /start,
// each with the parameters from, step and count, which name the nodes from,
// from+step and so on. It answers when all are done.
func (f *Nodes) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /kill", f.order(func(i int) error { f.Kill(i); return nil }))
	mux.HandleFunc("POST /stop", f.order(f.Stop))
	mux.HandleFunc("POST /start", f.order(f.Start))
	return mux
}

// order runs an order for each node that a request names, all at once.
func (f *Nodes) order(do func(int) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		from, step, count, err := selection(r)
		if err == nil && (from < 0 || step < 1 || count < 1 || from+step*(count-1) >= len(f.nodes)) {
			err = errors.Errorf("from %d, step %d, count %d: expected places of %d nodes", from, step, count, len(f.nodes))
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		failures := make([]error, count)
		var group sync.WaitGroup
		for k := range count {
			group.Go(func() { failures[k] = do(from + k*step) })
		}
		group.Wait()
		for _, err := range failures {
			if err != nil {
				http.Error(w, err.Error(), http.StatusInternalServerError)
				return
			}
		}
	}
}

func selection(r *http.Request) (from, step, count int, err error) {
	for name, target := range map[string]*int{"from": &from, "step": &step, "count": &count} {
		if *target, err = strconv.Atoi(r.FormValue(name)); err != nil {
			return 0, 0, 0, fmt.Errorf("parameter %s: %w", name, err)
		}
	}
	return from, step, count, nil
}
