package admission

import "time"

const (
	// lateRanks is the number of ranks of the requests that are expected to be answered
	// after their target: one for each priority, and above it one for the nested calls
	// of requests of this priority.
	lateRanks = 2 * (MaxPriority + 1)
	// ranks is the number of ranks within a depth. The ranks above lateRanks are for
	// the other requests, in the same order.
	ranks   = 2 * lateRanks
	classes = (MaxDepth + 1) * ranks
)

// classOf returns the class of a request; higher classes are served first. The
// order is by depth, because work that was already admitted elsewhere depends
// on nested calls, then by priority. A nested call is of its own priority or
// goes before the requests of its parent's priority, whichever is higher.
func classOf(r Request) int {
	rank := 2 * clampPriority(r.Priority)
	if r.Nested {
		rank = max(rank, 2*clampPriority(r.ParentPriority)+1)
	}
	return r.Depth*ranks + lateRanks + rank
}

// lateClass returns the class of the requests that would be of a class if they were
// expected to be answered by their target. It is below all classes of those that are.
func lateClass(class int) int { return class - lateRanks }

func clampPriority(priority int) int { return min(max(priority, 0), MaxPriority) }

// waiter is a request in the queue.
type waiter struct {
	request Request
	class   int
	// latestStart is the time after which the request is not expected to end by
	// its deadline.
	latestStart time.Time
	subqueue    *subqueue
	previous    *waiter
	next        *waiter
	sequence    uint64
	// tag is the place of the request in the fair order.
	tag time.Duration
	// deadlineIndex is the index in queue.deadlines, -1 without a deadline.
	deadlineIndex int
	// work is the time that the request is expected to run, 0 if unknown.
	work time.Duration
	// promoteAt is the time at which a waiter of a late class leaves it, and
	// promoteIndex its index in queue.promotions, -1 in other classes.
	promoteAt    time.Time
	promoteIndex int
}

// queue holds the waiting requests, indexed by every order in which the
// Controller looks them up. All operations take O(log n).
type queue struct {
	length       int
	sequence     uint64
	order        fairOrder
	byClass      [classes]backlog
	countByDepth [MaxDepth + 1]int
	uncapped     [classes]*subqueueGroup
	capped       [classes]*subqueueGroup
	deadlines    indexedHeap[*waiter]
	// promotions holds the waiters of late classes.
	promotions indexedHeap[*waiter]
	// withoutTarget counts the waiters without a target.
	withoutTarget int
	// byQueued holds the keys with waiting requests, the one with the most
	// first.
	byQueued indexedHeap[*key]
	keys     map[uint64]*key
	// cappedKeys lists keys whose subqueues are in the capped groups.
	cappedKeys []*key
	// noKey stands for all requests without a key.
	noKey *key
}

func newQueue() *queue {
	q := &queue{order: newFairOrder(), keys: make(map[uint64]*key), noKey: &key{queuedIndex: -1}}
	for i := range classes {
		q.uncapped[i], q.capped[i] = newGroup(), newGroup()
	}
	q.deadlines = indexedHeap[*waiter]{
		less: func(a, b *waiter) bool {
			if a.latestStart.Equal(b.latestStart) {
				return a.sequence < b.sequence
			}
			return a.latestStart.Before(b.latestStart)
		},
		moved: func(w *waiter, i int) { w.deadlineIndex = i },
	}
	q.promotions = indexedHeap[*waiter]{
		less: func(a, b *waiter) bool {
			if a.promoteAt.Equal(b.promoteAt) {
				return a.sequence < b.sequence
			}
			return a.promoteAt.Before(b.promoteAt)
		},
		moved: func(w *waiter, i int) { w.promoteIndex = i },
	}
	q.byQueued = indexedHeap[*key]{
		less: func(a, b *key) bool {
			if a.queued == b.queued {
				return a.hash < b.hash
			}
			return a.queued > b.queued
		},
		moved: func(k *key, i int) { k.queuedIndex = i },
	}
	return q
}

// findOrAddKey returns the key with the given hash and adds it if it is new.
func (q *queue) findOrAddKey(hash uint64) *key {
	if hash == 0 {
		return q.noKey
	}
	k := q.keys[hash]
	if k == nil {
		k = &key{hash: hash, queuedIndex: -1}
		q.keys[hash] = k
	}
	return k
}

// removeIdleKey removes a key that has no waiting and no running requests.
func (q *queue) removeIdleKey(k *key) {
	if k == q.noKey || k.inFlight > 0 || k.queued > 0 {
		return
	}
	q.uncap(k)
	delete(q.keys, k.hash)
}

func (q *queue) groupOf(s *subqueue) *subqueueGroup {
	if s.key.capped {
		return q.capped[s.class]
	}
	return q.uncapped[s.class]
}

// push adds a waiter behind those of its class and key.
func (q *queue) push(w *waiter) {
	r := w.request
	k := q.findOrAddKey(r.Key)
	w.sequence, w.deadlineIndex, w.promoteIndex = q.sequence, -1, -1
	w.tag = q.order.take(r.Organisation, w.work)
	q.order.changeWaiting(r.Organisation, 1)
	q.sequence++
	q.length++
	if r.Target.IsZero() {
		q.withoutTarget++
	}
	q.byClass[w.class] = q.byClass[w.class].withWaiter(w, 1)
	q.countByDepth[r.Depth]++
	q.append(k, w)
	k.queued++
	if k != q.noKey {
		if k.queuedIndex < 0 {
			q.byQueued.push(k)
		} else {
			q.byQueued.fix(k.queuedIndex)
		}
	}
	if !r.Deadline.IsZero() {
		q.deadlines.push(w)
	}
	if !w.promoteAt.IsZero() {
		q.promotions.push(w)
	}
}

