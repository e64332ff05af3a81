package cluster

import (
	"slices"

	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// generationSize is the number of deltas after which older ones are dropped:
// between 512 and 1,023 are kept. A node that is further behind gets a full
// update.
const generationSize = 512

// delta is one element of a list that shares its tail with earlier states.
type delta struct {
	update   *wirev1.Update
	previous *delta
}

// deltas keeps the latest changes in two generations, so that dropping old
// ones needs no copying.
type deltas struct {
	newest, older *delta
	count         int
	// from is the index from which on all deltas are kept; olderFrom is that
	// of the newest generation alone.
	from, olderFrom uint64
}

func (d deltas) add(update *wirev1.Update) deltas {
	if d.count == generationSize {
		d.from, d.olderFrom = d.olderFrom, d.newest.update.GetIndex()
		d.older, d.newest, d.count = d.newest, nil, 0
	}
	if d.count == 0 && d.older == nil {
		d.olderFrom = d.from
	}
	d.newest = &delta{update: update, previous: d.newest}
	d.count++
	return d
}

// since returns the deltas after an index, the newest first.
func (d deltas) since(index uint64) []*wirev1.Update {
	var updates []*wirev1.Update
	for _, generation := range []*delta{d.newest, d.older} {
		for e := generation; e != nil && e.update.GetIndex() > index; e = e.previous {
			updates = append(updates, e.update)
		}
	}
	return updates
}

// Since returns what changed after an index, for a node that has applied
// everything up to it: nil if nothing did, a full update if the index is 0,
// higher than the state's, or too old for the changes that are kept.
func (s *State) Since(index uint64) *wirev1.Update {
	if index == s.index && index != 0 {
		return nil
	}
	if index == 0 || index > s.index || index < s.deltas.from {
		return s.FullUpdate()
	}
	updates := s.deltas.since(index)
	switch len(updates) {
	case 0:
		return nil
	case 1:
		return updates[0]
	default:
		return merge(updates)
	}
}

// FullUpdate returns the whole state for a node that knows nothing.
func (s *State) FullUpdate() *wirev1.Update {
	update := &wirev1.Update{Index: s.index, Snapshot: true, Nodes: s.nodes, Rules: s.rules}
	for _, name := range s.Upstreams() {
		for r := range s.tables[name].all() {
			update.Assignments = append(update.Assignments, r.current)
		}
	}
	return update
}

// merge returns one update in place of several, given the newest first. Of
// several versions of a record only the newest is kept.
func merge(updates []*wirev1.Update) *wirev1.Update {
	type place struct {
		upstream  string
		partition uint32
	}
	merged := &wirev1.Update{Index: updates[0].GetIndex()}
	places := map[place]bool{}
	nodes := map[uint64]bool{}
	for _, u := range updates {
		if merged.Rules == nil {
			merged.Rules = u.GetRules()
		}
		for _, incarnation := range u.GetRemovedNodes() {
			nodes[incarnation] = true
			merged.RemovedNodes = append(merged.RemovedNodes, incarnation)
		}
		for _, n := range u.GetNodes() {
			if !nodes[n.GetIncarnation()] {
				nodes[n.GetIncarnation()] = true
				merged.Nodes = append(merged.Nodes, n)
			}
		}
		for _, a := range slices.Backward(u.GetAssignments()) {
			at := place{a.GetUpstream(), a.GetPartition()}
			if !places[at] {
				places[at] = true
				merged.Assignments = append(merged.Assignments, a)
			}
		}
	}
	return merged
}
