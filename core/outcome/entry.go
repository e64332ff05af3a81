package outcome

import (
	"container/heap"
	"time"
)

type partitionID struct {
	upstream  string
	partition uint32
}

// state is what is known about the request of an entry.
type state int

const (
	stateRunning state = iota
	// stateFinished means that the request has run and its response is stored.
	stateFinished
	// stateUndecided means that the request may have run, but no response of it
	// is stored.
	stateUndecided
	// stateBarred means that the sending must never run. Its entry is in
	// RequestTable.sendings only.
	stateBarred
)

// entry is one request, or one barred sending.
type entry struct {
	id        string
	partition partitionID
	state     state
	response  Response
	// ended is the time at which the request ended.
	ended time.Time
	// sendings are the recorded sendings of the request. One that is identified
	// by id is not listed, except in the entry of a barred sending.
	sendings []string
	// waiters are the sendings that wait for the response, in order of arrival.
	waiters []uint64
	expires time.Time
	// heapIndex is the position in the expiry heap, -1 if the entry is not in
	// it.
	heapIndex int
}

// expire removes the entries whose window has passed.
func (r *RequestTable) expire(now time.Time) {
	for len(r.expiry) > 0 && !r.expiry[0].expires.After(now) {
		r.remove(r.expiry[0])
	}
}

// remove removes an entry with its sendings and its response.
func (r *RequestTable) remove(e *entry) {
	if e.heapIndex >= 0 {
		heap.Remove(&r.expiry, e.heapIndex)
	}
	if r.entries[e.id] == e {
		delete(r.entries, e.id)
	}
	for _, s := range e.sendings {
		delete(r.sendings, s)
	}
	r.bytes -= e.response.size()
}

// expiryHeap is a heap of entries, ordered by the time at which they expire. It
// implements heap.Interface.
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
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	e := x.(*entry)
	e.heapIndex = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	e.heapIndex = -1
	return e
}
