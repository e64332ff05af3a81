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

// run runs rounds until the duration has passed. A round takes 20 ms if the
// simulation has no random source.
func (s *simulation) run(t testingT, duration time.Duration) {
	for end := s.now + duration; s.now < end; {
		s.round(t)
		s.runLeader(t)
	}
}

// owners counts the partitions of each server, with "" for partitions without
// an owner.
func (s *simulation) owners() map[string]int {
	owners := map[string]int{}
	for p := range uint32(partitions) {
		owners[s.state.Node(s.state.Assignment("desk", p).GetOwner()).GetBackendServer().GetName()]++
	}
	return owners
}

// newSettledSimulation returns a simulation whose partitions are assigned
// evenly to its four servers.
func newSettledSimulation(t *testing.T) *simulation {
	t.Helper()
	s := newSimulation(t)
	s.run(t, time.Second)
	if got := fmt.Sprint(s.owners()); got != "map[s1:2 s2:2 s3:2 s4:2]" {
		t.Fatalf("owners after start: %s, want 2 partitions each", got)
	}
	return s
}

// TestInitialPlacementIsEven guards against the first server to register
// getting every partition.
func TestInitialPlacementIsEven(t *testing.T) {
	s := &simulation{group: newGroup(1), ids: map[uint32]map[string]bool{}}
	s.applyRules(t, deskRules)
	for i := range 4 {
		n := &node{server: fmt.Sprint("s", i+1), zone: "a", held: map[uint32]*heldPartition{}}
		s.nodes = append(s.nodes, n)
		s.register(n)
		s.run(t, 100*time.Millisecond)
	}
	s.run(t, time.Second)
	if got := fmt.Sprint(s.owners()); got != "map[s1:2 s2:2 s3:2 s4:2]" {
		t.Errorf("owners after servers started 100 ms apart: %s, want 2 partitions each", got)
	}
}

// TestZoneOutMovesAll guards against partitions that stay in a zone that was
// taken out, request ids that are lost in the moves, and assignments to the
// zone while it is still out.
func TestZoneOutMovesAll(t *testing.T) {
	s := newSettledSimulation(t)
	before := s.moves
	s.applyRules(t, deskRules+"zone a out # t: test\n")
	s.run(t, time.Second)
	if got := fmt.Sprint(s.owners()); got != "map[s3:4 s4:4]" {
		t.Errorf("owners 1 s after the zone was taken out: %s, want 4 partitions each at s3 and s4", got)
	}
	if s.moves-before != 4 {
		t.Errorf("%d planned moves with request ids, want 4", s.moves-before)
	}
	s.nodes = s.nodes[:2:2]
	s.run(t, 3*time.Second)
	if got := fmt.Sprint(s.owners()); got != "map[:8]" {
		t.Errorf("owners with no server left outside the zone: %s, want none", got)
	}
}

// TestNodeLossIsOneCommand guards against the loss of several nodes taking a
// round of the log for each of them before their partitions get owners.
func TestNodeLossIsOneCommand(t *testing.T) {
	s := newSettledSimulation(t)
	lost := s.nodes[:2]
	s.nodes = s.nodes[2:]
	for s.state.Node(lost[0].incarnation) != nil {
		index := s.index
		s.run(t, 20*time.Millisecond)
		if s.index > index+1 {
			t.Fatalf("the loss of two nodes took %d entries of the log, want 1", s.index-index)
		}
		if s.now > 10*time.Second {
			t.Fatal("the lost nodes are still registered")
		}
	}
	if got := fmt.Sprint(s.owners()); got != "map[s3:4 s4:4]" {
		t.Errorf("owners after the entry that removed two nodes: %s, want 4 partitions each at s3 and s4", got)
	}
}

