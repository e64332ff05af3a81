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

// Grant is a message from a node to its backend server about the partitions of
// one lease. There are three kinds. A whole grant replaces all partitions that
// were granted before. A delta has a Base. A message that is neither whole nor
// a delta only extends the expiry of the current version.
type Grant struct {
	Upstream string `json:"upstream"`
	// Lease is the incarnation of the node.
	Lease uint64 `json:"lease"`
	// Sequence increases with each message of a lease.
	Sequence uint64 `json:"sequence"`
	// Version increases with each change of the partitions.
	Version uint64 `json:"version"`
	// Base is the version that a delta applies to, 0 for other messages.
	Base uint64 `json:"base,omitempty"`
	// Whole is true if Partitions are all partitions of the lease.
	Whole bool `json:"whole,omitempty"`
	// ExpiryMs is the time until the grant of all partitions expires, in
	// milliseconds. 0 ends it at once.
	ExpiryMs int64 `json:"expiryMs"`
	// EndsAtMs is the same expiry by the backend server's own clock, in
	// milliseconds, for backend servers that report their clock. It keeps a
	// delayed message from extending the grant beyond the end of the lease. 0
	// means that the clock is not known.
	EndsAtMs int64 `json:"endsAtMs,omitempty"`
	// Partitions are the partitions that this message grants.
	Partitions []GrantedPartition `json:"partitions,omitempty"`
	// Closed are the partitions that a delta withdraws.
	Closed []GrantedPartition `json:"closed,omitempty"`
}

// GrantAnswer is the answer of a backend server to a Grant. Error is empty if
// the grant was applied. Lease and Version are those in force at the server.
type GrantAnswer struct {
	Error   GrantError `json:"error,omitempty"`
	Lease   uint64     `json:"lease"`
	Version uint64     `json:"version"`
}

// GrantError says why a grant was not applied.
type GrantError string

// Errors of grants.
const (
	// GrantUnknownVersion means that the message is based on another version
	// than the one in force, so that a whole grant is needed.
	GrantUnknownVersion GrantError = "unknownVersion"
	// GrantStale means that a later message or a later lease was received
	// before.
	GrantStale GrantError = "stale"
)

// GrantSender makes the messages to the backend server, one at a time: Next
// must not be called again before Answered or Failed. The zero value has no
// lease. It is not safe for concurrent use.
type GrantSender struct {
	upstream string
	lease    uint64
	ended    bool
	// granted are the epochs of the partitions of the lease.
	granted map[uint32]uint64
	// added and removed are the changes since the version that was sent last.
	added, removed map[uint32]uint64
	sequence       uint64
	version        uint64
	// confirmed is true if the backend server is known to have the version.
	confirmed bool
	// confirmedUntil is the end of the lease that the backend server confirmed.
	confirmedUntil time.Time
	// clock is a reading of the backend server's clock that arrived at clockAt.
	// The server took it at that time or earlier.
	clock   time.Duration
	clockAt time.Time
	// sent is the latest message and the end of the lease in it.
	sent struct {
		grant Grant
		until time.Time
	}
}

// AddPartitions adds partitions of a lease. A higher lease than the current one
// replaces it and starts without partitions. Partitions of a lower lease, of a
// lease that has ended and of lease 0 are ignored.
func (s *GrantSender) AddPartitions(lease uint64, upstream string, partitions ...GrantedPartition) {
	if lease == 0 || lease < s.lease || lease == s.lease && s.ended {
		return
	}
	if lease > s.lease || s.granted == nil {
		*s = GrantSender{
			lease: lease, upstream: upstream, granted: map[uint32]uint64{}, added: map[uint32]uint64{}, removed: map[uint32]uint64{},
			clock: s.clock, clockAt: s.clockAt,
		}
	}
	for _, p := range partitions {
		if p.Epoch > s.granted[p.Partition] {
			s.granted[p.Partition], s.added[p.Partition] = p.Epoch, p.Epoch
		}
	}
}

// SetServerClock records a reading of the backend server's steady clock that
// arrived now. 0 means that the server does not report its clock.
func (s *GrantSender) SetServerClock(now time.Time, clock time.Duration) {
	s.clock, s.clockAt = clock, now
}

// RemovePartitions removes partitions from the lease. A partition that is
// granted at a higher epoch stays.
func (s *GrantSender) RemovePartitions(partitions ...GrantedPartition) {
	for _, p := range partitions {
		if epoch, granted := s.granted[p.Partition]; granted && epoch <= p.Epoch {
			delete(s.granted, p.Partition)
			delete(s.added, p.Partition)
			s.removed[p.Partition] = max(p.Epoch, s.removed[p.Partition])
		}
	}
}

// EndLease ends the lease and removes all its partitions for good.
func (s *GrantSender) EndLease() {
	s.ended, s.confirmed = true, false
	clear(s.granted)
}

// pending reports whether there is anything to send for a lease that ends at a
// time.
func (s *GrantSender) pending(until time.Time) bool {
	switch {
	case !s.confirmed:
		// If nothing was sent, there is nothing to withdraw.
		return len(s.granted) > 0 || s.version > 0
	case len(s.added)+len(s.removed) > 0:
		return true
	default:
		return len(s.granted) > 0 && until.After(s.confirmedUntil)
	}
}

