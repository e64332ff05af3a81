package raft

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// Defaults of the configuration.
const (
	DefaultMinElectionTimeout = 300 * time.Millisecond
	DefaultMaxElectionTimeout = 600 * time.Millisecond
	DefaultHeartbeatInterval  = 75 * time.Millisecond
	// DefaultSnapshotRetryInterval is the time after which an unanswered snapshot is
	// sent again.
	DefaultSnapshotRetryInterval = 3 * time.Second
	// DefaultMaxMessageBytes bounds the entries of one message.
	DefaultMaxMessageBytes = 512 << 10
	// DefaultMaxInFlightMessages bounds the unanswered messages with entries to one
	// member: 16 messages of 512 KiB fill a 100 Mbit/s link for 0.7 s.
	DefaultMaxInFlightMessages = 16
	// DefaultMaxUncommittedBytes bounds what a leader without quorum accepts.
	DefaultMaxUncommittedBytes = 16 << 20
	// DefaultUnresponsiveAfter is well above the pauses of a busy machine, so that a
	// voter which is only slow is not replaced.
	DefaultUnresponsiveAfter = 3 * time.Second
	// MaxMembers bounds voters and learners together.
	MaxMembers = 7
)

// Config of a member. Zero values mean the defaults, except ID and Folder,
// which are required.
type Config struct {
	ID uint64
	// Folder is the random id of the member's data folder.
	Folder uint64
	// Seed of the random election time-outs. Members need different ones.
	Seed                  uint64
	MinElectionTimeout    time.Duration
	MaxElectionTimeout    time.Duration
	HeartbeatInterval     time.Duration
	SnapshotRetryInterval time.Duration
	MaxMessageBytes       int
	MaxInFlightMessages   int
	MaxUncommittedBytes   int
	// MaxVoters bounds the voters that hear from the leader. Learners beyond it
	// follow the log and become voters when one is silent. 0 means no bound.
	MaxVoters int
	// UnresponsiveAfter is the time without an answer after which a voter does not
	// count towards MaxVoters. Default DefaultUnresponsiveAfter.
	UnresponsiveAfter time.Duration
}

// StoredState is what a member's disk holds.
type StoredState struct {
	Hard HardState
	// Snapshot is nil where none was taken.
	Snapshot *wirev1.Snapshot
	// BaseIndex and BaseTerm name the entry before the first of Entries.
	BaseIndex uint64
	BaseTerm  uint64
	Entries   []*wirev1.Entry
}

// Bootstrap returns what each initial member stores before its first start.
// The members need ids and folders; all initial members must use the same list.
func Bootstrap(members []*wirev1.Member) (StoredState, error) {
	membership := &wirev1.Membership{Members: sortedMembers(members)}
	for _, m := range membership.Members {
		if m.Folder == 0 || m.Learner {
			return StoredState{}, errors.Errorf("initial member %d needs a folder id and cannot be a learner", m.Id)
		}
	}
	if err := checkMembership(membership); err != nil {
		return StoredState{}, err
	}
	entry := &wirev1.Entry{Index: 1, Term: 1, Kind: wirev1.Entry_KIND_MEMBERSHIP, Data: encodeMembership(membership)}
	return StoredState{Hard: HardState{Term: 1}, Entries: []*wirev1.Entry{entry}}, nil
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
		return errors.Errorf("longest election timeout %v is not above the shortest %v", c.MaxElectionTimeout, c.MinElectionTimeout)
	case c.HeartbeatInterval <= 0 || c.HeartbeatInterval >= c.MinElectionTimeout:
		return errors.Errorf("heartbeat interval %v is not between 0 and the election timeout %v", c.HeartbeatInterval, c.MinElectionTimeout)
	case c.MaxMessageBytes < 0 || c.MaxInFlightMessages < 0 || c.MaxUncommittedBytes < 0 || c.SnapshotRetryInterval < 0:
		return errors.New("a limit is negative")
	}
	return nil
}

// New returns a member with what its disk holds. A member without entries and
// without snapshot waits until a leader sends it the log. The effects of the
// first Step restore the state machine from the snapshot.
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
	if err := m.load(stored); err != nil {
		return nil, err
	}
	m.persisted = m.log.last()
	m.membershipChanged = len(m.memberships) > 0
	m.resetElectionDeadline()
	if m.quorum(func(id uint64) bool { return id == config.ID }) {
		// The only voter has nobody to wait for.
		m.electionDeadline = now
	}
	m.reported = RoleChanged{Role: RoleFollower, Term: m.term}
	return m, nil
}

// load fills the log and the memberships and checks that they fit together.
func (m *Member) load(stored StoredState) error {
	if s := stored.Snapshot; s != nil {
		if s.Index < stored.BaseIndex {
			return errors.Errorf("entries %d to %d are missing between snapshot and log", s.Index+1, stored.BaseIndex)
		}
		if s.Membership == nil {
			return errors.Errorf("snapshot at %d has no membership", s.Index)
		}
		m.memberships = []indexedMembership{{index: s.Index, membership: s.Membership}}
		m.commit, m.applied = s.Index, s.Index
		m.restoring = true
	} else if stored.BaseIndex != 0 {
		return errors.Errorf("log starts after %d but there is no snapshot", stored.BaseIndex)
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
	if m.log.last() < m.commit {
		return errors.Errorf("log ends at %d before the snapshot at %d", m.log.last(), m.commit)
	}
	for _, e := range stored.Entries {
		if e.Kind != wirev1.Entry_KIND_MEMBERSHIP || e.Index <= m.commit {
			continue
		}
		membership, err := decodeMembership(e.Data)
		if err != nil {
			return fmt.Errorf("membership in entry %d: %w", e.Index, err)
		}
		m.memberships = append(m.memberships, indexedMembership{index: e.Index, membership: membership})
	}
	// A crash between a received snapshot and the hard state leaves a term that
	// is too small. This member cannot have voted in the snapshot's term: the
	// vote would have been synced.
	if previous > m.term {
		m.term, m.vote = previous, 0
	}
	if s := stored.Snapshot; s != nil && s.Term > m.term {
		m.term, m.vote = s.Term, 0
	}
	return nil
}
