package raft

import (
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// handleLeaderMessage handles a message of the leader of the current term.
func (m *Member) handleLeaderMessage(r *wirev1.RaftMessage) {
	if m.role != RoleFollower || m.leader != r.From {
		m.becomeFollower(m.term, r.From)
	}
	if m.contactedLeader == r.From {
		m.recordGap(m.lastLeaderContact)
	}
	m.lastLeaderContact, m.contactedLeader = m.now, r.From
	m.resetElectionDeadline()
	switch r.Kind {
	case wirev1.RaftMessage_KIND_HEARTBEAT:
		m.commitTo(min(r.Commit, m.log.lastIndex()))
		m.send(&wirev1.RaftMessage{Kind: wirev1.RaftMessage_KIND_HEARTBEAT_RESPONSE, To: r.From, Round: r.Round}, false)
	case wirev1.RaftMessage_KIND_APPEND:
		m.handleAppend(r)
	case wirev1.RaftMessage_KIND_SNAPSHOT:
		m.handleSnapshot(r)
	}
}

func (m *Member) acknowledgeAppend(to, index uint64) {
	m.send(&wirev1.RaftMessage{Kind: wirev1.RaftMessage_KIND_APPEND_RESPONSE, To: to, LogIndex: index}, false)
}

// validEntries reports whether a message's entries are consecutive and their
// terms valid. It returns the memberships among them by index.
func validEntries(r *wirev1.RaftMessage) (map[uint64]*wirev1.Membership, bool) {
	memberships := map[uint64]*wirev1.Membership{}
	previous := r.LogTerm
	for i, e := range r.Entries {
		if e == nil || e.Index != r.LogIndex+uint64(i)+1 || e.Term < previous || e.Term > r.Term {
			return nil, false
		}
		previous = e.Term
		if e.Kind == wirev1.Entry_KIND_MEMBERSHIP {
			membership, err := decodeMembership(e.Data)
			if err != nil {
				return nil, false
			}
			memberships[e.Index] = membership
		}
	}
	return memberships, true
}

func (m *Member) handleAppend(r *wirev1.RaftMessage) {
	memberships, ok := validEntries(r)
	if !ok {
		return
	}
	entries, matched := r.Entries, r.LogIndex+uint64(len(r.Entries))
	if r.LogIndex < m.commitIndex {
		// Entries up to the commit index match those of the leader. Only later
		// entries are compared.
		if matched <= m.commitIndex {
			m.acknowledgeAppend(r.From, m.commitIndex)
			return
		}
		entries = entries[m.commitIndex-r.LogIndex:]
	} else if !m.log.matches(r.LogIndex, r.LogTerm) {
		hint := m.log.conflictHint(r.LogIndex, r.LogTerm)
		term, _ := m.log.term(hint)
		m.send(&wirev1.RaftMessage{
			Kind: wirev1.RaftMessage_KIND_APPEND_RESPONSE, To: r.From, Reject: true,
			LogIndex: r.LogIndex, RejectHint: hint, LogTerm: term,
		}, false)
		return
	}
	for i, e := range entries {
		if m.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= m.commitIndex {
			m.halt(HaltConflict)
			return
		}
		if e.Index <= m.log.lastIndex() {
			m.truncate(e.Index)
		}
		m.appendEntries(entries[i:]...)
		for _, added := range entries[i:] {
			if membership := memberships[added.Index]; membership != nil {
				m.addMembership(added.Index, membership)
			}
		}
		break
	}
	m.commitTo(min(r.Commit, matched))
	m.acknowledgeAppend(r.From, matched)
}

// truncate removes the entry at an index and all after it, which conflict with
// the leader's log.
func (m *Member) truncate(index uint64) {
	m.log.truncate(index)
	m.dropMemberships(index)
	m.persistedIndex = min(m.persistedIndex, m.log.lastIndex())
	if m.firstChangedIndex > m.log.lastIndex() {
		m.firstChangedIndex = 0
	}
}

func (m *Member) handleSnapshot(r *wirev1.RaftMessage) {
	s := r.Snapshot
	if s == nil || s.Index == 0 || s.Term > r.Term || s.Membership == nil || checkMembership(s.Membership) != nil {
		return
	}
	answer := &wirev1.RaftMessage{Kind: wirev1.RaftMessage_KIND_SNAPSHOT_RESPONSE, To: r.From, LogIndex: s.Index}
	switch {
	case s.Index <= m.commitIndex:
		answer.LogIndex = m.commitIndex
	case m.log.matches(s.Index, s.Term):
		m.commitTo(s.Index)
	default:
		m.installSnapshot(s)
	}
	m.send(answer, false)
}

// installSnapshot replaces the log and the applied state with a snapshot.
func (m *Member) installSnapshot(s *wirev1.Snapshot) {
	m.snapshot = s
	m.log = entryLog{baseIndex: s.Index, baseTerm: s.Term}
	m.memberships = nil
	m.addMembership(s.Index, s.Membership)
	m.firstChangedIndex = 0
	m.persistedIndex = s.Index
	m.appliedIndex = s.Index
	m.commitTo(s.Index)
	m.restorePending = true
	m.persistSnapshot = &PersistSnapshot{Snapshot: s, Reset: true, FirstIndex: s.Index + 1}
}
