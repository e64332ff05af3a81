package cluster

import (
	"iter"

	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

const (
	// recordsPerChunk is the number of records that are copied when one partition
	// changes. At 16,384 partitions a change copies 128 records and 128 pointers
	// to chunks.
	recordsPerChunk = 128
	// maxEarlierAssignments is the number of earlier assignments that are kept for
	// each partition.
	maxEarlierAssignments = 3
)

// record has the current assignment of a partition and the latest earlier ones,
// the oldest first. The current assignment is nil if there never was one.
type record struct {
	current *wirev1.Assignment
	earlier []*wirev1.Assignment
}

// chunk has the records of recordsPerChunk adjacent partitions.
type chunk [recordsPerChunk]record

// table has the records of one upstream. Tables and chunks of a published State
// are immutable.
type table struct {
	chunks []*chunk
	// count is the highest assigned partition plus 1.
	count uint32
}

// get returns the record of a partition, the zero record if there is none.
func (t *table) get(partition uint32) record {
	if t == nil || int(partition/recordsPerChunk) >= len(t.chunks) {
		return record{}
	}
	c := t.chunks[partition/recordsPerChunk]
	if c == nil {
		return record{}
	}
	return c[partition%recordsPerChunk]
}

// mutable returns the record of a partition in a table that is not yet
// published, and extends the table if needed. The caller sets owned if the
// table does not share the chunk with a published one; other chunks are copied.
func (t *table) mutable(partition uint32, owned bool) *record {
	number := int(partition / recordsPerChunk)
	for len(t.chunks) <= number {
		t.chunks = append(t.chunks, nil)
	}
	switch {
	case t.chunks[number] == nil:
		t.chunks[number] = &chunk{}
	case !owned:
		c := *t.chunks[number]
		t.chunks[number] = &c
	}
	t.count = max(t.count, partition+1)
	return &t.chunks[number][partition%recordsPerChunk]
}

// all yields the records of assigned partitions, sorted by partition.
func (t *table) all() iter.Seq[record] {
	return func(yield func(record) bool) {
		if t == nil {
			return
		}
		for _, c := range t.chunks {
			if c == nil {
				continue
			}
			for i := range c {
				if c[i].current != nil && !yield(c[i]) {
					return
				}
			}
		}
	}
}

// tableEdit makes a changed copy of a table.
type tableEdit struct {
	table *table
	// owned marks the chunks that are not shared with the original table.
	owned map[uint32]bool
}

// newTableEdit returns an edit of a table, which may be nil.
func newTableEdit(t *table) *tableEdit {
	next := &table{}
	if t != nil {
		next.count = t.count
		next.chunks = append(make([]*chunk, 0, len(t.chunks)+1), t.chunks...)
	}
	return &tableEdit{table: next, owned: map[uint32]bool{}}
}

// set replaces the assignment of a partition and keeps the previous one as an
// earlier assignment.
func (e *tableEdit) set(a *wirev1.Assignment) {
	number := a.GetPartition() / recordsPerChunk
	r := e.table.mutable(a.GetPartition(), e.owned[number])
	e.owned[number] = true
	if r.current != nil {
		first := max(0, len(r.earlier)+1-maxEarlierAssignments)
		earlier := make([]*wirev1.Assignment, 0, maxEarlierAssignments)
		earlier = append(earlier, r.earlier[first:]...)
		r.earlier = append(earlier, r.current)
	}
	r.current = a
}
