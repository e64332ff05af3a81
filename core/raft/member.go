package raft

import (
	"math/rand/v2"
	"time"

	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// Member is the state machine of one member of the group. It is not safe for
// concurrent use.
type Member struct {
	config Config
	random *rand.Rand
	now    time.Time

	role         Role
	term         uint64
	vote         uint64
	leader       uint64
	log          entryLog
	snapshot     *wirev1.Snapshot
	memberships  []indexedMembership
	commitIndex  uint64
	appliedIndex uint64
	// persistedIndex is the last entry that an emitted Persist holds.
	persistedIndex uint64
	halted         bool

	electionDeadline time.Time
	// lastLeaderContact is the time of the last message from a leader, zero if
	// there was none.
	lastLeaderContact time.Time
	// contactedLeader is the leader that sent the message of lastLeaderContact.
	contactedLeader uint64
	contactGaps     gapTracker
	votes           map[uint64]bool
	leaderState     leaderState

	output
	reportedRole RoleChanged
}

// output collects the effects of one Step. firstChangedIndex is the first log
// entry to persist, 0 for none. restorePending is set if the state machine must
// be restored from the snapshot.
type output struct {
	// sendsBeforeSync are messages that do not depend on what this Step persists.
	sendsBeforeSync []Effect
	// persistEmitted is set once collectEffects has begun to emit what this Step
	// persists. Later messages follow it.
	persistEmitted bool
	sendsAfterSync []Effect
	// proposed precedes the applied entries, so that the caller can assign an
	// applied entry to its request.
	proposed []Effect
	// responses follow the messages and the applied entries.
	responses         []Effect
	hardStateChanged  bool
	firstChangedIndex uint64
	persistSnapshot   *PersistSnapshot
	restorePending    bool
	membershipChanged bool
}

// Status is a member's state as reported to operators. Leader is 0 if none is
// known, and SnapshotIndex is 0 if there is no snapshot.
type Status struct {
	Role          Role
	Term          uint64
	Leader        uint64
	CommitIndex   uint64
	AppliedIndex  uint64
	LastIndex     uint64
	SnapshotIndex uint64
	// Progress has the other members if this member is the leader.
	Progress []Progress
}

// Progress is a leader's view of another member.
type Progress struct {
	ID         uint64
	MatchIndex uint64
	// LastResponse is the time of the member's last response. Before the first, it
	// is the time when the leader began to track the member.
	LastResponse time.Time
}

// Status returns the current status.
func (m *Member) Status() Status {
	s := Status{
		Role: m.role, Term: m.term, Leader: m.leader, CommitIndex: m.commitIndex,
		AppliedIndex: m.appliedIndex, LastIndex: m.log.lastIndex(), SnapshotIndex: m.snapshot.GetIndex(),
	}
	for _, p := range m.Membership().Members {
		if f := m.leaderState.followers[p.Id]; f != nil {
			s.Progress = append(s.Progress, Progress{ID: p.Id, MatchIndex: f.matchIndex, LastResponse: f.lastResponse})
		}
	}
	return s
}

// NextDeadline returns the time at which the next Tick is due, zero if none is.
func (m *Member) NextDeadline() time.Time {
	switch {
	case m.halted:
		return time.Time{}
	case m.role == RoleLeader:
		return m.leaderState.heartbeatDue
	case m.mayCampaign():
		return m.electionDeadline
	}
	return time.Time{}
}

// Step handles an event and returns the effects, which the caller must carry
// out in order. A time before that of an earlier Step counts as the earlier
// time.
func (m *Member) Step(now time.Time, event Event) []Effect {
	if m.halted {
		return nil
	}
	if now.After(m.now) {
		m.now = now
	}
	m.handle(event)
	return m.collectEffects()
}

func (m *Member) handle(event Event) {
	if m.halted {
		return
	}
	switch e := event.(type) {
	case Batch:
		for _, one := range e {
			m.handle(one)
		}
	case Tick:
		m.tick()
	case Receive:
		m.receive(e.Message)
	case Propose:
		m.propose(e)
	case ProposeMembership:
		m.proposeMembership(e)
	case ReadIndex:
		m.readIndex(e)
	case Compact:
		m.compact(e)
	case TransferLeadership:
		m.transferLeadership(e.To)
	}
}

func (m *Member) tick() {
	if m.role == RoleLeader {
		m.tickAsLeader()
		return
	}
	if m.mayCampaign() && !m.now.Before(m.electionDeadline) {
		m.campaign(false)
	}
}

// collectEffects returns the effects of a Step in order and resets the output.
func (m *Member) collectEffects() []Effect {
	if m.role == RoleLeader {
		m.replicate()
		m.startReadRound()
	}
	effects := m.sendsBeforeSync
	m.persistEmitted = true
	if m.persistSnapshot != nil {
		effects = append(effects, *m.persistSnapshot)
	}
	if p, ok := m.takePersist(); ok {
		effects = append(effects, p)
	}
	// The leader's own copy counts towards a commit only after the Persist, which
	// precedes all effects that follow from the commit.
	if m.role == RoleLeader && m.persistedIndex < m.log.lastIndex() {
		m.persistedIndex = m.log.lastIndex()
		m.advanceCommit()
		m.answerReads()
	}
	m.persistedIndex = m.log.lastIndex()
	effects = append(effects, m.sendsAfterSync...)
	effects = append(effects, m.proposed...)
	if m.restorePending {
		effects = append(effects, Restore{Snapshot: m.snapshot})
	}
	if m.appliedIndex < m.commitIndex {
		effects = append(effects, Apply{Entries: m.log.entriesBetween(m.appliedIndex, m.commitIndex)})
		m.appliedIndex = m.commitIndex
	}
	effects = append(effects, m.responses...)
	if m.membershipChanged {
		effects = append(effects, MembershipChanged{Membership: m.Membership(), Index: m.membershipIndex()})
	}
	if role := (RoleChanged{Role: m.role, Term: m.term, Leader: m.leader}); role != m.reportedRole {
		m.reportedRole = role
		effects = append(effects, role)
	}
	m.output = output{}
	return effects
}

// takePersist returns the changes to the hard state and the log, and whether
// there are any.
func (m *Member) takePersist() (Persist, bool) {
	var p Persist
	if m.hardStateChanged {
		p.Hard = &HardState{Term: m.term, Vote: m.vote}
	}
	if m.firstChangedIndex != 0 && m.firstChangedIndex <= m.log.lastIndex() {
		p.Entries = m.log.entriesBetween(m.firstChangedIndex-1, m.log.lastIndex())
		p.PreviousTerm, _ = m.log.term(m.firstChangedIndex - 1)
	}
	m.hardStateChanged, m.firstChangedIndex = false, 0
	return p, p.Hard != nil || len(p.Entries) > 0
}

// appendEntries adds entries to the log, which must end right before them.
func (m *Member) appendEntries(entries ...*wirev1.Entry) {
	if m.firstChangedIndex == 0 || entries[0].Index < m.firstChangedIndex {
		m.firstChangedIndex = entries[0].Index
	}
	m.log.append(entries...)
}

// send fills in the sender's fields and queues a message. beforeSync allows it
// to be sent before the changes of this Step are synced, which is safe for
// entries, snapshots and heartbeats of a leader whose term is synced.
func (m *Member) send(message *wirev1.RaftMessage, beforeSync bool) {
	message.From, message.Folder = m.config.ID, m.config.Folder
	if message.Term == 0 {
		message.Term = m.term
	}
	if beforeSync && !m.persistEmitted && !m.hardStateChanged && m.persistSnapshot == nil {
		m.sendsBeforeSync = append(m.sendsBeforeSync, Send{Message: message})
		return
	}
	m.sendsAfterSync = append(m.sendsAfterSync, Send{Message: message})
}

func (m *Member) setTerm(term, vote uint64) {
	if term == m.term && vote == m.vote {
		return
	}
	m.term, m.vote, m.hardStateChanged = term, vote, true
}

// becomeFollower makes this member a follower in a term. The leader is 0 if it
// is not known.
func (m *Member) becomeFollower(term, leader uint64) {
	if m.role == RoleLeader {
		m.rejectReads(leader)
	}
	if term > m.term {
		m.setTerm(term, 0)
	}
	m.role, m.leader = RoleFollower, leader
	m.leaderState, m.votes = leaderState{}, nil
	m.resetElectionDeadline()
}

func (m *Member) resetElectionDeadline() {
	spread := int64(m.config.MaxElectionTimeout - m.config.MinElectionTimeout)
	m.electionDeadline = m.now.Add(m.adaptiveMinTimeout() + time.Duration(m.random.Int64N(spread)))
}

func (m *Member) halt(reason HaltReason) {
	if m.halted {
		return
	}
	if m.role == RoleLeader {
		m.becomeFollower(m.term, 0)
	}
	m.leader = 0
	m.halted = true
	m.responses = append(m.responses, Halted{Reason: reason})
}

// commitTo raises the commit index. It halts this member if the committed
// membership has its id with another folder id.
func (m *Member) commitTo(index uint64) {
	if index <= m.commitIndex {
		return
	}
	m.commitIndex = index
	self := findMember(m.membershipAt(m.commitIndex), m.config.ID)
	if self != nil && self.Folder != 0 && self.Folder != m.config.Folder {
		m.halt(HaltOtherFolder)
	}
}

// compact keeps a snapshot of the applied state and removes the log entries
// that it replaces.
func (m *Member) compact(e Compact) {
	if e.Index > m.appliedIndex {
		panic("raft: compaction beyond the applied index")
	}
	if e.Index <= m.snapshot.GetIndex() || e.Index <= m.log.baseIndex {
		return
	}
	term, _ := m.log.term(e.Index)
	membership := m.membershipAt(e.Index)
	m.snapshot = &wirev1.Snapshot{Index: e.Index, Term: term, Membership: membership, Data: e.Data}
	for len(m.memberships) > 1 && m.memberships[1].index <= e.Index {
		m.memberships = m.memberships[1:]
	}
	m.log.compact(m.log.firstKept(e.Index, e.Keep, e.KeepBytes) - 1)
	m.persistSnapshot = &PersistSnapshot{Snapshot: m.snapshot, FirstIndex: m.log.baseIndex + 1}
}
