// Package raft implements the replicated log of the control members as a
// deterministic state machine without input or output of its own.
//
// Member.Step takes an Event and returns Effects, which the caller carries out
// in order. The content of a Persist or PersistSnapshot must be synced to disk
// before any later effect is carried out, in particular before a later Send.
//
// The package implements Raft with pre-vote, check-quorum, read index,
// learners, snapshots, leadership transfer and membership changes of one member
// at a time.
//
// Each data folder has a random id, which the membership records. A message
// from a known member id with another folder id is refused, so a member whose
// data folder was emptied can neither vote nor acknowledge entries under its
// old id.
package raft
