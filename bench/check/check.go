// Package check finds violations of the system's guarantees. It compares the
// records of stand-in backend servers with the responses that callers received.
package check

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/jujubeknot/jujubeknot/bench/backend"
	"github.com/jujubeknot/jujubeknot/bench/load"
)

// Kind is the guarantee that was violated.
type Kind string

// Kinds of violations.
const (
	// KindRunTwice is a non-idempotent operation that ran more than once.
	KindRunTwice Kind = "runTwice"
	// KindRanAfterNotRun is an attempt that ran although the caller received the
	// outcome notRun.
	KindRanAfterNotRun Kind = "ranAfterNotRun"
	// KindOldFence is a run that began after a run of the same partition with a
	// higher fencing token.
	KindOldFence Kind = "oldFence"
	// KindTwoOwners is a fencing token that two servers used for one partition.
	KindTwoOwners Kind = "twoOwners"
	// KindOverlap is a run that began before a run of the same partition at
	// another server had ended.
	KindOverlap Kind = "overlap"
	// KindWorkWhileExcluded is a run that began at a server during an Exclusion of
	// the server or its zone, after the grace.
	KindWorkWhileExcluded Kind = "out"
	// KindCold is a request above the capacity of a cold server.
	KindCold Kind = "coldCapacity"
	// KindSlots is a request above the slots of a warm server.
	KindSlots Kind = "slots"
	// KindConnections is a connection above the limit of a server.
	KindConnections Kind = "connections"
	// KindWrongResponse is a complete response to another operation or to another
	// request body.
	KindWrongResponse Kind = "wrongResponse"
	// KindSuccessWithoutRun is a successful response to an operation that never
	// ran.
	KindSuccessWithoutRun Kind = "successWithoutRun"
	// KindIncomplete means that entries are missing from the records, so that the
	// check proves nothing.
	KindIncomplete Kind = "incompleteRecords"
)

// Violation is one violation of a guarantee.
type Violation struct {
	Kind Kind
	// At is the time of the violation, zero for KindIncomplete.
	At     time.Time
	Detail string
}

// Exclusion is a span of time in which servers must get no new work.
type Exclusion struct {
	// Zone or Server says which servers; the other one is empty.
	Zone   string
	Server string
	// From is the time at which control accepted the change that excludes the
	// servers.
	From time.Time
	// To is the end of the exclusion, zero if it has none.
	To time.Time
	// Grace is the time after From in which new work is still allowed.
	Grace time.Duration
}

// covers reports whether an entry is at an excluded server and after the grace.
func (o Exclusion) covers(e backend.Entry) bool {
	if (o.Zone != "" && o.Zone != e.Zone) || (o.Server != "" && o.Server != e.Server) {
		return false
	}
	return e.At.After(o.From.Add(o.Grace)) && (o.To.IsZero() || e.At.Before(o.To))
}

// Input has the records and observations that Check compares.
type Input struct {
	Entries []backend.Entry
	// Dropped is the number of entries that were not recorded.
	Dropped    int
	Operations []load.Operation
	Exclusions []Exclusion
	// Frozen has the spans of time in which servers were suspended.
	Frozen []Frozen
}

// Frozen is a span of time in which a server was suspended, so that its runs
// made no progress and do not count for KindOverlap. After To they count again.
type Frozen struct {
	Server   string
	From, To time.Time
}

// frozen reports whether a server was suspended at a time.
func (i Input) frozen(server string, at time.Time) bool {
	return slices.ContainsFunc(i.Frozen, func(f Frozen) bool { return f.Server == server && !at.Before(f.From) && !at.After(f.To) })
}

// Check returns the violations ordered by time. The entries may be in any
// order.
func Check(in Input) []Violation {
	entries := slices.Clone(in.Entries)
	slices.SortStableFunc(entries, func(a, b backend.Entry) int { return a.At.Compare(b.At) })
	var all []Violation
	if in.Dropped > 0 {
		all = append(all, Violation{Kind: KindIncomplete, Detail: fmt.Sprintf("%d entries were not recorded", in.Dropped)})
	}
	all = append(all, checkOperations(entries, in.Operations)...)
	all = append(all, checkOwners(entries, in.frozen)...)
	all = append(all, checkBounds(entries)...)
	for _, e := range entries {
		if e.Kind != backend.EntryStart {
			continue
		}
		for _, o := range in.Exclusions {
			if o.covers(e) {
				all = append(all, violation(KindWorkWhileExcluded, e, "%v after the change", e.At.Sub(o.From)))
			}
		}
	}
	slices.SortStableFunc(all, func(a, b Violation) int { return a.At.Compare(b.At) })
	return all
}

func violation(kind Kind, e backend.Entry, format string, args ...any) Violation {
	where := fmt.Sprintf("server %s boot %s operation %s attempt %s request %s partition %d fence %d: ",
		e.Server, e.BootID, e.Operation, e.Attempt, e.RequestID, e.Partition, e.Fence)
	return Violation{Kind: kind, At: e.At, Detail: where + fmt.Sprintf(format, args...)}
}

