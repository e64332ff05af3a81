package raft_test

import (
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/core/raft"
)

// runWithStalledLeader runs the group for d. In each period the current leader
// stalls for the given time, as if it had no processor time. It returns how
// often another member became the leader.
func runWithStalledLeader(g *group, d, period, stall time.Duration) int {
	changes, last := 0, g.leader()
	for end := g.now + d; g.now < end; {
		if p := g.leader(); p != nil {
			if p != last {
				changes, last = changes+1, p
			}
			p.paused = true
			g.run(stall)
			g.resume(p)
		}
		g.run(period - stall)
	}
	return changes
}

// TestStalledLeaderIsNotReplaced guards against repeated elections under a load
// that delays the heartbeats of each leader in turn. With 300 nodes at a
// quarter of a core, the leader changed 11 times in 40 s.
func TestStalledLeaderIsNotReplaced(t *testing.T) {
	for _, stall := range []time.Duration{350, 450, 550} {
		g := newGroup(t, 1, 3)
		g.run(time.Second)
		if changes := runWithStalledLeader(g, time.Minute, 700*time.Millisecond, stall*time.Millisecond); changes > 2 {
			t.Errorf("stalls of %d ms: %d changes of leader in a minute, want at most 2", stall, changes)
		}
		g.healAndVerify()
	}
}

// TestLostLeaderIsReplacedAfterLoad guards against a long wait for a lost
// leader whose stalls had extended the election timeout. An election must begin
// within 1.05 s, so that a key whose owner is lost together with the leader is
// served again within 3 s. A minute after the last stall the configured timeout
// applies again.
func TestLostLeaderIsReplacedAfterLoad(t *testing.T) {
	const votes = 50 * time.Millisecond
	for _, c := range []struct {
		name  string
		quiet time.Duration
		limit time.Duration
	}{
		{"under load", 0, 1050*time.Millisecond + votes},
		{"a minute later", time.Minute + time.Second, raft.DefaultMaxElectionTimeout + votes},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newGroup(t, 1, 3)
			g.run(time.Second)
			runWithStalledLeader(g, 20*time.Second, 700*time.Millisecond, 450*time.Millisecond)
			g.run(c.quiet)
			lost := g.leader()
			g.crash(lost)
			g.run(c.limit)
			if p := g.leader(); p == nil {
				t.Errorf("no leader %v after the loss of the leader, want one: %s", c.limit, g.describeMembers())
			}
		})
	}
}

// TestPausedMemberKeepsElectionTimeout guards against a longer election timeout
// of a member that was itself suspended: its own pause must not count as a gap
// between messages of the leader.
func TestPausedMemberKeepsElectionTimeout(t *testing.T) {
	g := newGroup(t, 1, 3)
	g.run(time.Second)
	leader := g.leader()
	for _, id := range g.ids {
		if p := g.processes[id]; p != leader {
			p.paused = true
			g.run(5 * time.Second)
			g.resume(p)
			g.run(2 * time.Second)
		}
	}
	g.crash(g.leader())
	g.run(raft.DefaultMaxElectionTimeout + 50*time.Millisecond)
	if g.leader() == nil {
		t.Errorf("no leader within the configured election timeout: %s", g.describeMembers())
	}
}
