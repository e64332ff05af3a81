package cluster

import (
	"iter"
	"maps"
	"slices"

	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// Node returns the registered node with an incarnation, nil if there is none.
func (s *State) Node(incarnation uint64) *wirev1.Node {
	at, found := s.nodeIndex(incarnation)
	if !found {
		return nil
	}
	return s.nodes[at]
}

// NodeByServer returns the registered node of the backend server with a name,
// nil if there is none.
func (s *State) NodeByServer(name string) *wirev1.Node {
	if name == "" {
		return nil
	}
	for _, n := range s.nodes {
		if n.GetBackendServer().GetName() == name {
			return n
		}
	}
	return nil
}

// Registration returns the incarnation that a registration with a request id
// made, false if none is known. The incarnation may no longer be registered.
func (s *State) Registration(requestID string) (incarnation uint64, known bool) {
	if requestID == "" {
		return 0, false
	}
	for _, r := range s.recent {
		if r.GetRequestId() == requestID {
			return r.GetIndex(), true
		}
	}
	return 0, false
}

// Nodes yields the registered nodes, sorted by incarnation.
func (s *State) Nodes() iter.Seq[*wirev1.Node] {
	return slices.Values(s.nodes)
}

// NodeCount returns the number of registered nodes.
func (s *State) NodeCount() int {
	return len(s.nodes)
}

// Upstreams returns the names of the upstreams that have assignments, sorted.
func (s *State) Upstreams() []string {
	return slices.Sorted(maps.Keys(s.tables))
}

// PartitionCount returns the highest assigned partition of an upstream plus 1.
func (s *State) PartitionCount(upstream string) uint32 {
	if t := s.tables[upstream]; t != nil {
		return t.count
	}
	return 0
}

// Assignment returns the assignment of a partition, nil if it never had one.
// The owner may be an incarnation that is no longer registered. Its lease has
// ended then, and the partition has no owner.
func (s *State) Assignment(upstream string, partition uint32) *wirev1.Assignment {
	return s.tables[upstream].get(partition).current
}

// Assignments yields the assignments of an upstream, sorted by partition.
func (s *State) Assignments(upstream string) iter.Seq[*wirev1.Assignment] {
	return func(yield func(*wirev1.Assignment) bool) {
		for r := range s.tables[upstream].all() {
			if !yield(r.current) {
				return
			}
		}
	}
}

// LastMoves returns the latest assignments of a partition, the current one
// first. At most 4 are kept.
func (s *State) LastMoves(upstream string, partition uint32) []*wirev1.Assignment {
	r := s.tables[upstream].get(partition)
	if r.current == nil {
		return nil
	}
	moves := append(slices.Clone(r.earlier), r.current)
	slices.Reverse(moves)
	return moves
}

// Revision returns the revision of the rules, 0 if there are none yet.
func (s *State) Revision() uint64 {
	return s.rules.GetRevision()
}

// Rules returns the current rules, nil if there are none yet.
func (s *State) Rules() *wirev1.RulesRevision {
	return s.rules
}

// Document returns the newest configuration document, nil if there is none yet.
func (s *State) Document() *wirev1.RulesDocument {
	return s.document
}

// RulesAt returns the rules at a revision, nil if that is not kept.
func (s *State) RulesAt(revision uint64) *wirev1.RulesRevision {
	for r := range s.keptRevisions() {
		if r.GetRevision() == revision {
			return r
		}
	}
	return nil
}

// History returns up to limit of the latest revisions, the current one first. A
// limit of 0 means all that are kept.
func (s *State) History(limit int) []*wirev1.RulesRevision {
	var latest []*wirev1.RulesRevision
	for r := range s.keptRevisions() {
		if limit > 0 && len(latest) == limit {
			break
		}
		latest = append(latest, r)
	}
	return latest
}

// keptRevisions yields the kept revisions of the rules, the current one first.
func (s *State) keptRevisions() iter.Seq[*wirev1.RulesRevision] {
	return func(yield func(*wirev1.RulesRevision) bool) {
		if s.rules == nil || !yield(s.rules) {
			return
		}
		for _, r := range slices.Backward(s.history) {
			if !yield(r) {
				return
			}
		}
	}
}
