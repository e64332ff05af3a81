package raft_test

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/jujubeknot/jujubeknot/core/raft"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// apply checks that all state machines apply the same entries in order. An
// entry that the leader of its term applies counts as acknowledged.
func (g *group) apply(p *process, entries []*wirev1.Entry) {
	for _, e := range entries {
		if e.Index != uint64(len(p.applied))+1 {
			g.t.Fatalf("member %d applied entry %d after entry %d, want the next index", p.id, e.Index, len(p.applied))
		}
		text := describe(e)
		if known, ok := g.committed[e.Index]; ok && known != text {
			g.t.Fatalf("state machines differ at entry %d: %s, and on member %d %s", e.Index, known, p.id, text)
		}
		if _, ok := g.committed[e.Index]; !ok {
			g.committedIn[e.Index] = p.role.Term
		}
		g.committed[e.Index] = text
		g.checkPromotion(e)
		p.applied = append(p.applied, text)
		if p.role.Role == raft.RoleLeader && p.role.Term == e.Term {
			g.acknowledged[e.Index] = text
			g.lastAcknowledged = max(g.lastAcknowledged, e.Index)
		}
	}
}

func (g *group) checkLeader(p *process, term uint64) {
	if other, ok := g.leaderOfTerm[term]; ok && other != p.id {
		g.t.Fatalf("election safety: members %d and %d are both leaders in term %d", other, p.id, term)
	}
	g.leaderOfTerm[term] = p.id
	for index, text := range g.committed {
		if index <= p.disk.BaseIndex || g.committedIn[index] > term {
			// A leader of an earlier term may be elected by votes that arrive late.
			continue
		}
		if at := index - p.disk.BaseIndex; at > uint64(len(p.disk.Entries)) || describe(p.disk.Entries[at-1]) != text {
			g.t.Fatalf("leader completeness: leader %d of term %d lacks entry %d, %s", p.id, term, index, text)
		}
	}
}

// checkLogMatching compares each entry and its predecessor's term with the
// entry of the same index and term on other members.
func (g *group) checkLogMatching(p *process) {
	previous := p.disk.BaseTerm
	for _, e := range p.disk.Entries {
		key, text := [2]uint64{e.Index, e.Term}, fmt.Sprint(previous, " then ", describe(e))
		if known, ok := g.storedEntries[key]; ok && known != text {
			g.t.Fatalf("log matching: entry %d of term %d is %s, and on member %d %s", e.Index, e.Term, known, p.id, text)
		}
		g.storedEntries[key], previous = text, e.Term
	}
}

// recordPromotions records the learners that entries of a leader make voters,
// with the last index that the leader had applied.
func (g *group) recordPromotions(p *process, entries []*wirev1.Entry) {
	before := &wirev1.Membership{}
	for _, e := range p.disk.Entries {
		if e.Kind != wirev1.Entry_KIND_MEMBERSHIP {
			continue
		}
		after := &wirev1.Membership{}
		if err := proto.Unmarshal(e.Data, after); err != nil {
			g.t.Fatalf("membership in entry %d: %v", e.Index, err)
		}
		for _, m := range after.Members {
			key := [2]uint64{e.Index, e.Term}
			if _, known := g.promotions[key]; !known && !m.Learner && hasLearner(before, m.Id) && slices.Contains(entries, e) {
				g.promotions[key] = [2]uint64{m.Id, uint64(len(p.applied))}
			}
		}
		before = after
	}
}

func hasLearner(membership *wirev1.Membership, id uint64) bool {
	return slices.ContainsFunc(membership.Members, func(m *wirev1.Member) bool { return m.Id == id && m.Learner })
}

// checkPromotion checks that a promoted learner had the entries that its leader
// had applied before the promotion.
func (g *group) checkPromotion(e *wirev1.Entry) {
	promotion, ok := g.promotions[[2]uint64{e.Index, e.Term}]
	if !ok {
		return
	}
	disk := g.processes[promotion[0]].disk
	if last := disk.BaseIndex + uint64(len(disk.Entries)); last < promotion[1] {
		g.t.Fatalf("learner %d became a voter with the log up to %d, want at least the committed index %d", promotion[0], last, promotion[1])
	}
}
