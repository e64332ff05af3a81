package raft

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// leaderState is the volatile state of a leader. readRound is the number of the
// latest heartbeat round for reads. transferTo is the voter that leadership is
// being transferred to, 0 for none.
type leaderState struct {
	followers     map[uint64]*follower
	heartbeatSent time.Time
	heartbeatDue  time.Time
	// uncommittedBytes is the encoded size of the entries after the commit index.
	uncommittedBytes int
	readRound        uint64
	pendingReads     []pendingRead
	transferTo       uint64
	transferDeadline time.Time
}

// followerState is the mode of replication to a follower.
type followerState int

const (
	// stateProbe sends one message at a time until a response shows where the
	// follower's log matches.
	stateProbe followerState = iota
	// stateReplicate sends messages without waiting for responses.
	stateReplicate
	// stateSnapshot sends no entries until the follower responds to a snapshot.
	stateSnapshot
)

// follower is a leader's view of another member, voter or learner. lastResponse
// is the time of the follower's last response. Before the first, it is the time
// when the leader began to track the follower. ackedReadRound is the latest
// read round that the follower responded to.
type follower struct {
	id    uint64
	state followerState
	// matchIndex is the last entry that the follower is known to have synced,
	// nextIndex the next one to send.
	matchIndex, nextIndex uint64
	// inFlight has the last index of each message with entries that has no
	// response.
	inFlight []uint64
	// probePending is set while a probe has no response.
	probePending   bool
	snapshotIndex  uint64
	snapshotSent   time.Time
	lastResponse   time.Time
	ackedReadRound uint64
	// folder is the folder id in the follower's responses, 0 before the first. The
	// membership records it when a learner is promoted.
	folder uint64
}

func (m *Member) becomeLeader() {
	m.role, m.leader = RoleLeader, m.config.ID
	m.leaderState = leaderState{followers: map[uint64]*follower{}}
	m.updateFollowers()
	last := m.log.lastIndex()
	for i := m.commitIndex + 1; i <= last; i++ {
		m.leaderState.uncommittedBytes += proto.Size(m.log.entries[i-m.log.baseIndex-1])
	}
	m.appendLeaderEntry(wirev1.Entry_KIND_EMPTY, nil)
	m.broadcastHeartbeat()
}

// updateFollowers adds and removes followers to match the membership in force.
// It does nothing unless this member is the leader.
func (m *Member) updateFollowers() {
	if m.role != RoleLeader {
		return
	}
	membership := m.Membership()
	for id := range m.leaderState.followers {
		if findMember(membership, id) == nil {
			delete(m.leaderState.followers, id)
		}
	}
	for _, p := range membership.Members {
		if p.Id != m.config.ID && m.leaderState.followers[p.Id] == nil {
			m.leaderState.followers[p.Id] = &follower{id: p.Id, nextIndex: m.log.lastIndex() + 1, lastResponse: m.now}
		}
	}
}

// forEachFollower calls visit for the followers in the order of their ids.
func (m *Member) forEachFollower(visit func(*follower)) {
	for _, p := range m.Membership().Members {
		if f := m.leaderState.followers[p.Id]; f != nil {
			visit(f)
		}
	}
}

// appendLeaderEntry appends an entry of this leader's term to the log. Step
// sends it to the followers at its end.
func (m *Member) appendLeaderEntry(kind wirev1.Entry_Kind, data []byte) *wirev1.Entry {
	entry := &wirev1.Entry{Index: m.log.lastIndex() + 1, Term: m.term, Kind: kind, Data: data}
	m.appendEntries(entry)
	m.leaderState.uncommittedBytes += proto.Size(entry)
	return entry
}

func (m *Member) propose(e Propose) {
	switch {
	case m.role != RoleLeader:
		m.reject(e.ID, ReasonNotLeader)
	case m.leaderState.transferTo != 0:
		m.reject(e.ID, ReasonTransferring)
	case m.leaderState.uncommittedBytes > m.config.MaxUncommittedBytes:
		m.reject(e.ID, ReasonBusy)
	default:
		entry := m.appendLeaderEntry(wirev1.Entry_KIND_COMMAND, e.Data)
		m.proposed = append(m.proposed, Proposed{ID: e.ID, Index: entry.Index, Term: entry.Term})
	}
}

func (m *Member) reject(id uint64, reason Reason) {
	m.responses = append(m.responses, Rejected{ID: id, Reason: reason, Leader: m.leader})
}

// proposeMembership starts a membership change if no other is pending. A change
// is pending while its entry is uncommitted and, without a bound on the voters,
// while the group has a learner. That learner can still be removed.
func (m *Member) proposeMembership(e ProposeMembership) {
	current := m.Membership()
	switch {
	case m.role != RoleLeader:
		m.reject(e.ID, ReasonNotLeader)
		return
	case m.leaderState.transferTo != 0:
		m.reject(e.ID, ReasonTransferring)
		return
	case !m.committedInTerm() || m.membershipIndex() > m.commitIndex:
		m.reject(e.ID, ReasonChangePending)
		return
	}
	for _, p := range current.Members {
		if p.Learner && m.config.MaxVoters == 0 && (e.Add != nil || e.Remove != p.Id) {
			m.reject(e.ID, ReasonChangePending)
			return
		}
	}
	next, err := changedMembership(current, e.Add, e.Remove)
	if err != nil {
		m.responses = append(m.responses, Rejected{ID: e.ID, Reason: ReasonInvalidChange, Detail: err.Error(), Leader: m.leader})
		return
	}
	entry := m.appendMembership(next)
	m.proposed = append(m.proposed, Proposed{ID: e.ID, Index: entry.Index, Term: entry.Term})
}

