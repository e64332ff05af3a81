package experiment

import (
	"context"
	"fmt"
	"time"

	"gonum.org/v1/plot/plotter"

	"github.com/jujubeknot/jujubeknot/bench/backend"
	"github.com/jujubeknot/jujubeknot/bench/check"
	"github.com/jujubeknot/jujubeknot/bench/lab"
	"github.com/jujubeknot/jujubeknot/bench/load"
)

const (
	overloadPhase   = 8 * time.Second
	overloadSkip    = 2 * time.Second
	overloadTimeout = time.Second
	// overloadResends is the maximum number of resends by callers, with and
	// without nodes.
	overloadResends = 3
	// overloadMaxInFlight is the maximum number of operations in flight.
	overloadMaxInFlight = 10_000
	// overloadWarmUpRounds is the length of the warm-up load in service times for
	// each slot. The figures exclude that load. A node takes 8 rounds at each
	// limit until a server counts as warm.
	overloadWarmUpRounds = 10
)

// overloadFactors are the measured loads as multiples of the capacity.
var overloadFactors = []float64{0.5, 0.8, 1, 1.5, 3}

// overloadCase is a deployment to measure under overload.
type overloadCase struct {
	deployment lab.Deployment
	path       string
	// service is the mean service time of all servers. It is long enough that
	// the servers are overloaded and not the machine, which also runs the load
	// generator.
	service time.Duration
}

func overloadCases() []overloadCase {
	cases := []overloadCase{
		{lab.Rahma(), "/applications/{key}/status", 40 * time.Millisecond},
		{lab.Fjordpadle(), "/waivers/{key}", 100 * time.Millisecond},
	}
	for _, c := range cases {
		for i := range c.deployment.Upstreams {
			c.deployment.Upstreams[i].Server.Service.Mean = c.service
		}
	}
	return cases
}

// nominalCapacity returns the capacity in requests/s that follows from the
// number of slots and the service time.
func (c overloadCase) nominalCapacity() float64 {
	u := c.deployment.Upstreams[0]
	return float64(u.Servers*u.Server.Slots) / c.service.Seconds()
}

func (c overloadCase) load(e Env, n int, targets []string, rate float64, deadline bool) load.Config {
	const keys = 10_000
	return load.Config{
		Seed: e.loadSeed(n), Targets: targets, Rate: rate, Duration: e.scaledLength(overloadPhase), WarmUp: e.scaledLength(overloadSkip),
		Keys: keys, Zipf: 1.01, Hot: load.HotSet{Keys: keys, Share: 0.8}, MaxInFlight: overloadMaxInFlight,
		Classes: []load.Class{{
			Name: "read", Weight: 1, Path: c.path, Timeout: overloadTimeout, Resends: overloadResends, SendDeadline: deadline,
		}},
	}
}

// warmUp runs load until the limits of the nodes have risen to the number of slots.
func (c overloadCase) warmUp(ctx context.Context, e Env, targets []string, run *overloadRun) error {
	config := c.load(e, len(overloadFactors)+1, targets, 0.9*c.nominalCapacity(), true)
	config.Duration = overloadWarmUpRounds * time.Duration(c.deployment.Upstreams[0].Server.Slots) * c.service
	r, err := load.Run(ctx, config)
	if err == nil {
		run.results = append(run.results, r)
	}
	return err
}

// goodput returns the rate, per second, of operations that were completed within
// their deadline.
func goodput(e Env, r *load.Result) float64 {
	return float64(r.Counts[load.OutcomeOK]) / e.scaledLength(overloadPhase-overloadSkip).Seconds()
}

// overloadRun collects the results of the loads that were sent on one path, through
// nodes or directly.
type overloadRun struct {
	name, path               string
	table                    *Table
	line                     Line
	results                  []*load.Result
	bestGoodput, lastGoodput float64
}

// runAt runs one load at a multiple of the capacity and appends its row and its
// point.
func (o *overloadRun) runAt(ctx context.Context, e Env, config load.Config, capacity, factor float64) error {
	e.printProgress("overload: %s, %s, %.1f times capacity", o.name, o.path, factor)
	r, err := load.Run(ctx, config)
	if err != nil {
		return err
	}
	o.results = append(o.results, r)
	o.lastGoodput = goodput(e, r)
	o.bestGoodput = max(o.bestGoodput, o.lastGoodput)
	o.table.addRow(o.name, o.path, factor, fmt.Sprintf("%.0f", factor*capacity), fmt.Sprintf("%.0f", o.lastGoodput), quantile(r.Latency(load.OutcomeOK), 99),
		r.Counts[load.OutcomeNotRun], r.Counts[load.OutcomeTimeout], notCompleted(r)-r.Counts[load.OutcomeNotRun]-r.Counts[load.OutcomeTimeout])
	o.line.Points = append(o.line.Points, plotter.XY{X: factor, Y: o.lastGoodput / capacity})
	return nil
}

