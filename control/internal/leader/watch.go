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

// ErrStreamReplaced ends a watch stream whose node has opened another one. The
// connection of the earlier stream may be half-open.
var ErrStreamReplaced = errors.New("replaced by another watch stream of the same node")

const (
	// snapshotWaitLimit is how long a node that renews stays registered without a
	// lease while it waits for a snapshot.
	snapshotWaitLimit = 5 * time.Second
	// largeUpdateRecords is the number of records above which an update is treated
	// like a snapshot. An update for the loss of one fifth of 16,384 partitions
	// has fewer records. That update is the same for all nodes and must not wait.
	largeUpdateRecords = 8192
	// largeUpdateMaxAge is how long a snapshot or large update is reused before a
	// newer one is made. Later changes follow in another update. Without reuse,
	// hundreds of nodes that register each get a snapshot of their own, which is
	// encoded and compressed for one node only.
	largeUpdateMaxAge = 500 * time.Millisecond
)

const (
	// pausePerStream is multiplied by the number of streams to get the pause of a
	// stream after an update. It limits the updates of all streams together to
	// 4,000 per second for each processor core that the member may use. Changes
	// during the pause are sent as one update. Without the pause, the
	// registrations of 610 nodes within a second cause 372,000 updates, and
	// renewals and heartbeats are late.
	pausePerStream = 250 * time.Microsecond
	// pausePerRecord is added to pausePerStream for each record of the update,
	// because a node copies its table to apply an update. Without this part, the
	// loss of many leases causes 10,000 updates/s, and the nodes that receive them
	// have no processor time left to renew their leases.
	pausePerRecord = 100 * time.Nanosecond
	// compactMinAssignments is the number of assignments in an update from which
	// joining them saves more than it costs.
	compactMinAssignments = 64
	// maxPause limits the pause, so that two large updates are sent well within
	// the 3 s allowed for the loss of a node.
	maxPause = 500 * time.Millisecond
)

// WatchStream is one watch stream of a node. Its methods must be called from
// one goroutine.
type WatchStream struct {
	leader      *Leader
	incarnation uint64
	term        uint64
	index       uint64
	// openedIndex is the index of the state when the stream was opened. The node
	// may have given up partitions before it opened the stream, so no older state
	// is sent.
	openedIndex uint64
	started     bool
	pause       time.Duration
	// hasMore is whether the latest update was older than the state.
	hasMore bool
	// snapshotSince is when the stream started to wait for sending a snapshot. It
	// is zero if the stream neither waits nor sends one. It is guarded by the
	// leader's mu.
	snapshotSince time.Time
	// notifications gets a value when there are new release orders or rules.
	notifications chan struct{}
	// replaced is closed when the node opens another stream.
	replaced chan struct{}
	// releases are the release orders to send, guarded by the leader's mu.
	releases []*wirev1.Release
}

// Watch opens a stream of updates for a node that has all changes up to an
// index. Incarnation 0 gets updates without release orders and request ids.
func (l *Leader) Watch(ctx context.Context, request *wirev1.WatchRequest) (*WatchStream, error) {
	if err := l.config.Log.Confirm(ctx); err != nil {
		return nil, err
	}
	state, _, err := l.lockCurrentTerm()
	if err != nil {
		return nil, err
	}
	defer l.mu.Unlock()
	s := &WatchStream{
		leader: l, incarnation: request.GetIncarnation(), term: l.term, index: request.GetFromIndex(), openedIndex: state.Index(),
		notifications: make(chan struct{}, 1), replaced: make(chan struct{}),
	}
	if s.incarnation == 0 {
		return s, nil
	}
	if state.Node(s.incarnation) == nil {
		return nil, ErrLeaseEnded
	}
	if earlier := l.streams[s.incarnation]; earlier != nil {
		close(earlier.replaced)
	}
	l.streams[s.incarnation] = s
	for _, id := range sortedPartitions(l.moves) {
		if m := l.moves[id]; m.from == s.incarnation {
			s.releases = append(s.releases, m.order(id))
		}
	}
	return s, nil
}

// Close ends the stream.
func (s *WatchStream) Close() {
	s.leader.mu.Lock()
	defer s.leader.mu.Unlock()
	if s.leader.streams[s.incarnation] == s {
		delete(s.leader.streams, s.incarnation)
	}
}

// Notified returns a channel that gets a value when Next has something that
// must not wait for the pause: release orders or rules.
func (s *WatchStream) Notified() <-chan struct{} { return s.notifications }

// Replaced returns a channel that is closed when the node has opened another
// stream.
func (s *WatchStream) Replaced() <-chan struct{} { return s.replaced }