func (m *Member) appendMembership(next *wirev1.Membership) *wirev1.Entry {
	entry := m.appendLeaderEntry(wirev1.Entry_KIND_MEMBERSHIP, encodeMembership(next))
	m.addMembership(entry.Index, next)
	return entry
}

// promoteLearner makes a learner a voter once it has all committed entries,
// unless it stays a standby or another change is uncommitted. In the same way
// it records the folder id of a voter that Bootstrap did not know.
func (m *Member) promoteLearner(f *follower) {
	if m.role != RoleLeader {
		return
	}
	p := findMember(m.Membership(), f.id)
	if p == nil || !p.Learner && p.Folder != 0 || f.matchIndex < m.commitIndex || !m.committedInTerm() || m.membershipIndex() > m.commitIndex {
		return
	}
	if p.Learner && m.isStandby(p) {
		return
	}
	m.appendMembership(promotedMembership(m.Membership(), f.id, f.folder))
}

// committedInTerm reports whether an entry of this leader's term is committed.
// Before that, the commit index may be below that of earlier leaders.
func (m *Member) committedInTerm() bool {
	term, ok := m.log.term(m.commitIndex)
	return ok && term == m.term
}

func (m *Member) tickAsLeader() {
	m.recordGap(m.leaderState.heartbeatSent)
	limit := m.adaptiveMinTimeout() + m.config.MaxElectionTimeout - m.config.MinElectionTimeout
	responded := func(id uint64) bool {
		return id == m.config.ID || m.now.Sub(m.leaderState.followers[id].lastResponse) < limit
	}
	if !m.hasQuorum(responded) {
		m.becomeFollower(m.term, 0)
		return
	}
	if m.leaderState.transferTo != 0 && !m.now.Before(m.leaderState.transferDeadline) {
		m.leaderState.transferTo = 0
	}
	if !m.now.Before(m.leaderState.heartbeatDue) {
		m.broadcastHeartbeat()
	}
}

func (m *Member) broadcastHeartbeat() {
	m.leaderState.heartbeatSent, m.leaderState.heartbeatDue = m.now, m.now.Add(m.config.HeartbeatInterval)
	m.forEachFollower(func(f *follower) {
		m.send(&wirev1.RaftMessage{
			Kind: wirev1.RaftMessage_KIND_HEARTBEAT, To: f.id,
			Commit: min(m.commitIndex, f.matchIndex), Round: m.leaderState.readRound,
		}, true)
		if f.state == stateSnapshot && m.now.Sub(f.snapshotSent) >= m.config.SnapshotRetryInterval {
			m.sendSnapshot(f)
		}
	})
}

// replicate sends followers the entries that they lack, within the limits on
// messages in flight.
func (m *Member) replicate() {
	m.forEachFollower(func(f *follower) {
		for f.nextIndex <= m.log.lastIndex() && m.sendEntries(f) {
			continue
		}
	})
}

// sendEntries sends the next entries, or a probe without entries to find out
// whether the logs match. It reports whether more messages may follow.
func (m *Member) sendEntries(f *follower) bool {
	if f.state == stateSnapshot || f.probePending || len(f.inFlight) >= m.config.MaxInFlightMessages {
		return false
	}
	term, ok := m.log.term(f.nextIndex - 1)
	if !ok {
		m.sendSnapshot(f)
		return false
	}
	message := &wirev1.RaftMessage{
		Kind: wirev1.RaftMessage_KIND_APPEND, To: f.id, Commit: m.commitIndex,
		LogIndex: f.nextIndex - 1, LogTerm: term,
	}
	if f.state == stateProbe {
		f.probePending = true
		m.send(message, true)
		return false
	}
	message.Entries = m.log.entriesFrom(f.nextIndex, m.config.MaxMessageBytes)
	m.send(message, true)
	if count := len(message.Entries); count > 0 {
		f.nextIndex += uint64(count)
		f.inFlight = append(f.inFlight, f.nextIndex-1)
	}
	return true
}

func (m *Member) sendSnapshot(f *follower) {
	if m.snapshot == nil {
		panic("raft: log is compacted without a snapshot")
	}
	f.state, f.snapshotIndex, f.snapshotSent = stateSnapshot, m.snapshot.Index, m.now
	f.inFlight, f.probePending = nil, false
	m.send(&wirev1.RaftMessage{Kind: wirev1.RaftMessage_KIND_SNAPSHOT, To: f.id, Snapshot: m.snapshot}, true)
}

