package check

import (
	"slices"
	"strings"
	"time"

	"github.com/jujubeknot/jujubeknot/bench/backend"
	"github.com/jujubeknot/jujubeknot/bench/load"
)

// Gap is a span of time in which no operation on a key succeeded.
type Gap struct {
	Key string
	// From is the time at which the first failed operation was due.
	From time.Time
	// To is the end of the next successful operation, zero if there is none.
	To time.Time
	// Failures is the number of failed operations in the gap.
	Failures int
}

// Length returns the length of the gap. end is the end of the run, which counts
// as the end of a gap without one.
func (g Gap) Length(end time.Time) time.Duration {
	if g.To.IsZero() {
		return end.Sub(g.From)
	}
	return g.To.Sub(g.From)
}

// Gaps returns the gaps of all keys, longest first. end is the end of the run,
// which counts as the end of gaps without one. Operations with OutcomeSkipped
// were not sent and do not count.
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

// Imbalance returns the ratio of the largest to the mean number of runs per
// server of an upstream. It counts the runs that began at from or later and
// before to. The mean is over all servers that have a run anywhere in the
// records. Imbalance is 0 if no run began in this time.
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

// Churn counts how often partitions changed their server.
type Churn struct {
	// Partitions is the number of partitions with runs.
	Partitions int
	// Moved is the number of partitions whose server changed.
	Moved int
	// Changes is the number of changes of all partitions.
	Changes int
}

// OwnerChanges counts how often the server that runs a partition's requests
// changed, among the runs that began at from or later and before to.
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

// Second has the outcomes of the operations that were due in one second.
type Second struct {
	// Offset is the time from the start of the run.
	Offset time.Duration
	// Counts has the number of operations by outcome.
	Counts map[load.Outcome]int
	// P99 is the 99th percentile of the latency of the successful operations, 0 if
	// there are none.
	P99 time.Duration
}

// Seconds returns one Second for each second from start to the last operation
// that was due, also for seconds without operations. Operations that were due a
// second or more before start do not count.
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
