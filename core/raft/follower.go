package raft

import (
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// follow handles a message of the leader of the current term.
func (m *Member) follow(r *wirev1.RaftMessage) {
	if m.role != RoleFollower || m.leader != r.From {
		m.becomeFollower(m.term, r.From)
	}
	if m.contactOf == r.From {
		m.noteGap(m.leaderContact)
	}
	m.leaderContact, m.contactOf = m.now, r.From
	m.resetElectionDeadline()
	switch r.Kind {
	case wirev1.RaftMessage_KIND_HEARTBEAT:
		m.commitTo(min(r.Commit, m.log.last()))
		m.send(&wirev1.RaftMessage{Kind: wirev1.RaftMessage_KIND_HEARTBEAT_RESPONSE, To: r.From, Round: r.Round}, false)
	case wirev1.RaftMessage_KIND_APPEND:
		m.handleAppend(r)
	case wirev1.RaftMessage_KIND_SNAPSHOT:
		m.handleSnapshot(r)
	}
}

func (m *Member) acknowledge(to, index uint64) {
	m.send(&wirev1.RaftMessage{Kind: wirev1.RaftMessage_KIND_APPEND_RESPONSE, To: to, LogIndex: index}, false)
}

// validEntries reports whether a message's entries follow one another. The
// memberships among them are returned by index.
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
	if r.LogIndex < m.commit {
		// Everything up to the commit index is known to match.
		if matched <= m.commit {
			m.acknowledge(r.From, m.commit)
			return
		}
		entries = entries[m.commit-r.LogIndex:]
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
		if e.Index <= m.commit {
			m.halt(HaltConflict)
			return
		}
		if e.Index <= m.log.last() {
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
	m.acknowledge(r.From, matched)
}

// truncate removes entries that the leader does not have.
func (m *Member) truncate(index uint64) {
	m.log.truncate(index)
	m.dropMemberships(index)
	m.persisted = min(m.persisted, m.log.last())
	if m.changedFrom > m.log.last() {
		m.changedFrom = 0
	}
}

func (m *Member) handleSnapshot(r *wirev1.RaftMessage) {
	s := r.Snapshot
	if s == nil || s.Index == 0 || s.Term > r.Term || s.Membership == nil || checkMembership(s.Membership) != nil {
		return
	}
	answer := &wirev1.RaftMessage{Kind: wirev1.RaftMessage_KIND_SNAPSHOT_RESPONSE, To: r.From, LogIndex: s.Index}
	switch {
	case s.Index <= m.commit:
		answer.LogIndex = m.commit
	case m.log.matches(s.Index, s.Term):
		m.commitTo(s.Index)
	default:
		m.install(s)
	}
	m.send(answer, false)
}

// install replaces the log with a snapshot.
func (m *Member) install(s *wirev1.Snapshot) {
	m.snapshot = s
	m.log = entryLog{baseIndex: s.Index, baseTerm: s.Term}
	m.memberships = nil
	m.addMembership(s.Index, s.Membership)
	m.changedFrom = 0
	m.persisted = s.Index
	m.applied = s.Index
	m.commitTo(s.Index)
	m.restoring = true
	m.persistSnapshot = &PersistSnapshot{Snapshot: s, Reset: true, FirstIndex: s.Index + 1}
}
