package outcome

import (
	"container/heap"
	"time"
)

type partitionID struct {
	upstream  string
	partition uint32
}

type state int

const (
	stateRunning state = iota
	// stateFinished entries have their response.
	stateFinished
	// stateUndecided entries may have run; their response is not stored.
	stateUndecided
	// stateBarred entries never run. They are recorded as sendings.
	stateBarred
)

type entry struct {
	id        string
	partition partitionID
	state     state
	response  Response
	ended     time.Time
	sendings  []string
	waiters   []uint64
	expires   time.Time
	// index is the place in the expiry heap, -1 for none.
	index int
}

// expire removes the entries whose window has passed.
func (r *RequestTable) expire(now time.Time) {
	for len(r.expiry) > 0 && !r.expiry[0].expires.After(now) {
		r.remove(r.expiry[0])
	}
}

func (r *RequestTable) remove(e *entry) {
	if e.index >= 0 {
		heap.Remove(&r.expiry, e.index)
	}
	if r.entries[e.id] == e {
		delete(r.entries, e.id)
	}
	for _, s := range e.sendings {
		delete(r.sendings, s)
	}
	r.bytes -= e.response.size()
}

// expiryHeap is a container/heap of entries by the time they expire.
type expiryHeap []*entry

func (h *expiryHeap) add(e *entry, expires time.Time) {
	e.expires = expires
	heap.Push(h, e)
}

// Len implements heap.Interface.
func (h expiryHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h expiryHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }

// Swap implements heap.Interface.
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	e.index = -1
	return e
}
