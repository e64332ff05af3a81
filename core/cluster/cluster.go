// Package cluster is the replicated state of the control group: registered
// nodes, partition assignments and rules. It changes only by commands of the
// replicated log and is the same on every member at the same index.
package cluster

import wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"

// Code says how the state machine answered a command.
type Code int

// Codes of results.
const (
	// CodeApplied means that the state changed.
	CodeApplied Code = iota
	// CodeUnchanged means that the command was a repetition; the earlier
	// answer holds.
	CodeUnchanged
	// CodeConflict means that the command built on a revision or epoch that is
	// no longer current.
	CodeConflict
	// CodeInvalid means that the command can never be applied.
	CodeInvalid
)

// Result is the answer to one command.
type Result struct {
	Code Code
	// Index is the log index of the command, or that of the earlier command it
	// repeats.
	Index uint64
	// Revision of the rules after the command.
	Revision uint64
	Message  string
	// Delta has the changed records, for nodes that follow the state.
	Delta *wirev1.Update
}

// State is the replicated state at one log index. It is not changed once
// made: Apply returns a new State that shares what did not change, so reading
// is safe for concurrent use. The zero value is the empty state.
type State struct {
	index uint64
}

// Index returns the log index of the last command that was applied.
func (s *State) Index() uint64 {
	return s.index
}
