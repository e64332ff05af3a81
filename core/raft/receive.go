package raft

import (
	"slices"

	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// receive checks who sent a message and compares terms before it dispatches.
func (m *Member) receive(r *wirev1.RaftMessage) {
	if r == nil || r.To != m.config.ID || r.From == 0 || r.From == m.config.ID {
		return
	}
	sender := findMember(m.Membership(), r.From)
	if sender != nil && sender.Folder != 0 && sender.Folder != r.Folder {
		m.refuse(r, wirev1.RaftMessage_REFUSAL_OTHER_FOLDER)
		return
	}
	if r.Refusal != wirev1.RaftMessage_REFUSAL_NONE {
		m.refused(r, sender)
		return
	}
	if sender == nil {
		if slices.Contains(m.membershipAt(m.commit).RemovedIds, r.From) {
			m.refuse(r, wirev1.RaftMessage_REFUSAL_REMOVED)
			return
		}
		if isResponse(r.Kind) {
			return
		}
	}
	if m.checkTerm(r) {
		m.dispatch(r)
	}
}

func isResponse(kind wirev1.RaftMessage_Kind) bool {
	switch kind {
	case wirev1.RaftMessage_KIND_PRE_VOTE_RESPONSE, wirev1.RaftMessage_KIND_VOTE_RESPONSE,
		wirev1.RaftMessage_KIND_APPEND_RESPONSE, wirev1.RaftMessage_KIND_HEARTBEAT_RESPONSE,
		wirev1.RaftMessage_KIND_SNAPSHOT_RESPONSE:
		return true
	}
	return false
}

// refuse tells a sender that the group does not accept it.
func (m *Member) refuse(r *wirev1.RaftMessage, refusal wirev1.RaftMessage_Refusal) {
	if r.Refusal != wirev1.RaftMessage_REFUSAL_NONE {
		return
	}
	m.send(&wirev1.RaftMessage{
		Kind: wirev1.RaftMessage_KIND_PRE_VOTE_RESPONSE, To: r.From, Reject: true, Refusal: refusal,
	}, false)
}

// refused stops this member if a member of its group refuses it. A member that
// has no membership yet believes the sender: the transport has checked the
// group id and the secret.
func (m *Member) refused(r *wirev1.RaftMessage, sender *wirev1.Member) {
	if sender == nil && len(m.memberships) > 0 {
		return
	}
	switch r.Refusal {
	case wirev1.RaftMessage_REFUSAL_REMOVED:
		m.halt(HaltRemoved)
	case wirev1.RaftMessage_REFUSAL_OTHER_FOLDER:
		m.halt(HaltOtherFolder)
	}
}

// checkTerm brings this member to the message's term and reports whether the
// message is to be handled.
func (m *Member) checkTerm(r *wirev1.RaftMessage) bool {
	switch {
	case r.Term > m.term:
		switch r.Kind {
		case wirev1.RaftMessage_KIND_PRE_VOTE:
			return true
		case wirev1.RaftMessage_KIND_PRE_VOTE_RESPONSE:
			if !r.Reject {
				return true
			}
		case wirev1.RaftMessage_KIND_VOTE:
			// Without this, a member that does not hear the leader could depose
			// it for all others.
			if !r.Transfer && m.hearsLeader() {
				return false
			}
		case wirev1.RaftMessage_KIND_APPEND, wirev1.RaftMessage_KIND_HEARTBEAT, wirev1.RaftMessage_KIND_SNAPSHOT:
			m.becomeFollower(r.Term, r.From)
			return true
		}
		m.becomeFollower(r.Term, 0)
	case r.Term < m.term:
		switch r.Kind {
		case wirev1.RaftMessage_KIND_APPEND, wirev1.RaftMessage_KIND_HEARTBEAT, wirev1.RaftMessage_KIND_SNAPSHOT:
			if m.contactOf == r.From {
				// The leader lived while an election replaced it.
				m.noteGap(m.leaderContact)
			}
			// Lets a leader with an old term step down.
			m.send(&wirev1.RaftMessage{Kind: wirev1.RaftMessage_KIND_APPEND_RESPONSE, To: r.From, Reject: true}, false)
		case wirev1.RaftMessage_KIND_PRE_VOTE:
			m.send(&wirev1.RaftMessage{Kind: wirev1.RaftMessage_KIND_PRE_VOTE_RESPONSE, To: r.From, Reject: true}, false)
		case wirev1.RaftMessage_KIND_VOTE:
			m.send(&wirev1.RaftMessage{Kind: wirev1.RaftMessage_KIND_VOTE_RESPONSE, To: r.From, Reject: true}, false)
		}
		return false
	}
	return true
}

func (m *Member) dispatch(r *wirev1.RaftMessage) {
	switch r.Kind {
	case wirev1.RaftMessage_KIND_PRE_VOTE:
		m.handlePreVote(r)
	case wirev1.RaftMessage_KIND_VOTE:
		m.handleVote(r)
	case wirev1.RaftMessage_KIND_PRE_VOTE_RESPONSE:
		m.handleVoteResponse(r, RolePreCandidate)
	case wirev1.RaftMessage_KIND_VOTE_RESPONSE:
		m.handleVoteResponse(r, RoleCandidate)
	case wirev1.RaftMessage_KIND_APPEND, wirev1.RaftMessage_KIND_HEARTBEAT, wirev1.RaftMessage_KIND_SNAPSHOT:
		if m.role == RoleLeader {
			// Two leaders in one term cannot be: the sender is not of this group.
			return
		}
		m.follow(r)
	case wirev1.RaftMessage_KIND_TIMEOUT_NOW:
		if m.role != RoleLeader && m.mayCampaign() && r.From == m.leader {
			m.campaign(true)
		}
	default:
		if f := m.leading.followers[r.From]; f != nil {
			m.handleFollowerResponse(f, r)
		}
	}
}
