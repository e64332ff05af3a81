package leader

import (
	"context"
	"slices"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/core/cluster"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// ErrReplaced ends a watch stream whose node opened another one. The first
// may be half-open.
var ErrReplaced = errors.New("replaced by another watch stream of the same node")

// Sink is one watch stream of a node. Its methods are for one goroutine.
type Sink struct {
	leader      *Leader
	incarnation uint64
	term        uint64
	index       uint64
	started     bool
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

// Next returns what the node lacks, nil if nothing. Request ids stand in the
// same update as the assignment that they belong to.
func (s *Sink) Next() (*wirev1.Update, error) {
	l := s.leader
	state, _, err := l.enter()
	if err != nil {
		return nil, err
	}
	defer l.mu.Unlock()
	select {
	case <-s.gone:
		return nil, ErrReplaced
	default:
	}
	orders := s.takeOrders()
	if l.term != s.term {
		// The term changed without this stream noticing. Orders of the new
		// term were queued on it, those of the old one are void.
		s.term = l.term
	}
	change := l.since(state, s.index)
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
		s.attachMoved(update)
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

// since returns what changed in a state after an index. Streams at the same
// index get the same message. The lock is held.
func (l *Leader) since(state *cluster.State, index uint64) *wirev1.Update {
	if l.updated.state != state {
		l.updated = changes{state, map[uint64]*wirev1.Update{}}
	}
	update, known := l.updated.since[index]
	if !known {
		update = state.Since(index)
		l.updated.since[index] = update
	}
	return update
}

// changes are the updates that streams need to reach a state, by the index
// that they have.
type changes struct {
	state *cluster.State
	since map[uint64]*wirev1.Update
}

func (s *Sink) takeOrders() []*wirev1.Release {
	orders := s.orders
	s.orders = nil
	return orders
}

// attachMoved adds the request ids of partitions that came to the node. A
// planned assignment whose ids are not here (a change of leader lost them) is
// shown to its new owner as not planned.
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
			SinceIndex: a.GetSinceIndex(), Reason: a.GetReason(),
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
