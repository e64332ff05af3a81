package leader_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/control/internal/leader"
	"github.com/jujubeknot/jujubeknot/control/internal/replica"
	"github.com/jujubeknot/jujubeknot/core/lease"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// run lets rounds pass until the time has passed. A round takes 20 ms.
func (w *world) run(t tester, duration time.Duration) {
	for end := w.now + duration; w.now < end; {
		w.round(t)
		w.work(t)
	}
}

// owners counts the partitions of each server; "" stands for none.
func (w *world) owners() map[string]int {
	owners := map[string]int{}
	for p := range uint32(partitions) {
		owners[w.state.Node(w.state.Assignment("desk", p).GetOwner()).GetBackendServer().GetName()]++
	}
	return owners
}

func settled(t *testing.T) *world {
	t.Helper()
	w := newWorld(t)
	w.run(t, time.Second)
	if got := fmt.Sprint(w.owners()); got != "map[s1:2 s2:2 s3:2 s4:2]" {
		t.Fatalf("owners after start: %s", got)
	}
	return w
}

// TestStartIsEven guards against the first server to register being given
// every partition.
func TestStartIsEven(t *testing.T) {
	w := &world{group: newGroup(1), ids: map[uint32]map[string]bool{}}
	w.applyRules(t, deskRules)
	for i := range 4 {
		n := &node{server: fmt.Sprint("s", i+1), zone: "a", held: map[uint32]*held{}}
		w.nodes = append(w.nodes, n)
		w.register(n)
		w.run(t, 100*time.Millisecond)
	}
	w.run(t, time.Second)
	if got := fmt.Sprint(w.owners()); got != "map[s1:2 s2:2 s3:2 s4:2]" {
		t.Errorf("owners after servers started 100 ms apart: %s", got)
	}
}

// TestZoneOutMovesAll guards against partitions that stay in a zone that was
// taken out, request ids that are lost on the way, and a zone that gets work
// again before it returns.
func TestZoneOutMovesAll(t *testing.T) {
	w := settled(t)
	before := w.moves
	w.applyRules(t, deskRules+"zone a out # t: test\n")
	w.run(t, time.Second)
	if got := fmt.Sprint(w.owners()); got != "map[s3:4 s4:4]" {
		t.Errorf("owners 1 s after the zone was taken out: %s", got)
	}
	if w.moves-before != 4 {
		t.Errorf("%d planned moves with request ids, want 4", w.moves-before)
	}
	w.nodes = w.nodes[:2:2]
	w.run(t, 3*time.Second)
	if got := fmt.Sprint(w.owners()); got != "map[:8]" {
		t.Errorf("owners with no server left outside the zone: %s", got)
	}
}

// TestLossIsOneCommand guards against a loss of several nodes that takes a
// round of the log for each of them before their partitions get owners.
func TestLossIsOneCommand(t *testing.T) {
	w := settled(t)
	lost := w.nodes[:2]
	w.nodes = w.nodes[2:]
	for w.state.Node(lost[0].incarnation) != nil {
		index := w.index
		w.run(t, 20*time.Millisecond)
		if w.index > index+1 {
			t.Fatalf("the loss of two nodes took %d entries of the log", w.index-index)
		}
		if w.now > 10*time.Second {
			t.Fatal("the lost nodes are still registered")
		}
	}
	if got := fmt.Sprint(w.owners()); got != "map[s3:4 s4:4]" {
		t.Errorf("owners after the entry that removed two nodes: %s", got)
	}
}

