package cluster

import (
	"iter"

	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

const (
	// chunkSize is the number of partitions that are copied when one of them
	// changes. At 16,384 partitions a change copies 128 records and 128
	// pointers to chunks.
	chunkSize = 128
	// maxEarlier bounds the earlier assignments that are kept of a partition.
	maxEarlier = 3
)

// record has the current assignment of a partition and the latest earlier
// ones, oldest first. A record without an assignment was never assigned.
type record struct {
	current *wirev1.Assignment
	earlier []*wirev1.Assignment
}

type chunk [chunkSize]record

// table has the records of one upstream. Published tables and chunks are
// not changed.
type table struct {
	chunks []*chunk
	// count is the highest assigned partition plus 1.
	count uint32
}

// get returns the record of a partition, the zero record where there is none.
func (t *table) get(partition uint32) record {
	if t == nil || int(partition/chunkSize) >= len(t.chunks) {
		return record{}
	}
	c := t.chunks[partition/chunkSize]
	if c == nil {
		return record{}
	}
	return c[partition%chunkSize]
}

// at returns the record of a partition in a table that is not published yet
// and makes room for it. Chunks that the table shares with a published one
// must not be owned; they are copied.
func (t *table) at(partition uint32, owned bool) *record {
	number := int(partition / chunkSize)
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
	return &t.chunks[number][partition%chunkSize]
}

// all yields the records of assigned partitions in rising order.
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
	owned map[uint32]bool
}

func editTable(t *table) *tableEdit {
	next := &table{}
	if t != nil {
		next.count = t.count
		next.chunks = append(make([]*chunk, 0, len(t.chunks)+1), t.chunks...)
	}
	return &tableEdit{table: next, owned: map[uint32]bool{}}
}

// set replaces the assignment of a partition and keeps the one before it.
func (e *tableEdit) set(a *wirev1.Assignment) {
	number := a.GetPartition() / chunkSize
	r := e.table.at(a.GetPartition(), e.owned[number])
	e.owned[number] = true
	if r.current != nil {
		first := max(0, len(r.earlier)+1-maxEarlier)
		earlier := make([]*wirev1.Assignment, 0, maxEarlier)
		earlier = append(earlier, r.earlier[first:]...)
		r.earlier = append(earlier, r.current)
	}
	r.current = a
}
