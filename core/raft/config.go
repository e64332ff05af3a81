package raft

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// Defaults of Config, and the limit on the size of a group.
const (
	DefaultMinElectionTimeout = 300 * time.Millisecond
	DefaultMaxElectionTimeout = 600 * time.Millisecond
	DefaultHeartbeatInterval  = 75 * time.Millisecond
	// DefaultSnapshotRetryInterval is the time after which a snapshot without a
	// response is sent again.
	DefaultSnapshotRetryInterval = 3 * time.Second
	// DefaultMaxMessageBytes bounds the encoded entries of one message. A single
	// larger entry is sent alone.
	DefaultMaxMessageBytes = 512 << 10
	// DefaultMaxInFlightMessages bounds the messages with entries to one member
	// that have no response yet. 16 messages of 512 KiB fill a 100 Mbit/s link for
	// 0.7 s.
	DefaultMaxInFlightMessages = 16
	// DefaultMaxUncommittedBytes bounds the encoded size of the entries that a
	// leader accepts while it cannot commit them, such as without a quorum.
	DefaultMaxUncommittedBytes = 16 << 20
	// DefaultUnresponsiveAfter is well above the pauses of a busy machine, so that
	// a voter that is only slow is not replaced.
	DefaultUnresponsiveAfter = 3 * time.Second
	// MaxMembers is the largest number of voters and learners together.
	MaxMembers = 7
)

// Config is the configuration of a member. ID and Folder are required. A zero
// value of another field selects its default. MaxElectionTimeout defaults to
// twice MinElectionTimeout. HeartbeatInterval defaults to a quarter of
// MinElectionTimeout.
type Config struct {
	ID uint64
	// Folder is the random id of the member's data folder.
	Folder uint64
	// Seed is the seed of the random election timeouts. Members need different
	// ones.
	Seed                  uint64
	MinElectionTimeout    time.Duration
	MaxElectionTimeout    time.Duration
	HeartbeatInterval     time.Duration
	SnapshotRetryInterval time.Duration
	MaxMessageBytes       int
	MaxInFlightMessages   int
	MaxUncommittedBytes   int
	// MaxVoters is the number of responsive voters at which no further learner is
	// promoted. The remaining learners replicate the log, and one becomes a voter
	// when a voter is unresponsive. 0 means that every learner is promoted.
	MaxVoters int
	// UnresponsiveAfter is the time without a response after which a voter does
	// not count towards MaxVoters. Default DefaultUnresponsiveAfter.
	UnresponsiveAfter time.Duration
}

// completeListTerm is the term of the first entry of members that know the
// folder ids of all initial members. Their entries are equal.
const completeListTerm = 1

// StoredState is the state of a member that its disk holds.
type StoredState struct {
	Hard HardState
	// Snapshot is nil if none was taken or received.
	Snapshot *wirev1.Snapshot
	// BaseIndex and BaseTerm identify the entry before the first of Entries, 0 if
	// the log starts at index 1.
	BaseIndex uint64
	BaseTerm  uint64
	Entries   []*wirev1.Entry
}

// Bootstrap returns the state that the initial member self stores before its
// first start. All initial members must use the same ids and addresses. A
// member whose folder id is not known yet has the folder id 0. At least a
// majority, with self, needs one.
//
// Members that know different folder ids store different entries at index 1.
// These must not have the same term, so each member uses a term of its own for
// an incomplete list, as if it had led in that term. Elections begin above all
// of these terms and need a majority of the same ids whichever entry is in
// force, so only one of the entries is ever committed.
func Bootstrap(self uint64, members []*wirev1.Member) (StoredState, error) {
	membership := &wirev1.Membership{Members: sortedMembers(members)}
	known, term := 0, uint64(0)
	for i, m := range membership.Members {
		if m.Learner {
			return StoredState{}, errors.Errorf("initial member %d cannot be a learner", m.Id)
		}
		if m.Folder != 0 {
			known++
		}
		if m.Id == self && m.Folder != 0 {
			term = completeListTerm + 1 + uint64(i)
		}
	}
	count := len(membership.Members)
	switch {
	case term == 0:
		return StoredState{}, errors.Errorf("initial member %d needs a folder id", self)
	case known <= count/2:
		return StoredState{}, errors.Errorf("the folder ids of %d of %d initial members are known, want a majority", known, count)
	case known == count:
		term = completeListTerm
	}
	if err := checkMembership(membership); err != nil {
		return StoredState{}, err
	}
	entry := &wirev1.Entry{Index: 1, Term: term, Kind: wirev1.Entry_KIND_MEMBERSHIP, Data: encodeMembership(membership)}
	return StoredState{Hard: HardState{Term: completeListTerm + uint64(count)}, Entries: []*wirev1.Entry{entry}}, nil
}