// TestBurstIsFewUpdates guards against one update to every node for each
// registration, which is the square of the number of nodes, and against orders
// that wait as long as updates do.
func TestBurstIsFewUpdates(t *testing.T) {
	w := settled(t)
	n := w.nodes[0]
	w.apply(&wirev1.Command{Kind: &wirev1.Command_RegisterNode{RegisterNode: &wirev1.RegisterNode{Node: nodeOf("one", "a")}}})
	if _, err := n.sink.Next(); err != nil {
		t.Fatal(err)
	}
	// One record at four streams.
	if got := n.sink.Pause(); got != 4*(250*time.Microsecond+100*time.Nanosecond) {
		t.Errorf("a stream of four pauses for %v after an update, want 1.0004 ms", got)
	}
	for i := range 100 {
		w.apply(&wirev1.Command{Kind: &wirev1.Command_RegisterNode{RegisterNode: &wirev1.RegisterNode{Node: nodeOf(fmt.Sprint("new", i), "a")}}})
	}
	u, err := n.sink.Next()
	if err != nil || len(u.GetNodes()) != 100 || u.GetSnapshot() {
		t.Errorf("update after the pause: %d nodes, %v; want all 100 in one", len(u.GetNodes()), err)
	}
	if got := n.sink.Pause(); got != 4*(250*time.Microsecond+100*100*time.Nanosecond) {
		t.Errorf("a stream of four pauses for %v after 100 records, want 1.04 ms", got)
	}
	w.applyRules(t, deskRules+"zone a out # t: test\n")
	w.lead()
	select {
	case <-n.sink.Notified():
	default:
		t.Error("the stream of a node with release orders was not woken")
	}
}

// TestColdTargets guards against partitions that go to cold servers which do
// not sustain them while there is time to wait, against a zone that still has
// work 3 s after it was taken out, and against a stop that runs into its limit
// of 15 s because all others are cold.
func TestColdTargets(t *testing.T) {
	for _, c := range []struct {
		what       string
		leave      func(w *world)
		wait, then time.Duration
		all        string
	}{
		{"zone out", func(w *world) { w.applyRules(t, deskRules+"zone a out # t: test\n") }, time.Second, 2 * time.Second, "map[s3:4 s4:4]"},
		{"stop", func(w *world) { w.nodes[0].draining, w.nodes[1].draining = true, true }, 9 * time.Second, 5 * time.Second, "map[s3:4 s4:4]"},
	} {
		w := settled(t)
		w.nodes[2].cold, w.nodes[3].cold = true, true
		w.run(t, 3*time.Second)
		c.leave(w)
		w.run(t, c.wait)
		if got := fmt.Sprint(w.owners()); got != "map[s1:2 s2:2 s3:2 s4:2]" {
			t.Errorf("%s: owners after %v: %s", c.what, c.wait, got)
		}
		w.run(t, c.then)
		if got := fmt.Sprint(w.owners()); got != c.all {
			t.Errorf("%s: owners after %v: %s", c.what, c.wait+c.then, got)
		}
	}
}

// TestNewLeaderWaits guards against a new leader that takes partitions from a
// node which an earlier leader may have granted a lease.
func TestNewLeaderWaits(t *testing.T) {
	w := settled(t)
	w.elect(1)
	w.work(t)
	w.nodes = w.nodes[1:]
	w.run(t, lease.Config{}.GranterDuration()-40*time.Millisecond)
	if got := w.owners()["s1"]; got != 2 {
		t.Errorf("s1 has %d partitions before a whole lease has passed, want 2", got)
	}
	w.run(t, 80*time.Millisecond)
	if got := w.owners(); got["s1"] != 0 || got[""] != 0 {
		t.Errorf("owners after a whole lease: %v", got)
	}
}

// TestPausedLeader guards against a leader that resumes after a pause, in
// which another one took over, and acts on the leases that it remembers.
func TestPausedLeader(t *testing.T) {
	w := settled(t)
	paused := w.current()
	w.elect(1)
	w.run(t, 5*time.Second)
	index := w.index
	var notLeader *replica.NotLeaderError
	if _, err := paused.leader.Step(context.Background()); !errors.As(err, &notLeader) {
		t.Errorf("paused leader's step: %v", err)
	}
	if w.index != index {
		t.Errorf("the paused leader changed the state")
	}
	if _, err := paused.leader.Renew(context.Background(), &wirev1.RenewRequest{Incarnation: w.nodes[0].incarnation}); !errors.As(err, &notLeader) {
		t.Errorf("paused leader's renewal: %v", err)
	}
	// It leads again with another term: what it knew is void.
	w.elect(0)
	w.work(t)
	if got := fmt.Sprint(w.owners()); got != "map[s1:2 s2:2 s3:2 s4:2]" {
		t.Errorf("owners right after the first leader is back: %s", got)
	}
}

