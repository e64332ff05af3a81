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

// violationKinds are the kinds counted by each column of the table of violations.
// The last column counts all other kinds.
var violationKinds = [][]check.Kind{
	{check.KindRunTwice},
	{check.KindRanAfterNotRun},
	{check.KindTwoOwners, check.KindOldFence, check.KindOverlap},
	{check.KindCold},
	{check.KindWorkWhileExcluded},
	{check.KindWrongResponse},
}

// newViolations returns an empty table of violations. Its columns correspond to
// violationKinds.
func newViolations() Table {
	return Table{
		Title: "Violations that bench/check found in the records",
		Columns: []string{
			"run", "operations", "run twice", "false notRun", "two owners", "cold capacity", "work in a zone that is out", "wrong response", "other",
		},
	}
}

// addViolations appends a row with the violations found in the records of a run.
func (t *Table) addViolations(name string, in check.Input) {
	counts := check.Count(check.Check(in))
	cells := []any{name, len(in.Operations)}
	for _, kinds := range violationKinds {
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
	t.addRow(append(cells, other)...)
}

// checkInput returns the input of a check from the records of a lab and the
// loads that ran there. The loads must have different seeds, because the ids of
// operations are derived from them.
func checkInput(l *lab.Lab, results ...*load.Result) check.Input {
	var in check.Input
	in.Entries, in.Dropped = l.Records().Entries()
	for _, r := range results {
		in.Operations = append(in.Operations, r.Operations...)
	}
	return in
}

// loadSeed returns the seed of load n of an experiment. Different loads have
// different seeds, so that no two of them use the same operation id.
func (e Env) loadSeed(n int) uint64 {
	const seedsPerExperiment = 1000
	return e.Seed*seedsPerExperiment + uint64(n)
}

// operationSummary summarizes the results of the operations that were due in an
// interval.
type operationSummary struct {
	completed, failed int
	// p99 is the 99th percentile of the latency of completed operations, 0 if
	// none completed.
	p99 time.Duration
	// reasons lists the failures with their counts.
	reasons string
}

// summarize summarizes the operations that were due between two times, including
// those times.
func summarize(operations []load.Operation, from, to time.Time) operationSummary {
	var s operationSummary
	var latencies []time.Duration
	reasons := map[string]int{}
	for _, o := range operations {
		switch {
		case o.Intended.Before(from) || o.Intended.After(to):
		case o.Outcome == load.OutcomeOK:
			latencies = append(latencies, o.Latency)
		default:
			s.failed++
			reasons[failureReason(o)]++
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

// failureReason returns the outcome of an operation. Outcomes notRun and unknown
// are followed by the reason of the last attempt.
func failureReason(o load.Operation) string {
	if n := len(o.Attempts); n > 0 && (o.Outcome == load.OutcomeNotRun || o.Outcome == load.OutcomeUnknown) {
		return string(o.Outcome) + " " + o.Attempts[n-1].Reason
	}
	return string(o.Outcome)
}

// loadResult is the result of a load.
type loadResult struct {
	result *load.Result
	err    error
}

// startLoad starts a load and returns at once. The channel receives the result when
// the load ends.
func startLoad(ctx context.Context, config load.Config) <-chan loadResult {
	loadDone := make(chan loadResult, 1)
	go func() {
		result, err := load.Run(ctx, config)
		loadDone <- loadResult{result, err}
	}()
	return loadDone
}
