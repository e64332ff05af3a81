package cluster

import (
	"fmt"

	"github.com/jujubeknot/jujubeknot/core/keyspace"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// assign applies the changes whose expected epoch is current and refuses the
// others one by one, so that one move that lost a race does not hold up the
// rest of its batch.
func (s *State) assign(command *wirev1.Assign) Result {
	var result Result
	delta := &wirev1.Update{}
	edits := map[string]*tableEdit{}
	for i, c := range command.GetChanges() {
		edit := edits[c.GetUpstream()]
		t := s.tables[c.GetUpstream()]
		if edit != nil {
			t = edit.table
		}
		current := t.get(c.GetPartition()).current
		if refusal := s.checkChange(c, current); refusal != "" {
			result.Refused = append(result.Refused, i)
			if result.Message == "" {
				result.Message = refusal
			}
			continue
		}
		if edit == nil {
			edit = editTable(t)
			edits[c.GetUpstream()] = edit
		}
		next := &wirev1.Assignment{
			Upstream: c.GetUpstream(), Partition: c.GetPartition(), Owner: c.GetOwner(),
			Epoch: current.GetEpoch() + 1, SinceIndex: s.index, Reason: c.GetReason(), Planned: c.GetPlanned(),
		}
		edit.set(next)
		delta.Assignments = append(delta.Assignments, next)
	}
	if len(delta.Assignments) == 0 {
		if len(result.Refused) == 0 {
			return invalid("assign without changes")
		}
		result.Code = CodeConflict
		return result
	}
	tables := s.cloneTables()
	for name, edit := range edits {
		tables[name] = edit.table
	}
	s.tables = tables
	result.Delta = delta
	return result
}

// checkChange returns why a change cannot be applied, or nothing.
func (s *State) checkChange(c *wirev1.AssignChange, current *wirev1.Assignment) string {
	at := fmt.Sprintf("%s/%d", c.GetUpstream(), c.GetPartition())
	switch {
	case c.GetUpstream() == "":
		return "assignment without upstream"
	case c.GetPartition() >= keyspace.MaxPartitions:
		return at + ": partition out of range"
	case c.GetExpectedEpoch() != current.GetEpoch():
		return fmt.Sprintf("%s: epoch is %d, not %d", at, current.GetEpoch(), c.GetExpectedEpoch())
	case c.GetOwner() == 0:
		return ""
	}
	owner := s.Node(c.GetOwner())
	if owner == nil {
		return fmt.Sprintf("%s: new owner %d is not registered", at, c.GetOwner())
	}
	if upstream := owner.GetBackendServer().GetUpstream(); upstream != c.GetUpstream() {
		return fmt.Sprintf("%s: new owner %d serves upstream %q", at, c.GetOwner(), upstream)
	}
	return ""
}
