package load

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jujubeknot/jujubeknot/bench/chunked"
)

// Outcome is how an attempt or an operation ended for the caller.
type Outcome string

// Outcomes.
const (
	// OutcomeOK is a complete response with a status 2xx to the operation.
	OutcomeOK Outcome = "ok"
	// OutcomeNotRun and OutcomeUnknown are error responses of the system with this
	// outcome in their header.
	OutcomeNotRun  Outcome = "notRun"
	OutcomeUnknown Outcome = "unknown"
	// OutcomeStatus is any other response whose status is not 2xx.
	OutcomeStatus Outcome = "status"
	// OutcomeUnreached means that connecting failed, so nothing was sent.
	OutcomeUnreached Outcome = "unreached"
	// OutcomeLost means that no complete response was received.
	OutcomeLost Outcome = "lost"
	// OutcomeTimeout means that the timeout passed or the run was cancelled before
	// a complete response was received.
	OutcomeTimeout Outcome = "timeout"
	// OutcomeWrong is a complete response with a status 2xx that belongs to
	// another operation or to another request body.
	OutcomeWrong Outcome = "wrong"
	// OutcomeSkipped means that the operation was not sent, because
	// Config.MaxInFlight operations were in flight.
	OutcomeSkipped Outcome = "skipped"
)

// Attempt is one sending of an operation.
type Attempt struct {
	// At is the time of the sending.
	At      time.Time
	Target  string
	Outcome Outcome
	// Reason explains an outcome other than OutcomeOK.
	Reason string
	// Status is the HTTP status, 0 without a complete response.
	Status    int
	RequestID string
	// Latency is the time from At to the response or error.
	Latency time.Duration
}

// Operation is one operation of a caller with its attempts.
type Operation struct {
	ID           string
	Class        string
	Key          string
	Idempotent   bool
	IDFromCaller bool
	// Intended is the time at which the first sending was due.
	Intended time.Time
	Attempts []Attempt
	// Outcome is that of the last attempt, or OutcomeSkipped without one.
	Outcome Outcome
	// Latency is the time from Intended to the end of the last attempt.
	Latency time.Duration
}

// Range, in nanoseconds, and precision of the histograms.
const (
	lowestLatency     = int64(10 * time.Microsecond)
	highestLatency    = int64(5 * time.Minute)
	significantDigits = 3
)

// Result is what a run measured.
type Result struct {
	Start time.Time
	// Duration is the time from Start to the end of the last operation.
	Duration time.Duration
	// Operations has all operations, those of the warm-up included, in the order
	// in which they ended.
	Operations []Operation
	// Latencies has a histogram in nanoseconds for each class and outcome, without
	// the warm-up.
	Latencies map[string]map[Outcome]*hdrhistogram.Histogram
	// Counts has the number of operations by outcome, without the warm-up.
	Counts map[Outcome]int
}

// collector collects the operations of a run as they end. It is safe for
// concurrent use.
type collector struct {
	mu     sync.Mutex
	result *Result
	// operations becomes Result.Operations when the run ends.
	operations chunked.List[Operation]
	// warmUpEnd is the time before which operations are due that the counts and
	// histograms leave out.
	warmUpEnd time.Time
}

func newCollector(start time.Time, warmUp time.Duration) *collector {
	return &collector{
		warmUpEnd: start.Add(warmUp),
		result: &Result{
			Start: start, Latencies: make(map[string]map[Outcome]*hdrhistogram.Histogram), Counts: make(map[Outcome]int),
		},
	}
}

func (c *collector) add(o Operation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.operations.Append(o)
	if o.Intended.Before(c.warmUpEnd) {
		return
	}
	c.result.Counts[o.Outcome]++
	byOutcome := c.result.Latencies[o.Class]
	if byOutcome == nil {
		byOutcome = make(map[Outcome]*hdrhistogram.Histogram)
		c.result.Latencies[o.Class] = byOutcome
	}
	h := byOutcome[o.Outcome]
	if h == nil {
		h = hdrhistogram.New(lowestLatency, highestLatency, significantDigits)
		byOutcome[o.Outcome] = h
	}
	// The value is within the range of the histogram, so recording cannot fail.
	_ = h.RecordValue(min(max(int64(o.Latency), lowestLatency), highestLatency))
}

// finish returns the result. No operation may be added afterwards.
func (c *collector) finish(now time.Time) *Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.result.Operations = c.operations.Slice()
	c.result.Duration = now.Sub(c.result.Start)
	return c.result
}

// Latency returns the histogram of an outcome, in nanoseconds, merged over all
// classes.
func (r *Result) Latency(outcome Outcome) *hdrhistogram.Histogram {
	all := hdrhistogram.New(lowestLatency, highestLatency, significantDigits)
	for _, byOutcome := range r.Latencies {
		if h := byOutcome[outcome]; h != nil {
			all.Merge(h)
		}
	}
	return all
}

// String returns a table of counts and latency quantiles by class and outcome.
func (r *Result) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-14s %-8s %9s %10s %10s %10s\n", "class", "outcome", "count", "p50 ms", "p99 ms", "max ms")
	classes := make([]string, 0, len(r.Latencies))
	for class := range r.Latencies {
		classes = append(classes, class)
	}
	sort.Strings(classes)
	for _, class := range classes {
		outcomes := make([]string, 0, len(r.Latencies[class]))
		for o := range r.Latencies[class] {
			outcomes = append(outcomes, string(o))
		}
		sort.Strings(outcomes)
		for _, o := range outcomes {
			h := r.Latencies[class][Outcome(o)]
			fmt.Fprintf(&b, "%-14s %-8s %9d %10.2f %10.2f %10.2f\n", class, o, h.TotalCount(),
				float64(h.ValueAtQuantile(50))/1e6, float64(h.ValueAtQuantile(99))/1e6, float64(h.Max())/1e6)
		}
	}
	return b.String()
}
