package outcome

import "time"

const (
	// holdOdds is how many times longer than a request can be held an outage may
	// have lasted. An outage of unknown length that has lasted for a time ends
	// within a time h with a chance of h/(h+time) (Lindy): one in five at 4.
	holdOdds = 4
	// minReturn and maxReturn bound what callers are told. Connections that are
	// opened again need the first; after the second a caller with patience finds
	// out for all others.
	minReturn = 100 * time.Millisecond
	maxReturn = time.Second
)

// Outage is for how long what a request needs, such as the node of its key, has
// been missing. The zero value is something that is there. It is immutable.
type Outage struct {
	since, last time.Time
}

// WithFailure returns the outage after one more try that failed.
func (o Outage) WithFailure(now time.Time) Outage {
	if o.since.IsZero() {
		o.since = now
	}
	o.last = now
	return o
}

// Age is the time between the first and the latest try that failed.
func (o Outage) Age() time.Duration { return o.last.Sub(o.since) }

// ShouldHold reports whether a request that can be held for a time is held. Restarts
// end within that time; for what is lost, a request that is held to the end is
// refused later, and no better, than one that is refused at once.
func (o Outage) ShouldHold(left time.Duration) bool { return left > 0 && o.Age() <= holdOdds*left }

// RetryAfter is what the caller of a refused request is told: longer outages
// are looked at less often.
func (o Outage) RetryAfter() time.Duration {
	return min(max(o.Age()/holdOdds, minReturn), maxReturn)
}
