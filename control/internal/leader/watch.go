package leader

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/core/cluster"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// ErrStreamReplaced ends a watch stream whose node opened another one. The first
// may be half-open.
var ErrStreamReplaced = errors.New("replaced by another watch stream of the same node")

const (
	// snapshotWait is how long a node that renews keeps its place while it
	// waits for a snapshot.
	snapshotWait = 5 * time.Second
	// farRecords is the size of updates that are treated as snapshots are. The
	// loss of one fifth of 16,384 partitions is below it: those updates are the
	// same for all nodes and must not wait.
	farRecords = 8192
	// farAge is how long a snapshot is sent before a newer one is made. What
	// changed since follows. Without it each of hundreds of nodes that register
	// gets another snapshot, encoded and compressed for it alone.
	farAge = 500 * time.Millisecond
)

const (
	// updateShare bounds the updates of all streams together to 4,000 a second for
	// each core of the leader's VM: a stream waits this long after an update for
	// each stream that there is, and what changes meanwhile is one update. Without
	// it the registrations of 610 nodes within a second are 372,000 updates, and
	// renewals and heartbeats come too late.
	updateShare = 250 * time.Microsecond
	// recordShare is added for each record of the update: a node copies its
	// table for them, and 10,000 updates/s of a storm of lost leases leave nodes
	// no processor time to renew theirs.
	recordShare = 100 * time.Nanosecond
	// compactFrom is the number of assignments from which joining them saves more
	// than it costs.
	compactFrom = 64
	// maxPause keeps two large updates well within the 3 s for a lost node.
	maxPause = 500 * time.Millisecond
)

// WatchStream is one watch stream of a node. Its methods are for one goroutine.
type WatchStream struct {
	leader      *Leader
	incarnation uint64
	term        uint64
	index       uint64
	// opened is the index of the state when the stream was opened. The node may
	// have given up partitions before it, so nothing older is sent.
	opened  uint64
	started bool
	pause   time.Duration
	// more is whether the latest update was older than the state.
	more bool
	// waiting is since when the stream waits for its turn to send a snapshot,
	// or sends it, zero if it does not. It is guarded by the leader's lock.
	waiting time.Time
	// kick gets a value when there are new orders; gone is closed when the
	// node opens another stream.
	kick chan struct{}
	gone chan struct{}
	// orders are guarded by the leader's lock.
	orders []*wirev1.Release
}

