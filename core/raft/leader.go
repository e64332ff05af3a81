package raft

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// leading is what only a leader keeps.
type leading struct {
	followers     map[uint64]*follower
	heartbeatSent time.Time
	heartbeatDue  time.Time
	// uncommittedBytes counts the commands after the commit index.
	uncommittedBytes int
	round            uint64
	reads            []read
	transferTo       uint64
	transferDeadline time.Time
}

// followerState says how a follower gets entries.
type followerState int

const (
	// stateProbe sends one message at a time until the follower's log is found
	// to match.
	stateProbe followerState = iota
	// stateReplicate sends messages without waiting for responses.
	stateReplicate
	// stateSnapshot waits for the response to a snapshot.
	stateSnapshot
)

// follower is what a leader knows of another member.
type follower struct {
	id    uint64
	state followerState
	// match is the last entry known to be synced there, next the first to send.
	match, next uint64
	// inFlight has the last indexes of unanswered messages with entries.
	inFlight []uint64
	// waiting is set while a probe is unanswered.
	waiting       bool
	snapshotIndex uint64
	snapshotSent  time.Time
	heard         time.Time
	round         uint64
	// folder is that of the first response of a learner.
	folder uint64
}

func (m *Member) becomeLeader() {
	m.role, m.leader = RoleLeader, m.config.ID
	m.leading = leading{followers: map[uint64]*follower{}}
	m.trackMembers()
	last := m.log.last()
	for i := m.commit + 1; i <= last; i++ {
		m.leading.uncommittedBytes += proto.Size(m.log.entries[i-m.log.baseIndex-1])
	}
	m.appendOwn(wirev1.Entry_KIND_EMPTY, nil)
	m.broadcastHeartbeat()
}

// trackMembers makes the followers of a leader those of the membership.
func (m *Member) trackMembers() {
	if m.role != RoleLeader {
		return
	}
	membership := m.Membership()
	for id := range m.leading.followers {
		if findMember(membership, id) == nil {
			delete(m.leading.followers, id)
		}
	}
	for _, p := range membership.Members {
		if p.Id != m.config.ID && m.leading.followers[p.Id] == nil {
			m.leading.followers[p.Id] = &follower{id: p.Id, next: m.log.last() + 1, heard: m.now}
		}
	}
}

// eachFollower calls a function for the followers in the order of their ids.
func (m *Member) eachFollower(call func(*follower)) {
	for _, p := range m.Membership().Members {
		if f := m.leading.followers[p.Id]; f != nil {
			call(f)
		}
	}
}

// appendOwn adds an entry of this leader and sends it to the followers.
func (m *Member) appendOwn(kind wirev1.Entry_Kind, data []byte) *wirev1.Entry {
	entry := &wirev1.Entry{Index: m.log.last() + 1, Term: m.term, Kind: kind, Data: data}
	m.appendEntries(entry)
	m.leading.uncommittedBytes += proto.Size(entry)
	return entry
}

func (m *Member) propose(e Propose) {
	switch {
	case m.role != RoleLeader:
		m.reject(e.ID, ReasonNotLeader)
	case m.leading.transferTo != 0:
		m.reject(e.ID, ReasonTransferring)
	case m.leading.uncommittedBytes > m.config.MaxUncommittedBytes:
		m.reject(e.ID, ReasonBusy)
	default:
		entry := m.appendOwn(wirev1.Entry_KIND_COMMAND, e.Data)
		m.proposed = append(m.proposed, Proposed{ID: e.ID, Index: entry.Index, Term: entry.Term})
	}
}

func (m *Member) reject(id uint64, reason Reason) {
	m.answers = append(m.answers, Rejected{ID: id, Reason: reason, Leader: m.leader})
}

