package admission

import "time"

const (
	// pressureDelay is the wait for the processor above which a node is
	// overloaded. A request waits about five times, so that it stays a small
	// part of a route's timeout, and slots of the backend server are not held
	// by requests that wait for the node.
	pressureDelay = 5 * time.Millisecond
	// pressureFloor is the lowest limit. So few requests, at 20 us for a turn,
	// cause no longer waits by themselves, and a pause of the machine refuses
	// none on a quiet node.
	pressureFloor = 256
	pressureCut   = 0.8
	// pressureGrowth doubles the limit in 15 observations.
	pressureGrowth = 1.05
)

// ProcessorLimiter limits the requests that a node handles at a time by how long its
// work waits for the processor. Without it, goroutines that wait in one long
// line held each of 128 slots of a backend server for hundreds of milliseconds,
// and 1,057 of 10,000 requests/s completed. Use NewProcessorLimiter. It is not safe for
// concurrent use.
type ProcessorLimiter struct {
	limit float64
	most  float64
}

// NewProcessorLimiter returns a limit that starts at most, which must be positive, and
// never exceeds it.
func NewProcessorLimiter(most int) *ProcessorLimiter {
	return &ProcessorLimiter{limit: float64(most), most: float64(most)}
}

// Observe takes the mean wait for the processor since the last observation and
// the requests in flight, and returns the limit that applies from now on.
func (p *ProcessorLimiter) Observe(delay time.Duration, inFlight int) int {
	if delay > pressureDelay {
		p.limit = max(min(p.limit, float64(inFlight))*pressureCut, pressureFloor)
	} else {
		p.limit *= pressureGrowth
	}
	p.limit = min(p.limit, p.most)
	return int(p.limit)
}
