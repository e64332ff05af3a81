// Package pressure refuses requests early while the node's processor is
// overloaded.
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
	// interval between two looks at the scheduler. One costs a few
	// microseconds.
	interval = 20 * time.Millisecond
	// most is the limit without pressure: none in effect.
	most = 1 << 20
	// latencies is the histogram of the times that goroutines were ready and
	// waited for a processor.
	latencies = "/sched/latencies:seconds"
)

// Monitor counts the requests that a node handles for callers and other nodes,
// and limits them. It is safe for concurrent use. Use New.
type Monitor struct {
	inFlight atomic.Int64
	limit    atomic.Int64

	mu    sync.Mutex
	state *admission.ProcessorLimiter
}

// New returns a monitor without a limit until Run finds pressure.
func New() *Monitor {
	m := &Monitor{state: admission.NewProcessorLimiter(most)}
	m.limit.Store(most)
	return m
}

// Begin counts a request. End must be called when it has ended.
func (m *Monitor) Begin() { m.inFlight.Add(1) }

// End ends what Begin began.
func (m *Monitor) End() { m.inFlight.Add(-1) }

// Overloaded reports whether a request of a depth must be refused. Nested calls get
// as many again, so that the requests above them can end.
func (m *Monitor) Overloaded(depth int) bool {
	limit := m.limit.Load()
	if depth > 0 {
		limit *= 2
	}
	return m.inFlight.Load() > limit
}

// Limit returns the limit and the requests in flight.
func (m *Monitor) Limit() (limit, inFlight int64) { return m.limit.Load(), m.inFlight.Load() }

// Observe adapts the limit to the mean wait for the processor since the last
// observation.
func (m *Monitor) Observe(delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limit.Store(int64(m.state.Observe(delay, int(m.inFlight.Load()))))
}

// Run adapts the limit until the context ends.
func (m *Monitor) Run(ctx context.Context) {
	s := newScheduler()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.Observe(s.delay())
		}
	}
}

// scheduler reads the histogram of the Go scheduler.
type scheduler struct {
	sample []metrics.Sample
	before []uint64
}

func newScheduler() *scheduler {
	s := &scheduler{sample: []metrics.Sample{{Name: latencies}}}
	s.delay()
	return s
}

// delay returns the mean wait since the last call, by the lower bounds of the
// histogram's buckets, 0 if nothing waited.
func (s *scheduler) delay() time.Duration {
	metrics.Read(s.sample)
	h := s.sample[0].Value.Float64Histogram()
	if s.before == nil {
		s.before = make([]uint64, len(h.Counts))
	}
	var count uint64
	var sum float64
	for i, n := range h.Counts {
		if fresh := n - s.before[i]; fresh > 0 {
			count += fresh
			sum += float64(fresh) * max(h.Buckets[i], 0)
		}
		s.before[i] = n
	}
	if count == 0 || math.IsInf(sum, 0) {
		return 0
	}
	return time.Duration(sum / float64(count) * float64(time.Second))
}