// proposeMembership starts a change if no other is under way: one uncommitted
// entry or one learner at a time. Removal of the learner is possible.
func (m *Member) proposeMembership(e ProposeMembership) {
	current := m.Membership()
	switch {
	case m.role != RoleLeader:
		m.reject(e.ID, ReasonNotLeader)
		return
	case m.leading.transferTo != 0:
		m.reject(e.ID, ReasonTransferring)
		return
	case !m.committedInTerm() || m.membershipIndex() > m.commit:
		m.reject(e.ID, ReasonChangePending)
		return
	}
	for _, p := range current.Members {
		if p.Learner && m.config.MaxVoters == 0 && (e.Add != nil || e.Remove != p.Id) {
			m.reject(e.ID, ReasonChangePending)
			return
		}
	}
	next, err := changed(current, e.Add, e.Remove)
	if err != nil {
		m.answers = append(m.answers, Rejected{ID: e.ID, Reason: ReasonInvalidChange, Detail: err.Error(), Leader: m.leader})
		return
	}
	entry := m.appendMembership(next)
	m.proposed = append(m.proposed, Proposed{ID: e.ID, Index: entry.Index, Term: entry.Term})
}

func (m *Member) appendMembership(next *wirev1.Membership) *wirev1.Entry {
	entry := m.appendOwn(wirev1.Entry_KIND_MEMBERSHIP, encodeMembership(next))
	m.addMembership(entry.Index, next)
	return entry
}

// promoteLearner makes a learner a voter once it holds everything committed.
func (m *Member) promoteLearner(f *follower) {
	if m.role != RoleLeader {
		return
	}
	p := findMember(m.Membership(), f.id)
	if p == nil || !p.Learner || f.match < m.commit || !m.committedInTerm() || m.membershipIndex() > m.commit {
		return
	}
	if m.standsBy(p) {
		return
	}
	m.appendMembership(promoted(m.Membership(), f.id, f.folder))
}

// committedInTerm reports whether an entry of this leader's term is committed.
// Before that, the commit index may lack what earlier leaders committed.
func (m *Member) committedInTerm() bool {
	term, ok := m.log.term(m.commit)
	return ok && term == m.term
}

func (m *Member) tickLeader() {
	m.noteGap(m.leading.heartbeatSent)
	limit := m.patience() + m.config.MaxElectionTimeout - m.config.MinElectionTimeout
	heard := func(id uint64) bool {
		return id == m.config.ID || m.now.Sub(m.leading.followers[id].heard) < limit
	}
	if !m.quorum(heard) {
		m.becomeFollower(m.term, 0)
		return
	}
	if m.leading.transferTo != 0 && !m.now.Before(m.leading.transferDeadline) {
		m.leading.transferTo = 0
	}
	if !m.now.Before(m.leading.heartbeatDue) {
		m.broadcastHeartbeat()
	}
}

func (m *Member) broadcastHeartbeat() {
	m.leading.heartbeatSent, m.leading.heartbeatDue = m.now, m.now.Add(m.config.HeartbeatInterval)
	m.eachFollower(func(f *follower) {
		m.send(&wirev1.RaftMessage{
			Kind: wirev1.RaftMessage_KIND_HEARTBEAT, To: f.id,
			Commit: min(m.commit, f.match), Round: m.leading.round,
		}, true)
		if f.state == stateSnapshot && m.now.Sub(f.snapshotSent) >= m.config.SnapshotRetryInterval {
			m.sendSnapshot(f)
		}
	})
}

// replicate sends followers what they do not have yet.
func (m *Member) replicate() {
	m.eachFollower(func(f *follower) {
		for f.next <= m.log.last() && m.sendEntries(f) {
			continue
		}
	})
}

// sendEntries sends the next entries, or none to learn whether the log
// matches, and reports whether more may follow.
func (m *Member) sendEntries(f *follower) bool {
	if f.state == stateSnapshot || f.waiting || len(f.inFlight) >= m.config.MaxInFlightMessages {
		return false
	}
	term, ok := m.log.term(f.next - 1)
	if !ok {
		m.sendSnapshot(f)
		return false
	}
	message := &wirev1.RaftMessage{
		Kind: wirev1.RaftMessage_KIND_APPEND, To: f.id, Commit: m.commit,
		LogIndex: f.next - 1, LogTerm: term,
	}
	if f.state == stateProbe {
		f.waiting = true
		m.send(message, true)
		return false
	}
	message.Entries = m.log.from(f.next, m.config.MaxMessageBytes)
	m.send(message, true)
	if count := len(message.Entries); count > 0 {
		f.next += uint64(count)
		f.inFlight = append(f.inFlight, f.next-1)
	}
	return true
}