// Watch opens a stream of updates for a node that has everything up to an
// index. Incarnation 0 gets updates alone.
func (l *Leader) Watch(ctx context.Context, request *wirev1.WatchRequest) (*WatchStream, error) {
	if err := l.config.Log.Confirm(ctx); err != nil {
		return nil, err
	}
	state, _, err := l.enter()
	if err != nil {
		return nil, err
	}
	defer l.mu.Unlock()
	s := &WatchStream{
		leader: l, incarnation: request.GetIncarnation(), term: l.term, index: request.GetFromIndex(), opened: state.Index(),
		kick: make(chan struct{}, 1), gone: make(chan struct{}),
	}
	if s.incarnation == 0 {
		return s, nil
	}
	if state.Node(s.incarnation) == nil {
		return nil, ErrLeaseEnded
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
func (s *WatchStream) Close() {
	s.leader.mu.Lock()
	defer s.leader.mu.Unlock()
	if s.leader.sinks[s.incarnation] == s {
		delete(s.leader.sinks, s.incarnation)
	}
}

// Notified gets a value when Next has something new beside changed state.
func (s *WatchStream) Notified() <-chan struct{} { return s.kick }

// Replaced is closed when the node opened another stream.
func (s *WatchStream) Replaced() <-chan struct{} { return s.gone }

// AwaitSnapshot reports whether Next will return a snapshot, or an update of
// that size. If so, the node
// keeps its place in the group until SnapshotSent, for at most 5 s.
func (s *WatchStream) AwaitSnapshot() (bool, error) {
	state, now, err := s.leader.enter()
	if err != nil {
		return false, err
	}
	defer s.leader.mu.Unlock()
	if _, far := baseOf(state, s.index); !far {
		return false, nil
	}
	s.waiting = now
	return true, nil
}

// SnapshotSent ends what AwaitSnapshot began.
func (s *WatchStream) SnapshotSent() {
	s.leader.mu.Lock()
	defer s.leader.mu.Unlock()
	s.waiting = time.Time{}
}

// awaitsSnapshot reports whether a node's stream waits for a snapshot.
func (l *Leader) awaitsSnapshot(incarnation uint64, now time.Time) bool {
	s := l.sinks[incarnation]
	return s != nil && !s.waiting.IsZero() && now.Sub(s.waiting) < snapshotWait
}

// Pause returns how long the stream should wait after the latest update, unless
// it is kicked: 250 µs and 100 ns for each record, times the number of streams,
// at most 500 ms.
func (s *WatchStream) Pause() time.Duration { return s.pause }

// HasMore reports whether the latest update was not the newest state, so that Next
// has another one.
func (s *WatchStream) HasMore() bool { return s.more }

// Next returns what the node lacks, nil if nothing. Request ids stand in the
// same update as the assignment that they belong to.
func (s *WatchStream) Next() (*wirev1.Update, error) {
	l := s.leader
	state, now, err := l.enter()
	if err != nil {
		return nil, err
	}
	select {
	case <-s.gone:
		l.mu.Unlock()
		return nil, ErrStreamReplaced
	default:
	}
	// Orders rest on the table, so they wait for the newest one.
	_, far := baseOf(state, s.index)
	var orders []*wirev1.Release
	if !far {
		orders = s.takeOrders()
	}
	// If the term changed without this stream noticing, orders of the new term
	// were queued on it; those of the old one are void.
	s.term = l.term
	streams := len(l.sinks)
	l.mu.Unlock()
	// Renewals need the lock too, so updates are made without it.
	change := l.updated.since(state, s.index, s.opened, now)
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
	records := len(update.GetNodes()) + len(update.GetRemovedNodes()) + len(update.GetAssignments())
	s.pause = l.pause(streams, records)
	s.index = max(s.index, update.GetIndex())
	s.more = s.index < state.Index() || far
	return update, nil
}

// pause returns how long each of a number of streams waits after an update. On
// a part of a core sending takes as much longer: with a quarter of one, accepted
// rules reached 76 nodes 1.4 s late while many partitions moved.
func (l *Leader) pause(streams, records int) time.Duration {
	share := time.Duration(streams) * (updateShare + time.Duration(records)*recordShare)
	return min(maxPause, time.Duration(float64(share)/l.config.ProcessorShare))
}

// concerned reports whether an update has planned assignments to the node.
func (s *WatchStream) concerned(update *wirev1.Update) bool {
	return slices.ContainsFunc(update.GetAssignments(), func(a *wirev1.Assignment) bool {
		return a.GetOwner() == s.incarnation && a.GetPlanned()
	})
}

// changes are the updates that streams need to reach a state, by the index
// from which they are made. It is safe for concurrent use.
type changes struct {
	mu      sync.Mutex
	state   *cluster.State
	updates map[uint64]*wirev1.Update
	// far has snapshots and large updates, which outlast a state.
	far map[uint64]farUpdate
}

type farUpdate struct {
	update *wirev1.Update
	made   time.Time
	// revision of the rules at the update: nodes get no other than the newest.
	revision uint64
}

// baseOf returns the index from which an update is made, 0 for a snapshot, and
// whether it is a snapshot or of that size.
func baseOf(state *cluster.State, index uint64) (uint64, bool) {
	base, records := state.UpdateBase(index)
	return base, base == 0 || records > farRecords
}

// since returns what changed in a state after an index. Streams get the same
// message where possible: it may have changes that the node has, and a far one
// may be up to 500 ms old, but not older than the index opened.
func (c *changes) since(state *cluster.State, index, opened uint64, now time.Time) *wirev1.Update {
	if index != 0 && index == state.Index() {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	base, far := baseOf(state, index)
	if far {
		f := c.far[base]
		if f.revision == state.Revision() && f.update.GetIndex() > index && f.update.GetIndex() >= opened && now.Sub(f.made) < farAge && state.KeepsChangesSince(f.update.GetIndex()) {
			return f.update
		}
	}
	if c.state != state {
		c.state, c.updates = state, map[uint64]*wirev1.Update{}
	}
	update, known := c.updates[base]
	if !known {
		update = compact(state.UpdateSince(base))
		c.updates[base] = update
	}
	if far && update != nil {
		maps.DeleteFunc(c.far, func(_ uint64, f farUpdate) bool { return now.Sub(f.made) >= farAge })
		if c.far == nil {
			c.far = map[uint64]farUpdate{}
		}
		c.far[base] = farUpdate{update, now, state.Revision()}
	}
	return update
}

// compact joins the assignments of neighbouring partitions that differ in
// nothing a node needs, and leaves out what nodes do not need. Assignments of
// planned moves stay as they are, because their request ids are attached.
func compact(update *wirev1.Update) *wirev1.Update {
	if len(update.GetAssignments()) < compactFrom {
		return update
	}
	joined := make([]*wirev1.Assignment, 0, len(update.GetAssignments())/2)
	for _, a := range update.GetAssignments() {
		if a.GetPlanned() {
			joined = append(joined, a)
			continue
		}
		if n := len(joined); n > 0 && follows(joined[n-1], a) {
			joined[n-1].Following++
			continue
		}
		joined = append(joined, &wirev1.Assignment{
			Upstream: a.GetUpstream(), Partition: a.GetPartition(), Owner: a.GetOwner(), Epoch: a.GetEpoch(),
			SinceIndex: a.GetSinceIndex(), Handover: a.GetHandover(),
		})
	}
	return &wirev1.Update{
		Index: update.GetIndex(), Snapshot: update.GetSnapshot(), Nodes: update.GetNodes(), RemovedNodes: update.GetRemovedNodes(),
		Assignments: joined, Rules: update.GetRules(),
	}
}

// follows reports whether an assignment can be joined to one before it.
func follows(before, a *wirev1.Assignment) bool {
	return !before.GetPlanned() && before.GetUpstream() == a.GetUpstream() && before.GetPartition()+before.GetFollowing()+1 == a.GetPartition() &&
		before.GetOwner() == a.GetOwner() && before.GetEpoch() == a.GetEpoch() && before.GetSinceIndex() == a.GetSinceIndex() &&
		before.GetHandover() == a.GetHandover()
}

func (s *WatchStream) takeOrders() []*wirev1.Release {
	orders := s.orders
	s.orders = nil
	return orders
}

// attachMoved adds the request ids of partitions that came to the node. A
// planned assignment whose ids are not here (a change of leader lost them) is
// shown to its new owner as not planned. The lock is held.
func (s *WatchStream) attachMoved(update *wirev1.Update) {
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
			SinceIndex: a.GetSinceIndex(), SinceUnixMs: a.GetSinceUnixMs(), Reason: a.GetReason(), Handover: a.GetHandover(),
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
	s.wake()
}

// wake makes the stream send before its pause is over.
func (s *WatchStream) wake() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}
