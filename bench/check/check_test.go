package check_test

import (
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/bench/backend"
	"github.com/jujubeknot/jujubeknot/bench/check"
	"github.com/jujubeknot/jujubeknot/bench/load"
)

var zero = time.Unix(1000, 0)

func at(second int) time.Time { return zero.Add(time.Duration(second) * time.Second) }

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

func told(operation string, outcome load.Outcome) []load.Operation {
	return []load.Operation{{ID: operation, Outcome: outcome, Attempts: []load.Attempt{{At: at(0), Outcome: outcome}}}}
}

// TestCheck guards against a checker that misses a broken promise or that finds
// one where there is none.
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
	out := func(grace, to int) []check.Out {
		o := check.Out{Zone: "zone-b", From: at(0), Grace: time.Duration(grace) * time.Second}
		if to > 0 {
			o.To = at(to)
		}
		return []check.Out{o}
	}
	for name, c := range map[string]struct {
		in   check.Input
		want check.Kind
	}{
		"nothing wrong":             {check.Input{Entries: two, Operations: told("x", load.OutcomeOK)}, ""},
		"ran twice":                 {check.Input{Entries: twice}, check.KindRunTwice},
		"idempotent ran twice":      {check.Input{Entries: idempotent}, ""},
		"ran after notRun":          {check.Input{Entries: two, Operations: told("x", load.OutcomeNotRun)}, check.KindRanAfterNotRun},
		"ran after unknown":         {check.Input{Entries: two, Operations: told("x", load.OutcomeUnknown)}, ""},
		"success without a run":     {check.Input{Entries: two, Operations: told("z", load.OutcomeOK)}, check.KindSuccessWithoutRun},
		"wrong response":            {check.Input{Entries: two, Operations: told("x", load.OutcomeWrong)}, check.KindWrongResponse},
		"old fence":                 {check.Input{Entries: join(run(1, "a", "x", 2, 0, 1), run(2, "b", "y", 1, 2, 3))}, check.KindOldFence},
		"two owners":                {check.Input{Entries: join(run(1, "a", "x", 1, 0, 1), run(2, "b", "y", 1, 2, 3))}, check.KindTwoOwners},
		"overlap":                   {check.Input{Entries: join(run(1, "a", "x", 1, 0, 5), run(2, "b", "y", 2, 2, 3))}, check.KindOverlap},
		"work where zone is out":    {check.Input{Entries: two, Outs: out(1, 0)}, check.KindOut},
		"work within the grace":     {check.Input{Entries: two, Outs: out(3, 0)}, ""},
		"work after zone is back":   {check.Input{Entries: two, Outs: out(0, 1)}, ""},
		"more than the slots":       {check.Input{Entries: shed}, check.KindSlots},
		"more than cold capacity":   {check.Input{Entries: cold}, check.KindCold},
		"connection above bound":    {check.Input{Entries: []backend.Entry{{Kind: backend.EntryConnection}}}, check.KindConnections},
		"records are not complete":  {check.Input{Entries: two, Dropped: 1}, check.KindIncomplete},
		"entries in any order":      {check.Input{Entries: []backend.Entry{two[3], two[1], two[2], two[0]}}, ""},
		"same server, higher fence": {check.Input{Entries: join(run(1, "a", "x", 1, 0, 5), run(2, "a", "y", 2, 2, 3))}, ""},
	} {
		counts := check.Count(check.Check(c.in))
		switch {
		case c.want == "" && len(counts) > 0:
			t.Errorf("%s: found %v, want nothing", name, counts)
		case c.want != "" && (counts[c.want] != 1 || len(counts) != 1):
			t.Errorf("%s: found %v, want one %s", name, counts, c.want)
		}
	}
}
