package lease

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// GrantedPartition is one partition with its fencing token.
type GrantedPartition struct {
	Partition uint32 `json:"partition"`
	Epoch     uint64 `json:"epoch"`
}

// Grant is a message of a node to its backend server about the partitions of
// one lease. A whole grant replaces all that was granted before. A change
// applies to the version Base. A message without partitions extends Version.
type Grant struct {
	Upstream string `json:"upstream"`
	// Lease is the incarnation of the node.
	Lease uint64 `json:"lease"`
	// Sequence increases with each message of a lease, Version with each change
	// of the partitions.
	Sequence uint64 `json:"sequence"`
	Version  uint64 `json:"version"`
	Base     uint64 `json:"base,omitempty"`
	Whole    bool   `json:"whole,omitempty"`
	// ExpiryMs is the time until all partitions of the grant end, in
	// milliseconds. 0 ends them now.
	ExpiryMs int64 `json:"expiryMs"`
	// EndsAtMs is the same end by the backend server's own clock, for those that
	// tell it: a message that was held up grants no more than one in time. 0 means
	// that the clock is not known.
	EndsAtMs   int64              `json:"endsAtMs,omitempty"`
	Partitions []GrantedPartition `json:"partitions,omitempty"`
	Closed     []GrantedPartition `json:"closed,omitempty"`
}

// GrantAnswer is what a backend server answers to a Grant. Error is empty where
// the grant was taken; Lease and Version are those in force.
type GrantAnswer struct {
	Error   GrantError `json:"error,omitempty"`
	Lease   uint64     `json:"lease"`
	Version uint64     `json:"version"`
}

// GrantError says why a grant was not taken.
type GrantError string

// Errors of grants.
const (
	// GrantUnknownVersion: the message builds on another version than the one
	// in force, and the whole grant is needed.
	GrantUnknownVersion GrantError = "unknownVersion"
	// GrantStale: a later message or a later lease has been seen.
	GrantStale GrantError = "stale"
)

// GrantSender decides what the backend server must be told, one message at a
// time: Next must not be called again before Answered or Failed. Its zero value
// has no lease. It is not safe for concurrent use.
type GrantSender struct {
	upstream string
	lease    uint64
	over     bool
	open     map[uint32]uint64
	// opened and closed changed since the version that was sent last.
	opened, closed map[uint32]uint64
	sequence       uint64
	version        uint64
	// known is whether the backend server has the version.
	known bool
	// told is the end of the lease that the backend server knows.
	told time.Time
	// clock is what the backend server's clock showed, at the latest at seen.
	clock time.Duration
	seen  time.Time
	sent  struct {
		grant Grant
		until time.Time
	}
}

// Open adds partitions of a lease. A higher lease than before starts from
// nothing, and what belongs to a lease that is over, or to none, is ignored.
func (s *GrantSender) Open(lease uint64, upstream string, partitions ...GrantedPartition) {
	if lease == 0 || lease < s.lease || lease == s.lease && s.over {
		return
	}
	if lease > s.lease || s.open == nil {
		*s = GrantSender{
			lease: lease, upstream: upstream, open: map[uint32]uint64{}, opened: map[uint32]uint64{}, closed: map[uint32]uint64{},
			clock: s.clock, seen: s.seen,
		}
	}
	for _, p := range partitions {
		if p.Epoch > s.open[p.Partition] {
			s.open[p.Partition], s.opened[p.Partition] = p.Epoch, p.Epoch
		}
	}
}

// Clock notes what the backend server's steady clock showed when it sent what
// arrived now. 0 means that it tells no clock.
func (s *GrantSender) Clock(now time.Time, clock time.Duration) { s.clock, s.seen = clock, now }

// Close takes partitions away. One that is open at a higher epoch stays.
func (s *GrantSender) Close(partitions ...GrantedPartition) {
	for _, p := range partitions {
		if epoch, open := s.open[p.Partition]; open && epoch <= p.Epoch {
			delete(s.open, p.Partition)
			delete(s.opened, p.Partition)
			s.closed[p.Partition] = max(p.Epoch, s.closed[p.Partition])
		}
	}
}

// End takes all partitions of the lease away, for good.
func (s *GrantSender) End() {
	s.over, s.known = true, false
	clear(s.open)
}

// pending reports whether there is a message for a lease that ends at a time.
func (s *GrantSender) pending(until time.Time) bool {
	switch {
	case !s.known:
		// Where nothing was sent there is nothing to take back.
		return len(s.open) > 0 || s.version > 0
	case len(s.opened)+len(s.closed) > 0:
		return true
	default:
		return len(s.open) > 0 && until.After(s.told)
	}
}

