package raft

import (
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// transfer hands leadership over to a voter, 0 for the one with most of the
// log. Proposals are rejected until the transfer is done or timed out.
func (m *Member) transfer(to uint64) {
	if m.role != RoleLeader {
		return
	}
	var target *follower
	m.eachFollower(func(f *follower) {
		p := findMember(m.Membership(), f.id)
		if p.Learner || to != 0 && f.id != to {
			return
		}
		if target == nil || f.match > target.match {
			target = f
		}
	})
	if target == nil {
		return
	}
	m.leading.transferTo = target.id
	m.leading.transferDeadline = m.now.Add(m.config.MaxElectionTimeout)
	if target.match == m.log.last() {
		m.sendTimeoutNow()
	}
}

func (m *Member) sendTimeoutNow() {
	m.send(&wirev1.RaftMessage{Kind: wirev1.RaftMessage_KIND_TIMEOUT_NOW, To: m.leading.transferTo}, false)
}
