package raft

import (
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// Event is an input of Member.Step.
type Event interface {
	event()
}

// Tick handles the timeouts that have expired. It is due at
// Member.NextDeadline.
type Tick struct{}

// Receive delivers a message from another member. The member checks its
// content.
type Receive struct {
	Message *wirev1.RaftMessage
}

// Propose requests that the leader appends a command to the log. The response
// is Proposed or Rejected with the same ID.
type Propose struct {
	ID   uint64
	Data []byte
}

// ProposeMembership requests a change of the membership. Exactly one of Add and
// Remove is set; Remove is a member id. An added member starts as a learner and
// becomes a voter once it has the committed log, unless Config.MaxVoters keeps
// it a learner. The response is Proposed or Rejected with the same ID.
type ProposeMembership struct {
	ID     uint64
	Add    *wirev1.Member
	Remove uint64
}

// ReadIndex requests a linearizable read index, which the leader confirms with
// a heartbeat round that starts after this event. The response is ReadReady or
// Rejected with the same ID.
type ReadIndex struct {
	ID uint64
}

// Compact replaces the log up to Index with a snapshot, whose Data is the
// applied state at Index. The last Keep entries up to Index are retained for
// followers that are slightly behind, but no more than fit into KeepBytes with
// their encoded size. KeepBytes 0 means no limit on their size. Step panics if
// Index is above the applied index.
type Compact struct {
	Index     uint64
	Data      []byte
	Keep      uint64
	KeepBytes int
}

// TransferLeadership asks the leader to transfer leadership to the voter with
// id To. If To is 0, the leader chooses the voter that has most of the log.
// Other members ignore the event.
type TransferLeadership struct {
	To uint64
}

// Batch is a list of events that are handled in order and share one Persist.
type Batch []Event

func (Tick) event()               {}
func (Receive) event()            {}
func (Propose) event()            {}
func (ProposeMembership) event()  {}
func (ReadIndex) event()          {}
func (Compact) event()            {}
func (TransferLeadership) event() {}
func (Batch) event()              {}
