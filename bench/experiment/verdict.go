package experiment

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/jujubeknot/jujubeknot/bench/check"
	"github.com/jujubeknot/jujubeknot/bench/lab"
	"github.com/jujubeknot/jujubeknot/bench/load"
)

// verdictKinds are the columns of the table of violations. Violations of the
// other kinds stand in its last column.
var verdictKinds = [][]check.Kind{
	{check.KindRunTwice},
	{check.KindRanAfterNotRun},
	{check.KindTwoOwners, check.KindOldFence, check.KindOverlap},
	{check.KindCold},
	{check.KindWorkWhileExcluded},
	{check.KindWrongResponse},
}

// newVerdicts returns the table that says which promises were broken.
func newVerdicts() Table {
	return Table{
		Title: "Violations that bench/check found in the records",
		Columns: []string{
			"run", "operations", "run twice", "false notRun", "two owners", "cold capacity", "work in a zone that is out", "wrong response", "other",
		},
	}
}

// verdict adds a row with the violations of a run.
func (t *Table) verdict(name string, in check.Input) {
	counts := check.Count(check.Check(in))
	cells := []any{name, len(in.Operations)}
	for _, kinds := range verdictKinds {
		n := 0
		for _, k := range kinds {
			n += counts[k]
			delete(counts, k)
		}
		cells = append(cells, n)
	}
	other := 0
	for _, n := range counts {
		other += n
	}
	t.add(append(cells, other)...)
}

// recorded returns what a check needs of a lab and the loads that ran there.
// The loads must have different seeds, because operations are named by them.
func recorded(l *lab.Lab, results ...*load.Result) check.Input {
	var in check.Input
	in.Entries, in.Dropped = l.Records().Entries()
	for _, r := range results {
		in.Operations = append(in.Operations, r.Operations...)
	}
	return in
}

// subseed returns a seed for one of several loads of an experiment, so that no
// two of them name an operation alike.
func (e Env) subseed(n int) uint64 {
	const apart = 1000
	return e.Seed*apart + uint64(n)
}

// span is what callers saw of the operations that were due in a span of time.
type span struct {
	completed, failed int
	// p99 is the 99th percentile of the latency of the completed ones, 0 for
	// none.
	p99 time.Duration
	// reasons says how often each failure happened.
	reasons string
}

// between looks at the operations that were due between two times.
func between(operations []load.Operation, from, to time.Time) span {
	var s span
	var latencies []time.Duration
	reasons := map[string]int{}
	for _, o := range operations {
		switch {
		case o.Intended.Before(from) || o.Intended.After(to):
		case o.Outcome == load.OutcomeOK:
			latencies = append(latencies, o.Latency)
		default:
			s.failed++
			reasons[failure(o)]++
		}
	}
	if s.completed = len(latencies); s.completed > 0 {
		slices.Sort(latencies)
		s.p99 = latencies[(len(latencies)-1)*99/100]
	}
	var parts []string
	for _, r := range slices.Sorted(maps.Keys(reasons)) {
		parts = append(parts, fmt.Sprintf("%s %d", r, reasons[r]))
	}
	s.reasons = strings.Join(parts, ", ")
	return s
}

// failure names the outcome and, for a refusal, its reason.
func failure(o load.Operation) string {
	if n := len(o.Attempts); n > 0 && (o.Outcome == load.OutcomeNotRun || o.Outcome == load.OutcomeUnknown) {
		return string(o.Outcome) + " " + o.Attempts[n-1].Reason
	}
	return string(o.Outcome)
}

// loaded is the end of a load.
type loaded struct {
	result *load.Result
	err    error
}

// startLoad runs a load beside other things. The channel gets its end.
func startLoad(ctx context.Context, config load.Config) <-chan loaded {
	ended := make(chan loaded, 1)
	go func() {
		result, err := load.Run(ctx, config)
		ended <- loaded{result, err}
	}()
	return ended
}
