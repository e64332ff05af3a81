package cluster

import (
	"fmt"

	"github.com/jujubeknot/jujubeknot/core/keyspace"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// assign applies the changes whose expected epoch is current. It refuses the
// others one by one, so that a move that lost a race does not delay the rest of
// its batch.
func (s *State) assign(command *wirev1.Assign, unixMs int64) Result {
	delta := &wirev1.Update{}
	result := s.applyChanges(command.GetChanges(), unixMs, delta, func(*wirev1.AssignChange, *wirev1.Assignment) string { return "" })
	switch {
	case len(delta.Assignments) > 0:
		result.Delta = delta
	case len(result.RefusedChanges) > 0:
		result.Code = CodeConflict
	default:
		return invalid("assign command without changes")
	}
	return result
}

// applyChanges applies changes that were proposed at a time, in Unix
// milliseconds, and adds them to a delta. The additional check returns a reason
// to refuse a change, or an empty text. The result has the refused changes and
// the reason for the first of them.
func (s *State) applyChanges(
	changes []*wirev1.AssignChange, unixMs int64, delta *wirev1.Update, check func(*wirev1.AssignChange, *wirev1.Assignment) string,
) Result {
	var result Result
	edits := map[string]*tableEdit{}
	for i, c := range changes {
		edit := edits[c.GetUpstream()]
		t := s.tables[c.GetUpstream()]
		if edit != nil {
			t = edit.table
		}
		current := t.get(c.GetPartition()).current
		refusal := s.checkChange(c, current)
		if refusal == "" {
			refusal = check(c, current)
		}
		if refusal != "" {
			result.RefusedChanges = append(result.RefusedChanges, i)
			if result.Message == "" {
				result.Message = refusal
			}
			continue
		}
		if edit == nil {
			edit = newTableEdit(t)
			edits[c.GetUpstream()] = edit
		}
		next := &wirev1.Assignment{
			Upstream: c.GetUpstream(), Partition: c.GetPartition(), Owner: c.GetOwner(),
			Epoch: current.GetEpoch() + 1, SinceIndex: s.index, Reason: c.GetReason(), Planned: c.GetPlanned(),
			SinceUnixMs: unixMs, Handover: c.GetHandover(),
		}
		edit.set(next)
		delta.Assignments = append(delta.Assignments, next)
	}
	if len(edits) > 0 {
		tables := s.cloneTables()
		for name, edit := range edits {
			tables[name] = edit.table
		}
		s.tables = tables
	}
	return result
}

// checkChange returns why a change cannot be applied, or an empty text.
func (s *State) checkChange(c *wirev1.AssignChange, current *wirev1.Assignment) string {
	at := fmt.Sprintf("%s/%d", c.GetUpstream(), c.GetPartition())
	switch {
	case c.GetUpstream() == "":
		return "assignment without an upstream"
	case c.GetPartition() >= keyspace.MaxPartitions:
		return at + ": partition number out of range"
	case c.GetExpectedEpoch() != current.GetEpoch():
		return fmt.Sprintf("%s: epoch is %d, the change expects %d", at, current.GetEpoch(), c.GetExpectedEpoch())
	case c.GetOwner() == 0:
		return ""
	}
	owner := s.Node(c.GetOwner())
	if owner == nil {
		return fmt.Sprintf("%s: new owner %d is not registered", at, c.GetOwner())
	}
	if upstream := owner.GetBackendServer().GetUpstream(); upstream != c.GetUpstream() {
		return fmt.Sprintf("%s: new owner %d belongs to upstream %q", at, c.GetOwner(), upstream)
	}
	return ""
}