func (c Config) withDefaults() Config {
	c.MinElectionTimeout = cmp.Or(c.MinElectionTimeout, DefaultMinElectionTimeout)
	c.MaxElectionTimeout = cmp.Or(c.MaxElectionTimeout, 2*c.MinElectionTimeout)
	c.HeartbeatInterval = cmp.Or(c.HeartbeatInterval, c.MinElectionTimeout/4)
	c.SnapshotRetryInterval = cmp.Or(c.SnapshotRetryInterval, DefaultSnapshotRetryInterval)
	c.MaxMessageBytes = cmp.Or(c.MaxMessageBytes, DefaultMaxMessageBytes)
	c.MaxInFlightMessages = cmp.Or(c.MaxInFlightMessages, DefaultMaxInFlightMessages)
	c.MaxUncommittedBytes = cmp.Or(c.MaxUncommittedBytes, DefaultMaxUncommittedBytes)
	c.UnresponsiveAfter = cmp.Or(c.UnresponsiveAfter, DefaultUnresponsiveAfter)
	return c
}

func (c Config) check() error {
	switch {
	case c.ID == 0:
		return errors.New("member id is 0")
	case c.Folder == 0:
		return errors.New("folder id is 0")
	case c.MaxElectionTimeout <= c.MinElectionTimeout:
		return errors.Errorf("maximum election timeout %v is not above the minimum %v", c.MaxElectionTimeout, c.MinElectionTimeout)
	case c.HeartbeatInterval <= 0 || c.HeartbeatInterval >= c.MinElectionTimeout:
		return errors.Errorf("heartbeat interval %v is not between 0 and the minimum election timeout %v", c.HeartbeatInterval, c.MinElectionTimeout)
	case c.MaxMessageBytes < 0 || c.MaxInFlightMessages < 0 || c.MaxUncommittedBytes < 0 || c.SnapshotRetryInterval < 0:
		return errors.Errorf("a limit is negative: %d message bytes, %d messages in flight, %d uncommitted bytes, snapshot retry interval %v",
			c.MaxMessageBytes, c.MaxInFlightMessages, c.MaxUncommittedBytes, c.SnapshotRetryInterval)
	}
	return nil
}

// New returns a member that continues from its stored state. A member without
// entries and without a snapshot waits until a leader sends it the log. If
// there is a snapshot, the effects of the first Step restore the state machine
// from it.
func New(config Config, now time.Time, stored StoredState) (*Member, error) {
	config = config.withDefaults()
	if err := config.check(); err != nil {
		return nil, err
	}
	m := &Member{
		config:   config,
		random:   rand.New(rand.NewPCG(config.Seed, config.ID)),
		now:      now,
		term:     stored.Hard.Term,
		vote:     stored.Hard.Vote,
		log:      entryLog{baseIndex: stored.BaseIndex, baseTerm: stored.BaseTerm},
		snapshot: stored.Snapshot,
	}
	if err := m.loadStored(stored); err != nil {
		return nil, err
	}
	m.persistedIndex = m.log.lastIndex()
	m.membershipChanged = len(m.memberships) > 0
	m.resetElectionDeadline()
	if m.hasQuorum(func(id uint64) bool { return id == config.ID }) {
		// A single voter needs no other vote and campaigns at once.
		m.electionDeadline = now
	}
	m.reportedRole = RoleChanged{Role: RoleFollower, Term: m.term}
	return m, nil
}

// loadStored fills the log and the memberships from the stored state. It
// returns an error if entries are missing or out of order.
func (m *Member) loadStored(stored StoredState) error {
	if s := stored.Snapshot; s != nil {
		if s.Index < stored.BaseIndex {
			return errors.Errorf("entries %d to %d are missing between snapshot and log", s.Index+1, stored.BaseIndex)
		}
		if s.Membership == nil {
			return errors.Errorf("snapshot at index %d has no membership", s.Index)
		}
		m.memberships = []indexedMembership{{index: s.Index, membership: s.Membership}}
		m.commitIndex, m.appliedIndex = s.Index, s.Index
		m.restorePending = true
	} else if stored.BaseIndex != 0 {
		return errors.Errorf("log starts after index %d but there is no snapshot", stored.BaseIndex)
	}
	previous := m.log.baseTerm
	for i, e := range stored.Entries {
		if e.Index != m.log.baseIndex+uint64(i)+1 || e.Term < previous {
			return errors.Errorf("entry %d of term %d does not follow entry %d of term %d",
				e.Index, e.Term, m.log.baseIndex+uint64(i), previous)
		}
		previous = e.Term
	}
	m.log.entries = append(m.log.entries, stored.Entries...)
	if m.log.lastIndex() < m.commitIndex {
		return errors.Errorf("log ends at index %d before the snapshot at index %d", m.log.lastIndex(), m.commitIndex)
	}
	for _, e := range stored.Entries {
		if e.Kind != wirev1.Entry_KIND_MEMBERSHIP || e.Index <= m.commitIndex {
			continue
		}
		membership, err := decodeMembership(e.Data)
		if err != nil {
			return fmt.Errorf("membership in entry %d: %w", e.Index, err)
		}
		m.memberships = append(m.memberships, indexedMembership{index: e.Index, membership: membership})
	}
	// The member may have crashed after it synced a received snapshot and before
	// it synced the hard state. The stored term is then below that of the
	// snapshot. The vote may be reset: a vote in the snapshot's term would have
	// been synced with that term.
	if previous > m.term {
		m.term, m.vote = previous, 0
	}
	if s := stored.Snapshot; s != nil && s.Term > m.term {
		m.term, m.vote = s.Term, 0
	}
	return nil
}
