package admission

import "time"

const (
	// maxProcessorWait is the mean wait for the processor above which a node is
	// overloaded. A request waits for the processor about five times. The sum
	// of these waits stays a small part of a route's timeout, and requests that
	// wait for the node do not hold slots of the backend server.
	maxProcessorWait = 5 * time.Millisecond
	// MinProcessorLimit is the lowest limit. At 20 us of processor time for
	// each turn, this number of requests causes waits of at most about
	// maxProcessorWait. A longer wait then has another cause, such as a pause
	// of the machine, which must not make an idle node refuse requests.
	MinProcessorLimit  = 256
	processorCutFactor = 0.8
	// processorGrowthFactor doubles the limit in 15 observations.
	processorGrowthFactor = 1.05
)

// ProcessorLimiter limits the requests that a node handles at once by the time
// that its goroutines wait for the processor. Without the limit, goroutines
// waiting for the processor held each of 128 slots of a backend server for
// hundreds of milliseconds, and 1,057 of 10,000 requests/s completed. It is not
// safe for concurrent use. Use NewProcessorLimiter.
type ProcessorLimiter struct {
	limit    float64
	maxLimit float64
}

// NewProcessorLimiter returns a limiter that starts at maxLimit requests and
// never exceeds it. maxLimit must be positive.
func NewProcessorLimiter(maxLimit int) *ProcessorLimiter {
	return &ProcessorLimiter{limit: float64(maxLimit), maxLimit: float64(maxLimit)}
}

// Observe takes the mean wait for the processor since the last observation and
// the number of requests in flight. It returns the limit that applies from now
// on.
func (l *ProcessorLimiter) Observe(wait time.Duration, inFlight int) int {
	if wait > maxProcessorWait {
		l.limit = max(min(l.limit, float64(inFlight))*processorCutFactor, MinProcessorLimit)
	} else {
		l.limit *= processorGrowthFactor
	}
	l.limit = min(l.limit, l.maxLimit)
	return int(l.limit)
}
