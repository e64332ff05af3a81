package cluster

import (
	"cmp"
	"slices"

	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

const (
	// generationRecords is the number of changed records after which older
	// deltas are dropped: the last 16,384 are kept, at most twice as many. A
	// node that is further behind gets a full update, which has as many records
	// at 16,384 partitions. The number of deltas is no measure: with 512 of
	// them the registrations of 610 nodes led to a full update for each.
	generationRecords = 16384
	// recordBytes is the size that a record counts for; rules are counted by
	// the length of their text.
	recordBytes = 64
	// nearRecords and blockRecords bound the different updates that nodes need:
	// one that lacks more than nearRecords gets what changed since the start of
	// a block of blockRecords, as all others in that block do. From 256 records
	// on, nodes that follow closely got several times the records they lacked.
	nearRecords  = 8192
	blockRecords = 1024
)

// delta is one element of a list that shares its tail with earlier states.
type delta struct {
	update   *wirev1.Update
	previous *delta
	// total is the number of records up to this delta.
	total int
}

// deltas keeps the latest changes in two generations, so that dropping old
// ones needs no copying.
type deltas struct {
	newest, older *delta
	// records is the number of records in the newest generation.
	records int
	// from is the index from which on all deltas are kept; olderFrom is that
	// of the newest generation alone.
	from, olderFrom uint64
}

func (d deltas) add(update *wirev1.Update) deltas {
	if d.records >= generationRecords {
		d.from, d.olderFrom = d.olderFrom, d.newest.update.GetIndex()
		d.older, d.newest, d.records = d.newest, nil, 0
	}
	if d.records == 0 && d.older == nil {
		d.olderFrom = d.from
	}
	total := 0
	if latest := cmp.Or(d.newest, d.older); latest != nil {
		total = latest.total
	}
	records := recordsOf(update)
	d.newest = &delta{update: update, previous: d.newest, total: total + records}
	d.records += records
	return d
}

// recordsOf returns the number of records that an update counts for.
func recordsOf(update *wirev1.Update) int {
	return 1 + len(update.GetNodes()) + len(update.GetRemovedNodes()) + len(update.GetAssignments()) +
		len(update.GetRules().GetText())/recordBytes
}

// base returns the index at or before a kept one from which the changes are to
// be sent, and the number of records that changed since.
func (d deltas) base(index uint64) (uint64, int) {
	latest := cmp.Or(d.newest, d.older)
	if latest == nil {
		return index, 0
	}
	near, records := true, 0
	block := latest.total / blockRecords
	for _, generation := range []*delta{d.newest, d.older} {
		for e := generation; e != nil; e = e.previous {
			records = latest.total - e.total
			switch {
			case e.update.GetIndex() > index:
				near = records < nearRecords
			case near && records <= nearRecords:
				return index, records
			case e.total/blockRecords < block:
				return e.update.GetIndex(), records
			}
			block = e.total / blockRecords
			records += recordsOf(e.update)
		}
	}
	// All that is kept.
	return index, records
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

// KeepsChangesSince reports whether the changes after an index are kept, so that Since
// does not return a full update.
func (s *State) KeepsChangesSince(index uint64) bool {
	return index != 0 && index <= s.index && index >= s.deltas.from
}

// UpdateBase returns the index at or before the given one from which updates should
// be made, so that nodes at many indexes share few updates, and the number of
// records in such an update. The index is 0 where KeepsChangesSince is false. A node may
// apply changes that it has.
func (s *State) UpdateBase(index uint64) (base uint64, records int) {
	if !s.KeepsChangesSince(index) {
		return 0, 0
	}
	return s.deltas.base(index)
}

// UpdateSince returns what changed after an index, for a node that has applied
// everything up to it: nil if nothing did, a full update if the index is 0,
// higher than the state's, or too old for the changes that are kept.
func (s *State) UpdateSince(index uint64) *wirev1.Update {
	if index == s.index && index != 0 {
		return nil
	}
	if !s.KeepsChangesSince(index) {
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