func (m *Member) handleFollowerResponse(f *follower, r *wirev1.RaftMessage) {
	if f.folder != 0 && f.folder != r.Folder {
		// The learner's data folder was emptied, so it has none of the log.
		*f = follower{id: f.id, nextIndex: m.log.lastIndex() + 1}
	}
	f.folder, f.lastResponse = r.Folder, m.now
	switch r.Kind {
	case wirev1.RaftMessage_KIND_HEARTBEAT_RESPONSE:
		f.ackedReadRound = max(f.ackedReadRound, min(r.Round, m.leaderState.readRound))
		m.answerReads()
		f.probePending = false
		if f.matchIndex < m.log.lastIndex() {
			if len(f.inFlight) >= m.config.MaxInFlightMessages {
				f.inFlight = f.inFlight[1:]
			}
			m.sendEntries(f)
		}
		m.promoteLearner(f)
	case wirev1.RaftMessage_KIND_APPEND_RESPONSE, wirev1.RaftMessage_KIND_SNAPSHOT_RESPONSE:
		if r.Reject {
			m.handleRejection(f, r)
			return
		}
		m.handleMatch(f, r.LogIndex)
	}
}

// handleRejection continues with a probe at the last index where the follower's
// log may match.
func (m *Member) handleRejection(f *follower, r *wirev1.RaftMessage) {
	if f.state == stateSnapshot || r.LogIndex <= f.matchIndex || r.LogIndex >= f.nextIndex && f.state == stateReplicate {
		return
	}
	if f.state == stateProbe && r.LogIndex != f.nextIndex-1 {
		return
	}
	hint := min(r.RejectHint, r.LogIndex-1)
	if hint > m.log.baseIndex {
		hint = m.log.conflictHint(hint, r.LogTerm)
	}
	f.state, f.inFlight, f.probePending = stateProbe, nil, false
	f.nextIndex = max(f.matchIndex, hint) + 1
	m.sendEntries(f)
}

// handleMatch records that a follower has synced all entries up to an index.
func (m *Member) handleMatch(f *follower, index uint64) {
	if index > m.log.lastIndex() {
		return
	}
	f.inFlight = slices.DeleteFunc(f.inFlight, func(last uint64) bool { return last <= index })
	if f.state == stateProbe && index+1 < f.nextIndex && index <= f.matchIndex {
		// A duplicate of an earlier response does not answer the current probe.
		return
	}
	f.matchIndex = max(f.matchIndex, index)
	f.nextIndex = max(f.nextIndex, f.matchIndex+1)
	switch {
	case f.state == stateReplicate:
	case f.state == stateProbe, f.matchIndex >= m.log.baseIndex, f.matchIndex >= f.snapshotIndex:
		f.state, f.probePending, f.inFlight = stateReplicate, false, nil
		f.nextIndex = f.matchIndex + 1
	}
	if m.advanceCommit() {
		m.answerReads()
	}
	m.promoteLearner(f)
	if m.leaderState.transferTo == f.id && f.matchIndex == m.log.lastIndex() {
		m.sendTimeoutNow()
	}
}

// advanceCommit commits the entries that a majority of voters has synced and
// reports whether the commit index rose. Entries of earlier terms are committed
// only together with one of this term.
func (m *Member) advanceCommit() bool {
	var syncedIndexes []uint64
	for _, p := range m.Membership().Members {
		switch {
		case p.Learner:
		case p.Id == m.config.ID:
			syncedIndexes = append(syncedIndexes, m.persistedIndex)
		default:
			syncedIndexes = append(syncedIndexes, m.leaderState.followers[p.Id].matchIndex)
		}
	}
	slices.Sort(syncedIndexes)
	index := syncedIndexes[(len(syncedIndexes)-1)/2]
	if term, ok := m.log.term(index); index <= m.commitIndex || !ok || term != m.term {
		return false
	}
	for i := m.commitIndex + 1; i <= index; i++ {
		m.leaderState.uncommittedBytes -= proto.Size(m.log.entries[i-m.log.baseIndex-1])
	}
	before := m.membershipAt(m.commitIndex)
	m.commitTo(index)
	m.notifyRemoved(before)
	if findMember(m.membershipAt(m.commitIndex), m.config.ID) == nil {
		m.stepDownAfterRemoval()
	}
	return true
}

// notifyRemoved sends a refusal to the members that were removed since an
// earlier membership. If the message is lost, a former voter learns of its
// removal from the response to its next pre-vote.
func (m *Member) notifyRemoved(before *wirev1.Membership) {
	for _, id := range m.membershipAt(m.commitIndex).RemovedIds {
		if !slices.Contains(before.RemovedIds, id) && id != m.config.ID {
			m.sendRefusal(&wirev1.RaftMessage{From: id}, wirev1.RaftMessage_REFUSAL_REMOVED)
		}
	}
}

// stepDownAfterRemoval transfers the leadership of a member whose removal is
// committed, and halts the member.
func (m *Member) stepDownAfterRemoval() {
	m.transferLeadership(0)
	m.broadcastHeartbeat()
	m.halt(HaltRemoved)
}
