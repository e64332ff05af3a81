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
	// silentWarm is the time before the first repetition, in which the nodes'
	// limits reach the slots.
	silentWarm   = 5 * time.Second
	silentBefore = time.Second
	silentAfter  = 6 * time.Second
	// silentTimeout is that of callers, under the 5 s of the route.
	silentTimeout = 4 * time.Second
)

// silentVariant says which bytes on the open connections are lost.
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

// silent measures what half-open connections between nodes do to requests. Half
// of them must not run twice. Callers resend nothing.
func silent(ctx context.Context, e Env) (*Report, error) {
	repetitions := e.times(4)
	table := Table{
		Title: fmt.Sprintf("Rahma, all connections between nodes become half-open while new ones work, %d requests/s, half of them non-idempotent, %d times; time until a key is answered again by the next node asked, from 32 probes each 20 ms", silentRate, repetitions),
		Columns: []string{
			"on open connections", "median until answered again", "worst until answered again", "longest until a held request was answered", "completed", "not completed", "reasons",
		},
	}
	verdicts := newVerdicts()
	p := Plot{Name: "silent", Title: "Connections between nodes become half-open at 1 s", X: "time in s", Y: "99th percentile in ms"}
	for _, v := range silentVariants {
		err := e.withLab(ctx, lab.Config{Deployment: lab.Rahma(), PeerFaults: true}, func(l *lab.Lab) error {
			warm, err := load.Run(ctx, v.load(e, repetitions, l.Targets(), silentWarm))
			if err != nil {
				return err
			}
			var results []*load.Result
			var pauses []time.Duration
			for n := range repetitions {
				e.say("silent: %s, %d", v.name, n+1)
				r, pause, err := v.once(ctx, e, l, n)
				if err != nil {
					return err
				}
				results, pauses = append(results, r), append(pauses, pause)
			}
			v.row(&table, results, pauses)
			verdicts.verdict(v.name, recorded(l, append(results, warm)...))
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
	return &Report{Tables: []Table{table, verdicts}, Plots: []Plot{p}}, nil
}

func (v silentVariant) load(e Env, n int, targets []string, duration time.Duration) load.Config {
	return load.Config{
		Seed: e.subseed(n), Targets: targets, Rate: silentRate, Duration: duration,
		Classes: []load.Class{
			{Name: "status", Weight: 50, Path: "/applications/{key}/status", Timeout: silentTimeout},
			{Name: "submission", Weight: 50, Method: "POST", Path: "/applications/{key}/submit", Bytes: 2 << 10, Timeout: silentTimeout},
		},
	}
}

// once silences the connections once. It returns the longest time for which a
// key was not answered.
func (v silentVariant) once(ctx context.Context, e Env, l *lab.Lab, n int) (*load.Result, time.Duration, error) {
	probe := l.StartProbe(lab.ProbeConfig{Path: "/applications/{key}/status", Keys: lab.KeysOfPartitions(recoveryKeys, recoveryPartitions)})
	defer probe.Stop()
	ended := startLoad(ctx, v.load(e, n, l.Targets(), silentBefore+silentAfter))
	time.Sleep(silentBefore)
	from := time.Now()
	l.SilencePeers(v.directions...)
	r := <-ended
	probe.Stop()
	if r.err != nil {
		return nil, 0, r.err
	}
	return r.result, probe.Unavailable(from, from.Add(silentAfter-time.Second))[0], nil
}

func (v silentVariant) row(t *Table, results []*load.Result, pauses []time.Duration) {
	var longest time.Duration
	var operations []load.Operation
	for _, r := range results {
		operations = append(operations, r.Operations...)
		longest = max(longest, time.Duration(r.Latency(load.OutcomeOK).Max()))
	}
	seen := between(operations, results[0].Start, time.Now())
	_, median, worst := spread(pauses)
	t.add(v.name, median, worst, longest, seen.completed, seen.failed, seen.reasons)
}