// promote moves a waiter of a late class to the end of the class that it would have if
// it were expected to be answered by its target.
func (q *queue) promote(w *waiter) {
	q.remove(w)
	q.order.giveBack(w.request.Organisation, w.work)
	w.class, w.promoteAt, w.previous, w.next = classOf(w.request), time.Time{}, nil, nil
	q.push(w)
}

// append adds the waiter at the end of its subqueue.
func (q *queue) append(k *key, w *waiter) {
	for _, s := range k.subqueues {
		if s.class == w.class && s.organisation == w.request.Organisation {
			w.subqueue, w.previous = s, s.tail
			s.tail.next = w
			s.tail = w
			q.groupOf(s).fix(s)
			return
		}
	}
	s := &subqueue{class: w.class, organisation: w.request.Organisation, key: k, head: w, tail: w}
	w.subqueue = s
	k.subqueues = append(k.subqueues, s)
	q.groupOf(s).add(s)
}

func (q *queue) remove(w *waiter) {
	s, k := w.subqueue, w.subqueue.key
	q.length--
	q.order.changeWaiting(w.request.Organisation, -1)
	if w.request.Target.IsZero() {
		q.withoutTarget--
	}
	q.byClass[w.class] = q.byClass[w.class].withWaiter(w, -1)
	q.countByDepth[w.request.Depth]--
	if w.deadlineIndex >= 0 {
		q.deadlines.remove(w.deadlineIndex)
	}
	if w.promoteIndex >= 0 {
		q.promotions.remove(w.promoteIndex)
	}
	if s.head == s.tail {
		q.groupOf(s).remove(s)
		k.removeSubqueue(s)
	} else {
		s.unlink(w)
		q.groupOf(s).fix(s)
	}
	k.queued--
	if k == q.noKey {
		return
	}
	if k.queued == 0 {
		q.byQueued.remove(k.queuedIndex)
	} else {
		q.byQueued.fix(k.queuedIndex)
	}
}

// cap marks a key as holding its share of the slots and moves its subqueues to
// the groups that are served last.
func (q *queue) cap(k *key) {
	if k.capped {
		return
	}
	for _, s := range k.subqueues {
		q.uncapped[s.class].remove(s)
		q.capped[s.class].add(s)
	}
	k.capped = true
	q.cappedKeys = append(q.cappedKeys, k)
}

func (q *queue) uncap(k *key) {
	if !k.capped {
		return
	}
	for _, s := range k.subqueues {
		q.capped[s.class].remove(s)
		q.uncapped[s.class].add(s)
	}
	k.capped = false
	for i, other := range q.cappedKeys {
		if other == k {
			q.cappedKeys = append(q.cappedKeys[:i], q.cappedKeys[i+1:]...)
			return
		}
	}
}

// uncapBelow uncaps the keys that hold fewer slots than the share. There are at
// most as many capped keys as slots.
func (q *queue) uncapBelow(share int) {
	for i := len(q.cappedKeys) - 1; i >= 0; i-- {
		if k := q.cappedKeys[i]; k.inFlight < share {
			q.uncap(k)
		}
	}
}

// nextOfClass returns the waiter of a class to serve next, nil for none. It
// looks among the keys that hold fewer slots than the share, or among the
// others if capped is set.
func (q *queue) nextOfClass(class, share int, newest, capped bool) *waiter {
	if capped {
		return q.capped[class].front(newest)
	}
	for {
		w := q.uncapped[class].front(newest)
		if w == nil || w.subqueue.key == q.noKey || w.subqueue.key.inFlight < share {
			return w
		}
		q.cap(w.subqueue.key)
	}
}

// dropCandidateOfClass returns the waiter of a class to drop first, nil for
// none.
func (q *queue) dropCandidateOfClass(class int, oldest bool) *waiter {
	a, b := q.uncapped[class].front(!oldest), q.capped[class].front(!oldest)
	if a == nil || (b != nil && (b.sequence < a.sequence) == oldest) {
		return b
	}
	return a
}

// lowestClass returns the lowest class that has waiters, or the number of
// classes if the queue is empty.
func (q *queue) lowestClass() int {
	for c := range classes {
		if q.byClass[c].count > 0 {
			return c
		}
	}
	return classes
}

// above returns the waiters of higher classes.
func (q *queue) above(class int) backlog {
	var b backlog
	for c := class + 1; c < classes; c++ {
		b = b.with(q.byClass[c])
	}
	return b
}

// expired returns a waiter that is no longer expected to end by its deadline,
// nil for none.
func (q *queue) expired(now time.Time) *waiter {
	w, ok := q.deadlines.top()
	if !ok || w.latestStart.After(now) {
		return nil
	}
	return w
}

// promotable returns a waiter that is due to leave its late class, nil for none.
func (q *queue) promotable(now time.Time) *waiter {
	w, ok := q.promotions.top()
	if !ok || w.promoteAt.After(now) {
		return nil
	}
	return w
}
