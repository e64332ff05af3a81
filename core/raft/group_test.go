package raft_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/jujubeknot/jujubeknot/core/raft"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// leader returns the running leader of the highest term, or nil.
func (g *group) leader() *process {
	var best *process
	for _, id := range g.ids {
		p := g.processes[id]
		if p.member != nil && p.role.Role == raft.RoleLeader && (best == nil || p.role.Term > best.role.Term) {
			best = p
		}
	}
	return best
}

// isolate cuts all connections of a member or, if cut is false, restores them.
func (g *group) isolate(id uint64, cut bool) {
	for _, other := range g.ids {
		g.cut[[2]uint64{id, other}], g.cut[[2]uint64{other, id}] = cut, cut
	}
}

func (g *group) propose(p *process) uint64 {
	g.nextID++
	g.step(p, raft.Propose{ID: g.nextID, Data: fmt.Append(nil, "command ", g.nextID)})
	return g.nextID
}

func (g *group) read(p *process) uint64 {
	g.nextID++
	g.minReadIndex[g.nextID] = g.lastAcknowledged
	g.step(p, raft.ReadIndex{ID: g.nextID})
	return g.nextID
}

func (g *group) compact(p *process, keep uint64, keepBytes int) {
	if count := uint64(len(p.applied)); count > 0 {
		g.step(p, raft.Compact{Index: count, Data: encodeState(p.applied), Keep: keep, KeepBytes: keepBytes})
	}
}

func (g *group) describeMembers() string {
	var b strings.Builder
	for _, id := range g.ids {
		p := g.processes[id]
		if p.member == nil {
			fmt.Fprintf(&b, "[%d down, halted %v %v] ", id, p.isHalted, p.haltReason)
			continue
		}
		fmt.Fprintf(&b, "[%d %+v halted %v %v members %v] ", id, p.member.Status(), p.isHalted, p.haltReason, p.member.Membership().Members)
	}
	return b.String()
}

func (g *group) addMember(leader *process, id uint64) uint64 {
	g.nextID++
	g.step(leader, raft.ProposeMembership{ID: g.nextID, Add: &wirev1.Member{Id: id, Address: fmt.Sprint("m", id)}})
	return g.nextID
}

func (g *group) removeMember(leader *process, id uint64) uint64 {
	g.nextID++
	g.step(leader, raft.ProposeMembership{ID: g.nextID, Remove: id})
	return g.nextID
}

// connect cuts all connections except those among the given members.
func (g *group) connect(ids ...uint64) {
	for _, from := range g.ids {
		for _, to := range g.ids {
			g.cut[[2]uint64{from, to}] = !slices.Contains(ids, from) || !slices.Contains(ids, to)
		}
	}
}

// elect makes all leaders step down and then makes a member win an election
// with the votes of the given voters. Only these members are connected
// afterwards.
func (g *group) elect(id uint64, voters ...uint64) *process {
	g.t.Helper()
	g.connect()
	g.run(2 * time.Second)
	g.connect(append(voters, id)...)
	p := g.processes[id]
	g.candidate = id
	for range 3 {
		// A member that voted in a later term rejects the first attempt.
		if p.role.Role != raft.RoleLeader {
			p.offset += time.Second
			g.step(p, raft.Tick{})
			g.run(80 * time.Millisecond)
		}
	}
	g.candidate = 0
	if p.role.Role != raft.RoleLeader {
		g.t.Fatalf("member %d did not become the leader with the votes of %v: %s", id, voters, g.describeMembers())
	}
	return p
}
