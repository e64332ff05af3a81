package leader

import (
	"time"

	"github.com/jujubeknot/jujubeknot/core/cluster"
	"github.com/jujubeknot/jujubeknot/core/placement"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

const (
	// recordsWait is how long a release that only a renewal reported waits
	// for the report with the request ids. Both are sent at about the same
	// time, and without the ids the new owner must refuse resends.
	recordsWait = 100 * time.Millisecond
	// moveGrace is added to the timeout of a release for its report to arrive.
	moveGrace = 500 * time.Millisecond
	// heldFor is how long a partition stays where it is after a move was put
	// off or not reported.
	heldFor = 5 * time.Second
	// movedFor is how long request ids are kept for a new owner that has to
	// reconnect its watch stream.
	movedFor = time.Minute
	// maxMovedBytes bounds the request ids that are kept together. Beyond it
	// the oldest are dropped; their new owners then know that they lack them.
	maxMovedBytes = 64 << 20
)

// move is a planned move whose partition the old owner has been asked to
// release.
type move struct {
	from, to uint64
	epoch    uint64
	reason   placement.Reason
	begun    time.Time
	timeout  time.Duration
}

func (m *move) order(at place) *wirev1.Release {
	return &wirev1.Release{Upstream: at.upstream, Partition: at.partition, Epoch: m.epoch, TimeoutMs: uint32(m.timeout.Milliseconds())}
}

// release is a partition whose owner admits nothing at its epoch any more.
type release struct {
	epoch uint64
	at    time.Time
	// known is whether the request ids came with the report.
	known   bool
	records []*wirev1.RequestRecord
	// handover is the token of the backend server that released.
	handover string
}

func (r *release) due(now time.Time) bool {
	return r.known || now.Sub(r.at) >= recordsWait
}

// Released handles a node's report that it released partitions, with the
// request ids that go to the new owners.
func (l *Leader) Released(request *wirev1.ReleasedRequest) error {
	state, now, err := l.enter()
	if err != nil {
		return err
	}
	defer l.mu.Unlock()
	l.takeReleased(state, now, request.GetIncarnation(), request.GetPartitions(), request.GetMovedRequests(), true)
	return nil
}

// takeReleased notes released partitions and ends moves that were put off.
// Reports may come several times, late, and for orders of an earlier leader.
// They do not need a quorum round: the owner has stopped, whoever hears of it,
// and the assignment that follows is refused unless the epoch is current.
func (l *Leader) takeReleased(state *cluster.State, now time.Time, incarnation uint64, partitions []*wirev1.ReleasedPartition, moved []*wirev1.MovedRequests, complete bool) {
	records := make(map[place][]*wirev1.RequestRecord, len(moved))
	for _, m := range moved {
		records[place{m.GetUpstream(), m.GetPartition()}] = m.GetRecords()
	}
	for _, p := range partitions {
		at := place{p.GetUpstream(), p.GetPartition()}
		current := state.Assignment(at.upstream, at.partition)
		if current.GetEpoch() != p.GetEpoch() || current.GetOwner() != incarnation {
			continue
		}
		if p.GetPutOff() {
			if m := l.moves[at]; m != nil && m.epoch == p.GetEpoch() {
				l.putOff(at, m, now, "requests did not finish in time")
			}
			continue
		}
		r := l.released[at]
		if r == nil || r.epoch != p.GetEpoch() {
			r = &release{epoch: p.GetEpoch(), at: now}
			l.released[at] = r
		}
		if p.GetHandover() != "" {
			r.handover = p.GetHandover()
		}
		if complete && !r.known {
			r.known, r.records = true, records[at]
		}
		l.dirty = true
		l.wake()
	}
}

// putOff ends a move that did not come about. If the owner releases the
// partition all the same, its report is handled like any other.
func (l *Leader) putOff(at place, m *move, now time.Time, why string) {
	l.config.Logger.Info().Str("upstream", at.upstream).Uint32("partition", at.partition).Uint64("from", m.from).
		Uint64("to", m.to).Uint64("epoch", m.epoch).Str("reason", string(m.reason)).Str("why", why).Msg("move put off")
	delete(l.moves, at)
	l.held[at] = now.Add(heldFor)
	l.dirty = true
}

// settle drops moves and releases that the state has overtaken and puts off
// those that take too long.
func (l *Leader) settle(state *cluster.State, now time.Time) {
	for at, m := range l.moves {
		switch a := state.Assignment(at.upstream, at.partition); {
		case a.GetEpoch() != m.epoch || state.Node(m.from) == nil:
			delete(l.moves, at)
			l.dirty = true
		case l.released[at] == nil && now.Sub(m.begun) > m.timeout+moveGrace:
			l.putOff(at, m, now, "no report from the owner")
		}
	}
	for at, r := range l.released {
		if state.Assignment(at.upstream, at.partition).GetEpoch() != r.epoch {
			delete(l.released, at)
		} else if r.due(now) {
			l.dirty = true
		}
	}
	for at, until := range l.held {
		if !now.Before(until) {
			delete(l.held, at)
			l.dirty = true
		}
	}
	l.moved.expire(now)
}

// movedRecords keeps request ids for new owners until they have reconnected.
type movedRecords struct {
	entries map[place]movedEntry
	// order has the places by age. A place may be in it more than once.
	order []movedAge
	bytes int
}

type movedEntry struct {
	epoch   uint64
	records []*wirev1.RequestRecord
	size    int
}

type movedAge struct {
	at    place
	epoch uint64
	since time.Time
}

func newMovedRecords() *movedRecords {
	return &movedRecords{entries: map[place]movedEntry{}}
}

// add keeps the request ids that belong to a new assignment.
func (m *movedRecords) add(now time.Time, at place, epoch uint64, records []*wirev1.RequestRecord) {
	m.drop(at)
	size := 64
	for _, r := range records {
		size += 64 + len(r.GetRequestId()) + len(r.GetHeader()) + len(r.GetBody())
	}
	m.entries[at] = movedEntry{epoch: epoch, records: records, size: size}
	m.order = append(m.order, movedAge{at, epoch, now})
	m.bytes += size
	for m.bytes > maxMovedBytes && len(m.order) > 1 {
		m.dropOldest()
	}
}

func (m *movedRecords) drop(at place) {
	if e, found := m.entries[at]; found {
		m.bytes -= e.size
		delete(m.entries, at)
	}
}

func (m *movedRecords) dropOldest() {
	oldest := m.order[0]
	m.order = m.order[1:]
	if m.entries[oldest.at].epoch == oldest.epoch {
		m.drop(oldest.at)
	}
}

func (m *movedRecords) expire(now time.Time) {
	for len(m.order) > 0 && now.Sub(m.order[0].since) >= movedFor {
		m.dropOldest()
	}
}

// find returns the request ids that belong to an assignment.
func (m *movedRecords) find(a *wirev1.Assignment) (*wirev1.MovedRequests, bool) {
	e, found := m.entries[place{a.GetUpstream(), a.GetPartition()}]
	if !found || e.epoch != a.GetEpoch() {
		return nil, false
	}
	return &wirev1.MovedRequests{Upstream: a.GetUpstream(), Partition: a.GetPartition(), Epoch: a.GetEpoch(), Records: e.records}, true
}
