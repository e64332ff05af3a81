package node_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/jujubeknot/jujubeknot/core/rules"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
	"github.com/jujubeknot/jujubeknot/wire/v1/wirev1connect"
)

const nodeSecret = "a secret of sixteen bytes"

// fakeControl is a test double of control with one member and no log. It registers
// nodes, assigns partitions evenly to those that serve the upstream, and performs
// planned moves.
type fakeControl struct {
	wirev1connect.UnimplementedControlHandler
	address netip.AddrPort

	mu          sync.Mutex
	index       uint64
	rules       *wirev1.RulesRevision
	nodes       map[uint64]*wirev1.Node
	assignments map[string][]*wirev1.Assignment
	watchers    map[uint64]chan *wirev1.Update
	released    map[uint64]int
	// withheld has incarnations that get no updates, with the time since which they
	// get none. Responses to their renewals report how long their rules have been
	// superseded.
	withheld map[uint64]time.Time
	// failRenewals has incarnations whose renewals get an error.
	failRenewals map[uint64]bool
	// delayRenewals delays the response to each renewal until the next renewal
	// arrives, which closes nextRenewal.
	delayRenewals bool
	nextRenewal   chan struct{}
	// failReports is the number of the next reports of releases that get an error.
	failReports int
	// holdReports leaves reports of releases without a response, and heldReports
	// counts them.
	holdReports bool
	heldReports int
	// holdReturns leaves returned leases without a response.
	holdReturns bool
	// renewals is the number of renewals received.
	renewals int
	// keyed has the number of partitions of each keyed upstream.
	keyed   map[string]uint32
	leaseMs uint32
	// expected is the number of backend servers that must be registered before
	// partitions are assigned.
	expected int
	reports  []*wirev1.ReleasedPartition
}

func newControl(t testing.TB, text string) *fakeControl {
	set, faults := rules.Parse(text)
	if err := faults.Err(); err != nil {
		t.Fatal(err)
	}
	c := &fakeControl{
		index: 1, rules: &wirev1.RulesRevision{Revision: 1, Text: text}, nodes: map[uint64]*wirev1.Node{},
		assignments: map[string][]*wirev1.Assignment{}, watchers: map[uint64]chan *wirev1.Update{},
		released: map[uint64]int{}, failRenewals: map[uint64]bool{}, withheld: map[uint64]time.Time{}, keyed: map[string]uint32{}, leaseMs: 1500,
	}
	for _, u := range set.Upstreams {
		if u.Keyed {
			c.keyed[u.Name] = u.Partitions
		}
	}
	mux := http.NewServeMux()
	mux.Handle(wirev1connect.NewControlHandler(c))
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: mux, Protocols: protocols}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	c.address = netip.MustParseAddrPort(l.Addr().String())
	return c
}

func authorized(h http.Header) error {
	if h.Get("Authorization") != "Bearer "+nodeSecret {
		return connect.NewError(connect.CodeUnauthenticated, nil)
	}
	return nil
}

// publish sends an update to all watchers. The caller holds c.mu.
func (c *fakeControl) publish(u *wirev1.Update) {
	c.index++
	u.Index = c.index
	for _, w := range c.watchers {
		w <- u
	}
}

// assignPartitions assigns partitions without a registered owner to the nodes that
// serve the upstream. The caller holds c.mu.
func (c *fakeControl) assignPartitions() {
	servers := 0
	for _, n := range c.nodes {
		if n.GetBackendServer() != nil {
			servers++
		}
	}
	if servers < c.expected {
		return
	}
	c.expected = 0
	u := &wirev1.Update{}
	for name, count := range c.keyed {
		var serving []uint64
		for i := uint64(1); i <= c.index; i++ {
			if n := c.nodes[i]; n.GetBackendServer().GetUpstream() == name && !n.GetDraining() {
				serving = append(serving, i)
			}
		}
		for len(c.assignments[name]) < int(count) {
			c.assignments[name] = append(c.assignments[name], &wirev1.Assignment{Upstream: name, Partition: uint32(len(c.assignments[name]))})
		}
		for i, a := range c.assignments[name] {
			if len(serving) == 0 || c.nodes[a.GetOwner()] != nil {
				continue
			}
			a = &wirev1.Assignment{Upstream: name, Partition: uint32(i), Owner: serving[i%len(serving)], Epoch: a.GetEpoch() + 1}
			c.assignments[name][i] = a
			u.Assignments = append(u.Assignments, a)
		}
	}
	if len(u.GetAssignments()) > 0 {
		c.publish(u)
	}
}

func (c *fakeControl) Register(_ context.Context, r *connect.Request[wirev1.RegisterRequest]) (*connect.Response[wirev1.RegisterResponse], error) {
	if err := authorized(r.Header()); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	u := &wirev1.Update{}
	if c.nodes[r.Msg.GetPrevious()] != nil {
		delete(c.nodes, r.Msg.GetPrevious())
		u.RemovedNodes = []uint64{r.Msg.GetPrevious()}
	}
	n := proto.CloneOf(r.Msg.GetNode())
	n.Incarnation = c.index + 1
	c.nodes[n.GetIncarnation()] = n
	u.Nodes = []*wirev1.Node{n}
	c.publish(u)
	c.assignPartitions()
	return connect.NewResponse(&wirev1.RegisterResponse{Incarnation: n.GetIncarnation(), LeaseMs: c.leaseMs, RenewIntervalMs: 100}), nil
}

