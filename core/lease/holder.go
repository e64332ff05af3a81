package lease

import "time"

// maxOutstanding bounds the renewals whose answers are awaited. With the
// default interval 16 of them span four leases.
const maxOutstanding = 16

type sending struct {
	sequence uint64
	at       time.Time
}

// Holder is the node's side of the lease of one incarnation. Once the lease
// is over it stays over: a new incarnation needs a new Holder. The zero value
// has no lease and waits for the first grant. It is not safe for concurrent
// use.
type Holder struct {
	sent    [maxOutstanding]sending
	next    int
	expiry  time.Time
	granted bool
	lost    bool
}

// Sent records that a renewal is about to be sent. It must be called before
// the first byte is written. Sequences must not be used twice.
func (h *Holder) Sent(now time.Time, sequence uint64) {
	h.sent[h.next] = sending{sequence: sequence, at: now}
	h.next = (h.next + 1) % maxOutstanding
}

// Granted handles the answer to a renewal and reports whether the lease is
// valid afterwards. Answers may come late, twice, in any order, or not at
// all. An answer that comes after the lease was over does not revive it.
func (h *Holder) Granted(now time.Time, sequence uint64, duration time.Duration) bool {
	if h.granted && !h.Valid(now) {
		return false
	}
	for _, s := range h.sent {
		if s.at.IsZero() || s.sequence != sequence || duration <= 0 {
			continue
		}
		if expiry := s.at.Add(duration); expiry.After(h.expiry) {
			h.expiry = expiry
			h.granted = true
		}
	}
	return h.Valid(now)
}

// Valid reports whether the lease is held. The first call that finds it over
// makes that final.
func (h *Holder) Valid(now time.Time) bool {
	if h.granted && !now.Before(h.expiry) {
		h.lost = true
	}
	return h.granted && !h.lost
}

// Expiry returns the time at which the lease ends unless it is renewed, the
// zero time if it was never granted.
func (h *Holder) Expiry() time.Time {
	return h.expiry
}

// Invalidate gives the lease up for good, because control answered that it is lost
// or because the node returns it.
func (h *Holder) Invalidate() {
	h.granted, h.lost = true, true
}
