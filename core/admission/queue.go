package admission

import "time"

const (
	priorities = MaxPriority + 1
	classes    = (MaxDepth + 1) * priorities
)

// classOf orders requests: nested calls before calls from outside, because work
// that was already admitted elsewhere depends on them, then by priority.
func classOf(depth, priority int) int {
	return depth*priorities + min(max(priority, 0), MaxPriority)
}

// waiter is a request in the queue.
type waiter struct {
	request  Request
	class    int
	lane     *lane
	previous *waiter
	next     *waiter
	sequence uint64
	// deadlineIndex is the place in the heap of deadlines, -1 for none.
	deadlineIndex int
}

// lane has the waiters of one class and key, oldest first.
type lane struct {
	class       int
	key         *key
	head, tail  *waiter
	oldestIndex int
	newestIndex int
}

// key is a key with requests that wait or run.
type key struct {
	hash        uint64
	inFlight    int
	queued      int
	capped      bool
	lanes       []*lane
	queuedIndex int
}

// group has the lanes of one class whose keys are all capped or all not.
type group struct {
	oldest indexedHeap[*lane]
	newest indexedHeap[*lane]
}

func newGroup() *group {
	return &group{
		oldest: indexedHeap[*lane]{
			less:  func(a, b *lane) bool { return a.head.sequence < b.head.sequence },
			moved: func(l *lane, i int) { l.oldestIndex = i },
		},
		newest: indexedHeap[*lane]{
			less:  func(a, b *lane) bool { return a.tail.sequence > b.tail.sequence },
			moved: func(l *lane, i int) { l.newestIndex = i },
		},
	}
}

func (g *group) add(l *lane) {
	g.oldest.push(l)
	g.newest.push(l)
}

func (g *group) remove(l *lane) {
	g.oldest.remove(l.oldestIndex)
	g.newest.remove(l.newestIndex)
}

func (g *group) fix(l *lane) {
	g.oldest.fix(l.oldestIndex)
	g.newest.fix(l.newestIndex)
}

// queue has the waiting requests in every order that decisions need. All
// operations take O(log n).
type queue struct {
	length    int
	sequence  uint64
	count     [classes]int
	depth     [MaxDepth + 1]int
	free      [classes]*group
	capped    [classes]*group
	deadlines indexedHeap[*waiter]
	// untargeted counts the waiters without a target.
	untargeted int
	// byQueued has the keys with waiting requests, the one with most first.
	byQueued indexedHeap[*key]
	keys     map[uint64]*key
	// cappedKeys lists keys whose lanes are in the capped groups.
	cappedKeys []*key
	// none stands for requests without a key.
	none *key
}