// AwaitSnapshot reports whether Next will return a snapshot or a large update.
// If so, the node stays registered while it renews, until SnapshotSent is
// called or 5 s have passed.
func (s *WatchStream) AwaitSnapshot() (bool, error) {
	state, now, err := s.leader.lockCurrentTerm()
	if err != nil {
		return false, err
	}
	defer s.leader.mu.Unlock()
	if _, large := updateBase(state, s.index); !large {
		return false, nil
	}
	s.snapshotSince = now
	return true, nil
}

// SnapshotSent marks the end of the wait that AwaitSnapshot started.
func (s *WatchStream) SnapshotSent() {
	s.leader.mu.Lock()
	defer s.leader.mu.Unlock()
	s.snapshotSince = time.Time{}
}

// awaitsSnapshot reports whether a node's stream has waited for a snapshot for
// less than snapshotWaitLimit.
func (l *Leader) awaitsSnapshot(incarnation uint64, now time.Time) bool {
	s := l.streams[incarnation]
	return s != nil && !s.snapshotSince.IsZero() && now.Sub(s.snapshotSince) < snapshotWaitLimit
}

// Pause returns how long the stream should wait after the latest update, unless
// Notified gets a value. The pause is 250 µs plus 100 ns for each record of the
// update. This sum is multiplied by the number of streams and divided by
// Config.ProcessorShare. The result is at most 500 ms.
func (s *WatchStream) Pause() time.Duration { return s.pause }

// HasMore reports whether the latest update was older than the state, so that
// Next has another update.
func (s *WatchStream) HasMore() bool { return s.hasMore }

// Next returns an update with what the node does not have yet, nil if there is
// nothing. Request ids are in the same update as the assignment that they
// belong to.
func (s *WatchStream) Next() (*wirev1.Update, error) {
	l := s.leader
	state, now, err := l.lockCurrentTerm()
	if err != nil {
		return nil, err
	}
	select {
	case <-s.replaced:
		l.mu.Unlock()
		return nil, ErrStreamReplaced
	default:
	}
	// Release orders refer to the newest table, so they are sent after a large
	// update.
	_, large := updateBase(state, s.index)
	var releases []*wirev1.Release
	if !large {
		releases = s.takeReleases()
	}
	// If the term changed since the latest update, orders of the new term may be
	// queued on this stream. Those of the old term are void.
	s.term = l.term
	streams := len(l.streams)
	l.mu.Unlock()
	// Renewals need the lock too, so the update is made without it.
	change := l.updateCache.since(state, s.index, s.openedIndex, now)
	if !s.started && change == nil {
		// The first message also informs the node that the stream works.
		change = &wirev1.Update{Index: state.Index()}
	}
	s.started = true
	if change == nil && len(releases) == 0 {
		return nil, nil
	}
	update := &wirev1.Update{Index: state.Index(), Releases: releases}
	switch {
	case change != nil && len(releases) == 0 && !s.hasPlannedAssignment(change):
		// All streams send the same message, so that it is encoded once.
		update = change
	case change != nil:
		update = &wirev1.Update{
			Index: change.GetIndex(), Snapshot: change.GetSnapshot(), Nodes: change.GetNodes(), RemovedNodes: change.GetRemovedNodes(),
			Assignments: change.GetAssignments(), Rules: change.GetRules(), Releases: releases,
		}
		l.mu.Lock()
		s.attachMovedRequests(update)
		l.mu.Unlock()
	}
	records := len(update.GetNodes()) + len(update.GetRemovedNodes()) + len(update.GetAssignments())
	s.pause = l.pause(streams, records)
	s.index = max(s.index, update.GetIndex())
	s.hasMore = s.index < state.Index() || large
	return update, nil
}

// pause returns how long each of a number of streams waits after an update. The
// pause is inversely proportional to the member's share of a processor core,
// because sending takes that much longer with a smaller share. Without this
// factor and with a quarter of a core, accepted rules reached 76 nodes 1.4 s
// late while many partitions moved.
func (l *Leader) pause(streams, records int) time.Duration {
	pause := time.Duration(streams) * (pausePerStream + time.Duration(records)*pausePerRecord)
	return min(maxPause, time.Duration(float64(pause)/l.config.ProcessorShare))
}

// hasPlannedAssignment reports whether an update has planned assignments to the
// stream's node.
func (s *WatchStream) hasPlannedAssignment(update *wirev1.Update) bool {
	return slices.ContainsFunc(update.GetAssignments(), func(a *wirev1.Assignment) bool {
		return a.GetOwner() == s.incarnation && a.GetPlanned()
	})
}