// TestReleaseSurvivesLeaderChange guards against a partition that its owner
// released for a leader which is gone, and that nobody gets.
func TestReleaseSurvivesLeaderChange(t *testing.T) {
	w := settled(t)
	w.nodes[0].unheard = true
	w.nodes[0].draining = true
	before := w.moves
	for released := 0; released < 2; {
		w.round(t)
		released = 0
		for _, h := range w.nodes[0].held {
			if h.released {
				released++
			}
		}
	}
	w.elect(1)
	w.run(t, time.Second)
	if got := w.owners(); got["s1"] != 0 || got[""] != 0 {
		t.Errorf("owners after the change of leader: %v", got)
	}
	if w.moves != before {
		t.Error("moves without request ids are marked as planned")
	}
}

// TestTargetLost guards against a released partition whose new owner is lost
// before the assignment.
func TestTargetLost(t *testing.T) {
	w := settled(t)
	w.nodes[0].unheard = true
	w.applyRules(t, deskRules+"server s1 drain # t: test\nserver s2 drain # t: test\nserver s3 drain # t: test\n")
	w.work(t)
	w.watch(t, w.nodes[0])
	w.nodes = w.nodes[:3]
	w.applyRules(t, deskRules+"server s1 drain # t: test\n")
	w.run(t, 3*time.Second)
	if got := w.owners(); got["s1"] != 0 || got[""] != 0 || got["s4"] != 0 {
		t.Errorf("owners after the target was lost: %v", got)
	}
}

// TestPutOffMoveWaits guards against a node that is asked to release the same
// partition over and over while a long request runs.
func TestPutOffMoveWaits(t *testing.T) {
	w := settled(t)
	w.nodes[0].busy = true
	w.applyRules(t, deskRules+"server s1 drain # t: test\n")
	w.run(t, time.Second)
	explained, err := w.current().leader.Explain(context.Background(), "desk", keyOn(t, w, "s1"))
	if err != nil || explained.GetWaitingFor() == "" || explained.GetOwner().GetBackendServer().GetName() != "s1" {
		t.Errorf("explain while put off: %v, %v", explained, err)
	}
	w.nodes[0].busy = false
	w.run(t, time.Second)
	if got := w.owners()["s1"]; got != 2 {
		t.Errorf("s1 has %d partitions 2 s after its moves were put off, want still 2", got)
	}
	w.run(t, 5*time.Second)
	if got := w.owners()["s1"]; got != 0 {
		t.Errorf("s1 still has %d partitions", got)
	}
}

func keyOn(t *testing.T, w *world, server string) string {
	t.Helper()
	for i := range 1000 {
		key := fmt.Sprint("key", i)
		if r, err := w.current().leader.Explain(context.Background(), "desk", key); err == nil && r.GetOwner().GetBackendServer().GetName() == server {
			return key
		}
	}
	t.Fatalf("no key is on %s", server)
	return ""
}

// TestRulesDoNotWaitForThePause guards against accepted rules that reach nodes up
// to 500 ms late because an update was sent before them.
func TestRulesDoNotWaitForThePause(t *testing.T) {
	w := settled(t)
	n := w.nodes[0]
	select {
	case <-n.sink.Notified():
	default:
	}
	w.applyRules(t, deskRules+"option holdTimeout=50ms # t: test\n")
	w.current().leader.Rules()
	select {
	case <-n.sink.Notified():
	default:
		t.Error("the stream waits for its pause")
	}
}

// TestUpdatesOnAPartOfACore guards against a leader with little processor time
// that spends all of it on updates while many partitions move, so that accepted
// rules reach nodes seconds later.
func TestUpdatesOnAPartOfACore(t *testing.T) {
	const streams, records = 76, 16
	whole := leader.Pause(1, streams, records)
	if got := leader.Pause(0.25, streams, records); got != 4*whole {
		t.Errorf("pause on a quarter of a core %v, want 4 times %v", got, whole)
	}
	if got := leader.Pause(0.01, streams, records); got != 500*time.Millisecond {
		t.Errorf("longest pause %v", got)
	}
}
