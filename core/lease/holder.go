package lease

import "time"

// maxOutstanding is the number of latest renewals whose answers are accepted.
// At the default RenewInterval, 16 renewals span four times the default
// Duration.
const maxOutstanding = 16

// renewal is a renewal that was sent.
type renewal struct {
	sequence uint64
	at       time.Time
}

// Holder is the node's side of the lease of one incarnation. A lease that has
// ended never becomes valid again: a new incarnation needs a new Holder. The
// zero value has no lease and waits for the first grant. It is not safe for
// concurrent use.
type Holder struct {
	// sent is a ring buffer of the latest renewals.
	sent [maxOutstanding]renewal
	// next is the position in sent that is overwritten next.
	next    int
	expiry  time.Time
	granted bool
	// ended is true once the lease was found expired or was invalidated. It is
	// never reset.
	ended bool
}

// Sent records that a renewal is about to be sent. It must be called before
// the first byte is written. A sequence number must not be used twice.
func (h *Holder) Sent(now time.Time, sequence uint64) {
	h.sent[h.next] = renewal{sequence: sequence, at: now}
	h.next = (h.next + 1) % maxOutstanding
}

// Granted handles the answer to a renewal and reports whether the lease is
// valid afterwards. The duration counts from the time at which the renewal was
// sent. Answers may be delayed, duplicated, reordered or lost. An answer that
// arrives after the lease has ended does not make it valid again.
func (h *Holder) Granted(now time.Time, sequence uint64, duration time.Duration) bool {
	if h.granted && !h.Valid(now) {
		return false
	}
	for _, r := range h.sent {
		if r.at.IsZero() || r.sequence != sequence || duration <= 0 {
			continue
		}
		if expiry := r.at.Add(duration); expiry.After(h.expiry) {
			h.expiry = expiry
			h.granted = true
		}
	}
	return h.Valid(now)
}

// Valid reports whether the lease is held. The first call that finds the lease
// expired ends it for good.
func (h *Holder) Valid(now time.Time) bool {
	if h.granted && !now.Before(h.expiry) {
		h.ended = true
	}
	return h.granted && !h.ended
}

// Expiry returns the time at which the lease ends unless it is renewed. It is
// the zero time if the lease was never granted.
func (h *Holder) Expiry() time.Time {
	return h.expiry
}

// Invalidate ends the lease for good. It is called when control answers that
// the lease is lost, and when the node returns the lease.
func (h *Holder) Invalidate() {
	h.granted, h.ended = true, true
}
