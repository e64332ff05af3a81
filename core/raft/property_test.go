package raft_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jujubeknot/jujubeknot/core/raft"
	"github.com/jujubeknot/jujubeknot/wire/testkit"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// TestMain fixes rapid's seed so that each run draws the same cases.
func TestMain(m *testing.M) {
	// A case takes about 2 ms; rare interleavings need many.
	testkit.Main(m, testkit.Config{Checks: 1000})
}

func describe(e *wirev1.Entry) string {
	return fmt.Sprintf("term %d %v %q", e.Term, e.Kind, e.Data)
}

func encodeState(applied []string) []byte {
	return []byte(strings.Join(applied, "\n"))
}

func decodeState(data []byte) []string {
	return strings.Split(string(data), "\n")
}

// target draws a member, half of the time one that leads.
func (g *group) target(t *rapid.T) *process {
	var leaders []uint64
	for _, id := range g.ids {
		if p := g.processes[id]; p.member != nil && p.role.Role == raft.RoleLeader {
			leaders = append(leaders, id)
		}
	}
	if len(leaders) > 0 && rapid.Bool().Draw(t, "leading") {
		return g.processes[rapid.SampledFrom(leaders).Draw(t, "leader")]
	}
	return g.processes[rapid.SampledFrom(g.ids).Draw(t, "member")]
}

// act carries out one drawn action.
func (g *group) act(t *rapid.T) {
	p := g.target(t)
	switch rapid.SampledFrom([]string{
		"run", "run", "run", "long", "ask", "ask", "ask", "ask", "crash", "crashWithin", "restart", "restart", "restart",
		"isolate", "isolate", "cutOneWay", "heal", "pause", "resume",
	}).Draw(t, "action") {
	case "run":
		g.run(time.Duration(rapid.IntRange(5, 400).Draw(t, "ms")) * time.Millisecond)
	case "long":
		g.run(time.Second)
	case "crash":
		g.crash(p)
	case "crashWithin":
		g.crashAfter = rapid.IntRange(0, 30).Draw(t, "effects")
	case "restart":
		if p.member == nil && !p.isOut {
			g.start(p)
		}
	case "isolate":
		g.isolate(p.id, true)
	case "cutOneWay":
		g.cut[[2]uint64{p.id, rapid.SampledFrom(g.ids).Draw(t, "to")}] = true
	case "heal":
		clear(g.cut)
	case "pause":
		p.paused = true
	case "resume":
		g.resume(p)
	case "ask":
		if p.member != nil && !p.paused {
			g.ask(t, p)
		}
	}
}

// ask makes a request to a member that runs.
func (g *group) ask(t *rapid.T, p *process) {
	switch rapid.SampledFrom([]string{"propose", "propose", "propose", "read", "read", "compact", "transfer", "add", "remove"}).Draw(t, "request") {
	case "propose":
		for range rapid.IntRange(1, 12).Draw(t, "count") {
			if p.member != nil {
				g.propose(p)
			}
		}
	case "read":
		g.read(p)
	case "compact":
		g.compact(p, rapid.Uint64Range(0, 5).Draw(t, "keep"))
	case "transfer":
		g.step(p, raft.TransferLeadership{})
	case "add":
		if p.role.Role == raft.RoleLeader && len(g.ids) < 6 {
			id := uint64(len(g.ids) + 1)
			g.add(id, 100+id, raft.StoredState{})
			g.addMember(p, id)
		}
	case "remove":
		g.removeMember(p, rapid.SampledFrom(g.ids).Draw(t, "removed"))
	}
}

// settle ends all faults and checks that the group serves again and that every
// member of it has all that was acknowledged.
func (g *group) settle() {
	g.lossy, g.crashAfter = false, -1
	clear(g.cut)
	for _, id := range g.ids {
		p := g.processes[id]
		p.offset += time.Duration(float64(g.now) * (p.rate - 1))
		p.rate = 1
		g.resume(p)
		if p.member == nil && !p.isOut {
			g.start(p)
		}
	}
	g.run(6 * time.Second)
	leader := g.leader()
	if leader == nil {
		g.t.Fatalf("no leader 6 s after the last fault: %s", g.describeMembers())
	}
	id := g.propose(leader)
	read := g.read(leader)
	g.run(time.Second)
	at := g.proposed[id]
	if g.acked[at[0]] == "" || !g.ready[read] {
		g.t.Fatalf("leader %d answers neither proposal nor read after the last fault", leader.id)
	}
	for _, m := range leader.member.Membership().Members {
		p := g.processes[m.Id]
		for index, text := range g.acked {
			if p.isOut {
				continue
			}
			if uint64(len(p.applied)) < index || p.applied[index-1] != text {
				g.t.Fatalf("member %d lost acknowledged entry %d, %s; it applied %d entries", p.id, index, text, len(p.applied))
			}
		}
	}
}

// TestGroupUnderFaults guards the safety properties of the log and its
// recovery: election safety, log matching, leader completeness, agreement of
// the state machines, no loss of acknowledged entries and no stale read.
func TestGroupUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup(t, rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]int{1, 2, 3, 3, 5}).Draw(t, "size"))
		g.lossy = rapid.Bool().Draw(t, "lossy")
		for _, id := range g.ids {
			p := g.processes[id]
			p.offset = time.Duration(rapid.IntRange(0, 1000).Draw(t, "offset")) * time.Hour
			p.rate = rapid.Float64Range(0.7, 1.4).Draw(t, "rate")
		}
		g.run(time.Second)
		for range rapid.IntRange(20, 120).Draw(t, "actions") {
			g.act(t)
		}
		g.settle()
	})
}
