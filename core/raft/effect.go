package raft

import (
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// Effect is an output of Member.Step, which the caller carries out.
type Effect interface {
	effect()
}

// HardState is the part of a member's state that must survive a restart, beside
// its log.
type HardState struct {
	Term uint64
	// Vote is the id of the member voted for in Term, 0 for none.
	Vote uint64
}

// Persist stores the hard state and entries. It must be synced before the next
// effect is carried out. The first entry replaces the stored entry of the same
// index and all entries after it.
type Persist struct {
	// Hard is nil if the hard state did not change.
	Hard    *HardState
	Entries []*wirev1.Entry
	// PreviousTerm is the term of the entry before the first of Entries.
	PreviousTerm uint64
}

// PersistSnapshot stores a snapshot. It must be synced before the next effect
// is carried out.
type PersistSnapshot struct {
	Snapshot *wirev1.Snapshot
	// Reset reports that the stored entries do not belong to the snapshot's
	// history. All of them are discarded, and the log continues after the
	// snapshot.
	Reset bool
	// FirstIndex is the index of the first entry that is still needed.
	FirstIndex uint64
}

// Send sends a message to the member in Message.To. The message may be lost.
type Send struct {
	Message *wirev1.RaftMessage
}

// Apply applies committed entries to the state machine. Each index is passed
// once and in order.
type Apply struct {
	Entries []*wirev1.Entry
}

// Restore replaces the state of the state machine with that of a snapshot.
type Restore struct {
	Snapshot *wirev1.Snapshot
}

// ReadReady is the response to ReadIndex. This member was the leader after the
// request arrived. All entries that were committed before the request are at or
// below Index, and an earlier effect has applied them.
type ReadReady struct {
	ID    uint64
	Index uint64
}

// Proposed is the response to Propose and ProposeMembership. The entry was
// appended to the leader's log. It is committed once Apply passes an entry with
// the same index and term.
type Proposed struct {
	ID    uint64
	Index uint64
	Term  uint64
}

// Rejected is the response to Propose, ProposeMembership or ReadIndex if the
// request was not accepted. No entry was appended.
type Rejected struct {
	ID     uint64
	Reason Reason
	// Detail describes the error of an invalid membership change.
	Detail string
	// Leader is the id of the known leader, 0 for none.
	Leader uint64
}

// RoleChanged reports the member's role, term and known leader after a change
// of one of them. Leader is 0 if none is known.
type RoleChanged struct {
	Role   Role
	Term   uint64
	Leader uint64
}

// MembershipChanged reports the membership in force after it changed. Its
// entry, at Index, may not be committed yet.
type MembershipChanged struct {
	Membership *wirev1.Membership
	Index      uint64
}

// Halted reports that this member must leave the group. The member ignores all
// later events.
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

// Role is the role of a member in its term.
type Role int

// Roles.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// String returns the name of the role.
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

// Reason is the reason why a request was rejected.
type Reason int

// Reasons.
const (
	// ReasonNotLeader means that this member is not, or no longer, the leader.
	ReasonNotLeader Reason = iota
	// ReasonTransferring means that leadership is being transferred.
	ReasonTransferring
	// ReasonBusy means that the uncommitted entries exceed
	// Config.MaxUncommittedBytes.
	ReasonBusy
	// ReasonChangePending means that another membership change is not complete, or
	// that the leader has not yet committed an entry of its term.
	ReasonChangePending
	// ReasonInvalidChange means that the membership change is invalid.
	ReasonInvalidChange
)

// String returns a short description of the reason.
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

// HaltReason is the reason why a member halted.
type HaltReason int

// Halt reasons.
const (
	// HaltRemoved means that the member was removed from the group.
	HaltRemoved HaltReason = iota
	// HaltOtherFolder means that the membership has this member's id with another
	// folder id.
	HaltOtherFolder
	// HaltConflict means that the leader's log conflicts with a committed entry.
	HaltConflict
)

// String returns a description of the reason and of the remedy.
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