// retained returns the goodput of the last load as a share of the best goodput.
// The last load is the highest one.
func (o *overloadRun) retained() string {
	return fmt.Sprintf("%.1f%%", 100*o.lastGoodput/o.bestGoodput)
}

// overload measures goodput and tail latency below, at and above the capacity.
func overload(ctx context.Context, e Env) (*Report, error) {
	table := Table{
		Title: fmt.Sprintf("Open loop of reads, deadline %v, at most %d resends by callers, %.0f s each; service times 40 ms (Rahma) and 100 ms (Fjordpadle), so that the servers are what is overloaded", overloadTimeout, overloadResends, e.scaledLength(overloadPhase-overloadSkip).Seconds()),
		Columns: []string{
			"deployment", "path", "times capacity", "requests/s", "goodput/s", "99th percentile", "refused notRun", "timed out", "other failures",
		},
	}
	retained := Table{Title: "Goodput at 3 times capacity against the best of all loads, target 90%", Columns: []string{"deployment", "capacity/s", "through nodes", "straight, round robin"}}
	violations := newViolations()
	p := Plot{Name: "overload", Title: "Goodput under overload", X: "load / capacity", Y: "goodput / capacity"}
	for _, c := range overloadCases() {
		name := c.deployment.Name
		viaNodes := &overloadRun{name: name, path: "through nodes", table: &table, line: Line{Name: name + " through nodes"}}
		var capacity float64
		err := e.withLab(ctx, lab.Config{Deployment: c.deployment}, func(l *lab.Lab) error {
			e.printProgress("overload: %s, capacity", name)
			if err := c.warmUp(ctx, e, l.Targets(), viaNodes); err != nil {
				return err
			}
			r, err := load.Run(ctx, c.load(e, 0, l.Targets(), 1.2*c.nominalCapacity(), true))
			if err != nil {
				return err
			}
			capacity = goodput(e, r)
			viaNodes.results = append(viaNodes.results, r)
			for i, factor := range overloadFactors {
				if err := viaNodes.runAt(ctx, e, c.load(e, i+1, l.Targets(), factor*capacity, true), capacity, factor); err != nil {
					return err
				}
			}
			violations.addViolations(viaNodes.line.Name, checkInput(l, viaNodes.results...))
			return nil
		})
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		direct := &overloadRun{name: name, path: "straight, round robin", table: &table, line: Line{Name: name + " straight"}}
		in, err := overloadDirect(ctx, e, c, direct, capacity)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		violations.addViolations(direct.line.Name, in)
		retained.addRow(name, fmt.Sprintf("%.0f", capacity), viaNodes.retained(), direct.retained())
		p.Lines = append(p.Lines, viaNodes.line, direct.line)
	}
	return &Report{Tables: []Table{table, retained, violations}, Plots: []Plot{p}}, nil
}

// overloadDirect sends the load directly to stand-in backend servers that have no
// nodes. Their nested calls go to the first server of the other upstream.
func overloadDirect(ctx context.Context, e Env, c overloadCase, run *overloadRun, capacity float64) (check.Input, error) {
	records := backend.NewRecorder(0)
	var targets []string
	nestedTarget := ""
	for i := len(c.deployment.Upstreams) - 1; i >= 0; i-- {
		u := c.deployment.Upstreams[i]
		for n := range u.Servers {
			config := u.Server
			config.Name, config.Upstream = fmt.Sprintf("%s-%d", u.Name, n+1), u.Name
			config.Seed, config.Records, config.Node = e.Seed+uint64(n), records, nestedTarget
			s := backend.New(config)
			if err := s.Start(); err != nil {
				return check.Input{}, err
			}
			defer s.Close()
			if i == 0 {
				targets = append(targets, s.Address())
			} else if n == 0 {
				nestedTarget = s.Address()
			}
		}
	}
	for i, factor := range overloadFactors {
		if err := run.runAt(ctx, e, c.load(e, i+1, targets, factor*capacity, false), capacity, factor); err != nil {
			return check.Input{}, err
		}
	}
	var in check.Input
	in.Entries, in.Dropped = records.Entries()
	for _, r := range run.results {
		in.Operations = append(in.Operations, r.Operations...)
	}
	return in, nil
}
