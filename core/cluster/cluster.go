// Package cluster is the replicated state of the control group: registered
// nodes, partition assignments and rules. It changes only by commands of the
// replicated log and is the same on every member at the same index.
//
// The text of the rules is opaque to this package. The leader validates it with
// core/rules before it proposes a change, so that members of different versions
// cannot disagree about whether a logged text is valid.
package cluster

import (
	"fmt"
	"maps"

	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// Code is the outcome of a command.
type Code int

// Outcomes of commands.
const (
	// CodeApplied means that the state changed.
	CodeApplied Code = iota
	// CodeUnchanged means that the command changed nothing, usually because it
	// repeats an earlier one, whose result still holds.
	CodeUnchanged
	// CodeConflict means that the command is based on a revision, epoch or
	// incarnation that is no longer current, or claims a name that another
	// incarnation holds.
	CodeConflict
	// CodeInvalid means that the command can never be applied.
	CodeInvalid
)

// String returns the name of the code for log lines.
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

// Result is the result of one command.
type Result struct {
	Code Code
	// Index is the log index of the command, or that of the earlier command that
	// it repeats if it is known. For a registration it is the incarnation.
	Index uint64
	// Revision is the revision of the rules after the command, or the earlier
	// revision that a repeated rules change made.
	Revision uint64
	// Message is the reason for a refusal.
	Message string
	// RefusedChanges has the indexes of the assignment changes that were refused.
	// Other changes of the same command may have been applied.
	RefusedChanges []int
	// Holder is the incarnation that holds the claimed backend server name. It is
	// set only if a registration was refused for that reason.
	Holder uint64
	// Delta has the changed records, for nodes that follow the state. It is nil if
	// nothing changed and must not be modified.
	Delta *wirev1.Update
}

// State is the replicated state at one log index. It is immutable: Apply
// returns a new State that shares the unchanged parts, so reading is safe for
// concurrent use. Messages that its methods return are shared and must not be
// modified. The zero value is the empty state.
type State struct {
	index uint64
	// nodes are sorted by incarnation.
	nodes   []*wirev1.Node
	tables  map[string]*table
	rules   *wirev1.RulesRevision
	history []*wirev1.RulesRevision
	// recent has the request ids of the latest registrations, the oldest first.
	recent []*wirev1.RecentRequest
	// leaving has the backend servers that have reported that they leave, the oldest
	// first.
	leaving []*wirev1.BackendServer
	// document is nil until one has been accepted.
	document *wirev1.RulesDocument
	deltas   deltas
}

// Index returns the log index of the last command that was applied.
func (s *State) Index() uint64 {
	return s.index
}

// Apply returns the state after the command at a log index. A refused command
// changes only the index. Apply panics if the index does not rise: an entry
// applied twice means that the log and the state have diverged.
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
		result = invalid("command of unknown kind")
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

// Snapshot returns the whole state as a message. Its records are shared with
// the state and must not be modified.
func (s *State) Snapshot() *wirev1.ClusterState {
	snapshot := &wirev1.ClusterState{
		AppliedIndex:   s.index,
		Nodes:          s.nodes,
		Rules:          s.rules,
		History:        s.history,
		RecentRequests: s.recent,
		LeavingServers: s.leaving,
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

// FromSnapshot returns the state that a snapshot was made of. The snapshot must
// not be modified afterwards. It returns an error for a snapshot that no
// sequence of commands can lead to.
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
		leaving:  snapshot.GetLeavingServers(),
		document: snapshot.GetDocument(),
		tables:   map[string]*table{},
		// Nodes that follow from an older index get a full update.
		deltas: deltas{from: snapshot.GetAppliedIndex()},
	}
	for _, a := range snapshot.GetAssignments() {
		t := s.tables[a.GetUpstream()]
		if t == nil {
			t = &table{}
			s.tables[a.GetUpstream()] = t
		}
		t.mutable(a.GetPartition(), true).current = a
	}
	for _, a := range snapshot.GetEarlierAssignments() {
		r := s.tables[a.GetUpstream()].mutable(a.GetPartition(), true)
		r.earlier = append(r.earlier, a)
	}
	return s, nil
}

// cloneTables returns a copy of the map of tables, in which tables may be
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
