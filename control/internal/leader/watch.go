package leader

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/core/cluster"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// ErrReplaced ends a watch stream whose node opened another one. The first
// may be half-open.
var ErrReplaced = errors.New("replaced by another watch stream of the same node")

// updateShare bounds the updates of all streams together to 10,000 a second: a
// stream waits this long after an update for each stream that there is, and
// what changes meanwhile is one update. Without it the registrations of 610
// nodes within a second are 372,000 updates, and renewals time out.
const updateShare = 100 * time.Microsecond

// Sink is one watch stream of a node. Its methods are for one goroutine.
type Sink struct {
	leader      *Leader
	incarnation uint64
	term        uint64
	index       uint64
	started     bool
	pause       time.Duration
	// kick gets a value when there are new orders; gone is closed when the
	// node opens another stream.
	kick chan struct{}
	gone chan struct{}
	// orders are guarded by the leader's lock.
	orders []*wirev1.Release
}

// Watch opens a stream of updates for a node that has everything up to an
// index. Incarnation 0 gets updates alone.
func (l *Leader) Watch(ctx context.Context, request *wirev1.WatchRequest) (*Sink, error) {
	if err := l.config.Log.Confirm(ctx); err != nil {
		return nil, err
	}
	state, _, err := l.enter()
	if err != nil {
		return nil, err
	}
	defer l.mu.Unlock()
	s := &Sink{
		leader: l, incarnation: request.GetIncarnation(), term: l.term, index: request.GetFromIndex(),
		kick: make(chan struct{}, 1), gone: make(chan struct{}),
	}
	if s.incarnation == 0 {
		return s, nil
	}
	if state.Node(s.incarnation) == nil {
		return nil, ErrRegisterAnew
	}
	if before := l.sinks[s.incarnation]; before != nil {
		close(before.gone)
	}
	l.sinks[s.incarnation] = s
	for _, at := range sortedKeys(l.moves) {
		if m := l.moves[at]; m.from == s.incarnation {
			s.orders = append(s.orders, m.order(at))
		}
	}
	return s, nil
}

// Close ends the stream.
func (s *Sink) Close() {
	s.leader.mu.Lock()
	defer s.leader.mu.Unlock()
	if s.leader.sinks[s.incarnation] == s {
		delete(s.leader.sinks, s.incarnation)
	}
}

// Kicked gets a value when Next has something new beside changed state.
func (s *Sink) Kicked() <-chan struct{} { return s.kick }

// Gone is closed when the node opened another stream.
func (s *Sink) Gone() <-chan struct{} { return s.gone }

// Pause returns how long the stream should wait after an update, unless it is
// kicked. It is 100 µs for each stream at the time of the latest Next.
func (s *Sink) Pause() time.Duration { return s.pause }

// Next returns what the node lacks, nil if nothing. Request ids stand in the
// same update as the assignment that they belong to.
func (s *Sink) Next() (*wirev1.Update, error) {
	l := s.leader
	state, _, err := l.enter()
	if err != nil {
		return nil, err
	}
	select {
	case <-s.gone:
		l.mu.Unlock()
		return nil, ErrReplaced
	default:
	}
	orders := s.takeOrders()
	// If the term changed without this stream noticing, orders of the new term
	// were queued on it; those of the old one are void.
	s.term = l.term
	s.pause = time.Duration(len(l.sinks)) * updateShare
	l.mu.Unlock()
	// Renewals need the lock too, so updates are made without it.
	change := l.updated.since(state, s.index)
	if !s.started && change == nil {
		// The first message also tells the node that the stream works.
		change = &wirev1.Update{Index: state.Index()}
	}
	s.started = true
	if change == nil && len(orders) == 0 {
		return nil, nil
	}
	update := &wirev1.Update{Index: state.Index(), Releases: orders}
	switch {
	case change != nil && len(orders) == 0 && !s.concerned(change):
		// The same message for all streams, so that it is encoded once.
		update = change
	case change != nil:
		update = &wirev1.Update{
			Index: change.GetIndex(), Snapshot: change.GetSnapshot(), Nodes: change.GetNodes(), RemovedNodes: change.GetRemovedNodes(),
			Assignments: change.GetAssignments(), Rules: change.GetRules(), Releases: orders,
		}
		l.mu.Lock()
		s.attachMoved(update)
		l.mu.Unlock()
	}
	s.index = max(s.index, update.GetIndex())
	return update, nil
}

// concerned reports whether an update has planned assignments to the node.
func (s *Sink) concerned(update *wirev1.Update) bool {
	return slices.ContainsFunc(update.GetAssignments(), func(a *wirev1.Assignment) bool {
		return a.GetOwner() == s.incarnation && a.GetPlanned()
	})
}

// changes are the updates that streams need to reach a state, by the index
// that they have. It is safe for concurrent use.
type changes struct {
	mu      sync.Mutex
	state   *cluster.State
	updates map[uint64]*wirev1.Update
}

// since returns what changed in a state after an index. Streams at the same
// index get the same message.
func (c *changes) since(state *cluster.State, index uint64) *wirev1.Update {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != state {
		c.state, c.updates = state, map[uint64]*wirev1.Update{}
	}
	update, known := c.updates[index]
	if !known {
		update = state.Since(index)
		c.updates[index] = update
	}
	return update
}

func (s *Sink) takeOrders() []*wirev1.Release {
	orders := s.orders
	s.orders = nil
	return orders
}

// attachMoved adds the request ids of partitions that came to the node. A
// planned assignment whose ids are not here (a change of leader lost them) is
// shown to its new owner as not planned. The lock is held.
func (s *Sink) attachMoved(update *wirev1.Update) {
	if s.incarnation == 0 {
		return
	}
	copied := false
	for i, a := range update.GetAssignments() {
		if a.GetOwner() != s.incarnation || !a.GetPlanned() {
			continue
		}
		if moved, found := s.leader.moved.find(a); found {
			update.MovedRequests = append(update.MovedRequests, moved)
			continue
		}
		if !copied {
			update.Assignments = slices.Clone(update.GetAssignments())
			copied = true
		}
		update.Assignments[i] = &wirev1.Assignment{
			Upstream: a.GetUpstream(), Partition: a.GetPartition(), Owner: a.GetOwner(), Epoch: a.GetEpoch(),
			SinceIndex: a.GetSinceIndex(), SinceUnixMs: a.GetSinceUnixMs(), Reason: a.GetReason(),
		}
	}
}

// send queues a release order for a node's stream, if it has one. Otherwise
// the order is sent when the stream opens.
func (l *Leader) send(incarnation uint64, order *wirev1.Release) {
	s := l.sinks[incarnation]
	if s == nil {
		return
	}
	s.orders = append(s.orders, order)
	select {
	case s.kick <- struct{}{}:
	default:
	}
}
