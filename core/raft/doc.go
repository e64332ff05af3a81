// Package raft is the replicated log of the control members as a deterministic
// state machine.
//
// A Member takes events and returns effects, which the caller carries out in
// order: what a Persist or PersistSnapshot holds must be synced before any
// later effect, above all before any later Send. The package follows Raft with
// pre-vote, check-quorum, read index, learners, snapshots, leadership transfer
// and membership changes of one member at a time.
//
// Each data folder has a random id that the membership records. Messages from
// a known member id with another folder id are refused, so a member whose disk
// was emptied never votes or acknowledges under its old id.
package raft
