package raft_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/core/raft"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// TestEmptiedDiskCannotVote guards against an acknowledged entry that is lost
// because a member whose disk was emptied votes under its old id.
func TestEmptiedDiskCannotVote(t *testing.T) {
	g := newGroup(t, 1, 3)
	g.run(time.Second)
	leader := g.leader()
	emptied, late := g.processes[leader.id%3+1], g.processes[(leader.id+1)%3+1]
	g.isolate(late.id, true)
	g.propose(leader)
	g.run(200 * time.Millisecond)
	if g.ackedTop != uint64(len(leader.applied)) || g.ackedTop < 3 {
		t.Fatalf("%d entries are acknowledged, %d applied", g.ackedTop, len(leader.applied))
	}
	g.crash(leader)
	g.crash(emptied)
	clear(g.cut)
	g.add(emptied.id, 999, raft.StoredState{})
	g.run(5 * time.Second)
	if other := g.leader(); other != nil {
		t.Fatalf("member %d leads with the vote of an emptied disk", other.id)
	}
	if again := g.processes[emptied.id]; !again.isOut || again.halted != raft.HaltOtherFolder {
		t.Fatalf("the emptied member goes on: halted %v, %v", again.isOut, again.halted)
	}
	g.processes[emptied.id].member = nil
	g.settle()
}

// TestIsolatedLeaderDoesNotAnswerReads guards against a stale read from a
// leader that nobody hears and whose slow clock keeps it in office.
func TestIsolatedLeaderDoesNotAnswerReads(t *testing.T) {
	g := newGroup(t, 1, 3)
	g.run(time.Second)
	old := g.leader()
	old.offset += time.Duration(float64(g.now) * 0.9)
	old.rate = 0.1
	g.isolate(old.id, true)
	g.run(2 * time.Second)
	next := g.leader()
	g.propose(next)
	g.run(100 * time.Millisecond)
	if old.role.Role != raft.RoleLeader || next == old || g.ackedTop != uint64(len(next.applied)) {
		t.Fatalf("the old leader did not stay, or the next one serves nothing: %s", g.describeMembers())
	}
	read := g.read(old)
	g.run(10 * time.Second)
	if g.ready[read] || g.failed[read].ID != read {
		t.Fatalf("the read was answered: %v, rejected: %v", g.ready[read], g.failed[read])
	}
}

// TestNewLeaderReadsAfterOwnEntry guards against a stale read from a leader
// that does not know yet what its predecessor committed.
func TestNewLeaderReadsAfterOwnEntry(t *testing.T) {
	g := newGroup(t, 1, 3)
	old := g.elect(1, 2, 3)
	// The followers hold the entry but do not learn that it is committed.
	g.drop = func(m *wirev1.RaftMessage) bool { return m.Kind == wirev1.RaftMessage_KIND_HEARTBEAT && m.From == 1 }
	g.propose(old)
	g.run(20 * time.Millisecond)
	if g.ackedTop != uint64(len(old.applied)) || g.ackedTop < 3 {
		t.Fatalf("%d entries are acknowledged: %s", g.ackedTop, g.describeMembers())
	}
	g.connect()
	g.run(2 * time.Second)
	// Entries are lost, votes and read rounds pass.
	g.drop = func(m *wirev1.RaftMessage) bool { return m.Kind == wirev1.RaftMessage_KIND_APPEND }
	next := g.elect(2, 3)
	read := g.read(next)
	g.run(100 * time.Millisecond)
	if g.ready[read] {
		t.Fatal("a read was answered before an entry of the term was committed")
	}
	g.drop = nil
	g.run(500 * time.Millisecond)
	if !g.ready[read] {
		t.Fatal("the read was not answered after an entry of the term was committed")
	}
}

// TestLearnerDoesNotCount guards against an entry that is acknowledged with
// the copies of one voter and a learner.
func TestLearnerDoesNotCount(t *testing.T) {
	g := newGroup(t, 1, 2)
	leader := g.elect(1, 2)
	g.add(3, 103, raft.StoredState{})
	g.connect(1, 3)
	before := g.ackedTop
	g.addMember(leader, 3)
	g.run(300 * time.Millisecond)
	if got := uint64(len(g.processes[3].disk.Entries)); got <= before {
		t.Fatalf("the learner holds %d entries, %d were acknowledged before it was added", got, before)
	}
	if g.ackedTop != before {
		t.Fatalf("entry %d was acknowledged with one voter's copy", g.ackedTop)
	}
	g.settle()
}

