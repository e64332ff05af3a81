package leader_test

import (
	"cmp"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/control/internal/leader"
	"github.com/jujubeknot/jujubeknot/core/lease"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// TestNodeBehindRules guards against a node that keeps its lease while it
// applies rules that were replaced.
func TestNodeBehindRules(t *testing.T) {
	s := newSettledSimulation(t)
	l := s.currentLeader().leader
	s.applyRules(t, deskRules+"zone z out # t: test\n")
	renew := func() *wirev1.RenewResponse {
		r, err := l.Renew(context.Background(), &wirev1.RenewRequest{Incarnation: s.nodes[0].incarnation, Sequence: 1 << 20, RulesRevision: 1})
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	if r := renew(); r.GetLeaseMs() == 0 || r.GetBehind() {
		t.Errorf("renewal right after the change: %v, want a lease", r)
	}
	s.now += time.Second / 2
	if r := renew(); r.GetSupersededMs() != 500 || r.GetLeaseMs() == 0 {
		t.Errorf("renewal 500 ms after the change: %v, want a lease and superseded for 500 ms", r)
	}
	s.now += time.Second/2 + time.Millisecond
	if r := renew(); r.GetLeaseMs() != 0 || !r.GetBehind() || r.GetLost() || r.GetSupersededMs() != 1001 {
		t.Errorf("renewal 1001 ms after the change: %v, want no lease, behind and not lost", r)
	}
}

// TestSnapshotQueueKeepsRegistration guards against nodes that are removed
// because the leader has not sent them a snapshot yet. It also guards against a
// lease for a node without the rules, and against a node that stays registered
// without a time limit.
func TestSnapshotQueueKeepsRegistration(t *testing.T) {
	s := newSettledSimulation(t)
	l, n := s.currentLeader().leader, s.nodes[0]
	s.nodes = s.nodes[1:]
	s.run(t, 500*time.Millisecond)
	stream, err := l.Watch(context.Background(), &wirev1.WatchRequest{Incarnation: n.incarnation})
	if err != nil {
		t.Fatal(err)
	}
	if await, err := stream.AwaitSnapshot(); err != nil || !await {
		t.Fatalf("stream of a node without a state: awaits a snapshot %v, %v; want true", await, err)
	}
	registered := func(duration time.Duration) bool {
		for end := s.now + duration; s.now < end; {
			s.run(t, 400*time.Millisecond)
			r, err := l.Renew(context.Background(), &wirev1.RenewRequest{Incarnation: n.incarnation, Sequence: uint64(s.now)})
			if err != nil {
				t.Fatal(err)
			}
			if r.GetLeaseMs() != 0 {
				t.Fatalf("a node without the rules got a lease: %v", r)
			}
		}
		return s.state.Node(n.incarnation) != nil
	}
	if !registered(4 * time.Second) {
		t.Error("the node was removed while it waited for its snapshot")
	}
	if registered(5 * time.Second) {
		t.Error("the node is still registered although its snapshot was not sent in time")
	}
}

// TestResumeWithDelta guards against a snapshot for a node that lost its lease
// and registers again with its earlier table. It also guards against sending an
// outdated snapshot to nodes that gave up partitions after it was made.
func TestResumeWithDelta(t *testing.T) {
	s := newSettledSimulation(t)
	n := s.nodes[0]
	index := n.index
	s.now += 2 * lease.Config{}.GranterDuration()
	s.runLeader(t)
	s.register(n)
	stream, err := s.currentLeader().leader.Watch(context.Background(), &wirev1.WatchRequest{Incarnation: n.incarnation, FromIndex: index})
	if err != nil {
		t.Fatal(err)
	}
	if await, err := stream.AwaitSnapshot(); err != nil || await {
		t.Errorf("stream of a node with a known index: awaits a snapshot %v, %v; want false", await, err)
	}
	if u, err := stream.Next(); err != nil || u.GetSnapshot() || u.GetIndex() != s.index {
		t.Errorf("update for a node with a known index: %v, %v; want a delta to the newest index", u, err)
	}
	for range 2 {
		stream, err = s.currentLeader().leader.Watch(context.Background(), &wirev1.WatchRequest{Incarnation: n.incarnation})
		if err != nil {
			t.Fatal(err)
		}
		if u, err := stream.Next(); err != nil || !u.GetSnapshot() || u.GetIndex() != s.index {
			t.Errorf("snapshot at index %d, want one at %d: %v", u.GetIndex(), s.index, err)
		}
		s.apply(&wirev1.Command{Kind: &wirev1.Command_RegisterNode{RegisterNode: &wirev1.RegisterNode{Node: nodeOf(fmt.Sprint("new", s.index), "a")}}})
	}
}

// TestServerNameIsHeld guards against two processes that both own the
// partitions of one backend server name. The incarnation with a valid lease
// keeps the name. A restarted process gets it when the lease of the earlier
// process has ended.
func TestServerNameIsHeld(t *testing.T) {
	s := newSettledSimulation(t)
	second := &wirev1.RegisterRequest{Node: nodeOf("s1", "b"), RequestId: "second"}
	second.Node.PeerAddress = "127.0.0.1:2"
	register := func() (*wirev1.RegisterResponse, error) {
		return s.currentLeader().leader.Register(context.Background(), second)
	}
	var taken *leader.NameTakenError
	if _, err := register(); !errors.As(err, &taken) || taken.Address != "127.0.0.1:1" || taken.Holder != s.nodes[0].incarnation {
		t.Fatalf("second process: error %v, want NameTakenError with the holder", err)
	}
	s.nodes = s.nodes[1:]
	s.run(t, lease.Config{}.GranterDuration()-60*time.Millisecond)
	if _, err := register(); !errors.As(err, &taken) {
		t.Fatalf("second process before the lease of the first has ended: error %v, want NameTakenError", err)
	}
	s.now += 60 * time.Millisecond
	got, err := register()
	if err != nil {
		t.Fatal(err)
	}
	again, err := register()
	if err != nil || again.GetIncarnation() != got.GetIncarnation() {
		t.Errorf("resent registration: %v, %v; want incarnation %d", again, err, got.GetIncarnation())
	}
}

// TestRegistrationResponseLost guards against a node that can never get its
// name again because the response to its registration was lost.
func TestRegistrationResponseLost(t *testing.T) {
	s := newSimulation(t)
	s.dropResponse = func() bool { return true }
	request := &wirev1.RegisterRequest{Node: nodeOf("s9", "b"), RequestId: "r"}
	if _, err := s.currentLeader().leader.Register(context.Background(), request); !errors.Is(err, errResponseLost) {
		t.Fatalf("registration with lost response: error %v, want errResponseLost", err)
	}
	s.dropResponse = func() bool { return false }
	first := s.state.NodeByServer("s9").GetIncarnation()
	if got, err := s.currentLeader().leader.Register(context.Background(), request); err != nil || got.GetIncarnation() != first {
		t.Errorf("resent registration: %v, %v; want incarnation %d", got, err, first)
	}
	for range 2 {
		s.run(t, 2*lease.Config{}.GranterDuration())
		if s.state.NodeByServer("s9") != nil {
			t.Fatal("the lease has not ended after twice its duration")
		}
		got, err := s.currentLeader().leader.Register(context.Background(), request)
		if err != nil || got.GetIncarnation() <= first {
			t.Fatalf("registration resent after the end of the lease: %v, %v; want a new incarnation", got, err)
		}
		if again, err := s.currentLeader().leader.Register(context.Background(), request); err != nil || again.GetIncarnation() != got.GetIncarnation() {
			t.Errorf("registration resent once more: %v, %v; want incarnation %d", again, err, got.GetIncarnation())
		}
	}
}

// TestDrainOfReplacedNode guards against a drain that is reported as successful
// although the node registered again during the request and gets new work.
func TestDrainOfReplacedNode(t *testing.T) {
	s := newSettledSimulation(t)
	old := s.nodes[0].incarnation
	s.beforePropose = func() {
		s.beforePropose = func() {}
		s.apply(&wirev1.Command{Kind: &wirev1.Command_RemoveNode{RemoveNode: &wirev1.RemoveNode{Incarnation: old, Reason: "test"}}})
	}
	if r, err := s.currentLeader().leader.Drain(context.Background(), "s1", false); !errors.Is(err, leader.ErrServerChanged) {
		t.Errorf("drain of a node that was replaced: %v, error %v; want ErrServerChanged", r, err)
	}
	if _, err := s.currentLeader().leader.Drain(context.Background(), "s2", false); err != nil || !s.state.NodeByServer("s2").GetDraining() {
		t.Errorf("drain of s2: error %v, draining in the state must be set", err)
	}
}

// TestExplainTime guards against an explanation without the time at which the
// owner got its partition, or with the time of another change.
func TestExplainTime(t *testing.T) {
	s := newSettledSimulation(t)
	key := keyOn(t, s, "s1")
	first, err := s.currentLeader().leader.Explain(context.Background(), "desk", key)
	if err != nil {
		t.Fatal(err)
	}
	before := wallClock{s.group}.Now().UnixMilli()
	if _, err := s.currentLeader().leader.Drain(context.Background(), "s1", false); err != nil {
		t.Fatal(err)
	}
	s.run(t, time.Second)
	r, err := s.currentLeader().leader.Explain(context.Background(), "desk", key)
	if err != nil || len(r.GetLastMoves()) != 2 {
		t.Fatalf("explain after the move: %v, %v; want 2 latest moves", r, err)
	}
	after := wallClock{s.group}.Now().UnixMilli()
	if at := r.GetAssignment().GetSinceUnixMs(); at < before || at > after {
		t.Errorf("moved at %d, want a time from %d to %d", at, before, after)
	}
	if at := r.GetLastMoves()[1].GetSinceUnixMs(); at == 0 || at != first.GetAssignment().GetSinceUnixMs() || at > before {
		t.Errorf("earlier move at %d, want %d", at, first.GetAssignment().GetSinceUnixMs())
	}
}

// TestAddressReusedByAnotherVM guards against keys without an owner for a full
// lease duration although another VM registers with the addresses of the lost
// one and of its backend server. It also guards against ending the lease while
// either of them may still run.
func TestAddressReusedByAnotherVM(t *testing.T) {
	s := newSettledSimulation(t)
	register := func(name, server, serverAddress string, takesOver bool) uint64 {
		n := nodeOf(server, "a")
		n.Name, n.PeerAddress, n.BackendServer.Address = name, "10.0.0.9:7000", serverAddress
		if server == "" {
			n.BackendServer = nil
		}
		r, err := s.currentLeader().leader.Register(context.Background(), &wirev1.RegisterRequest{
			Node: n, RequestId: fmt.Sprint(name, s.index), TakesOver: takesOver,
		})
		if err != nil {
			t.Fatal(err)
		}
		s.runLeader(t)
		return r.GetIncarnation()
	}
	lost := register("vm-lost", "s5", "10.0.0.9:8000", true)
	for _, c := range []struct {
		name, server, address string
		takesOver, ended      bool
	}{
		{"vm-a", "", "", true, false},
		{"vm-b", "s6", "10.0.0.9:8001", true, false},
		{"vm-c", "s7", "10.0.0.9:8000", false, false},
		{"vm-d", "s8", "10.0.0.9:8000", true, true},
	} {
		register(c.name, c.server, c.address, c.takesOver)
		if ended := s.state.Node(lost) == nil; ended != c.ended {
			t.Errorf("after %q with server %q at %q registered: ended %v, want %v", c.name, c.server, c.address, ended, c.ended)
		}
	}
}

// TestEarlierServer guards against a node that waits for the next heartbeat of
// a backend server which continued to serve while the node's process was
// restarted. It also guards against taking over a backend server that is
// leaving, is cold, has no partitions or belongs to another VM.
func TestEarlierServer(t *testing.T) {
	for _, c := range []struct {
		name                    string
		draining, cold          bool
		leaseEnded, idle        bool
		vm                      string
		namesServer, noTakeover bool
		want                    string
	}{
		{name: "restart", want: "s5"},
		{name: "draining", draining: true},
		{name: "cold", cold: true},
		{name: "lease ended", leaseEnded: true},
		{name: "no partitions", idle: true},
		{name: "another VM", vm: "vm-b"},
		{name: "names its own server", namesServer: true},
		{name: "does not take over", noTakeover: true},
	} {
		s := newSettledSimulation(t)
		earlier := nodeOf("s5", "a")
		earlier.Name, earlier.PeerAddress, earlier.Draining, earlier.Cold = "vm-a", "10.0.0.9:7000", c.draining, c.cold
		l := s.currentLeader().leader
		r, err := l.Register(context.Background(), &wirev1.RegisterRequest{Node: earlier, RequestId: "earlier", TakesOver: true})
		if err != nil {
			t.Fatal(err)
		}
		if !c.idle {
			s.assign(3, r.GetIncarnation())
		}
		if c.leaseEnded {
			s.now += lease.Config{}.GranterDuration()
		}
		next := nodeOf("s6", "a")
		next.Name, next.PeerAddress = cmp.Or(c.vm, "vm-a"), "10.0.0.9:7000"
		if !c.namesServer {
			next.BackendServer = nil
		}
		r, err = l.Register(context.Background(), &wirev1.RegisterRequest{Node: next, RequestId: "next", TakesOver: !c.noTakeover})
		if err != nil {
			t.Fatal(err)
		}
		if got := r.GetEarlierServer().GetName(); got != c.want {
			t.Errorf("%s: earlier server %q, want %q", c.name, got, c.want)
		}
	}
}

// assign assigns a partition to a node.
func (s *simulation) assign(partition uint32, incarnation uint64) {
	s.apply(&wirev1.Command{Kind: &wirev1.Command_Assign{Assign: &wirev1.Assign{Changes: []*wirev1.AssignChange{{
		Upstream: "desk", Partition: partition, ExpectedEpoch: s.state.Assignment("desk", partition).GetEpoch(), Owner: incarnation, Planned: true,
	}}}}})
}

// TestServerRegisteredAfterNode guards against a restarted node that waits for
// the end of the earlier process's lease because it registered before it knew
// its backend server.
func TestServerRegisteredAfterNode(t *testing.T) {
	s := newSettledSimulation(t)
	bootID := "boot-1"
	register := func(server string, previous uint64) uint64 {
		n := nodeOf("s5", "a")
		n.Name, n.PeerAddress, n.BackendServer.BootId = "vm-a", "10.0.0.9:7000", bootID
		if server == "" {
			n.BackendServer = nil
		}
		r, err := s.currentLeader().leader.Register(context.Background(), &wirev1.RegisterRequest{
			Node: n, RequestId: fmt.Sprint(server, s.index), Previous: previous, TakesOver: true,
		})
		if err != nil {
			t.Fatal(err)
		}
		return r.GetIncarnation()
	}
	earlier := register("s5", 0)
	s.assign(3, earlier)
	last := register("s5", register("", 0))
	if owner := s.state.Assignment("desk", 3).GetOwner(); owner != last {
		t.Errorf("owner of the earlier process's partition: %d, want %d", owner, last)
	}
	bootID = "boot-2"
	if next := register("s5", register("", 0)); s.state.NodeByServer("s5").GetIncarnation() != next {
		t.Errorf("the backend server's node is %v, want %d", s.state.NodeByServer("s5"), next)
	}
}

// TestEarlierBootIsRefused guards against a report of an ended backend server
// that reaches a restarted node before a report of its successor. The keys that
// the successor holds would be assigned to others.
func TestEarlierBootIsRefused(t *testing.T) {
	s := newSettledSimulation(t)
	l := s.currentLeader().leader
	register := func(server string, started int64) (uint64, error) {
		n := nodeOf(server, "a")
		n.Name, n.PeerAddress, n.BackendServer.StartedUnixMs = "vm-a", "10.0.0.9:7000", started
		r, err := l.Register(context.Background(), &wirev1.RegisterRequest{Node: n, RequestId: fmt.Sprint(server, started, s.now), TakesOver: true})
		return r.GetIncarnation(), err
	}
	holder, err := register("s5", 2000)
	if err != nil {
		t.Fatal(err)
	}
	s.assign(3, holder)
	for _, server := range []string{"s5", "s6"} {
		var earlier *leader.EarlierBootError
		if _, err := register(server, 1000); !errors.As(err, &earlier) || earlier.Server != "s5" || earlier.Holder != holder {
			t.Errorf("registration of earlier server %q: error %v, want EarlierBootError with the holder", server, err)
		}
	}
	s.runLeader(t)
	if owner := s.state.Assignment("desk", 3).GetOwner(); owner != holder {
		t.Errorf("owner %d, want %d", owner, holder)
	}
	s.now += lease.Config{}.GranterDuration()
	if _, err := register("s6", 1000); err != nil {
		t.Errorf("registration after the holder's lease has ended: %v", err)
	}
}

// TestResentRegistrationKeepsItsLease guards against a registration that is
// resent after a lost response and handled as that of a later process. The keys
// of the registered process would be assigned to others.
func TestResentRegistrationKeepsItsLease(t *testing.T) {
	s := newSettledSimulation(t)
	register := func(id string) uint64 {
		n := nodeOf("s5", "a")
		n.Name, n.PeerAddress = "vm-a", "10.0.0.9:7000"
		r, err := s.currentLeader().leader.Register(context.Background(), &wirev1.RegisterRequest{Node: n, RequestId: id, TakesOver: true})
		if err != nil {
			t.Fatalf("registration %s: %v", id, err)
		}
		return r.GetIncarnation()
	}
	earlier := register("first")
	s.assign(3, earlier)
	again := register("first")
	s.run(t, 100*time.Millisecond)
	if owner := s.state.Assignment("desk", 3).GetOwner(); again != earlier || owner != earlier {
		t.Errorf("resent: incarnation %d and owner %d, want %d", again, owner, earlier)
	}
	next := register("second")
	again = register("second")
	s.run(t, 100*time.Millisecond)
	if owner := s.state.Assignment("desk", 3).GetOwner(); again != next || owner != next {
		t.Errorf("resent by the next process: incarnation %d and owner %d, want %d", again, owner, next)
	}
}
