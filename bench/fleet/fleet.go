// Package fleet runs many idle nodes, or minimal stand-ins for their backend
// servers, in one process. Nodes and control members then run in different
// processes, so the cost of each can be measured per process.
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
	// Control lists the peer addresses of the control members.
	Control []netip.AddrPort
	// FirstPort is the port on which node 0 listens for its backend server.
	// Node i listens on FirstPort+i.
	FirstPort uint16
	// Zones is the number of availability zones, default 5. Node i is in zone
	// i modulo Zones.
	Zones  int
	Secret string
	// Logger receives the log lines of all nodes. The zero value discards them.
	Logger zerolog.Logger
}

// defaultZones is the number of availability zones that the design assumes.
const defaultZones = 5

// Nodes runs idle nodes in one process. Its methods are safe for concurrent
// use.
type Nodes struct {
	config Config
	mu     sync.Mutex
	nodes  []*runningNode
}

type runningNode struct {
	node *node.Node
	stop context.CancelFunc
	// result receives the error of Run once it returns.
	result chan error
}

// New starts all nodes. If one fails to start, those already started are
// killed.
func New(config Config) (*Nodes, error) {
	if config.Count < 1 || config.FirstPort == 0 || int(config.FirstPort)+config.Count > 1<<16 {
		return nil, errors.Errorf("fleet: %d nodes from port %d, expected at least 1 node and ports up to 65535", config.Count, config.FirstPort)
	}
	if config.Zones <= 0 {
		config.Zones = defaultZones
	}
	f := &Nodes{config: config, nodes: make([]*runningNode, config.Count)}
	for i := range f.nodes {
		if err := f.Start(i); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// Start starts node i, which must not be running.
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
	r := &runningNode{node: n, stop: stop, result: make(chan error, 1)}
	go func() { r.result <- n.Run(ctx) }()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[i] = r
	return nil
}

// remove removes node i and returns it, or nil if it is not running.
func (f *Nodes) remove(i int) *runningNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.nodes[i]
	f.nodes[i] = nil
	return r
}

// Kill ends node i abruptly, as if its process had crashed. It does nothing if
// the node is not running.
func (f *Nodes) Kill(i int) {
	if r := f.remove(i); r != nil {
		r.node.Kill()
		r.stop()
		<-r.result
	}
}

// Stop shuts node i down gracefully. It does nothing if the node is not
// running.
func (f *Nodes) Stop(i int) error {
	r := f.remove(i)
	if r == nil {
		return nil
	}
	r.stop()
	return <-r.result
}

// Close kills all nodes without moving their partitions first.
func (f *Nodes) Close() {
	var group sync.WaitGroup
	for i := range f.nodes {
		group.Go(func() { f.Kill(i) })
	}
	group.Wait()
}

// Handler serves the commands of a measurement: POST /kill, /stop and /start.
// Each takes the parameters from, step and count, which select the nodes from,
// from+step and so on. The response is sent once all of them are done.
func (f *Nodes) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /kill", f.forEachSelected(func(i int) error { f.Kill(i); return nil }))
	mux.HandleFunc("POST /stop", f.forEachSelected(f.Stop))
	mux.HandleFunc("POST /start", f.forEachSelected(f.Start))
	return mux
}

// forEachSelected runs a command concurrently for every node that the request
// selects.
func (f *Nodes) forEachSelected(command func(int) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		from, step, count, err := selection(r)
		if err == nil && (from < 0 || step < 1 || count < 1 || from+step*(count-1) >= len(f.nodes)) {
			err = errors.Errorf("from %d, step %d, count %d: expected indices of %d nodes", from, step, count, len(f.nodes))
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		failures := make([]error, count)
		var group sync.WaitGroup
		for k := range count {
			group.Go(func() { failures[k] = command(from + k*step) })
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
