package outcome

import "time"

const (
	// outageToHoldRatio is the largest ratio of an outage's age to the time for
	// which a request can be held. By Lindy's law, an outage of unknown length
	// that has lasted for a time t ends within a further time h with
	// probability h/(h+t): one in five at a ratio of 4.
	outageToHoldRatio = 4
	// minRetryAfter and maxRetryAfter bound the time after which callers of
	// refused requests are asked to retry. The minimum leaves time to open
	// connections again. A caller that can wait for the maximum retries then,
	// and so finds out for all other callers whether the outage has ended.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Second
)

// Outage records for how long something that requests need, such as the node of
// their key, has been unavailable. The zero value means that it is available.
// Outage is immutable.
type Outage struct {
	// since and last are the first and the latest attempt that failed.
	since, last time.Time
}

// WithFailure returns the outage after one more attempt that failed.
func (o Outage) WithFailure(now time.Time) Outage {
	if o.since.IsZero() {
		o.since = now
	}
	o.last = now
	return o
}

// Age returns the time between the first and the latest attempt that failed.
func (o Outage) Age() time.Duration { return o.last.Sub(o.since) }

// ShouldHold reports whether to hold a request that can be held for the time
// left. Restarts usually end within the time for which requests can be held. If
// the node is lost instead, holding only delays the refusal.
func (o Outage) ShouldHold(left time.Duration) bool {
	return left > 0 && o.Age() <= outageToHoldRatio*left
}

// RetryAfter returns the time after which the caller of a refused request
// should retry. It grows with the age of the outage, so that long outages are
// tried less often.
func (o Outage) RetryAfter() time.Duration {
	return min(max(o.Age()/outageToHoldRatio, minRetryAfter), maxRetryAfter)
}
