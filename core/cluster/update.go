package cluster

import (
	"cmp"
	"slices"

	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

const (
	// recordsPerGeneration is the number of changed records after which older
	// deltas are dropped. At least the last 16,384 records are kept, and about
	// twice as many at most. A node that is further behind gets a full update.
	// With 16,384 partitions, a full update has about as many records. Deltas are
	// not limited by their number: with a limit of 512, the registrations of 610
	// nodes led to a full update for each of them.
	recordsPerGeneration = 16384
	// rulesBytesPerRecord is the length of rules text that counts as one record.
	rulesBytesPerRecord = 64
	// maxExactUpdateRecords and recordsPerBaseBlock limit the number of different
	// updates. A node that lacks more than maxExactUpdateRecords gets the changes
	// since the start of a block of recordsPerBaseBlock records, like all other
	// nodes in that block. With a limit of 256 records for exact updates, nodes
	// that follow closely got several times the records that they lacked.
	maxExactUpdateRecords = 8192
	recordsPerBaseBlock   = 1024
)

// delta is an element of a linked list whose tail is shared with earlier
// states.
type delta struct {
	update   *wirev1.Update
	previous *delta
	// recordsSoFar is the number of records up to and including this delta.
	recordsSoFar int
}

// deltas keeps the latest changes in two generations. Dropping the older one
// needs no copying.
type deltas struct {
	newest, older *delta
	// records is the number of records in the newest generation.
	records int
	// from is the index since which all changes are kept. newestFrom is the index
	// since which the newest generation alone has them.
	from, newestFrom uint64
}

// add returns the deltas with one more update. It starts a new generation if
// the newest is full.
func (d deltas) add(update *wirev1.Update) deltas {
	if d.records >= recordsPerGeneration {
		d.from, d.newestFrom = d.newestFrom, d.newest.update.GetIndex()
		d.older, d.newest, d.records = d.newest, nil, 0
	}
	if d.records == 0 && d.older == nil {
		d.newestFrom = d.from
	}
	total := 0
	if latest := cmp.Or(d.newest, d.older); latest != nil {
		total = latest.recordsSoFar
	}
	records := recordCount(update)
	d.newest = &delta{update: update, previous: d.newest, recordsSoFar: total + records}
	d.records += records
	return d
}

// recordCount returns the number of records that an update counts for.
func recordCount(update *wirev1.Update) int {
	return 1 + len(update.GetNodes()) + len(update.GetRemovedNodes()) + len(update.GetAssignments()) +
		len(update.GetRules().GetText())/rulesBytesPerRecord
}

// base returns the index, at or before the given one, since which changes are
// to be sent, and the number of records that changed since.
func (d deltas) base(index uint64) (uint64, int) {
	latest := cmp.Or(d.newest, d.older)
	if latest == nil {
		return index, 0
	}
	near, records := true, 0
	block := latest.recordsSoFar / recordsPerBaseBlock
	for _, generation := range []*delta{d.newest, d.older} {
		for e := generation; e != nil; e = e.previous {
			records = latest.recordsSoFar - e.recordsSoFar
			switch {
			case e.update.GetIndex() > index:
				near = records < maxExactUpdateRecords
			case near && records <= maxExactUpdateRecords:
				return index, records
			case e.recordsSoFar/recordsPerBaseBlock < block:
				return e.update.GetIndex(), records
			}
			block = e.recordsSoFar / recordsPerBaseBlock
			records += recordCount(e.update)
		}
	}
	// The update has all changes that are kept.
	return index, records
}

// since returns the updates after an index, the newest first.
func (d deltas) since(index uint64) []*wirev1.Update {
	var updates []*wirev1.Update
	for _, generation := range []*delta{d.newest, d.older} {
		for e := generation; e != nil && e.update.GetIndex() > index; e = e.previous {
			updates = append(updates, e.update)
		}
	}
	return updates
}

// KeepsChangesSince reports whether all changes after an index are kept. If
// not, UpdateSince returns a full update.
func (s *State) KeepsChangesSince(index uint64) bool {
	return index != 0 && index <= s.index && index >= s.deltas.from
}

// UpdateBase returns the index, at or before the given one, to pass to
// UpdateSince, and the number of records in that update. Nodes at many indexes
// then share few updates. The index is 0 if KeepsChangesSince is false. A node
// may get changes again that it has applied before.
func (s *State) UpdateBase(index uint64) (base uint64, records int) {
	if !s.KeepsChangesSince(index) {
		return 0, 0
	}
	return s.deltas.base(index)
}

// UpdateSince returns the changes after an index for a node that has applied
// everything up to it. It returns nil if there are none. It returns a full
// update if the index is 0, above that of the state, or older than the changes
// that are kept.
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

// FullUpdate returns the whole state for a node that has no state.
func (s *State) FullUpdate() *wirev1.Update {
	update := &wirev1.Update{Index: s.index, Snapshot: true, Nodes: s.nodes, Rules: s.rules}
	for _, name := range s.Upstreams() {
		for r := range s.tables[name].all() {
			update.Assignments = append(update.Assignments, r.current)
		}
	}
	return update
}

// merge combines several updates, the newest first, into one. It keeps only the
// newest version of each record.
func merge(updates []*wirev1.Update) *wirev1.Update {
	type partitionID struct {
		upstream  string
		partition uint32
	}
	merged := &wirev1.Update{Index: updates[0].GetIndex()}
	seenPartitions := map[partitionID]bool{}
	seenNodes := map[uint64]bool{}
	for _, u := range updates {
		if merged.Rules == nil {
			merged.Rules = u.GetRules()
		}
		for _, incarnation := range u.GetRemovedNodes() {
			seenNodes[incarnation] = true
			merged.RemovedNodes = append(merged.RemovedNodes, incarnation)
		}
		for _, n := range u.GetNodes() {
			if !seenNodes[n.GetIncarnation()] {
				seenNodes[n.GetIncarnation()] = true
				merged.Nodes = append(merged.Nodes, n)
			}
		}
		for _, a := range slices.Backward(u.GetAssignments()) {
			at := partitionID{a.GetUpstream(), a.GetPartition()}
			if !seenPartitions[at] {
				seenPartitions[at] = true
				merged.Assignments = append(merged.Assignments, a)
			}
		}
	}
	return merged
}
