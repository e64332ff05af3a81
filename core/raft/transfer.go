package raft

import (
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// transferLeadership transfers leadership to the voter with the given id. If
// the id is 0, it chooses the voter that has most of the log. Proposals are
// rejected until the transfer is complete or the maximum election timeout has
// passed.
func (m *Member) transferLeadership(to uint64) {
	if m.role != RoleLeader {
		return
	}
	var target *follower
	m.forEachFollower(func(f *follower) {
		p := findMember(m.Membership(), f.id)
		if p.Learner || to != 0 && f.id != to {
			return
		}
		if target == nil || f.matchIndex > target.matchIndex {
			target = f
		}
	})
	if target == nil {
		return
	}
	m.leaderState.transferTo = target.id
	m.leaderState.transferDeadline = m.now.Add(m.config.MaxElectionTimeout)
	if target.matchIndex == m.log.lastIndex() {
		m.sendTimeoutNow()
	}
}

func (m *Member) sendTimeoutNow() {
	m.send(&wirev1.RaftMessage{Kind: wirev1.RaftMessage_KIND_TIMEOUT_NOW, To: m.leaderState.transferTo}, false)
}
