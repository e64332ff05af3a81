// Package raft is the replicated log of the control members as a deterministic state machine.
package raft
