package check_test

import (
	"slices"
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/bench/backend"
	"github.com/jujubeknot/jujubeknot/bench/check"
	"github.com/jujubeknot/jujubeknot/bench/load"
)

var zero = time.Unix(1000, 0)

func at(second int) time.Time { return zero.Add(time.Duration(second) * time.Second) }

// run returns the entries of the start and the end of a run. from and to are
// seconds after zero.
func run(number uint64, server, operation string, fence uint64, from, to int) []backend.Entry {
	e := backend.Entry{
		At: at(from), Kind: backend.EntryStart, Server: server, Zone: "zone-" + server, Upstream: "desk", Run: number,
		Operation: operation, Attempt: "1", Keyed: true, Partition: 3, Fence: fence, InFlight: 1, Capacity: 6,
	}
	end := e
	end.Kind, end.At = backend.EntryEnd, at(to)
	return []backend.Entry{e, end}
}

func join(runs ...[]backend.Entry) []backend.Entry {
	var all []backend.Entry
	for _, r := range runs {
		all = append(all, r...)
	}
	return all
}

// received returns one operation whose caller received an outcome.
func received(operation string, outcome load.Outcome) []load.Operation {
	return []load.Operation{{ID: operation, Outcome: outcome, Attempts: []load.Attempt{{At: at(0), Outcome: outcome}}}}
}

// TestCheck guards against a checker that misses a violation, or that reports
// one although there is none.
func TestCheck(t *testing.T) {
	shed := run(1, "a", "x", 1, 0, 1)[:1]
	shed[0].Kind, shed[0].InFlight, shed[0].Capacity = backend.EntryShed, 3, 2
	cold := append([]backend.Entry(nil), shed...)
	cold[0].Cold = true
	twice := join(run(1, "a", "x", 1, 0, 1), run(2, "a", "x", 1, 2, 3))
	idempotent := append([]backend.Entry(nil), twice...)
	for i := range idempotent {
		idempotent[i].Idempotent = true
	}
	two := join(run(1, "a", "x", 1, 0, 1), run(2, "b", "y", 2, 2, 3))
	excluded := func(grace, to int) []check.Exclusion {
		o := check.Exclusion{Zone: "zone-b", From: at(0), Grace: time.Duration(grace) * time.Second}
		if to > 0 {
			o.To = at(to)
		}
		return []check.Exclusion{o}
	}
	for name, c := range map[string]struct {
		in   check.Input
		want check.Kind
	}{
		"server was frozen": {check.Input{
			Entries: join(run(1, "a", "x", 1, 0, 9), run(2, "b", "y", 2, 4, 5)), Frozen: []check.Frozen{{Server: "a", From: at(1), To: at(8)}},
		}, ""},
		"run continues after the freeze": {check.Input{
			Entries: join(run(1, "a", "x", 1, 0, 9), run(2, "b", "y", 2, 4, 5)), Frozen: []check.Frozen{{Server: "a", From: at(1), To: at(3)}},
		}, check.KindOverlap},
		"another server was frozen": {check.Input{
			Entries: join(run(1, "a", "x", 1, 0, 9), run(2, "b", "y", 2, 4, 5)), Frozen: []check.Frozen{{Server: "b", From: at(1), To: at(8)}},
		}, check.KindOverlap},
		"no violation":              {check.Input{Entries: two, Operations: received("x", load.OutcomeOK)}, ""},
		"ran twice":                 {check.Input{Entries: twice}, check.KindRunTwice},
		"idempotent ran twice":      {check.Input{Entries: idempotent}, ""},
		"ran after notRun":          {check.Input{Entries: two, Operations: received("x", load.OutcomeNotRun)}, check.KindRanAfterNotRun},
		"ran after unknown":         {check.Input{Entries: two, Operations: received("x", load.OutcomeUnknown)}, ""},
		"success without a run":     {check.Input{Entries: two, Operations: received("z", load.OutcomeOK)}, check.KindSuccessWithoutRun},
		"wrong response":            {check.Input{Entries: two, Operations: received("x", load.OutcomeWrong)}, check.KindWrongResponse},
		"old fence":                 {check.Input{Entries: join(run(1, "a", "x", 2, 0, 1), run(2, "b", "y", 1, 2, 3))}, check.KindOldFence},
		"two owners":                {check.Input{Entries: join(run(1, "a", "x", 1, 0, 1), run(2, "b", "y", 1, 2, 3))}, check.KindTwoOwners},
		"overlap":                   {check.Input{Entries: join(run(1, "a", "x", 1, 0, 5), run(2, "b", "y", 2, 2, 3))}, check.KindOverlap},
		"work in excluded zone":     {check.Input{Entries: two, Exclusions: excluded(1, 0)}, check.KindWorkWhileExcluded},
		"work within the grace":     {check.Input{Entries: two, Exclusions: excluded(3, 0)}, ""},
		"work after exclusion":      {check.Input{Entries: two, Exclusions: excluded(0, 1)}, ""},
		"more than the slots":       {check.Input{Entries: shed}, check.KindSlots},
		"more than cold capacity":   {check.Input{Entries: cold}, check.KindCold},
		"connection above limit":    {check.Input{Entries: []backend.Entry{{Kind: backend.EntryConnection}}}, check.KindConnections},
		"records are incomplete":    {check.Input{Entries: two, Dropped: 1}, check.KindIncomplete},
		"entries in any order":      {check.Input{Entries: []backend.Entry{two[3], two[1], two[2], two[0]}}, ""},
		"same server, higher fence": {check.Input{Entries: join(run(1, "a", "x", 1, 0, 5), run(2, "a", "y", 2, 2, 3))}, ""},
	} {
		counts := check.Count(check.Check(c.in))
		switch {
		case c.want == "" && len(counts) > 0:
			t.Errorf("%s: found %v, want no violation", name, counts)
		case c.want != "" && (counts[c.want] != 1 || len(counts) != 1):
			t.Errorf("%s: found %v, want one %s", name, counts, c.want)
		}
	}
}