// TestBurstIsCoalesced guards against one update to every node for each
// registration, which grows with the square of the number of nodes. It also
// guards against release orders that wait for the pause between updates.
func TestBurstIsCoalesced(t *testing.T) {
	s := newSettledSimulation(t)
	n := s.nodes[0]
	s.apply(&wirev1.Command{Kind: &wirev1.Command_RegisterNode{RegisterNode: &wirev1.RegisterNode{Node: nodeOf("one", "a")}}})
	if _, err := n.stream.Next(); err != nil {
		t.Fatal(err)
	}
	// The update has one record, and there are four streams.
	if got := n.stream.Pause(); got != 4*(250*time.Microsecond+100*time.Nanosecond) {
		t.Errorf("a stream of four pauses for %v after an update, want 1.0004 ms", got)
	}
	for i := range 100 {
		s.apply(&wirev1.Command{Kind: &wirev1.Command_RegisterNode{RegisterNode: &wirev1.RegisterNode{Node: nodeOf(fmt.Sprint("new", i), "a")}}})
	}
	u, err := n.stream.Next()
	if err != nil || len(u.GetNodes()) != 100 || u.GetSnapshot() {
		t.Errorf("update after the pause: %d nodes, %v; want all 100 in one", len(u.GetNodes()), err)
	}
	if got := n.stream.Pause(); got != 4*(250*time.Microsecond+100*100*time.Nanosecond) {
		t.Errorf("a stream of four pauses for %v after 100 records, want 1.04 ms", got)
	}
	s.applyRules(t, deskRules+"zone a out # t: test\n")
	s.stepLeader()
	select {
	case <-n.stream.Notified():
	default:
		t.Error("the stream of a node with release orders was not notified")
	}
}

// TestMovesToColdServers guards against moves to cold servers, which cannot
// sustain the load yet, while there is time to wait. It also guards against a
// zone that still has partitions 3 s after it was taken out, and against a stop
// that reaches its limit of 15 s because all other servers are cold.
func TestMovesToColdServers(t *testing.T) {
	for _, c := range []struct {
		name       string
		leave      func(s *simulation)
		wait, more time.Duration
		want       string
	}{
		{"zone out", func(s *simulation) { s.applyRules(t, deskRules+"zone a out # t: test\n") }, time.Second, 2 * time.Second, "map[s3:4 s4:4]"},
		{"stop", func(s *simulation) { s.nodes[0].draining, s.nodes[1].draining = true, true }, 9 * time.Second, 5 * time.Second, "map[s3:4 s4:4]"},
	} {
		s := newSettledSimulation(t)
		s.nodes[2].cold, s.nodes[3].cold = true, true
		s.run(t, 3*time.Second)
		c.leave(s)
		s.run(t, c.wait)
		if got := fmt.Sprint(s.owners()); got != "map[s1:2 s2:2 s3:2 s4:2]" {
			t.Errorf("%s: owners after %v: %s, want 2 partitions each", c.name, c.wait, got)
		}
		s.run(t, c.more)
		if got := fmt.Sprint(s.owners()); got != c.want {
			t.Errorf("%s: owners after %v: %s, want %s", c.name, c.wait+c.more, got, c.want)
		}
	}
}

// TestNewLeaderWaitsForLeases guards against a new leader that reassigns
// partitions of a node which may have a lease from an earlier leader.
func TestNewLeaderWaitsForLeases(t *testing.T) {
	s := newSettledSimulation(t)
	s.elect(1)
	s.runLeader(t)
	s.nodes = s.nodes[1:]
	s.run(t, lease.Config{}.GranterDuration()-40*time.Millisecond)
	if got := s.owners()["s1"]; got != 2 {
		t.Errorf("s1 has %d partitions before the full lease duration has passed, want 2", got)
	}
	s.run(t, 80*time.Millisecond)
	if got := s.owners(); got["s1"] != 0 || got[""] != 0 {
		t.Errorf("owners after the full lease duration: %v, want none at s1 and none without an owner", got)
	}
}

// TestPausedLeader guards against a leader that resumes after a pause during
// which another one took over, and acts on outdated leases.
func TestPausedLeader(t *testing.T) {
	s := newSettledSimulation(t)
	paused := s.currentLeader()
	s.elect(1)
	s.run(t, 5*time.Second)
	index := s.index
	var notLeader *replica.NotLeaderError
	if _, err := paused.leader.Step(context.Background()); !errors.As(err, &notLeader) {
		t.Errorf("step of the paused leader: error %v, want NotLeaderError", err)
	}
	if s.index != index {
		t.Errorf("the paused leader changed the state")
	}
	if _, err := paused.leader.Renew(context.Background(), &wirev1.RenewRequest{Incarnation: s.nodes[0].incarnation}); !errors.As(err, &notLeader) {
		t.Errorf("renewal by the paused leader: error %v, want NotLeaderError", err)
	}
	// The member leads again in a new term. Its data of the earlier term is void.
	s.elect(0)
	s.runLeader(t)
	if got := fmt.Sprint(s.owners()); got != "map[s1:2 s2:2 s3:2 s4:2]" {
		t.Errorf("owners right after the first leader leads again: %s, want 2 partitions each", got)
	}
}

