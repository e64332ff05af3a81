package raft

import (
	"math/rand/v2"
	"time"

	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// Member is one member of the group. It is not safe for concurrent use.
type Member struct {
	config Config
	random *rand.Rand
	now    time.Time

	role        Role
	term        uint64
	vote        uint64
	leader      uint64
	log         entryLog
	snapshot    *wirev1.Snapshot
	memberships []indexedMembership
	commit      uint64
	applied     uint64
	// persisted is the last entry that an emitted Persist holds.
	persisted uint64
	halted    bool

	electionDeadline time.Time
	// leaderContact is when a leader was last heard, zero if never.
	leaderContact time.Time
	// contactOf is the leader that was heard then.
	contactOf uint64
	gaps      gaps
	votes     map[uint64]bool
	leading   leading

	output
	reported RoleChanged
}

// output collects the effects of one Step.
type output struct {
	// early messages do not depend on what this Step persists.
	early []Effect
	// synced is set once all that this Step changed is in the effects.
	synced bool
	late   []Effect
	// proposed precedes the applied entries, so that the caller knows whose
	// entry is applied.
	proposed []Effect
	// answers follow the messages and the applied entries.
	answers           []Effect
	hardChanged       bool
	changedFrom       uint64
	persistSnapshot   *PersistSnapshot
	restoring         bool
	membershipChanged bool
}

// Status is a view of a member for operators.
type Status struct {
	Role          Role
	Term          uint64
	Leader        uint64
	CommitIndex   uint64
	AppliedIndex  uint64
	LastIndex     uint64
	SnapshotIndex uint64
	// Progress has the other members if this one leads.
	Progress []Progress
}

// Progress is what a leader knows of another member.
type Progress struct {
	ID         uint64
	MatchIndex uint64
	// LastResponse is when the member last answered.
	LastResponse time.Time
}

// Status returns the current view.
func (m *Member) Status() Status {
	s := Status{
		Role: m.role, Term: m.term, Leader: m.leader, CommitIndex: m.commit,
		AppliedIndex: m.applied, LastIndex: m.log.last(), SnapshotIndex: m.snapshot.GetIndex(),
	}
	for _, p := range m.Membership().Members {
		if f := m.leading.followers[p.Id]; f != nil {
			s.Progress = append(s.Progress, Progress{ID: p.Id, MatchIndex: f.match, LastResponse: f.heard})
		}
	}
	return s
}

// NextDeadline returns when the next Tick is due, zero for never.
func (m *Member) NextDeadline() time.Time {
	switch {
	case m.halted:
		return time.Time{}
	case m.role == RoleLeader:
		return m.leading.heartbeatDue
	case m.mayCampaign():
		return m.electionDeadline
	}
	return time.Time{}
}

// Step takes an event and returns the effects to carry out, in order.
func (m *Member) Step(now time.Time, event Event) []Effect {
	if m.halted {
		return nil
	}
	if now.After(m.now) {
		m.now = now
	}
	m.handle(event)
	return m.flush()
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
		m.transfer(e.To)
	}
}

func (m *Member) tick() {
	if m.role == RoleLeader {
		m.tickLeader()
		return
	}
	if m.mayCampaign() && !m.now.Before(m.electionDeadline) {
		m.campaign(false)
	}
}

// flush orders the effects of a Step and resets the output.
func (m *Member) flush() []Effect {
	if m.role == RoleLeader {
		m.replicate()
		m.startRound()
	}
	effects := m.early
	m.synced = true
	if m.persistSnapshot != nil {
		effects = append(effects, *m.persistSnapshot)
	}
	if p, ok := m.takePersist(); ok {
		effects = append(effects, p)
	}
	// Only now does this member's own copy count towards a commit.
	if m.role == RoleLeader && m.persisted < m.log.last() {
		m.persisted = m.log.last()
		m.advanceCommit()
		m.releaseReads()
	}
	m.persisted = m.log.last()
	effects = append(effects, m.late...)
	effects = append(effects, m.proposed...)
	if m.restoring {
		effects = append(effects, Restore{Snapshot: m.snapshot})
	}
	if m.applied < m.commit {
		effects = append(effects, Apply{Entries: m.log.between(m.applied, m.commit)})
		m.applied = m.commit
	}
	effects = append(effects, m.answers...)
	if m.membershipChanged {
		effects = append(effects, MembershipChanged{Membership: m.Membership(), Index: m.membershipIndex()})
	}
	if role := (RoleChanged{Role: m.role, Term: m.term, Leader: m.leader}); role != m.reported {
		m.reported = role
		effects = append(effects, role)
	}
	m.output = output{}
	return effects
}

// takePersist returns what changed in the hard state and the log.
func (m *Member) takePersist() (Persist, bool) {
	var p Persist
	if m.hardChanged {
		p.Hard = &HardState{Term: m.term, Vote: m.vote}
	}
	if m.changedFrom != 0 && m.changedFrom <= m.log.last() {
		p.Entries = m.log.between(m.changedFrom-1, m.log.last())
		p.PreviousTerm, _ = m.log.term(m.changedFrom - 1)
	}
	m.hardChanged, m.changedFrom = false, 0
	return p, p.Hard != nil || len(p.Entries) > 0
}

// appendEntries adds entries to the log, which must end right before them.
func (m *Member) appendEntries(entries ...*wirev1.Entry) {
	if m.changedFrom == 0 || entries[0].Index < m.changedFrom {
		m.changedFrom = entries[0].Index
	}
	m.log.append(entries...)
}

// send fills in the sender's fields. A message is early if it may be sent
// before the changes of this Step are synced: entries and heartbeats of a
// leader whose term is synced.
func (m *Member) send(message *wirev1.RaftMessage, early bool) {
	message.From, message.Folder = m.config.ID, m.config.Folder
	if message.Term == 0 {
		message.Term = m.term
	}
	if early && !m.synced && !m.hardChanged && m.persistSnapshot == nil {
		m.early = append(m.early, Send{Message: message})
		return
	}
	m.late = append(m.late, Send{Message: message})
}

func (m *Member) setTerm(term, vote uint64) {
	if term == m.term && vote == m.vote {
		return
	}
	m.term, m.vote, m.hardChanged = term, vote, true
}

// becomeFollower follows a leader, 0 for none known, in a term.
func (m *Member) becomeFollower(term, leader uint64) {
	if m.role == RoleLeader {
		m.rejectReads()
	}
	if term > m.term {
		m.setTerm(term, 0)
	}
	m.role, m.leader = RoleFollower, leader
	m.leading, m.votes = leading{}, nil
	m.resetElectionDeadline()
}

func (m *Member) resetElectionDeadline() {
	spread := int64(m.config.MaxElectionTimeout - m.config.MinElectionTimeout)
	m.electionDeadline = m.now.Add(m.patience() + time.Duration(m.random.Int64N(spread)))
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
	m.answers = append(m.answers, Halted{Reason: reason})
}

// commitTo raises the commit index and notices that this member was replaced.
func (m *Member) commitTo(index uint64) {
	if index <= m.commit {
		return
	}
	m.commit = index
	self := findMember(m.membershipAt(m.commit), m.config.ID)
	if self != nil && self.Folder != 0 && self.Folder != m.config.Folder {
		m.halt(HaltOtherFolder)
	}
}

// compact takes a snapshot of the applied state into the log's place.
func (m *Member) compact(e Compact) {
	if e.Index > m.applied {
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
	if e.Index > e.Keep {
		m.log.compact(e.Index - e.Keep)
	}
	m.persistSnapshot = &PersistSnapshot{Snapshot: m.snapshot, FirstIndex: m.log.baseIndex + 1}
}
