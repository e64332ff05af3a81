package raft

import (
	"slices"

	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// receive checks the sender and the term of a message before it dispatches it.
func (m *Member) receive(r *wirev1.RaftMessage) {
	if r == nil || r.To != m.config.ID || r.From == 0 || r.From == m.config.ID {
		return
	}
	sender := findMember(m.Membership(), r.From)
	if sender != nil && sender.Folder != 0 && sender.Folder != r.Folder {
		m.sendRefusal(r, wirev1.RaftMessage_REFUSAL_OTHER_FOLDER)
		return
	}
	if r.Refusal != wirev1.RaftMessage_REFUSAL_NONE {
		m.handleRefusal(r, sender)
		return
	}
	if sender == nil {
		if slices.Contains(m.membershipAt(m.commitIndex).RemovedIds, r.From) {
			m.sendRefusal(r, wirev1.RaftMessage_REFUSAL_REMOVED)
			return
		}
		if isResponse(r.Kind) {
			return
		}
	}
	if m.reconcileTerm(r) {
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

// sendRefusal tells the sender of a message why the group does not accept its
// messages. It never answers a refusal with a refusal.
func (m *Member) sendRefusal(r *wirev1.RaftMessage, refusal wirev1.RaftMessage_Refusal) {
	if r.Refusal != wirev1.RaftMessage_REFUSAL_NONE {
		return
	}
	m.send(&wirev1.RaftMessage{
		Kind: wirev1.RaftMessage_KIND_PRE_VOTE_RESPONSE, To: r.From, Reject: true, Refusal: refusal,
	}, false)
}

// handleRefusal halts this member if a member of its group refused it. A member
// without a membership accepts the refusal of any sender, because the transport
// has checked the group id and the secret.
func (m *Member) handleRefusal(r *wirev1.RaftMessage, sender *wirev1.Member) {
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

// reconcileTerm adopts the term of a message where Raft requires it and reports
// whether the message is to be handled. It answers requests of an earlier term
// with a rejection.
func (m *Member) reconcileTerm(r *wirev1.RaftMessage) bool {
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
			// A vote request is ignored while a leader is active, unless it is part of a
			// leadership transfer. Otherwise a member that receives no messages from the
			// leader could depose that leader for the whole group.
			if !r.Transfer && m.hasActiveLeader() {
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
			if m.contactedLeader == r.From {
				// The leader was alive, only late, when an election replaced it.
				m.recordGap(m.lastLeaderContact)
			}
			// A leader of an earlier term steps down when it receives this term.
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
			// A term has at most one leader, so the sender is not of this group.
			return
		}
		m.handleLeaderMessage(r)
	case wirev1.RaftMessage_KIND_TIMEOUT_NOW:
		if m.role != RoleLeader && m.mayCampaign() && r.From == m.leader {
			m.campaign(true)
		}
	default:
		if f := m.leaderState.followers[r.From]; f != nil {
			m.handleFollowerResponse(f, r)
		}
	}
}
