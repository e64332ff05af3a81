// Package cluster is the replicated state of the control group: registered
// nodes, partition assignments and rules. It changes only by commands of the
// replicated log and is the same on every member at the same index.
//
// Rules text is opaque here. The leader checks it with core/rules before it
// proposes it, so that members of different versions cannot disagree about
// whether a logged text is valid.
package cluster

import (
	"fmt"
	"maps"

	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// Code says how the state machine answered a command.
type Code int

// Codes of results.
const (
	// CodeApplied means that the state changed.
	CodeApplied Code = iota
	// CodeUnchanged means that the command was a repetition; the earlier
	// answer holds.
	CodeUnchanged
	// CodeConflict means that the command built on a revision, epoch or
	// incarnation that is no longer current, or claimed a name that is held.
	CodeConflict
	// CodeInvalid means that the command can never be applied.
	CodeInvalid
)

// String returns the code's name for log lines.
func (c Code) String() string {
	switch c {
	case CodeApplied:
		return "applied"
	case CodeUnchanged:
		return "unchanged"
	case CodeConflict:
		return "conflict"
	case CodeInvalid:
		return "invalid"
	default:
		return fmt.Sprintf("Code(%d)", int(c))
	}
}

// Result is the answer to one command.
type Result struct {
	Code Code
	// Index is the log index of the command, or that of the earlier command it
	// repeats where that is known. For a registration it is the incarnation.
	Index uint64
	// Revision of the rules after the command, or the earlier revision that a
	// repeated rules change made.
	Revision uint64
	Message  string
	// RefusedChanges has the positions of assignment changes that were not applied
	// while others of the same command were.
	RefusedChanges []int
	// Holder is the incarnation that holds the claimed backend server name.
	Holder uint64
	// Delta has the changed records, for nodes that follow the state. It is
	// nil where nothing changed and must not be modified.
	Delta *wirev1.Update
}

// State is the replicated state at one log index. It is not changed once
// made: Apply returns a new State that shares what did not change, so reading
// is safe for concurrent use. Messages that it returns are shared and must
// not be modified. The zero value is the empty state.
type State struct {
	index uint64
	// nodes by rising incarnation.
	nodes   []*wirev1.Node
	tables  map[string]*table
	rules   *wirev1.RulesRevision
	history []*wirev1.RulesRevision
	recent  []*wirev1.RecentRequest
	// document is nil until one was accepted.
	document *wirev1.RulesDocument
	deltas   deltas
}

// Index returns the log index of the last command that was applied.
func (s *State) Index() uint64 {
	return s.index
}

// Apply returns the state after the command at a log index. The answer to a
// refused command leaves everything but the index as it was. It panics if the
// index does not rise, because applying an entry twice means that the log and
// the state have parted.
func (s *State) Apply(index uint64, command *wirev1.Command) (*State, Result) {
	if index <= s.index {
		panic(fmt.Sprintf("cluster: command at index %d applied to state at index %d", index, s.index))
	}
	next := *s
	next.index = index
	var result Result
	switch kind := command.GetKind().(type) {
	case *wirev1.Command_RegisterNode:
		result = next.registerNode(kind.RegisterNode)
	case *wirev1.Command_RemoveNode:
		result = next.removeNode(kind.RemoveNode)
	case *wirev1.Command_UpdateNode:
		result = next.updateNode(kind.UpdateNode)
	case *wirev1.Command_Assign:
		result = next.assign(kind.Assign, command.GetProposedUnixMs())
	case *wirev1.Command_ApplyRules:
		result = next.applyRules(kind.ApplyRules)
	case *wirev1.Command_ReplaceNodes:
		result = next.replaceNodes(kind.ReplaceNodes, command.GetProposedUnixMs())
	default:
		result = invalid("unknown kind of command")
	}
	if result.Index == 0 {
		result.Index = index
	}
	if result.Revision == 0 {
		result.Revision = next.Revision()
	}
	if result.Delta != nil {
		result.Delta.Index = index
		next.deltas = s.deltas.add(result.Delta)
	}
	return &next, result
}

// Snapshot returns the whole state as a message. Records in it are shared
// with the state and must not be modified.
func (s *State) Snapshot() *wirev1.ClusterState {
	snapshot := &wirev1.ClusterState{
		AppliedIndex:   s.index,
		Nodes:          s.nodes,
		Rules:          s.rules,
		History:        s.history,
		RecentRequests: s.recent,
		Document:       s.document,
	}
	for _, name := range s.Upstreams() {
		t := s.tables[name]
		for record := range t.all() {
			snapshot.Assignments = append(snapshot.Assignments, record.current)
			snapshot.EarlierAssignments = append(snapshot.EarlierAssignments, record.earlier...)
		}
	}
	return snapshot
}

// FromSnapshot returns the state that a snapshot was made of. The snapshot
// must not be modified afterwards. A snapshot that no sequence of commands
// can lead to is an error.
func FromSnapshot(snapshot *wirev1.ClusterState) (*State, error) {
	if err := checkSnapshot(snapshot); err != nil {
		return nil, fmt.Errorf("snapshot of the cluster state: %w", err)
	}
	s := &State{
		index:    snapshot.GetAppliedIndex(),
		nodes:    snapshot.GetNodes(),
		rules:    snapshot.GetRules(),
		history:  snapshot.GetHistory(),
		recent:   snapshot.GetRecentRequests(),
		document: snapshot.GetDocument(),
		tables:   map[string]*table{},
		// Followers that know an older index get a full update.
		deltas: deltas{from: snapshot.GetAppliedIndex()},
	}
	for _, a := range snapshot.GetAssignments() {
		t := s.tables[a.GetUpstream()]
		if t == nil {
			t = &table{}
			s.tables[a.GetUpstream()] = t
		}
		t.at(a.GetPartition(), true).current = a
	}
	for _, a := range snapshot.GetEarlierAssignments() {
		r := s.tables[a.GetUpstream()].at(a.GetPartition(), true)
		r.earlier = append(r.earlier, a)
	}
	return s, nil
}

// cloneTables returns a copy of the map of tables in which tables may be
// replaced.
func (s *State) cloneTables() map[string]*table {
	if s.tables == nil {
		return map[string]*table{}
	}
	return maps.Clone(s.tables)
}

func invalid(format string, args ...any) Result {
	return Result{Code: CodeInvalid, Message: fmt.Sprintf(format, args...)}
}

func conflict(format string, args ...any) Result {
	return Result{Code: CodeConflict, Message: fmt.Sprintf(format, args...)}
}
