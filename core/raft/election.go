package raft

import (
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// hasActiveLeader reports whether this member is the leader or has received a
// message from a leader within the last adaptiveMinTimeout.
func (m *Member) hasActiveLeader() bool {
	if m.role == RoleLeader {
		return true
	}
	return !m.lastLeaderContact.IsZero() && m.now.Sub(m.lastLeaderContact) < m.adaptiveMinTimeout()
}

// campaign starts a pre-vote. For a leadership transfer it starts the election
// without a pre-vote.
func (m *Member) campaign(transfer bool) {
	m.leader = 0
	m.resetElectionDeadline()
	if transfer {
		m.startElection(true)
		return
	}
	m.role = RolePreCandidate
	m.votes = map[uint64]bool{m.config.ID: true}
	if m.hasMajorityVote() {
		m.startElection(false)
		return
	}
	m.requestVotes(wirev1.RaftMessage_KIND_PRE_VOTE, m.term+1, false)
}

func (m *Member) startElection(transfer bool) {
	m.role = RoleCandidate
	m.setTerm(m.term+1, m.config.ID)
	m.votes = map[uint64]bool{m.config.ID: true}
	if m.hasMajorityVote() {
		m.becomeLeader()
		return
	}
	m.requestVotes(wirev1.RaftMessage_KIND_VOTE, m.term, transfer)
}

func (m *Member) requestVotes(kind wirev1.RaftMessage_Kind, term uint64, transfer bool) {
	for _, p := range m.Membership().Members {
		if p.Id == m.config.ID || p.Learner {
			continue
		}
		m.send(&wirev1.RaftMessage{
			Kind: kind, To: p.Id, Term: term, Transfer: transfer,
			LogIndex: m.log.lastIndex(), LogTerm: m.log.lastTerm(),
		}, false)
	}
}

func (m *Member) hasMajorityVote() bool {
	return m.hasQuorum(func(id uint64) bool { return m.votes[id] })
}

func (m *Member) handlePreVote(r *wirev1.RaftMessage) {
	granted := r.Term > m.term && !m.hasActiveLeader() && m.log.upToDate(r.LogIndex, r.LogTerm)
	answer := &wirev1.RaftMessage{Kind: wirev1.RaftMessage_KIND_PRE_VOTE_RESPONSE, To: r.From, Reject: !granted}
	if granted {
		answer.Term = r.Term
	}
	m.send(answer, false)
}

func (m *Member) handleVote(r *wirev1.RaftMessage) {
	granted := (m.vote == 0 || m.vote == r.From) && m.leader == 0 && m.log.upToDate(r.LogIndex, r.LogTerm)
	if granted {
		m.setTerm(m.term, r.From)
		m.resetElectionDeadline()
	}
	m.send(&wirev1.RaftMessage{Kind: wirev1.RaftMessage_KIND_VOTE_RESPONSE, To: r.From, Reject: !granted}, false)
}

// handleVoteResponse counts a granted vote if this member has the given role: a
// pre-candidate counts pre-votes, a candidate counts votes.
func (m *Member) handleVoteResponse(r *wirev1.RaftMessage, role Role) {
	if m.role != role || r.Reject {
		return
	}
	if role == RolePreCandidate && r.Term != m.term+1 {
		return
	}
	m.votes[r.From] = true
	if !m.hasMajorityVote() {
		return
	}
	if role == RolePreCandidate {
		m.startElection(false)
		return
	}
	m.becomeLeader()
}
