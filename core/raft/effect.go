package raft

import (
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// Effect is an output of Member.Step.
type Effect interface {
	effect()
}

// HardState is what a member must not forget beside its log.
type HardState struct {
	Term uint64
	// Vote is the member voted for in Term, 0 for none.
	Vote uint64
}

// Persist must be synced before the next effect is carried out. The first
// entry replaces the stored entry with its index and everything after it.
type Persist struct {
	// Hard is nil where the hard state did not change.
	Hard    *HardState
	Entries []*wirev1.Entry
	// PreviousTerm is the term of the entry before the first one.
	PreviousTerm uint64
}

// PersistSnapshot must be synced before the next effect is carried out.
type PersistSnapshot struct {
	Snapshot *wirev1.Snapshot
	// Reset says that the stored entries do not belong to the snapshot's
	// history: the log starts anew after the snapshot.
	Reset bool
	// FirstIndex is the first entry that is still needed.
	FirstIndex uint64
}

// Send passes a message to the member that it names. Loss is tolerated.
type Send struct {
	Message *wirev1.RaftMessage
}

// Apply passes committed entries to the state machine, each index once and in
// order.
type Apply struct {
	Entries []*wirev1.Entry
}

// Restore replaces the state machine with a snapshot.
type Restore struct {
	Snapshot *wirev1.Snapshot
}

// ReadReady answers ReadIndex: this member led after the request arrived, and
// everything committed before is at or below Index, which was applied by an
// earlier effect.
type ReadReady struct {
	ID    uint64
	Index uint64
}

// Proposed answers Propose and ProposeMembership: the entry was appended to
// the leader's log. It is committed when Apply brings an entry with the same
// index and term.
type Proposed struct {
	ID    uint64
	Index uint64
	Term  uint64
}

// Rejected answers Propose, ProposeMembership and ReadIndex: nothing was
// appended.
type Rejected struct {
	ID     uint64
	Reason Reason
	// Detail says what is wrong with an invalid change.
	Detail string
	// Leader is the known leader, 0 for none.
	Leader uint64
}

// RoleChanged reports the member's role, term and known leader after any of
// them changed.
type RoleChanged struct {
	Role   Role
	Term   uint64
	Leader uint64
}

// MembershipChanged reports the membership in force, committed or not, after
// it changed.
type MembershipChanged struct {
	Membership *wirev1.Membership
	Index      uint64
}

// Halted says that this member must take no further part. The member ignores
// all later events.
type Halted struct {
	Reason HaltReason
}

func (Persist) effect()           {}
func (PersistSnapshot) effect()   {}
func (Send) effect()              {}
func (Apply) effect()             {}
func (Restore) effect()           {}
func (ReadReady) effect()         {}
func (Proposed) effect()          {}
func (Rejected) effect()          {}
func (RoleChanged) effect()       {}
func (MembershipChanged) effect() {}
func (Halted) effect()            {}

// Role of a member.
type Role int

// Roles.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// String names the role.
func (r Role) String() string {
	switch r {
	case RoleFollower:
		return "follower"
	case RolePreCandidate:
		return "preCandidate"
	case RoleCandidate:
		return "candidate"
	case RoleLeader:
		return "leader"
	}
	return "unknown"
}

// Reason says why a request was rejected.
type Reason int

// Reasons.
const (
	// ReasonNotLeader means that this member does not lead, or ceased to.
	ReasonNotLeader Reason = iota
	// ReasonTransferring means that leadership is being handed over.
	ReasonTransferring
	// ReasonBusy means that too much is not yet committed.
	ReasonBusy
	// ReasonChangePending means that another membership change is not complete
	// or the leader has not committed an entry of its term yet.
	ReasonChangePending
	// ReasonInvalidChange means that the membership change cannot be made.
	ReasonInvalidChange
)

// String explains the reason in a few words.
func (r Reason) String() string {
	switch r {
	case ReasonNotLeader:
		return "not the leader"
	case ReasonTransferring:
		return "leadership is being transferred"
	case ReasonBusy:
		return "too many uncommitted entries"
	case ReasonChangePending:
		return "another membership change is not complete"
	case ReasonInvalidChange:
		return "invalid membership change"
	}
	return "unknown"
}

// HaltReason says why a member must stop.
type HaltReason int

// Reasons to halt.
const (
	// HaltRemoved means that the member was removed from the group.
	HaltRemoved HaltReason = iota
	// HaltOtherFolder means that the group knows the member id with another
	// data folder.
	HaltOtherFolder
	// HaltConflict means that a leader's log contradicts a committed entry.
	HaltConflict
)

// String explains the reason and what to do.
func (h HaltReason) String() string {
	switch h {
	case HaltRemoved:
		return "the member was removed from the group; use a new member id and an empty data folder to join again"
	case HaltOtherFolder:
		return "the group knows this member id with another data folder; use a new member id and add it as a new member"
	case HaltConflict:
		return "the leader's log contradicts a committed entry; data was lost or two groups share an id"
	}
	return "unknown"
}
