package leader

import (
	"time"

	"github.com/jujubeknot/jujubeknot/core/cluster"
	"github.com/jujubeknot/jujubeknot/core/placement"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

const (
	// requestRecordsWait is how long a release that was reported only by a renewal
	// waits for the report with the request ids. The node sends both at about the
	// same time. Without the request ids, the new owner has to refuse resent
	// requests.
	requestRecordsWait = 100 * time.Millisecond
	// releaseReportGrace is added to the timeout of a release, so that its report
	// can arrive.
	releaseReportGrace = 500 * time.Millisecond
	// moveDeferral is how long a partition stays with its owner after a move was
	// deferred or its release was not reported.
	moveDeferral = 5 * time.Second
	// movedRequestsRetention is how long request ids are kept for a new owner
	// that has to reconnect its watch stream.
	movedRequestsRetention = time.Minute
	// maxMovedBytes limits the total size of the request ids that are kept. Above
	// this size, the oldest ids are dropped. Their new owners are informed that
	// the request ids are missing.
	maxMovedBytes = 64 << 20
)

// move is a planned move. The old owner was ordered to release the partition.
type move struct {
	from, to  uint64
	epoch     uint64
	reason    placement.Reason
	gain      time.Duration
	startedAt time.Time
	timeout   time.Duration
}

func (m *move) order(id partitionID) *wirev1.Release {
	return &wirev1.Release{Upstream: id.upstream, Partition: id.partition, Epoch: m.epoch, TimeoutMs: uint32(m.timeout.Milliseconds())}
}

// release is a partition whose owner no longer admits requests at its epoch.
type release struct {
	epoch      uint64
	releasedAt time.Time
	// hasRecords is whether a report with the request ids has arrived.
	hasRecords bool
	records    []*wirev1.RequestRecord
	// handover is the token of the backend server that released the partition.
	handover string
}

func (r *release) ready(now time.Time) bool {
	return r.hasRecords || now.Sub(r.releasedAt) >= requestRecordsWait
}

// Released records a node's report that it released partitions, with the
// request ids for the new owners.
func (l *Leader) Released(request *wirev1.ReleasedRequest) error {
	state, now, err := l.lockCurrentTerm()
	if err != nil {
		return err
	}
	defer l.mu.Unlock()
	l.recordReleased(state, now, request.GetIncarnation(), request.GetPartitions(), request.GetMovedRequests(), true)
	return nil
}

// recordReleased records released partitions and cancels moves that the owner
// deferred. Reports may be repeated, late, or answer orders of an earlier
// leader. They need no quorum round: the owner has stopped admitting requests
// whichever member receives the report, and the assignment that follows is
// refused unless the epoch is current.
func (l *Leader) recordReleased(state *cluster.State, now time.Time, incarnation uint64, partitions []*wirev1.ReleasedPartition, movedRequests []*wirev1.MovedRequests, withRecords bool) {
	records := make(map[partitionID][]*wirev1.RequestRecord, len(movedRequests))
	for _, m := range movedRequests {
		records[partitionID{m.GetUpstream(), m.GetPartition()}] = m.GetRecords()
	}
	for _, p := range partitions {
		id := partitionID{p.GetUpstream(), p.GetPartition()}
		current := state.Assignment(id.upstream, id.partition)
		if current.GetEpoch() != p.GetEpoch() || current.GetOwner() != incarnation {
			continue
		}
		if p.GetPutOff() {
			if m := l.moves[id]; m != nil && m.epoch == p.GetEpoch() {
				l.deferMove(id, m, now, "requests did not finish in time")
			}
			continue
		}
		r := l.released[id]
		if r == nil || r.epoch != p.GetEpoch() {
			r = &release{epoch: p.GetEpoch(), releasedAt: now}
			l.released[id] = r
		}
		if p.GetHandover() != "" {
			r.handover = p.GetHandover()
		}
		if withRecords && !r.hasRecords {
			r.hasRecords, r.records = true, records[id]
		}
		l.planDue = true
		l.wake()
	}
}

// deferMove cancels a move that was not completed and defers the next move of
// the partition. If the owner releases the partition nevertheless, the report
// of the release is handled like any other.
func (l *Leader) deferMove(id partitionID, m *move, now time.Time, cause string) {
	l.config.Logger.Info().Str("upstream", id.upstream).Uint32("partition", id.partition).Uint64("from", m.from).
		Uint64("to", m.to).Uint64("epoch", m.epoch).Str("reason", string(m.reason)).Str("why", cause).Msg("move deferred")
	delete(l.moves, id)
	l.deferredUntil[id] = now.Add(moveDeferral)
	l.planDue = true
}

// pruneMoves removes moves and releases that are obsolete in the current state,
// and defers moves that have timed out.
func (l *Leader) pruneMoves(state *cluster.State, now time.Time) {
	for id, m := range l.moves {
		switch a := state.Assignment(id.upstream, id.partition); {
		case a.GetEpoch() != m.epoch || state.Node(m.from) == nil:
			delete(l.moves, id)
			l.planDue = true
		case l.released[id] == nil && now.Sub(m.startedAt) > m.timeout+releaseReportGrace:
			l.deferMove(id, m, now, "no report from the owner")
		}
	}
	for id, r := range l.released {
		if state.Assignment(id.upstream, id.partition).GetEpoch() != r.epoch {
			delete(l.released, id)
		} else if r.ready(now) {
			l.planDue = true
		}
	}
	for id, until := range l.deferredUntil {
		if !now.Before(until) {
			delete(l.deferredUntil, id)
			l.planDue = true
		}
	}
	l.movedRequests.expire(now)
}

// movedRequests keeps request ids for new owners until they have reconnected.
type movedRequests struct {
	entries map[partitionID]movedRequestsEntry
	// order has the partitions by age, the oldest first. A partition may be in it
	// more than once.
	order []movedRequestsAge
	bytes int
}

type movedRequestsEntry struct {
	epoch   uint64
	records []*wirev1.RequestRecord
	size    int
}

type movedRequestsAge struct {
	id    partitionID
	epoch uint64
	since time.Time
}

func newMovedRequests() *movedRequests {
	return &movedRequests{entries: map[partitionID]movedRequestsEntry{}}
}

// add stores the request ids that belong to a new assignment.
func (m *movedRequests) add(now time.Time, id partitionID, epoch uint64, records []*wirev1.RequestRecord) {
	m.drop(id)
	size := 64
	for _, r := range records {
		size += 64 + len(r.GetRequestId()) + len(r.GetHeader()) + len(r.GetBody())
	}
	m.entries[id] = movedRequestsEntry{epoch: epoch, records: records, size: size}
	m.order = append(m.order, movedRequestsAge{id, epoch, now})
	m.bytes += size
	for m.bytes > maxMovedBytes && len(m.order) > 1 {
		m.dropOldest()
	}
}

func (m *movedRequests) drop(id partitionID) {
	if e, found := m.entries[id]; found {
		m.bytes -= e.size
		delete(m.entries, id)
	}
}

func (m *movedRequests) dropOldest() {
	oldest := m.order[0]
	m.order = m.order[1:]
	if m.entries[oldest.id].epoch == oldest.epoch {
		m.drop(oldest.id)
	}
}

func (m *movedRequests) expire(now time.Time) {
	for len(m.order) > 0 && now.Sub(m.order[0].since) >= movedRequestsRetention {
		m.dropOldest()
	}
}

// find returns the request ids that belong to an assignment.
func (m *movedRequests) find(a *wirev1.Assignment) (*wirev1.MovedRequests, bool) {
	e, found := m.entries[partitionID{a.GetUpstream(), a.GetPartition()}]
	if !found || e.epoch != a.GetEpoch() {
		return nil, false
	}
	return &wirev1.MovedRequests{Upstream: a.GetUpstream(), Partition: a.GetPartition(), Epoch: a.GetEpoch(), Records: e.records}, true
}
