package check

import (
	"slices"
	"strings"
	"time"

	"github.com/jujubeknot/jujubeknot/bench/backend"
	"github.com/jujubeknot/jujubeknot/bench/load"
)

// Gap is a span in which no operation on a key succeeded.
type Gap struct {
	Key string
	// From is the time at which the first failed operation was due, To the end
	// of the next successful one. To is zero where none followed.
	From     time.Time
	To       time.Time
	Failures int
}

// Length returns the length of a gap, to the given end if it is open.
func (g Gap) Length(end time.Time) time.Duration {
	if g.To.IsZero() {
		return end.Sub(g.From)
	}
	return g.To.Sub(g.From)
}

// Gaps returns the spans in which keys were not served, longest first. End is
// the end of the run, for gaps that no success closed. Operations that the
// generator skipped say nothing about keys and do not count.
func Gaps(operations []load.Operation, end time.Time) []Gap {
	sorted := slices.Clone(operations)
	slices.SortStableFunc(sorted, func(a, b load.Operation) int { return a.Intended.Compare(b.Intended) })
	open := make(map[string]*Gap)
	var gaps []Gap
	for _, o := range sorted {
		g := open[o.Key]
		switch {
		case o.Outcome == load.OutcomeSkipped:
		case o.Outcome == load.OutcomeOK && g != nil:
			g.To = o.Intended.Add(o.Latency)
			gaps = append(gaps, *g)
			delete(open, o.Key)
		case o.Outcome == load.OutcomeOK:
		case g == nil:
			open[o.Key] = &Gap{Key: o.Key, From: o.Intended, Failures: 1}
		default:
			g.Failures++
		}
	}
	for _, g := range open {
		gaps = append(gaps, *g)
	}
	slices.SortFunc(gaps, func(a, b Gap) int {
		if c := int(b.Length(end) - a.Length(end)); c != 0 {
			return c
		}
		return strings.Compare(a.Key, b.Key)
	})
	return gaps
}

// Imbalance returns the ratio of the largest to the mean number of runs among
// the servers of an upstream that ran anything in the records, for runs that
// began from from until to. It is 0 if there were none.
func Imbalance(entries []backend.Entry, upstream string, from, to time.Time) float64 {
	counts := make(map[string]int)
	for _, e := range entries {
		if e.Upstream != upstream || e.Kind != backend.EntryStart {
			continue
		}
		n := counts[e.Server]
		if !e.At.Before(from) && e.At.Before(to) {
			n++
		}
		counts[e.Server] = n
	}
	total, largest := 0, 0
	for _, n := range counts {
		total += n
		largest = max(largest, n)
	}
	if total == 0 {
		return 0
	}
	return float64(largest) * float64(len(counts)) / float64(total)
}

// Churn is how often partitions changed their server.
type Churn struct {
	// Partitions is the number of partitions with work, Moved the number of
	// those whose server changed, and Changes the number of changes.
	Partitions int
	Moved      int
	Changes    int
}

// OwnerChanges counts changes of the server that runs a partition's work, for
// runs that began from from until to.
func OwnerChanges(entries []backend.Entry, upstream string, from, to time.Time) Churn {
	sorted := slices.Clone(entries)
	slices.SortStableFunc(sorted, func(a, b backend.Entry) int { return a.At.Compare(b.At) })
	servers := make(map[uint32]string)
	moved := make(map[uint32]bool)
	var c Churn
	for _, e := range sorted {
		if e.Kind != backend.EntryStart || !e.Keyed || e.Upstream != upstream || e.At.Before(from) || !e.At.Before(to) {
			continue
		}
		if s, ok := servers[e.Partition]; ok && s != e.Server {
			c.Changes++
			moved[e.Partition] = true
		}
		servers[e.Partition] = e.Server
	}
	c.Partitions, c.Moved = len(servers), len(moved)
	return c
}

// Second has what callers saw of the operations due in one second.
type Second struct {
	// Offset is the time from the start of the run.
	Offset time.Duration
	Counts map[load.Outcome]int
	// P99 is the 99th percentile of the latency of successes, 0 for none.
	P99 time.Duration
}

// Seconds returns the course of a run by the second in which operations were
// due, without gaps between the first and the last.
func Seconds(operations []load.Operation, start time.Time) []Second {
	var seconds []Second
	var latencies [][]time.Duration
	for _, o := range operations {
		i := int(o.Intended.Sub(start) / time.Second)
		if i < 0 {
			continue
		}
		for len(seconds) <= i {
			seconds = append(seconds, Second{
				Offset: time.Duration(len(seconds)) * time.Second, Counts: make(map[load.Outcome]int),
			})
			latencies = append(latencies, nil)
		}
		seconds[i].Counts[o.Outcome]++
		if o.Outcome == load.OutcomeOK {
			latencies[i] = append(latencies[i], o.Latency)
		}
	}
	for i, l := range latencies {
		if len(l) > 0 {
			slices.Sort(l)
			seconds[i].P99 = l[(len(l)-1)*99/100]
		}
	}
	return seconds
}
