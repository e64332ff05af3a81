package experiment

import (
	"context"
	"fmt"
	"time"

	"gonum.org/v1/plot/plotter"

	"github.com/jujubeknot/jujubeknot/bench/check"
	"github.com/jujubeknot/jujubeknot/bench/faults"
	"github.com/jujubeknot/jujubeknot/bench/lab"
	"github.com/jujubeknot/jujubeknot/bench/load"
)

const (
	silentRate = 300
	// silentWarmUp is the length of the load before the first repetition. During it
	// the limits of the nodes rise to the number of slots.
	silentWarmUp = 5 * time.Second
	silentBefore = time.Second
	silentAfter  = 6 * time.Second
	// silentTimeout is the timeout of callers. It is below the 5 s of the route.
	silentTimeout = 4 * time.Second
)

// silentVariant is a set of directions in which open connections lose all data.
type silentVariant struct {
	name       string
	directions []faults.Direction
}

var silentVariants = []silentVariant{
	{"nothing", nil},
	{"requests are lost", []faults.Direction{faults.DirectionUp}},
	{"responses are lost", []faults.Direction{faults.DirectionDown}},
	{"both are lost", []faults.Direction{faults.DirectionUp, faults.DirectionDown}},
}

// silent measures the effect of half-open connections between nodes on requests.
// Half of the requests are non-idempotent and must not run twice. Callers do not
// resend.
func silent(ctx context.Context, e Env) (*Report, error) {
	repetitions := e.scaledCount(4)
	table := Table{
		Title: fmt.Sprintf("Rahma, all connections between nodes become half-open while new ones work, %d requests/s, half of them non-idempotent, %d times; time until a key is answered again by the next node asked, from 32 probes each 20 ms", silentRate, repetitions),
		Columns: []string{
			"on open connections", "median until answered again", "worst until answered again", "longest until a held request was answered", "completed", "not completed", "reasons",
		},
	}
	violations := newViolations()
	p := Plot{Name: "silent", Title: "Connections between nodes become half-open at 1 s", X: "time in s", Y: "99th percentile in ms"}
	for _, v := range silentVariants {
		err := e.withLab(ctx, lab.Config{Deployment: lab.Rahma(), PeerFaults: true}, func(l *lab.Lab) error {
			warmUp, err := load.Run(ctx, v.load(e, repetitions, l.Targets(), silentWarmUp))
			if err != nil {
				return err
			}
			var results []*load.Result
			var unavailable []time.Duration
			for n := range repetitions {
				e.printProgress("silent: %s, %d", v.name, n+1)
				r, longest, err := v.silenceOnce(ctx, e, l, n)
				if err != nil {
					return err
				}
				results, unavailable = append(results, r), append(unavailable, longest)
			}
			v.addVariantRow(&table, results, unavailable)
			violations.addViolations(v.name, checkInput(l, append(results, warmUp)...))
			line := Line{Name: v.name}
			for _, s := range check.Seconds(results[0].Operations, results[0].Start) {
				line.Points = append(line.Points, plotter.XY{X: s.Offset.Seconds(), Y: float64(s.P99) / float64(time.Millisecond)})
			}
			p.Lines = append(p.Lines, line)
			return nil
		})
		if err != nil {
			return nil, fmt.Errorf("%s: %w", v.name, err)
		}
	}
	return &Report{Tables: []Table{table, violations}, Plots: []Plot{p}}, nil
}

func (v silentVariant) load(e Env, n int, targets []string, duration time.Duration) load.Config {
	return load.Config{
		Seed: e.loadSeed(n), Targets: targets, Rate: silentRate, Duration: duration,
		Classes: []load.Class{
			{Name: "status", Weight: 50, Path: "/applications/{key}/status", Timeout: silentTimeout},
			{Name: "submission", Weight: 50, Method: "POST", Path: "/applications/{key}/submit", Bytes: 2 << 10, Timeout: silentTimeout},
		},
	}
}

// silenceOnce makes the open connections half-open under load. It returns the
// result of the load and the longest time for which a key was not served.
func (v silentVariant) silenceOnce(ctx context.Context, e Env, l *lab.Lab, n int) (*load.Result, time.Duration, error) {
	probe := l.StartProbe(lab.ProbeConfig{Path: "/applications/{key}/status", Keys: lab.KeysOfPartitions(recoveryKeys, recoveryPartitions)})
	defer probe.Stop()
	loadDone := startLoad(ctx, v.load(e, n, l.Targets(), silentBefore+silentAfter))
	time.Sleep(silentBefore)
	from := time.Now()
	l.SilencePeers(v.directions...)
	r := <-loadDone
	probe.Stop()
	if r.err != nil {
		return nil, 0, r.err
	}
	return r.result, probe.Unavailable(from, from.Add(silentAfter-time.Second))[0], nil
}

// addVariantRow appends a row with the results of all repetitions.
func (v silentVariant) addVariantRow(t *Table, results []*load.Result, unavailable []time.Duration) {
	var longest time.Duration
	var operations []load.Operation
	for _, r := range results {
		operations = append(operations, r.Operations...)
		longest = max(longest, time.Duration(r.Latency(load.OutcomeOK).Max()))
	}
	summary := summarize(operations, results[0].Start, time.Now())
	_, median, worst := leastMedianLargest(unavailable)
	t.addRow(v.name, median, worst, longest, summary.completed, summary.failed, summary.reasons)
}
