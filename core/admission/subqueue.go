package admission

import "time"

// backlog is the work of a part of the queue.
type backlog struct {
	count int
	// work is the time that the waiters are expected to run, without the unmeasured
	// ones, of whose service times nothing was known when they came.
	work       time.Duration
	unmeasured int
}

// withWaiter returns the backlog with a waiter counted n times more.
func (b backlog) withWaiter(w *waiter, n int) backlog {
	b.count += n
	b.work += time.Duration(n) * w.work
	if w.work == 0 {
		b.unmeasured += n
	}
	return b
}

// with returns the sum of two backlogs.
func (b backlog) with(other backlog) backlog {
	return backlog{b.count + other.count, b.work + other.work, b.unmeasured + other.unmeasured}
}

// time returns the time that the waiters are expected to run, given the mean of all
// requests.
func (b backlog) time(mean float64) float64 { return float64(b.work) + mean*float64(b.unmeasured) }

// subqueue holds the waiters of one class, key and organisation, oldest first.
type subqueue struct {
	class        int
	organisation uint64
	key          *key
	head, tail   *waiter
	oldestIndex  int
	newestIndex  int
}

// key is the state of a request key that has waiting or running requests.
type key struct {
	hash        uint64
	inFlight    int
	queued      int
	capped      bool
	subqueues   []*subqueue
	queuedIndex int
}

// subqueueGroup holds the subqueues of one class whose keys are all capped or
// all uncapped.
type subqueueGroup struct {
	oldest indexedHeap[*subqueue]
	newest indexedHeap[*subqueue]
}

func newGroup() *subqueueGroup {
	return &subqueueGroup{
		oldest: indexedHeap[*subqueue]{
			less: func(a, b *subqueue) bool {
				return a.head.tag < b.head.tag || a.head.tag == b.head.tag && a.head.sequence < b.head.sequence
			},
			moved: func(s *subqueue, i int) { s.oldestIndex = i },
		},
		newest: indexedHeap[*subqueue]{
			less:  func(a, b *subqueue) bool { return a.tail.sequence > b.tail.sequence },
			moved: func(s *subqueue, i int) { s.newestIndex = i },
		},
	}
}

func (g *subqueueGroup) add(s *subqueue) {
	g.oldest.push(s)
	g.newest.push(s)
}

func (g *subqueueGroup) remove(s *subqueue) {
	g.oldest.remove(s.oldestIndex)
	g.newest.remove(s.newestIndex)
}

func (g *subqueueGroup) fix(s *subqueue) {
	g.oldest.fix(s.oldestIndex)
	g.newest.fix(s.newestIndex)
}

func (s *subqueue) unlink(w *waiter) {
	if w.previous == nil {
		s.head = w.next
	} else {
		w.previous.next = w.next
	}
	if w.next == nil {
		s.tail = w.previous
	} else {
		w.next.previous = w.previous
	}
}

func (k *key) removeSubqueue(s *subqueue) {
	for i, other := range k.subqueues {
		if other == s {
			k.subqueues = append(k.subqueues[:i], k.subqueues[i+1:]...)
			return
		}
	}
}

func (k *key) lowestSubqueue() *subqueue {
	lowest := k.subqueues[0]
	for _, s := range k.subqueues[1:] {
		if s.class < lowest.class {
			lowest = s
		}
	}
	return lowest
}

// dropCandidate returns the waiter to drop first.
func (s *subqueue) dropCandidate(oldest bool) *waiter {
	if oldest {
		return s.head
	}
	return s.tail
}

func (g *subqueueGroup) front(newest bool) *waiter {
	h := &g.oldest
	if newest {
		h = &g.newest
	}
	s, ok := h.top()
	if !ok {
		return nil
	}
	if newest {
		return s.tail
	}
	return s.head
}