func newQueue() *queue {
	q := &queue{keys: make(map[uint64]*key), none: &key{queuedIndex: -1}}
	for i := range classes {
		q.free[i], q.capped[i] = newGroup(), newGroup()
	}
	q.deadlines = indexedHeap[*waiter]{
		less: func(a, b *waiter) bool {
			if a.request.Deadline.Equal(b.request.Deadline) {
				return a.sequence < b.sequence
			}
			return a.request.Deadline.Before(b.request.Deadline)
		},
		moved: func(w *waiter, i int) { w.deadlineIndex = i },
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

// key returns the key of a request and adds it if it is not known.
func (q *queue) key(hash uint64) *key {
	if hash == 0 {
		return q.none
	}
	k := q.keys[hash]
	if k == nil {
		k = &key{hash: hash, queuedIndex: -1}
		q.keys[hash] = k
	}
	return k
}

// drop forgets a key that neither waits nor runs.
func (q *queue) drop(k *key) {
	if k == q.none || k.inFlight > 0 || k.queued > 0 {
		return
	}
	q.uncap(k)
	delete(q.keys, k.hash)
}

func (q *queue) groupOf(l *lane) *group {
	if l.key.capped {
		return q.capped[l.class]
	}
	return q.free[l.class]
}

func (q *queue) push(r Request) *waiter {
	k := q.key(r.Key)
	w := &waiter{request: r, class: classOf(r.Depth, r.Priority), sequence: q.sequence, deadlineIndex: -1}
	q.sequence++
	q.length++
	if r.Target.IsZero() {
		q.untargeted++
	}
	q.count[w.class]++
	q.depth[r.Depth]++
	q.append(k, w)
	k.queued++
	if k != q.none {
		if k.queuedIndex < 0 {
			q.byQueued.push(k)
		} else {
			q.byQueued.fix(k.queuedIndex)
		}
	}
	if !r.Deadline.IsZero() {
		q.deadlines.push(w)
	}
	return w
}

// append adds the waiter at the end of its lane.
func (q *queue) append(k *key, w *waiter) {
	for _, l := range k.lanes {
		if l.class == w.class {
			w.lane, w.previous = l, l.tail
			l.tail.next = w
			l.tail = w
			q.groupOf(l).fix(l)
			return
		}
	}
	l := &lane{class: w.class, key: k, head: w, tail: w}
	w.lane = l
	k.lanes = append(k.lanes, l)
	q.groupOf(l).add(l)
}

func (q *queue) remove(w *waiter) {
	l, k := w.lane, w.lane.key
	q.length--
	if w.request.Target.IsZero() {
		q.untargeted--
	}
	q.count[w.class]--
	q.depth[w.request.Depth]--
	if w.deadlineIndex >= 0 {
		q.deadlines.remove(w.deadlineIndex)
	}
	if l.head == l.tail {
		q.groupOf(l).remove(l)
		k.dropLane(l)
	} else {
		l.unlink(w)
		q.groupOf(l).fix(l)
	}
	k.queued--
	if k == q.none {
		return
	}
	if k.queued == 0 {
		q.byQueued.remove(k.queuedIndex)
	} else {
		q.byQueued.fix(k.queuedIndex)
	}
}

func (l *lane) unlink(w *waiter) {
	if w.previous == nil {
		l.head = w.next
	} else {
		w.previous.next = w.next
	}
	if w.next == nil {
		l.tail = w.previous
	} else {
		w.next.previous = w.previous
	}
}

func (k *key) dropLane(l *lane) {
	for i, other := range k.lanes {
		if other == l {
			k.lanes = append(k.lanes[:i], k.lanes[i+1:]...)
			return
		}
	}
}

func (k *key) lowestLane() *lane {
	lowest := k.lanes[0]
	for _, l := range k.lanes[1:] {
		if l.class < lowest.class {
			lowest = l
		}
	}
	return lowest
}

// end returns the waiter to drop first.
func (l *lane) end(oldest bool) *waiter {
	if oldest {
		return l.head
	}
	return l.tail
}

// cap moves the key's lanes to the groups that are served last.
func (q *queue) cap(k *key) {
	if k.capped {
		return
	}
	for _, l := range k.lanes {
		q.free[l.class].remove(l)
		q.capped[l.class].add(l)
	}
	k.capped = true
	q.cappedKeys = append(q.cappedKeys, k)
}

func (q *queue) uncap(k *key) {
	if !k.capped {
		return
	}
	for _, l := range k.lanes {
		q.capped[l.class].remove(l)
		q.free[l.class].add(l)
	}
	k.capped = false
	for i, other := range q.cappedKeys {
		if other == k {
			q.cappedKeys = append(q.cappedKeys[:i], q.cappedKeys[i+1:]...)
			return
		}
	}
}

// uncapBelow uncaps the keys that hold fewer slots than the share. The list is
// at most as long as the number of slots.
func (q *queue) uncapBelow(share int) {
	for i := len(q.cappedKeys) - 1; i >= 0; i-- {
		if k := q.cappedKeys[i]; k.inFlight < share {
			q.uncap(k)
		}
	}
}

// next returns the waiter of a class to serve next, nil for none: first among
// keys below the share, then, if capped is set, among the others.
func (q *queue) next(class, share int, newest, capped bool) *waiter {
	if capped {
		return q.capped[class].pick(newest)
	}
	for {
		w := q.free[class].pick(newest)
		if w == nil || w.lane.key == q.none || w.lane.key.inFlight < share {
			return w
		}
		q.cap(w.lane.key)
	}
}

func (g *group) pick(newest bool) *waiter {
	h := &g.oldest
	if newest {
		h = &g.newest
	}
	l, ok := h.top()
	if !ok {
		return nil
	}
	if newest {
		return l.tail
	}
	return l.head
}

// victim returns the waiter of a class to drop first, nil for none.
func (q *queue) victim(class int, oldest bool) *waiter {
	a, b := q.free[class].pick(!oldest), q.capped[class].pick(!oldest)
	if a == nil || (b != nil && (b.sequence < a.sequence) == oldest) {
		return b
	}
	return a
}

// lowest returns the lowest class that has waiters.
func (q *queue) lowest() int {
	for c := range classes {
		if q.count[c] > 0 {
			return c
		}
	}
	return classes
}

// above returns the number of waiters in higher classes.
func (q *queue) above(class int) int {
	n := 0
	for c := class + 1; c < classes; c++ {
		n += q.count[c]
	}
	return n
}

// due returns a waiter that cannot be answered in time any more if its run takes
// the given time, nil for none.
func (q *queue) due(now time.Time, run time.Duration) *waiter {
	w, ok := q.deadlines.top()
	if !ok || w.request.Deadline.Add(-run).After(now) {
		return nil
	}
	return w
}
