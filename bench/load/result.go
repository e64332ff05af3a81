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

// Outcome says how a sending or an operation ended for the caller.
type Outcome string

// Outcomes.
const (
	OutcomeOK Outcome = "ok"
	// OutcomeNotRun and OutcomeUnknown are refusals by the system.
	OutcomeNotRun  Outcome = "notRun"
	OutcomeUnknown Outcome = "unknown"
	// OutcomeStatus is any other status that is not 2xx.
	OutcomeStatus Outcome = "status"
	// OutcomeUnreached means that no connection came about, so nothing was sent.
	OutcomeUnreached Outcome = "unreached"
	// OutcomeLost means that no complete response came.
	OutcomeLost Outcome = "lost"
	// OutcomeTimeout means that the caller gave up.
	OutcomeTimeout Outcome = "timeout"
	// OutcomeWrong means a complete response to something else.
	OutcomeWrong Outcome = "wrong"
	// OutcomeSkipped means that the generator had too many in flight.
	OutcomeSkipped Outcome = "skipped"
)

// Attempt is one sending.
type Attempt struct {
	At        time.Time
	Target    string
	Outcome   Outcome
	Reason    string
	Status    int
	RequestID string
	Latency   time.Duration
}

// Operation is what a caller wanted, with its sendings.
type Operation struct {
	ID           string
	Class        string
	Key          string
	Idempotent   bool
	IDFromCaller bool
	// Intended is the time at which the first sending was due.
	Intended time.Time
	Attempts []Attempt
	Outcome  Outcome
	// Latency is the time from Intended to the end.
	Latency time.Duration
}

// Bounds of the histograms: 10 us to 5 minutes with 3 digits.
const (
	lowestLatency  = int64(10 * time.Microsecond)
	highestLatency = int64(5 * time.Minute)
	digits         = 3
)

// Result is what a run measured.
type Result struct {
	Start      time.Time
	Duration   time.Duration
	Operations []Operation
	// Latencies has a histogram in nanoseconds for each class and outcome.
	Latencies map[string]map[Outcome]*hdrhistogram.Histogram
	Counts    map[Outcome]int
}

type collector struct {
	mu     sync.Mutex
	result *Result
	// operations become those of the result when the run ends.
	operations chunked.List[Operation]
	skip       time.Time
}

func newCollector(start time.Time, skip time.Duration) *collector {
	return &collector{
		skip: start.Add(skip),
		result: &Result{
			Start: start, Latencies: make(map[string]map[Outcome]*hdrhistogram.Histogram), Counts: make(map[Outcome]int),
		},
	}
}

func (c *collector) add(o Operation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.operations.Append(o)
	if o.Intended.Before(c.skip) {
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
		h = hdrhistogram.New(lowestLatency, highestLatency, digits)
		byOutcome[o.Outcome] = h
	}
	// Values are within the bounds, so recording cannot fail.
	_ = h.RecordValue(min(max(int64(o.Latency), lowestLatency), highestLatency))
}

// finish returns the result once nobody adds operations any more.
func (c *collector) finish(now time.Time) *Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.result.Operations = c.operations.Slice()
	c.result.Duration = now.Sub(c.result.Start)
	return c.result
}

// Latency returns the merged histogram of an outcome over all classes.
func (r *Result) Latency(outcome Outcome) *hdrhistogram.Histogram {
	all := hdrhistogram.New(lowestLatency, highestLatency, digits)
	for _, byOutcome := range r.Latencies {
		if h := byOutcome[outcome]; h != nil {
			all.Merge(h)
		}
	}
	return all
}

// String returns a table of counts and quantiles by class and outcome.
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