func (c *fakeControl) Renew(ctx context.Context, r *connect.Request[wirev1.RenewRequest]) (*connect.Response[wirev1.RenewResponse], error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.renewals++
	if c.nextRenewal != nil {
		close(c.nextRenewal)
		c.nextRenewal = nil
	}
	if c.delayRenewals {
		next := make(chan struct{})
		c.nextRenewal = next
		c.mu.Unlock()
		select {
		case <-next:
			c.mu.Lock()
		case <-ctx.Done():
			c.mu.Lock()
			return nil, ctx.Err()
		}
	}
	n := c.nodes[r.Msg.GetIncarnation()]
	if c.failRenewals[r.Msg.GetIncarnation()] {
		return nil, connect.NewError(connect.CodeUnavailable, nil)
	}
	if n == nil {
		return connect.NewResponse(&wirev1.RenewResponse{Sequence: r.Msg.GetSequence(), Lost: true}), nil
	}
	if n.GetDraining() != r.Msg.GetDraining() {
		n = proto.CloneOf(n)
		n.Draining = r.Msg.GetDraining()
		c.nodes[n.GetIncarnation()] = n
		c.publish(&wirev1.Update{Nodes: []*wirev1.Node{n}})
		if n.GetDraining() {
			c.releaseAll(n.GetIncarnation())
		}
	}
	response := &wirev1.RenewResponse{Sequence: r.Msg.GetSequence(), LeaseMs: c.leaseMs}
	if since, ok := c.withheld[r.Msg.GetIncarnation()]; ok && r.Msg.GetRulesRevision() < c.rules.GetRevision() {
		response.SupersededMs = uint32(time.Since(since).Milliseconds()) + 1
	}
	return connect.NewResponse(response), nil
}

// releaseAll instructs an owner to release all of its partitions of each upstream
// that another node serves. The caller holds c.mu.
func (c *fakeControl) releaseAll(owner uint64) {
	u := &wirev1.Update{Index: c.index}
	for name, list := range c.assignments {
		if c.otherServing(name, owner) == 0 {
			continue
		}
		for _, a := range list {
			if a.GetOwner() == owner {
				u.Releases = append(u.Releases, &wirev1.Release{Upstream: name, Partition: a.GetPartition(), Epoch: a.GetEpoch(), TimeoutMs: 2000})
			}
		}
	}
	if w := c.watchers[owner]; w != nil && len(u.GetReleases()) > 0 {
		w <- u
	}
}

// otherServing returns another node that serves the upstream and is not draining, or
// 0. The caller holds c.mu.
func (c *fakeControl) otherServing(upstream string, owner uint64) uint64 {
	for i, n := range c.nodes {
		if i != owner && n.GetBackendServer().GetUpstream() == upstream && !n.GetDraining() {
			return i
		}
	}
	return 0
}

func (c *fakeControl) Released(ctx context.Context, r *connect.Request[wirev1.ReleasedRequest]) (*connect.Response[wirev1.ReleasedResponse], error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holdReports {
		c.heldReports++
		c.mu.Unlock()
		<-ctx.Done()
		c.mu.Lock()
		return nil, ctx.Err()
	}
	if c.failReports > 0 {
		c.failReports--
		return nil, connect.NewError(connect.CodeUnavailable, nil)
	}
	u := &wirev1.Update{MovedRequests: r.Msg.GetMovedRequests()}
	for _, p := range r.Msg.GetPartitions() {
		c.reports = append(c.reports, p)
		a := c.assignments[p.GetUpstream()][p.GetPartition()]
		if p.GetPutOff() || a.GetEpoch() != p.GetEpoch() {
			continue
		}
		a = &wirev1.Assignment{
			Upstream: p.GetUpstream(), Partition: p.GetPartition(), Owner: c.otherServing(p.GetUpstream(), r.Msg.GetIncarnation()),
			Epoch: a.GetEpoch() + 1, Planned: true,
		}
		c.assignments[p.GetUpstream()][p.GetPartition()] = a
		u.Assignments = append(u.Assignments, a)
	}
	if len(u.GetAssignments()) > 0 {
		c.publish(u)
	}
	return connect.NewResponse(&wirev1.ReleasedResponse{}), nil
}

func (c *fakeControl) Deregister(ctx context.Context, r *connect.Request[wirev1.DeregisterRequest]) (*connect.Response[wirev1.DeregisterResponse], error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holdReturns {
		c.mu.Unlock()
		<-ctx.Done()
		c.mu.Lock()
		return nil, ctx.Err()
	}
	if c.nodes[r.Msg.GetIncarnation()] != nil {
		delete(c.nodes, r.Msg.GetIncarnation())
		c.publish(&wirev1.Update{RemovedNodes: []uint64{r.Msg.GetIncarnation()}})
		c.assignPartitions()
	}
	return connect.NewResponse(&wirev1.DeregisterResponse{}), nil
}

func (c *fakeControl) Watch(ctx context.Context, r *connect.Request[wirev1.WatchRequest], s *connect.ServerStream[wirev1.Update]) error {
	c.mu.Lock()
	full := &wirev1.Update{Index: c.index, Snapshot: true, Rules: c.rules}
	for _, n := range c.nodes {
		full.Nodes = append(full.Nodes, n)
	}
	for _, list := range c.assignments {
		full.Assignments = append(full.Assignments, list...)
	}
	updates := make(chan *wirev1.Update, 4096)
	c.watchers[r.Msg.GetIncarnation()] = updates
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.watchers[r.Msg.GetIncarnation()] == updates {
			delete(c.watchers, r.Msg.GetIncarnation())
		}
	}()
	if err := s.Send(full); err != nil {
		return err
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case u := <-updates:
			if err := s.Send(u); err != nil {
				return err
			}
		}
	}
}
