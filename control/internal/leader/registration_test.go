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
// works by rules that were replaced.
func TestNodeBehindRules(t *testing.T) {
	w := settled(t)
	l := w.current().leader
	w.applyRules(t, deskRules+"zone z out # t: test\n")
	renew := func() *wirev1.RenewResponse {
		r, err := l.Renew(context.Background(), &wirev1.RenewRequest{Incarnation: w.nodes[0].incarnation, Sequence: 1 << 20, RulesRevision: 1})
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	if r := renew(); r.GetLeaseMs() == 0 || r.GetBehind() {
		t.Errorf("renewal right after the change: %v", r)
	}
	w.now += time.Second / 2
	if r := renew(); r.GetSupersededMs() != 500 || r.GetLeaseMs() == 0 {
		t.Errorf("renewal 500 ms after the change: %v", r)
	}
	w.now += time.Second/2 + time.Millisecond
	if r := renew(); r.GetLeaseMs() != 0 || !r.GetBehind() || r.GetLost() || r.GetSupersededMs() != 1001 {
		t.Errorf("renewal over 1 s after the change: %v", r)
	}
}

// TestSnapshotQueueKeepsPlace guards against nodes that are removed because the
// leader has not sent them a snapshot yet, against a lease for a node without
// the rules, and against a node that keeps its place without end.
func TestSnapshotQueueKeepsPlace(t *testing.T) {
	w := settled(t)
	l, n := w.current().leader, w.nodes[0]
	w.nodes = w.nodes[1:]
	w.run(t, 500*time.Millisecond)
	sink, err := l.Watch(context.Background(), &wirev1.WatchRequest{Incarnation: n.incarnation})
	if err != nil {
		t.Fatal(err)
	}
	if await, err := sink.AwaitSnapshot(); err != nil || !await {
		t.Fatalf("a node that has nothing: snapshot %v, %v", await, err)
	}
	registered := func(duration time.Duration) bool {
		for end := w.now + duration; w.now < end; {
			w.run(t, 400*time.Millisecond)
			r, err := l.Renew(context.Background(), &wirev1.RenewRequest{Incarnation: n.incarnation, Sequence: uint64(w.now)})
			if err != nil {
				t.Fatal(err)
			}
			if r.GetLeaseMs() != 0 {
				t.Fatalf("a node without the rules has a lease: %v", r)
			}
		}
		return w.state.Node(n.incarnation) != nil
	}
	if !registered(4 * time.Second) {
		t.Error("the node was removed while its snapshot waited")
	}
	if registered(5 * time.Second) {
		t.Error("the node keeps its place although the snapshot does not come")
	}
}

// TestResumeWithDelta guards against a snapshot for a node that lost its lease
// and registers again with the table that it has, and against one old snapshot
// for nodes that gave up partitions since.
func TestResumeWithDelta(t *testing.T) {
	w := settled(t)
	n := w.nodes[0]
	index := n.index
	w.now += 2 * lease.Config{}.GranterDuration()
	w.work(t)
	w.register(n)
	sink, err := w.current().leader.Watch(context.Background(), &wirev1.WatchRequest{Incarnation: n.incarnation, FromIndex: index})
	if err != nil {
		t.Fatal(err)
	}
	if await, err := sink.AwaitSnapshot(); err != nil || await {
		t.Errorf("a node with a known index waits for a snapshot: %v, %v", await, err)
	}
	if u, err := sink.Next(); err != nil || u.GetSnapshot() || u.GetIndex() != w.index {
		t.Errorf("update for a node with a known index: %v, %v", u, err)
	}
	for range 2 {
		sink, err = w.current().leader.Watch(context.Background(), &wirev1.WatchRequest{Incarnation: n.incarnation})
		if err != nil {
			t.Fatal(err)
		}
		if u, err := sink.Next(); err != nil || !u.GetSnapshot() || u.GetIndex() != w.index {
			t.Errorf("snapshot at index %d, opened at %d: %v", u.GetIndex(), w.index, err)
		}
		w.apply(&wirev1.Command{Kind: &wirev1.Command_RegisterNode{RegisterNode: &wirev1.RegisterNode{Node: nodeOf(fmt.Sprint("new", w.index), "a")}}})
	}
}

// TestServerNameIsHeld guards against two processes that both own what one
// backend server name is given. The live lease wins; a process that restarts
// gets the name when the lease of the one before it is over.
func TestServerNameIsHeld(t *testing.T) {
	w := settled(t)
	second := &wirev1.RegisterRequest{Node: nodeOf("s1", "b"), RequestId: "second"}
	second.Node.PeerAddress = "127.0.0.1:2"
	register := func() (*wirev1.RegisterResponse, error) {
		return w.current().leader.Register(context.Background(), second)
	}
	var taken *leader.NameTakenError
	if _, err := register(); !errors.As(err, &taken) || taken.Address != "127.0.0.1:1" || taken.Holder != w.nodes[0].incarnation {
		t.Fatalf("second process: %v", err)
	}
	w.nodes = w.nodes[1:]
	w.run(t, lease.Config{}.GranterDuration()-60*time.Millisecond)
	if _, err := register(); !errors.As(err, &taken) {
		t.Fatalf("second process before the lease of the first is over: %v", err)
	}
	w.now += 60 * time.Millisecond
	got, err := register()
	if err != nil {
		t.Fatal(err)
	}
	again, err := register()
	if err != nil || again.GetIncarnation() != got.GetIncarnation() {
		t.Errorf("resent registration: %v, %v; want incarnation %d", again, err, got.GetIncarnation())
	}
}

// TestLostRegistration guards against a registration whose answer was lost
// and whose node can never get the name again.
func TestLostRegistration(t *testing.T) {
	w := newWorld(t)
	w.lost = func() bool { return true }
	request := &wirev1.RegisterRequest{Node: nodeOf("s9", "b"), RequestId: "r"}
	if _, err := w.current().leader.Register(context.Background(), request); !errors.Is(err, errLost) {
		t.Fatalf("lost answer: %v", err)
	}
	w.lost = func() bool { return false }
	first := w.state.NodeByServer("s9").GetIncarnation()
	if got, err := w.current().leader.Register(context.Background(), request); err != nil || got.GetIncarnation() != first {
		t.Errorf("resent registration: %v, %v; want incarnation %d", got, err, first)
	}
	for range 2 {
		w.run(t, 2*lease.Config{}.GranterDuration())
		if w.state.NodeByServer("s9") != nil {
			t.Fatal("the lease is not over")
		}
		got, err := w.current().leader.Register(context.Background(), request)
		if err != nil || got.GetIncarnation() <= first {
			t.Fatalf("registration resent after the lease: %v, %v; want a new incarnation", got, err)
		}
		if again, err := w.current().leader.Register(context.Background(), request); err != nil || again.GetIncarnation() != got.GetIncarnation() {
			t.Errorf("registration sent once more: %v, %v; want incarnation %d", again, err, got.GetIncarnation())
		}
	}
}

// TestDrainOfReplacedNode guards against a drain that is reported as done
// although the node registered anew meanwhile and takes new work.
func TestDrainOfReplacedNode(t *testing.T) {
	w := settled(t)
	old := w.nodes[0].incarnation
	w.beforePropose = func() {
		w.beforePropose = func() {}
		w.apply(&wirev1.Command{Kind: &wirev1.Command_RemoveNode{RemoveNode: &wirev1.RemoveNode{Incarnation: old, Reason: "test"}}})
	}
	if r, err := w.current().leader.Drain(context.Background(), "s1", false); !errors.Is(err, leader.ErrServerChanged) {
		t.Errorf("drain of a node that was replaced: %v, %v", r, err)
	}
	if _, err := w.current().leader.Drain(context.Background(), "s2", false); err != nil || !w.state.NodeByServer("s2").GetDraining() {
		t.Errorf("drain of s2: %v", err)
	}
}

// TestExplainTime guards against an explanation without the time at which the
// owner got its partition, or with that of another change.
func TestExplainTime(t *testing.T) {
	w := settled(t)
	key := keyOn(t, w, "s1")
	first, err := w.current().leader.Explain(context.Background(), "desk", key)
	if err != nil {
		t.Fatal(err)
	}
	before := wall{w.group}.Now().UnixMilli()
	if _, err := w.current().leader.Drain(context.Background(), "s1", false); err != nil {
		t.Fatal(err)
	}
	w.run(t, time.Second)
	r, err := w.current().leader.Explain(context.Background(), "desk", key)
	if err != nil || len(r.GetLastMoves()) != 2 {
		t.Fatalf("%v, %v", r, err)
	}
	after := wall{w.group}.Now().UnixMilli()
	if at := r.GetAssignment().GetSinceUnixMs(); at < before || at > after {
		t.Errorf("moved at %d, want a time from %d to %d", at, before, after)
	}
	if at := r.GetLastMoves()[1].GetSinceUnixMs(); at == 0 || at != first.GetAssignment().GetSinceUnixMs() || at > before {
		t.Errorf("earlier move at %d, want %d", at, first.GetAssignment().GetSinceUnixMs())
	}
}

// TestAddressOfAnotherVM guards against keys that stay without an owner for a
// whole lease although another VM shows the addresses of the lost one and of its
// backend server, and against a lease that is ended while either may still run.
func TestAddressOfAnotherVM(t *testing.T) {
	w := settled(t)
	register := func(name, server, serverAddress string, takesOver bool) uint64 {
		n := nodeOf(server, "a")
		n.Name, n.PeerAddress, n.BackendServer.Address = name, "10.0.0.9:7000", serverAddress
		if server == "" {
			n.BackendServer = nil
		}
		r, err := w.current().leader.Register(context.Background(), &wirev1.RegisterRequest{
			Node: n, RequestId: fmt.Sprint(name, w.index), TakesOver: takesOver,
		})
		if err != nil {
			t.Fatal(err)
		}
		w.work(t)
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
		if ended := w.state.Node(lost) == nil; ended != c.ended {
			t.Errorf("after %q with server %q at %q registered: ended %v, want %v", c.name, c.server, c.address, ended, c.ended)
		}
	}
}

// TestEarlierServer guards against a node that waits for the next beat of a backend
// server that has served on while its process was restarted, and against one that
// takes over a backend server which leaves, is cold, has no partitions or belongs to
// another VM.
func TestEarlierServer(t *testing.T) {
	for _, c := range []struct {
		name           string
		draining, cold bool
		over, idle     bool
		vm             string
		names, without bool
		want           string
	}{
		{name: "restart", want: "s5"},
		{name: "draining", draining: true},
		{name: "cold", cold: true},
		{name: "lease over", over: true},
		{name: "no partitions", idle: true},
		{name: "another VM", vm: "vm-b"},
		{name: "names its own", names: true},
		{name: "does not take over", without: true},
	} {
		w := settled(t)
		earlier := nodeOf("s5", "a")
		earlier.Name, earlier.PeerAddress, earlier.Draining, earlier.Cold = "vm-a", "10.0.0.9:7000", c.draining, c.cold
		l := w.current().leader
		r, err := l.Register(context.Background(), &wirev1.RegisterRequest{Node: earlier, RequestId: "earlier", TakesOver: true})
		if err != nil {
			t.Fatal(err)
		}
		if !c.idle {
			w.give(3, r.GetIncarnation())
		}
		if c.over {
			w.now += lease.Config{}.GranterDuration()
		}
		next := nodeOf("s6", "a")
		next.Name, next.PeerAddress = cmp.Or(c.vm, "vm-a"), "10.0.0.9:7000"
		if !c.names {
			next.BackendServer = nil
		}
		r, err = l.Register(context.Background(), &wirev1.RegisterRequest{Node: next, RequestId: "next", TakesOver: !c.without})
		if err != nil {
			t.Fatal(err)
		}
		if got := r.GetEarlierServer().GetName(); got != c.want {
			t.Errorf("%s: earlier server %q, want %q", c.name, got, c.want)
		}
	}
}

// give assigns a partition to a node.
func (w *world) give(partition uint32, incarnation uint64) {
	w.apply(&wirev1.Command{Kind: &wirev1.Command_Assign{Assign: &wirev1.Assign{Changes: []*wirev1.AssignChange{{
		Upstream: "desk", Partition: partition, ExpectedEpoch: w.state.Assignment("desk", partition).GetEpoch(), Owner: incarnation, Planned: true,
	}}}}})
}

// TestServerAfterItsNode guards against a restarted node that waits for the end of
// the earlier process's lease because it registered before it knew its backend
// server.
func TestServerAfterItsNode(t *testing.T) {
	w := settled(t)
	life := "a life"
	register := func(server string, previous uint64) uint64 {
		n := nodeOf("s5", "a")
		n.Name, n.PeerAddress, n.BackendServer.BootId = "vm-a", "10.0.0.9:7000", life
		if server == "" {
			n.BackendServer = nil
		}
		r, err := w.current().leader.Register(context.Background(), &wirev1.RegisterRequest{
			Node: n, RequestId: fmt.Sprint(server, w.index), Previous: previous, TakesOver: true,
		})
		if err != nil {
			t.Fatal(err)
		}
		return r.GetIncarnation()
	}
	earlier := register("s5", 0)
	w.give(3, earlier)
	last := register("s5", register("", 0))
	if owner := w.state.Assignment("desk", 3).GetOwner(); owner != last {
		t.Errorf("owner of the earlier process's partition: %d, want %d", owner, last)
	}
	life = "another life"
	if next := register("s5", register("", 0)); w.state.NodeByServer("s5").GetIncarnation() != next {
		t.Errorf("the backend server's node is %v, want %d", w.state.NodeByServer("s5"), next)
	}
}

// TestEarlierLifeIsRefused guards against a report of a backend server that has
// ended, which reaches a restarted node before one of its successor: the keys that
// the successor holds would be given to others.
func TestEarlierLifeIsRefused(t *testing.T) {
	w := settled(t)
	l := w.current().leader
	register := func(server string, started int64) (uint64, error) {
		n := nodeOf(server, "a")
		n.Name, n.PeerAddress, n.BackendServer.StartedUnixMs = "vm-a", "10.0.0.9:7000", started
		r, err := l.Register(context.Background(), &wirev1.RegisterRequest{Node: n, RequestId: fmt.Sprint(server, started, w.now), TakesOver: true})
		return r.GetIncarnation(), err
	}
	holder, err := register("s5", 2000)
	if err != nil {
		t.Fatal(err)
	}
	w.give(3, holder)
	for _, server := range []string{"s5", "s6"} {
		var earlier *leader.EarlierBootError
		if _, err := register(server, 1000); !errors.As(err, &earlier) || earlier.Server != "s5" || earlier.Holder != holder {
			t.Errorf("an earlier %q: %v", server, err)
		}
	}
	w.work(t)
	if owner := w.state.Assignment("desk", 3).GetOwner(); owner != holder {
		t.Errorf("owner %d, want %d", owner, holder)
	}
	w.now += lease.Config{}.GranterDuration()
	if _, err := register("s6", 1000); err != nil {
		t.Errorf("once nothing is held any more: %v", err)
	}
}

// TestResentRegistrationKeepsItsLease guards against a registration whose answer was
// lost and which is taken for that of a later process when it is sent again: the
// keys of the registered one would be given to others.
func TestResentRegistrationKeepsItsLease(t *testing.T) {
	w := settled(t)
	register := func(id string) uint64 {
		n := nodeOf("s5", "a")
		n.Name, n.PeerAddress = "vm-a", "10.0.0.9:7000"
		r, err := w.current().leader.Register(context.Background(), &wirev1.RegisterRequest{Node: n, RequestId: id, TakesOver: true})
		if err != nil {
			t.Fatalf("registration %s: %v", id, err)
		}
		return r.GetIncarnation()
	}
	earlier := register("first")
	w.give(3, earlier)
	again := register("first")
	w.run(t, 100*time.Millisecond)
	if owner := w.state.Assignment("desk", 3).GetOwner(); again != earlier || owner != earlier {
		t.Errorf("resent: incarnation %d and owner %d, want %d", again, owner, earlier)
	}
	next := register("second")
	again = register("second")
	w.run(t, 100*time.Millisecond)
	if owner := w.state.Assignment("desk", 3).GetOwner(); again != next || owner != next {
		t.Errorf("resent by the next process: incarnation %d and owner %d, want %d", again, owner, next)
	}
}