// TestFigures guards against wrong figures for gaps in service, seconds,
// imbalance and churn.
func TestFigures(t *testing.T) {
	operation := func(key string, due int, outcome load.Outcome) load.Operation {
		return load.Operation{Key: key, Intended: at(due), Outcome: outcome, Latency: time.Second / 2}
	}
	operations := []load.Operation{
		operation("k", 3, load.OutcomeOK), operation("k", 1, load.OutcomeNotRun), operation("k", 0, load.OutcomeOK),
		operation("k", 2, load.OutcomeLost), operation("j", 2, load.OutcomeTimeout), operation("i", 2, load.OutcomeSkipped),
	}
	gaps := check.Gaps(operations, at(4))
	want := []check.Gap{{Key: "k", From: at(1), To: at(3).Add(time.Second / 2), Failures: 2}, {Key: "j", From: at(2), Failures: 1}}
	if !slices.Equal(gaps, want) {
		t.Errorf("gaps %v, want %v", gaps, want)
	}
	seconds := check.Seconds(operations, at(0))
	if len(seconds) != 4 || seconds[2].Counts[load.OutcomeLost] != 1 || seconds[3].P99 != time.Second/2 || seconds[1].P99 != 0 {
		t.Errorf("seconds %+v, want 4 with 1 lost in the third, p99 of 500ms in the last and none in the second", seconds)
	}
	entries := join(run(1, "a", "x", 1, 0, 1), run(2, "a", "y", 1, 2, 3), run(3, "b", "z", 2, 4, 5), run(4, "a", "v", 3, 6, 7))
	if r := check.Imbalance(entries, "desk", at(0), at(7)); r != 1.5 {
		t.Errorf("imbalance %v, want 1.5 for 3 of 4 runs at one of two servers", r)
	}
	if c := check.OwnerChanges(entries, "desk", at(0), at(7)); c != (check.Churn{Partitions: 1, Moved: 1, Changes: 2}) {
		t.Errorf("churn %+v, want 1 partition, 1 moved, 2 changes", c)
	}
	if c := check.OwnerChanges(entries, "desk", at(0), at(3)); c.Changes != 0 {
		t.Errorf("churn %+v before the first change, want 0 changes", c)
	}
}