// Next returns the next message for a lease that ends at a time. It reports
// false if there is nothing to send.
func (s *GrantSender) Next(now, until time.Time) (Grant, bool) {
	if !s.pending(until) || !s.ended && !until.After(now) {
		return Grant{}, false
	}
	s.sequence++
	g := Grant{Upstream: s.upstream, Lease: s.lease, Sequence: s.sequence}
	if !s.ended {
		g.ExpiryMs = max(1, until.Sub(now).Milliseconds())
		if s.clock > 0 {
			g.EndsAtMs = (s.clock + until.Sub(s.clockAt)).Milliseconds()
		}
	}
	switch {
	case !s.confirmed:
		s.version++
		g.Whole, g.Partitions = true, sortedPartitions(s.granted)
	case len(s.added)+len(s.removed) > 0:
		g.Base = s.version
		s.version++
		g.Partitions, g.Closed = sortedPartitions(s.added), sortedPartitions(s.removed)
	}
	if g.Whole || g.Base > 0 {
		clear(s.added)
		clear(s.removed)
	}
	g.Version = s.version
	s.sent.grant, s.sent.until = g, until
	return g, true
}

// Answered handles the answer to the latest message and reports whether a whole
// grant must be sent at once.
func (s *GrantSender) Answered(a GrantAnswer) (again bool) {
	g := &s.sent.grant
	if g.Lease != s.lease {
		// A later lease has replaced the one of the message.
		return false
	}
	if a.Error == "" && a.Lease == g.Lease && a.Version == g.Version {
		// A message that was made before EndLease does not tell the backend
		// server about the end of the lease.
		s.confirmed, s.confirmedUntil = !s.ended || g.ExpiryMs == 0, s.sent.until
		return false
	}
	s.confirmed = false
	return a.Error == GrantUnknownVersion && !g.Whole
}

// Failed records that the latest message may or may not have arrived.
func (s *GrantSender) Failed() {
	if g := &s.sent.grant; g.Lease == s.lease && (g.Whole || g.Base > 0) {
		s.confirmed = false
	}
}

// sortedPartitions returns the partitions of a map of epochs, by number.
func sortedPartitions(m map[uint32]uint64) []GrantedPartition {
	list := make([]GrantedPartition, 0, len(m))
	for _, number := range slices.Sorted(maps.Keys(m)) {
		list = append(list, GrantedPartition{number, m[number]})
	}
	return list
}

// GrantReceiver is the backend server's side of grants: it records which
// partitions the server may serve, at which epoch and until when. The zero
// value has no grants. It is not safe for concurrent use.
type GrantReceiver struct {
	// ClockStart is the zero of the clock that the server reports to the node.
	// The zero time means that the server reports none.
	ClockStart time.Time

	lease, sequence, version uint64
	expires                  time.Time
	// granted are the epochs of the partitions in the current grant.
	granted map[uint32]uint64
	// fences are the highest epochs seen, by partition. They outlast grants.
	fences map[uint32]uint64
}

// Apply applies a message. A message that is refused with GrantUnknownVersion
// still advances the sequence, so that no earlier message is applied after it.
func (r *GrantReceiver) Apply(now time.Time, g Grant) GrantAnswer {
	if g.Lease < r.lease || g.Lease == r.lease && g.Sequence <= r.sequence {
		return r.answer(GrantStale)
	}
	if g.Lease > r.lease || r.granted == nil {
		r.lease, r.version, r.granted = g.Lease, 0, map[uint32]uint64{}
	}
	r.sequence = g.Sequence
	// A server that was frozen may receive extensions of a lease that has ended
	// meanwhile. Once its grant has expired, only a whole grant starts a new
	// one.
	if !g.Whole && (cmp.Or(g.Base, g.Version) != r.version || !now.Before(r.expires)) {
		return r.answer(GrantUnknownVersion)
	}
	if g.Whole {
		clear(r.granted)
	}
	for _, p := range g.Closed {
		r.ObserveToken(p.Partition, p.Epoch)
		if r.granted[p.Partition] <= p.Epoch {
			delete(r.granted, p.Partition)
		}
	}
	for _, p := range g.Partitions {
		if r.ObserveToken(p.Partition, p.Epoch) {
			r.granted[p.Partition] = p.Epoch
		}
	}
	r.version = g.Version
	r.expires = now.Add(time.Duration(g.ExpiryMs) * time.Millisecond)
	if end := r.ClockStart.Add(time.Duration(g.EndsAtMs) * time.Millisecond); g.EndsAtMs > 0 && !r.ClockStart.IsZero() && end.Before(r.expires) {
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

// ObserveToken records a fencing token of a partition. It reports false if a
// higher one was seen before.
func (r *GrantReceiver) ObserveToken(partition uint32, epoch uint64) bool {
	if epoch < r.fences[partition] {
		return false
	}
	if r.fences == nil {
		r.fences = map[uint32]uint64{}
	}
	r.fences[partition] = epoch
	return true
}

// Holds reports whether the partition is granted now at the epoch of a
// request's fencing token, so that the request may run.
func (r *GrantReceiver) Holds(now time.Time, partition uint32, epoch uint64) bool {
	e, granted := r.granted[partition]
	return granted && e == epoch && epoch >= r.fences[partition] && now.Before(r.expires)
}

// PartitionCount returns the number of partitions in the current grant, even if
// it has expired.
func (r *GrantReceiver) PartitionCount() int { return len(r.granted) }