func (m *Member) sendSnapshot(f *follower) {
	if m.snapshot == nil {
		panic("raft: log is compacted without a snapshot")
	}
	f.state, f.snapshotIndex, f.snapshotSent = stateSnapshot, m.snapshot.Index, m.now
	f.inFlight, f.waiting = nil, false
	m.send(&wirev1.RaftMessage{Kind: wirev1.RaftMessage_KIND_SNAPSHOT, To: f.id, Snapshot: m.snapshot}, true)
}

func (m *Member) handleFollowerResponse(f *follower, r *wirev1.RaftMessage) {
	if f.folder != 0 && f.folder != r.Folder {
		// A learner whose disk was emptied starts anew.
		*f = follower{id: f.id, next: m.log.last() + 1}
	}
	f.folder, f.heard = r.Folder, m.now
	switch r.Kind {
	case wirev1.RaftMessage_KIND_HEARTBEAT_RESPONSE:
		f.round = max(f.round, min(r.Round, m.leading.round))
		m.releaseReads()
		f.waiting = false
		if f.match < m.log.last() {
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

// handleRejection moves back to where the follower's log may match.
func (m *Member) handleRejection(f *follower, r *wirev1.RaftMessage) {
	if f.state == stateSnapshot || r.LogIndex <= f.match || r.LogIndex >= f.next && f.state == stateReplicate {
		return
	}
	if f.state == stateProbe && r.LogIndex != f.next-1 {
		return
	}
	hint := min(r.RejectHint, r.LogIndex-1)
	if hint > m.log.baseIndex {
		hint = m.log.conflictHint(hint, r.LogTerm)
	}
	f.state, f.inFlight, f.waiting = stateProbe, nil, false
	f.next = max(f.match, hint) + 1
	m.sendEntries(f)
}

// handleMatch notes that a follower has synced everything up to an index.
func (m *Member) handleMatch(f *follower, index uint64) {
	if index > m.log.last() {
		return
	}
	f.inFlight = slices.DeleteFunc(f.inFlight, func(last uint64) bool { return last <= index })
	if f.state == stateProbe && index+1 < f.next && index <= f.match {
		// A duplicate of an earlier response.
		return
	}
	f.match = max(f.match, index)
	f.next = max(f.next, f.match+1)
	switch {
	case f.state == stateReplicate:
	case f.state == stateProbe, f.match >= m.log.baseIndex, f.match >= f.snapshotIndex:
		f.state, f.waiting, f.inFlight = stateReplicate, false, nil
		f.next = f.match + 1
	}
	if m.advanceCommit() {
		m.releaseReads()
	}
	m.promoteLearner(f)
	if m.leading.transferTo == f.id && f.match == m.log.last() {
		m.sendTimeoutNow()
	}
}

// advanceCommit commits what a majority of voters has synced. Entries of
// earlier terms are committed only together with one of this term.
func (m *Member) advanceCommit() bool {
	var synced []uint64
	for _, p := range m.Membership().Members {
		switch {
		case p.Learner:
		case p.Id == m.config.ID:
			synced = append(synced, m.persisted)
		default:
			synced = append(synced, m.leading.followers[p.Id].match)
		}
	}
	slices.Sort(synced)
	index := synced[(len(synced)-1)/2]
	if term, ok := m.log.term(index); index <= m.commit || !ok || term != m.term {
		return false
	}
	for i := m.commit + 1; i <= index; i++ {
		m.leading.uncommittedBytes -= proto.Size(m.log.entries[i-m.log.baseIndex-1])
	}
	before := m.membershipAt(m.commit)
	m.commitTo(index)
	m.notifyRemoved(before)
	if findMember(m.membershipAt(m.commit), m.config.ID) == nil {
		m.leaveGroup()
	}
	return true
}

// notifyRemoved tells members that they were removed since an earlier
// membership. If the message is lost, a former voter learns it from the
// response to its next pre-vote.
func (m *Member) notifyRemoved(before *wirev1.Membership) {
	for _, id := range m.membershipAt(m.commit).RemovedIds {
		if !slices.Contains(before.RemovedIds, id) && id != m.config.ID {
			m.refuse(&wirev1.RaftMessage{From: id}, wirev1.RaftMessage_REFUSAL_REMOVED)
		}
	}
}

// leaveGroup ends the leadership of a member whose removal is committed.
func (m *Member) leaveGroup() {
	m.transfer(0)
	m.broadcastHeartbeat()
	m.halt(HaltRemoved)
}