// Next returns the next message for a lease that ends at a time, false if there
// is nothing to say.
func (s *GrantSender) Next(now, until time.Time) (Grant, bool) {
	if !s.pending(until) || !s.over && !until.After(now) {
		return Grant{}, false
	}
	s.sequence++
	g := Grant{Upstream: s.upstream, Lease: s.lease, Sequence: s.sequence}
	if !s.over {
		g.ExpiryMs = max(1, until.Sub(now).Milliseconds())
		if s.clock > 0 {
			g.EndsAtMs = (s.clock + until.Sub(s.seen)).Milliseconds()
		}
	}
	switch {
	case !s.known:
		s.version++
		g.Whole, g.Partitions = true, listed(s.open)
	case len(s.opened)+len(s.closed) > 0:
		g.Base = s.version
		s.version++
		g.Partitions, g.Closed = listed(s.opened), listed(s.closed)
	}
	if g.Whole || g.Base > 0 {
		clear(s.opened)
		clear(s.closed)
	}
	g.Version = s.version
	s.sent.grant, s.sent.until = g, until
	return g, true
}

// Answered notes the answer to the latest message and reports whether the
// whole grant must be sent at once.
func (s *GrantSender) Answered(a GrantAnswer) (again bool) {
	g := &s.sent.grant
	if g.Lease != s.lease {
		// Another lease has begun meanwhile.
		return false
	}
	if a.Error == "" && a.Lease == g.Lease && a.Version == g.Version {
		// A message that was sent before the end of the lease does not say it.
		s.known, s.told = !s.over || g.ExpiryMs == 0, s.sent.until
		return false
	}
	s.known = false
	return a.Error == GrantUnknownVersion && !g.Whole
}

// Failed notes that it is not known whether the latest message arrived.
func (s *GrantSender) Failed() {
	if g := &s.sent.grant; g.Lease == s.lease && (g.Whole || g.Base > 0) {
		s.known = false
	}
}

func listed(m map[uint32]uint64) []GrantedPartition {
	list := make([]GrantedPartition, 0, len(m))
	for _, number := range slices.Sorted(maps.Keys(m)) {
		list = append(list, GrantedPartition{number, m[number]})
	}
	return list
}

// GrantReceiver is the backend server's side: which partitions it may serve at
// which epoch until when. Its zero value holds nothing. It is not safe for
// concurrent use.
type GrantReceiver struct {
	// Started is when the clock that the server tells the node began.
	Started time.Time

	lease, sequence, version uint64
	expires                  time.Time
	granted                  map[uint32]uint64
	// fences has the highest epoch seen of each partition.
	fences map[uint32]uint64
}

// Take applies a message. One that is not taken counts as seen: messages that
// were sent before it must not be taken later.
func (r *GrantReceiver) Take(now time.Time, g Grant) GrantAnswer {
	if g.Lease < r.lease || g.Lease == r.lease && g.Sequence <= r.sequence {
		return r.answer(GrantStale)
	}
	if g.Lease > r.lease || r.granted == nil {
		r.lease, r.version, r.granted = g.Lease, 0, map[uint32]uint64{}
	}
	r.sequence = g.Sequence
	// A server that was frozen may find extensions of a lease that is over. Once
	// its grant has ended, only a whole one begins another.
	if !g.Whole && (cmp.Or(g.Base, g.Version) != r.version || !now.Before(r.expires)) {
		return r.answer(GrantUnknownVersion)
	}
	if g.Whole {
		clear(r.granted)
	}
	for _, p := range g.Closed {
		r.See(p.Partition, p.Epoch)
		if r.granted[p.Partition] <= p.Epoch {
			delete(r.granted, p.Partition)
		}
	}
	for _, p := range g.Partitions {
		if r.See(p.Partition, p.Epoch) {
			r.granted[p.Partition] = p.Epoch
		}
	}
	r.version = g.Version
	r.expires = now.Add(time.Duration(g.ExpiryMs) * time.Millisecond)
	if end := r.Started.Add(time.Duration(g.EndsAtMs) * time.Millisecond); g.EndsAtMs > 0 && !r.Started.IsZero() && end.Before(r.expires) {
		r.expires = end
	}
	if g.ExpiryMs <= 0 {
		clear(r.granted)
	}
	return r.answer("")
}

func (r *GrantReceiver) answer(err GrantError) GrantAnswer {
	return GrantAnswer{Error: err, Lease: r.lease, Version: r.version}
}

// See notes a fencing token and reports whether none that is higher was seen.
func (r *GrantReceiver) See(partition uint32, epoch uint64) bool {
	if epoch < r.fences[partition] {
		return false
	}
	if r.fences == nil {
		r.fences = map[uint32]uint64{}
	}
	r.fences[partition] = epoch
	return true
}

// Holds reports whether a request with a fencing token may run now.
func (r *GrantReceiver) Holds(now time.Time, partition uint32, epoch uint64) bool {
	granted, held := r.granted[partition]
	return held && granted == epoch && epoch >= r.fences[partition] && now.Before(r.expires)
}

// Granted returns the number of partitions.
func (r *GrantReceiver) Granted() int { return len(r.granted) }
