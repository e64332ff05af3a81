package raft

import (
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// Event is an input of Member.Step.
type Event interface {
	event()
}

// Tick lets time-outs take effect. It is due at Member.NextDeadline.
type Tick struct{}

// Receive delivers a message of another member.
type Receive struct {
	Message *wirev1.RaftMessage
}

// Propose asks for an entry with a command. It is answered with Proposed or
// Rejected, which carry the same ID.
type Propose struct {
	ID   uint64
	Data []byte
}

// ProposeMembership asks for a change of the membership: exactly one of Add
// and Remove is set. A member is added as a learner and becomes a voter once
// it holds the log. It is answered with Proposed or Rejected.
type ProposeMembership struct {
	ID     uint64
	Add    *wirev1.Member
	Remove uint64
}

// ReadIndex asks for a quorum round that starts after this event. It is
// answered with ReadReady or Rejected.
type ReadIndex struct {
	ID uint64
}

// Compact replaces the log up to Index with a snapshot of the applied state at
// Index. The last Keep entries up to Index stay for followers that lag a
// little. Compacting beyond the applied index is a programmer error.
type Compact struct {
	Index uint64
	Data  []byte
	Keep  uint64
}

// Transfer asks the leader to hand over to another voter: the one named, or
// with 0 the one that holds most of the log. Other members ignore it.
type TransferLeadership struct {
	To uint64
}

// Batch is a list of events that share one Persist.
type Batch []Event

func (Tick) event()               {}
func (Receive) event()            {}
func (Propose) event()            {}
func (ProposeMembership) event()  {}
func (ReadIndex) event()          {}
func (Compact) event()            {}
func (TransferLeadership) event() {}
func (Batch) event()              {}
