package cluster

import (
	"fmt"
	"slices"

	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// replaceNodes removes nodes whose leases have ended and assigns new owners to
// partitions without a registered owner. Nodes that are no longer registered
// are skipped. A change is refused if the partition still has a registered
// owner, because that one may hold a lease.
func (s *State) replaceNodes(command *wirev1.ReplaceNodes, unixMs int64) Result {
	if len(command.GetRemoved()) == 0 && len(command.GetChanges()) == 0 {
		return invalid("replaceNodes command without nodes and changes")
	}
	delta := &wirev1.Update{}
	nodes := make([]*wirev1.Node, 0, len(s.nodes))
	for _, n := range s.nodes {
		if slices.Contains(command.GetRemoved(), n.GetIncarnation()) {
			delta.RemovedNodes = append(delta.RemovedNodes, n.GetIncarnation())
			continue
		}
		nodes = append(nodes, n)
	}
	if len(delta.RemovedNodes) > 0 {
		s.nodes = nodes
	}
	result := s.applyChanges(command.GetChanges(), unixMs, delta, func(c *wirev1.AssignChange, current *wirev1.Assignment) string {
		if s.Node(current.GetOwner()) != nil {
			return fmt.Sprintf("%s/%d: owner %d is still registered", c.GetUpstream(), c.GetPartition(), current.GetOwner())
		}
		return ""
	})
	switch {
	case len(delta.RemovedNodes) > 0 || len(delta.Assignments) > 0:
		result.Delta = delta
	case len(result.RefusedChanges) > 0:
		result.Code = CodeConflict
	default:
		result.Code = CodeUnchanged
	}
	return result
}
