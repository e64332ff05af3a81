package cluster

import (
	"iter"
	"maps"
	"slices"

	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// Node returns the registered node with an incarnation, nil if there is none.
func (s *State) Node(incarnation uint64) *wirev1.Node {
	at, found := s.position(incarnation)
	if !found {
		return nil
	}
	return s.nodes[at]
}

// NodeByServer returns the registered node beside a backend server, nil if
// there is none.
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

// Registration returns the incarnation that a registration with a request id made,
// false if none is known. It may no longer be registered.
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

// Nodes yields the registered nodes by rising incarnation.
func (s *State) Nodes() iter.Seq[*wirev1.Node] {
	return slices.Values(s.nodes)
}

// NodeCount returns the number of registered nodes.
func (s *State) NodeCount() int {
	return len(s.nodes)
}

// Upstreams returns the sorted names of upstreams that have assignments.
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
// The owner may be an incarnation that is no longer registered: its lease is
// over and the partition has no owner.
func (s *State) Assignment(upstream string, partition uint32) *wirev1.Assignment {
	return s.tables[upstream].get(partition).current
}

// Assignments yields the assignments of an upstream by rising partition.
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

// Revision returns the revision of the rules, 0 before the first.
func (s *State) Revision() uint64 {
	return s.rules.GetRevision()
}

// Rules returns the current rules, nil before the first.
func (s *State) Rules() *wirev1.RulesRevision {
	return s.rules
}

// Document returns the newest configuration document, nil before the first.
func (s *State) Document() *wirev1.RulesDocument {
	return s.document
}

// RulesAt returns a revision of the rules, nil if it is not kept.
func (s *State) RulesAt(revision uint64) *wirev1.RulesRevision {
	for r := range s.revisions() {
		if r.GetRevision() == revision {
			return r
		}
	}
	return nil
}

// History returns the latest revisions, the current one first. A limit of 0
// means all that are kept.
func (s *State) History(limit int) []*wirev1.RulesRevision {
	var latest []*wirev1.RulesRevision
	for r := range s.revisions() {
		if limit > 0 && len(latest) == limit {
			break
		}
		latest = append(latest, r)
	}
	return latest
}

// revisions yields the kept revisions, the current one first.
func (s *State) revisions() iter.Seq[*wirev1.RulesRevision] {
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