// updateCache keeps the updates that streams need to reach a state, by the
// index that they start from. It is safe for concurrent use.
type updateCache struct {
	mu      sync.Mutex
	state   *cluster.State
	updates map[uint64]*wirev1.Update
	// large has snapshots and large updates, which are reused for later states
	// too.
	large map[uint64]largeUpdate
}

type largeUpdate struct {
	update    *wirev1.Update
	createdAt time.Time
	// revision is the rules revision of the update. Nodes get only the newest
	// one.
	revision uint64
}

// updateBase returns the index that an update starts from, 0 for a snapshot,
// and whether the update is a snapshot or a large update.
func updateBase(state *cluster.State, index uint64) (uint64, bool) {
	base, records := state.UpdateBase(index)
	return base, base == 0 || records > largeUpdateRecords
}

// since returns what changed in a state after an index. Streams get the same
// message where possible, so it may include changes that the node already has.
// A snapshot or large update may be up to 500 ms old, but its index is at least
// openedIndex.
func (c *updateCache) since(state *cluster.State, index, openedIndex uint64, now time.Time) *wirev1.Update {
	if index != 0 && index == state.Index() {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	base, large := updateBase(state, index)
	if large {
		f := c.large[base]
		if f.revision == state.Revision() && f.update.GetIndex() > index && f.update.GetIndex() >= openedIndex && now.Sub(f.createdAt) < largeUpdateMaxAge && state.KeepsChangesSince(f.update.GetIndex()) {
			return f.update
		}
	}
	if c.state != state {
		c.state, c.updates = state, map[uint64]*wirev1.Update{}
	}
	update, found := c.updates[base]
	if !found {
		update = compact(state.UpdateSince(base))
		c.updates[base] = update
	}
	if large && update != nil {
		maps.DeleteFunc(c.large, func(_ uint64, f largeUpdate) bool { return now.Sub(f.createdAt) >= largeUpdateMaxAge })
		if c.large == nil {
			c.large = map[uint64]largeUpdate{}
		}
		c.large[base] = largeUpdate{update, now, state.Revision()}
	}
	return update
}

// compact joins the assignments of adjacent partitions that are equal in all
// fields that a node needs, and omits the other fields. Assignments of planned
// moves are unchanged, because their request ids are attached to them.
func compact(update *wirev1.Update) *wirev1.Update {
	if len(update.GetAssignments()) < compactMinAssignments {
		return update
	}
	joined := make([]*wirev1.Assignment, 0, len(update.GetAssignments())/2)
	for _, a := range update.GetAssignments() {
		if a.GetPlanned() {
			joined = append(joined, a)
			continue
		}
		if n := len(joined); n > 0 && canJoin(joined[n-1], a) {
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

// canJoin reports whether an assignment can be joined to an earlier one.
func canJoin(earlier, a *wirev1.Assignment) bool {
	return !earlier.GetPlanned() && earlier.GetUpstream() == a.GetUpstream() && earlier.GetPartition()+earlier.GetFollowing()+1 == a.GetPartition() &&
		earlier.GetOwner() == a.GetOwner() && earlier.GetEpoch() == a.GetEpoch() && earlier.GetSinceIndex() == a.GetSinceIndex() &&
		earlier.GetHandover() == a.GetHandover()
}

func (s *WatchStream) takeReleases() []*wirev1.Release {
	releases := s.releases
	s.releases = nil
	return releases
}

// attachMovedRequests adds the request ids of partitions that moved to the
// node. If the request ids of a planned assignment were lost by a change of
// leader, its new owner gets it as not planned. The caller holds the leader's
// mu.
func (s *WatchStream) attachMovedRequests(update *wirev1.Update) {
	if s.incarnation == 0 {
		return
	}
	copied := false
	for i, a := range update.GetAssignments() {
		if a.GetOwner() != s.incarnation || !a.GetPlanned() {
			continue
		}
		if moved, found := s.leader.movedRequests.find(a); found {
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

// queueRelease queues a release order on a node's stream. If the node has no
// stream, the order is sent when it opens one.
func (l *Leader) queueRelease(incarnation uint64, order *wirev1.Release) {
	s := l.streams[incarnation]
	if s == nil {
		return
	}
	s.releases = append(s.releases, order)
	s.wake()
}

// wake makes the stream send its next update without waiting for the rest of
// its pause.
func (s *WatchStream) wake() {
	select {
	case s.notifications <- struct{}{}:
	default:
	}
}
