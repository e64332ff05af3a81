package demo

import (
	"fmt"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/jujubeknot/jujubeknot/bench/backend"
	"github.com/jujubeknot/jujubeknot/bench/check"
	"github.com/jujubeknot/jujubeknot/bench/load"
)

const (
	// unavailableTarget is the time within which a key must be served again
	// after an event.
	unavailableTarget = 3 * time.Second
	// maxPrintedViolations is the maximum number of violations that are printed.
	maxPrintedViolations = 10
)

// report prints the results of the run. Its error wraps ErrViolation if a guarantee
// was violated, if a key was unavailable for too long or if no request completed.
func (d *demo) report(result *load.Result, unavailable []time.Duration) error {
	entries, dropped := d.lab.Records().Entries()
	violations := check.Check(check.Input{Entries: entries, Dropped: dropped, Operations: result.Operations, Exclusions: d.zoneOuts})
	counts := check.Count(violations)
	owners := "at most 1"
	if counts[check.KindTwoOwners]+counts[check.KindOldFence]+counts[check.KindOverlap] > 0 {
		owners = "more than 1"
	}
	w := tabwriter.NewWriter(d.config.Stdout, 0, 0, 2, ' ', 0)
	row := func(name string, value any) { fmt.Fprintf(w, "%s\t%v\n", name, value) }
	fmt.Fprintln(w)
	row("requests", len(result.Operations))
	row("completed", result.Counts[load.OutcomeOK])
	row("refused, not run", result.Counts[load.OutcomeNotRun])
	row("unknown", result.Counts[load.OutcomeUnknown])
	row("lost, timed out or other", len(result.Operations)-result.Counts[load.OutcomeOK]-result.Counts[load.OutcomeNotRun]-result.Counts[load.OutcomeUnknown])
	row("run twice", counts[check.KindRunTwice])
	row("run after \"not run\"", counts[check.KindRanAfterNotRun])
	row("owners per key", owners)
	row("work in the zone after 3 s out", counts[check.KindWorkWhileExcluded])
	row("above slots, connections or cold capacity", counts[check.KindSlots]+counts[check.KindConnections]+counts[check.KindCold])
	row("wrong responses", counts[check.KindWrongResponse]+counts[check.KindSuccessWithoutRun])
	row("longest time a key was unavailable", unavailable[0].Round(time.Millisecond))
	row("imbalance (max/mean of requests per server)", fmt.Sprintf("%.2f", d.imbalance(entries)))
	row("99 in 100 completed within", time.Duration(result.Latency(load.OutcomeOK).ValueAtQuantile(99)).Round(time.Millisecond))
	if err := w.Flush(); err != nil {
		return fmt.Errorf("print report: %w", err)
	}
	for _, v := range violations[:min(len(violations), maxPrintedViolations)] {
		fmt.Fprintf(d.config.Stdout, "violation: %s: %s\n", v.Kind, v.Detail)
	}
	if len(violations) > 0 {
		return fmt.Errorf("%d violations: %w", len(violations), ErrViolation)
	}
	if unavailable[0] > unavailableTarget {
		return fmt.Errorf("a key was unavailable for %v, limit %v: %w", unavailable[0], unavailableTarget, ErrViolation)
	}
	if result.Counts[load.OutcomeOK] == 0 {
		return fmt.Errorf("no request was completed: %w", ErrViolation)
	}
	fmt.Fprintln(d.config.Stdout, "\nno guarantee was violated")
	return nil
}

// imbalance returns the largest number of keyed runs of a server divided by the
// mean, in the phase before the first event.
func (d *demo) imbalance(entries []backend.Entry) float64 {
	runs := map[string]int{}
	for _, e := range entries {
		if e.Kind == backend.EntryStart && e.Keyed && e.At.Before(d.zoneOuts[0].From) {
			runs[e.Server]++
		}
	}
	var counts []int
	total := 0
	for _, n := range runs {
		counts = append(counts, n)
		total += n
	}
	if total == 0 {
		return 0
	}
	return float64(slices.Max(counts)) * float64(len(counts)) / float64(total)
}