// TestReleaseSurvivesLeaderChange guards against a partition that stays without
// an owner because it was released on the order of a former leader.
func TestReleaseSurvivesLeaderChange(t *testing.T) {
	s := newSettledSimulation(t)
	s.nodes[0].dropsReports = true
	s.nodes[0].draining = true
	before := s.moves
	for released := 0; released < 2; {
		s.round(t)
		released = 0
		for _, h := range s.nodes[0].held {
			if h.released {
				released++
			}
		}
	}
	s.elect(1)
	s.run(t, time.Second)
	if got := s.owners(); got["s1"] != 0 || got[""] != 0 {
		t.Errorf("owners after the change of leader: %v, want none at s1 and none without an owner", got)
	}
	if s.moves != before {
		t.Error("moves without request ids are marked as planned")
	}
}

// TestTargetLost guards against a released partition that stays without an
// owner because its target is lost before the assignment.
func TestTargetLost(t *testing.T) {
	s := newSettledSimulation(t)
	s.nodes[0].dropsReports = true
	s.applyRules(t, deskRules+"server s1 drain # t: test\nserver s2 drain # t: test\nserver s3 drain # t: test\n")
	s.runLeader(t)
	s.watch(t, s.nodes[0])
	s.nodes = s.nodes[:3]
	s.applyRules(t, deskRules+"server s1 drain # t: test\n")
	s.run(t, 3*time.Second)
	if got := s.owners(); got["s1"] != 0 || got[""] != 0 || got["s4"] != 0 {
		t.Errorf("owners after the target was lost: %v, want none at s1, s4 or without an owner", got)
	}
}

// TestDeferredMoveWaits guards against a node that is ordered repeatedly to
// release the same partition while a long request runs.
func TestDeferredMoveWaits(t *testing.T) {
	s := newSettledSimulation(t)
	s.nodes[0].busy = true
	s.applyRules(t, deskRules+"server s1 drain # t: test\n")
	s.run(t, time.Second)
	explained, err := s.currentLeader().leader.Explain(context.Background(), "desk", keyOn(t, s, "s1"))
	if err != nil || explained.GetWaitingFor() == "" || explained.GetOwner().GetBackendServer().GetName() != "s1" {
		t.Errorf("explain while the move is deferred: %v, %v; want a cause of waiting and owner s1", explained, err)
	}
	s.nodes[0].busy = false
	s.run(t, time.Second)
	if got := s.owners()["s1"]; got != 2 {
		t.Errorf("s1 has %d partitions 2 s after its moves were deferred, want 2", got)
	}
	s.run(t, 5*time.Second)
	if got := s.owners()["s1"]; got != 0 {
		t.Errorf("s1 has %d partitions after the deferral, want 0", got)
	}
}

func keyOn(t *testing.T, s *simulation, server string) string {
	t.Helper()
	for i := range 1000 {
		key := fmt.Sprint("key", i)
		if r, err := s.currentLeader().leader.Explain(context.Background(), "desk", key); err == nil && r.GetOwner().GetBackendServer().GetName() == server {
			return key
		}
	}
	t.Fatalf("none of 1000 keys is at %s", server)
	return ""
}

// TestRulesSkipPause guards against accepted rules that reach nodes up to 500
// ms late because they wait for the pause after an earlier update.
func TestRulesSkipPause(t *testing.T) {
	s := newSettledSimulation(t)
	n := s.nodes[0]
	select {
	case <-n.stream.Notified():
	default:
	}
	s.applyRules(t, deskRules+"option holdTimeout=50ms # t: test\n")
	s.currentLeader().leader.Rules()
	select {
	case <-n.stream.Notified():
	default:
		t.Error("the stream was not notified of new rules during its pause")
	}
}

// TestPauseOnPartOfCore guards against a leader with little processor time that
// spends all of it on updates while many partitions move, so that accepted
// rules reach nodes seconds late.
func TestPauseOnPartOfCore(t *testing.T) {
	const streams, records = 76, 16
	whole := leader.Pause(1, streams, records)
	if got := leader.Pause(0.25, streams, records); got != 4*whole {
		t.Errorf("pause on a quarter of a core %v, want 4 times %v", got, whole)
	}
	if got := leader.Pause(0.01, streams, records); got != 500*time.Millisecond {
		t.Errorf("longest pause %v, want 500ms", got)
	}
}
