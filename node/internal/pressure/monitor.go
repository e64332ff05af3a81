// Package pressure limits the requests in flight while the node's processor is
// overloaded, which it detects by the time that goroutines wait for a
// processor.
package pressure

import (
	"context"
	"math"
	"runtime/metrics"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jujubeknot/jujubeknot/core/admission"
)

const (
	// sampleInterval is the time between two readings of the scheduler's
	// histogram. One reading costs a few microseconds.
	sampleInterval = 20 * time.Millisecond
	// sampleFrom is the number of requests in flight from which on the histogram
	// is read. No limit refuses fewer requests than that.
	sampleFrom = admission.MinProcessorLimit / 2
	// unlimited is the limit without overload. It is too high to have an
	// effect.
	unlimited = 1 << 20
	// latencyMetric is a histogram of the times that runnable goroutines waited
	// for a processor.
	latencyMetric = "/sched/latencies:seconds"
)

// Monitor counts the requests in flight from callers and other nodes, and
// adapts a limit for them to the load of the processor. It is safe for
// concurrent use. Use New.
type Monitor struct {
	inFlight atomic.Int64
	limit    atomic.Int64
	// busy wakes Run when sampleFrom requests are in flight.
	busy chan struct{}

	mu      sync.Mutex
	limiter *admission.ProcessorLimiter
}

// New returns a monitor whose limit has no effect until Run or Observe finds
// the processor overloaded.
func New() *Monitor {
	m := &Monitor{busy: make(chan struct{}, 1), limiter: admission.NewProcessorLimiter(unlimited)}
	m.limit.Store(unlimited)
	return m
}

// Begin counts a request as in flight. The caller must call End when the
// request has ended.
func (m *Monitor) Begin() {
	if m.inFlight.Add(1) == sampleFrom {
		select {
		case m.busy <- struct{}{}:
		default:
		}
	}
}

// End removes a request that Begin counted.
func (m *Monitor) End() { m.inFlight.Add(-1) }

// Overloaded reports whether a request must be refused. Depth is 0 for a
// request from outside and higher for a nested call. Nested calls have twice
// the limit, so that the requests that wait for them can complete.
func (m *Monitor) Overloaded(depth int) bool {
	limit := m.limit.Load()
	if depth > 0 {
		limit *= 2
	}
	return m.inFlight.Load() > limit
}

// Limit returns the current limit and the number of requests in flight.
func (m *Monitor) Limit() (limit, inFlight int64) { return m.limit.Load(), m.inFlight.Load() }

// Observe adapts the limit to delay, the mean time that goroutines waited for a
// processor since the last observation.
func (m *Monitor) Observe(delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limit.Store(int64(m.limiter.Observe(delay, int(m.inFlight.Load()))))
}

// Run adapts the limit until the context ends. While so many requests are in
// flight that a limit could refuse one, it does so every 20 ms. At other times it
// does not run.
func (m *Monitor) Run(ctx context.Context) {
	s := newSchedulerLatency()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.busy:
			// Discards the waits since the latest reading.
			s.delay()
			m.sample(ctx, s)
		}
	}
}

// sample adapts the limit until few requests are in flight and the limit has no
// effect any more, or until the context ends.
func (m *Monitor) sample(ctx context.Context, s *schedulerLatency) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for m.inFlight.Load() >= sampleFrom || m.limit.Load() < unlimited {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.Observe(s.delay())
		}
	}
}

// schedulerLatency measures how long goroutines wait for a processor, from the
// histogram of the Go scheduler. It is not safe for concurrent use.
type schedulerLatency struct {
	sample []metrics.Sample
	// previous has the bucket counts of the last reading.
	previous []uint64
}

func newSchedulerLatency() *schedulerLatency {
	s := &schedulerLatency{sample: []metrics.Sample{{Name: latencyMetric}}}
	s.delay()
	return s
}

// delay returns the mean wait since the previous call, 0 if no goroutine
// waited. Each wait counts with the lower bound of its histogram bucket.
func (s *schedulerLatency) delay() time.Duration {
	metrics.Read(s.sample)
	h := s.sample[0].Value.Float64Histogram()
	if s.previous == nil {
		s.previous = make([]uint64, len(h.Counts))
	}
	var count uint64
	var sum float64
	for i, n := range h.Counts {
		if added := n - s.previous[i]; added > 0 {
			count += added
			sum += float64(added) * max(h.Buckets[i], 0)
		}
		s.previous[i] = n
	}
	if count == 0 || math.IsInf(sum, 0) {
		return 0
	}
	return time.Duration(sum / float64(count) * float64(time.Second))
}