// TestOneMembershipChangeAtATime guards against two majorities that share no
// member: an isolated leader removes all others while they go on without it.
func TestOneMembershipChangeAtATime(t *testing.T) {
	g := newGroup(t, 1, 3)
	old := g.elect(1, 2, 3)
	g.isolate(1, true)
	first, second := g.removeMember(old, 2), g.removeMember(old, 3)
	if g.proposed[first][0] == 0 || g.failed[second].Reason != raft.ReasonChangePending {
		t.Fatalf("the first change is at %v, the second gives %v", g.proposed[first], g.failed[second])
	}
	g.propose(old)
	g.run(3 * time.Second)
	g.propose(g.leader())
	g.run(100 * time.Millisecond)
	g.settle()
}

// TestResponseWaitsForSync guards against an acknowledgement of what a crash
// still takes away: a follower crashes after each number of effects.
func TestResponseWaitsForSync(t *testing.T) {
	for effects := range 4 {
		t.Run(fmt.Sprint(effects, " effects"), func(t *testing.T) {
			g := newGroup(t, 1, 3)
			leader := g.elect(1, 2, 3)
			g.connect(1, 2)
			g.propose(leader)
			// The proposal's message is on its way: member 2 is the next to act.
			g.crashAfter = effects
			g.run(20 * time.Millisecond)
			g.crashAfter = -1
			g.crash(leader)
			g.crash(g.processes[2])
			g.start(g.processes[2])
			g.connect(2, 3)
			g.run(3 * time.Second)
			g.settle()
		})
	}
}

// TestEarlierTermsAreNotCommittedByCount guards against an entry that a
// majority holds and a later leader still replaces, because it was written in
// an earlier term (figure 8 of the Raft paper).
func TestEarlierTermsAreNotCommittedByCount(t *testing.T) {
	g := newGroup(t, 1, 5)
	first := g.elect(1, 2, 3, 4, 5)
	g.connect(1, 2)
	g.propose(first)
	g.run(20 * time.Millisecond)
	firstTerm := first.role.Term
	// From now on only entries of the first term pass.
	g.drop = func(m *wirev1.RaftMessage) bool {
		m.Entries = slices.DeleteFunc(m.Entries, func(e *wirev1.Entry) bool { return e.Term > firstTerm })
		return false
	}
	g.elect(5, 3, 4)
	g.elect(1, 2, 3)
	g.run(200 * time.Millisecond)
	if got := len(g.processes[3].disk.Entries); got != 3 {
		t.Fatalf("member 3 holds %d entries, the third is the one of the earlier term", got)
	}
	g.elect(5, 3, 4)
	g.drop = nil
	g.settle()
}

// TestOldResponsesDoNotConfirm guards against a stale read from a leader that
// gets late responses to heartbeats it sent before the read arrived.
func TestOldResponsesDoNotConfirm(t *testing.T) {
	g := newGroup(t, 1, 3)
	old := g.elect(1, 2, 3)
	var late []*wirev1.RaftMessage
	g.drop = func(m *wirev1.RaftMessage) bool {
		held := m.Kind == wirev1.RaftMessage_KIND_HEARTBEAT_RESPONSE && m.To == old.id
		if held {
			late = append(late, m)
		}
		return held
	}
	g.run(200 * time.Millisecond)
	g.drop = nil
	old.offset += time.Duration(float64(g.now) * 0.9)
	old.rate = 0.1
	g.isolate(old.id, true)
	g.run(2 * time.Second)
	g.propose(g.leader())
	g.run(100 * time.Millisecond)
	if len(late) == 0 || old.role.Role != raft.RoleLeader || g.ackedTop <= uint64(len(old.applied)) {
		t.Fatalf("%d late responses, %d acknowledged: %s", len(late), g.ackedTop, g.describeMembers())
	}
	read := g.read(old)
	for _, m := range late {
		g.deliver(m)
	}
	if g.ready[read] {
		t.Fatal("the read was answered with responses to earlier heartbeats")
	}
}