// sending identifies one attempt of an operation.
type sending struct {
	operation string
	attempt   string
}

// checkOperations compares the runs with the outcomes that callers received.
func checkOperations(entries []backend.Entry, operations []load.Operation) []Violation {
	var all []Violation
	runs := make(map[string]int)
	sendings := make(map[sending]backend.Entry)
	for _, e := range entries {
		if e.Kind != backend.EntryStart || e.Operation == "" {
			continue
		}
		runs[e.Operation]++
		sendings[sending{e.Operation, e.Attempt}] = e
		if runs[e.Operation] > 1 && !e.Idempotent {
			all = append(all, violation(KindRunTwice, e, "run number %d", runs[e.Operation]))
		}
	}
	for _, o := range operations {
		for i, a := range o.Attempts {
			e, ran := sendings[sending{o.ID, fmt.Sprint(i + 1)}]
			switch {
			case a.Outcome == load.OutcomeNotRun && ran:
				all = append(all, violation(KindRanAfterNotRun, e, "caller received notRun, reason %s", a.Reason))
			case a.Outcome == load.OutcomeWrong:
				all = append(all, Violation{
					Kind: KindWrongResponse, At: a.At.Add(a.Latency),
					Detail: fmt.Sprintf("operation %s attempt %d: %s", o.ID, i+1, a.Reason),
				})
			case a.Outcome == load.OutcomeOK && runs[o.ID] == 0:
				all = append(all, Violation{
					Kind: KindSuccessWithoutRun, At: a.At.Add(a.Latency),
					Detail: fmt.Sprintf("operation %s attempt %d", o.ID, i+1),
				})
			}
		}
	}
	return all
}

// partition identifies a partition of an upstream.
type partition struct {
	upstream string
	number   uint32
}

// ownership is the state of one partition while its entries are checked.
type ownership struct {
	// fence is the highest fencing token so far, server the one that used it.
	fence  uint64
	server string
	// open has the runs that have not ended, by number.
	open map[uint64]backend.Entry
}

// checkOwners finds partitions that two servers served at the same time or in
// the wrong order of fencing tokens.
func checkOwners(entries []backend.Entry, frozen func(server string, at time.Time) bool) []Violation {
	var all []Violation
	owners := make(map[partition]*ownership)
	for _, e := range entries {
		if !e.Keyed {
			continue
		}
		id := partition{e.Upstream, e.Partition}
		o := owners[id]
		if o == nil {
			o = &ownership{open: make(map[uint64]backend.Entry)}
			owners[id] = o
		}
		switch e.Kind {
		case backend.EntryEnd, backend.EntryStopped:
			delete(o.open, e.Run)
		case backend.EntryStart:
			all = append(all, o.start(e, frozen)...)
		}
	}
	return all
}

// start records a start of a run and returns the violations that it causes.
func (o *ownership) start(e backend.Entry, frozen func(server string, at time.Time) bool) []Violation {
	var all []Violation
	switch {
	case e.Fence < o.fence:
		all = append(all, violation(KindOldFence, e, "server %s has already used fence %d", o.server, o.fence))
	case e.Fence == o.fence && o.server != "" && o.server != e.Server:
		all = append(all, violation(KindTwoOwners, e, "server %s has used the same fence", o.server))
	default:
		o.fence, o.server = e.Fence, e.Server
	}
	others := make([]string, 0, len(o.open))
	for _, r := range o.open {
		if r.Server != e.Server && !frozen(r.Server, e.At) {
			others = append(others, fmt.Sprintf("%s (fence %d)", r.Server, r.Fence))
		}
	}
	if len(others) > 0 {
		slices.Sort(others)
		all = append(all, violation(KindOverlap, e, "runs at %s have not ended", strings.Join(others, ", ")))
	}
	o.open[e.Run] = e
	return all
}

// checkBounds finds requests and connections above the capacity of a server.
func checkBounds(entries []backend.Entry) []Violation {
	var all []Violation
	for _, e := range entries {
		switch {
		case e.Kind == backend.EntryConnection:
			all = append(all, Violation{Kind: KindConnections, At: e.At, Detail: "server " + e.Server})
		case e.Kind == backend.EntryShed && e.InFlight > e.Capacity && e.Cold:
			all = append(all, violation(KindCold, e, "%d requests at once with cold capacity %d", e.InFlight, e.Capacity))
		case e.Kind == backend.EntryShed && e.InFlight > e.Capacity:
			all = append(all, violation(KindSlots, e, "%d requests at once with %d slots", e.InFlight, e.Capacity))
		}
	}
	return all
}

// Count returns the number of violations of each kind.
func Count(violations []Violation) map[Kind]int {
	counts := make(map[Kind]int)
	for _, v := range violations {
		counts[v.Kind]++
	}
	return counts
}
