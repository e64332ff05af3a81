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
	// overloadResends is the number of resends of callers, in both variants.
	overloadResends = 3
	overloadFlight  = 10_000
	// overloadWarmRounds is the length of the first load, which the figures
	// leave out, in service times for each slot. A node takes 8 rounds at each
	// limit until a server counts as warm.
	overloadWarmRounds = 10
)

// overloadFactors are the loads as multiples of the capacity.
var overloadFactors = []float64{0.5, 0.8, 1, 1.5, 3}

// overloadCase is one deployment under overload.
type overloadCase struct {
	deployment lab.Deployment
	path       string
	// service replaces the service times, so that the servers and not the
	// machine, which also runs the load, are what is overloaded.
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

// nominal is the capacity by the number of slots and the service time.
func (c overloadCase) nominal() float64 {
	u := c.deployment.Upstreams[0]
	return float64(u.Servers*u.Server.Slots) / c.service.Seconds()
}

func (c overloadCase) load(e Env, n int, targets []string, rate float64, deadline bool) load.Config {
	const keys = 10_000
	return load.Config{
		Seed: e.subseed(n), Targets: targets, Rate: rate, Duration: e.length(overloadPhase), WarmUp: e.length(overloadSkip),
		Keys: keys, Zipf: 1.01, Hot: load.HotSet{Keys: keys, Share: 0.8}, MaxInFlight: overloadFlight,
		Classes: []load.Class{{
			Name: "read", Weight: 1, Path: c.path, Timeout: overloadTimeout, Resends: overloadResends, SendDeadline: deadline,
		}},
	}
}

// warm runs load until the nodes' limits have reached the slots.
func (c overloadCase) warm(ctx context.Context, e Env, targets []string, run *overloadRun) error {
	config := c.load(e, len(overloadFactors)+1, targets, 0.9*c.nominal(), true)
	config.Duration = overloadWarmRounds * time.Duration(c.deployment.Upstreams[0].Server.Slots) * c.service
	r, err := load.Run(ctx, config)
	if err == nil {
		run.all = append(run.all, r)
	}
	return err
}

// goodput is the rate of operations that were completed within their deadline.
func goodput(e Env, r *load.Result) float64 {
	return float64(r.Counts[load.OutcomeOK]) / e.length(overloadPhase-overloadSkip).Seconds()
}

// overloadRun collects what the runs of one variant measured.
type overloadRun struct {
	name, path string
	table      *Table
	line       Line
	all        []*load.Result
	best, last float64
}

// at runs one load.
func (o *overloadRun) at(ctx context.Context, e Env, config load.Config, capacity, factor float64) error {
	e.say("overload: %s, %s, %.1f times capacity", o.name, o.path, factor)
	r, err := load.Run(ctx, config)
	if err != nil {
		return err
	}
	o.all = append(o.all, r)
	o.last = goodput(e, r)
	o.best = max(o.best, o.last)
	o.table.add(o.name, o.path, factor, fmt.Sprintf("%.0f", factor*capacity), fmt.Sprintf("%.0f", o.last), quantile(r.Latency(load.OutcomeOK), 99),
		r.Counts[load.OutcomeNotRun], r.Counts[load.OutcomeTimeout], notCompleted(r)-r.Counts[load.OutcomeNotRun]-r.Counts[load.OutcomeTimeout])
	o.line.Points = append(o.line.Points, plotter.XY{X: factor, Y: o.last / capacity})
	return nil
}

// kept is the share of the best goodput that is left at the highest load.
func (o *overloadRun) kept() string { return fmt.Sprintf("%.1f%%", 100*o.last/o.best) }

// overload measures goodput and tail latency at and above the capacity.
func overload(ctx context.Context, e Env) (*Report, error) {
	table := Table{
		Title: fmt.Sprintf("Open loop of reads, deadline %v, at most %d resends by callers, %.0f s each; service times 40 ms (Rahma) and 100 ms (Fjordpadle), so that the servers are what is overloaded", overloadTimeout, overloadResends, e.length(overloadPhase-overloadSkip).Seconds()),
		Columns: []string{
			"deployment", "path", "times capacity", "requests/s", "goodput/s", "99th percentile", "refused notRun", "timed out", "other failures",
		},
	}
	kept := Table{Title: "Goodput at 3 times capacity against the best of all loads, target 90%", Columns: []string{"deployment", "capacity/s", "through nodes", "straight, round robin"}}
	verdicts := newVerdicts()
	p := Plot{Name: "overload", Title: "Goodput under overload", X: "load / capacity", Y: "goodput / capacity"}
	for _, c := range overloadCases() {
		name := c.deployment.Name
		through := &overloadRun{name: name, path: "through nodes", table: &table, line: Line{Name: name + " through nodes"}}
		var capacity float64
		err := e.withLab(ctx, lab.Config{Deployment: c.deployment}, func(l *lab.Lab) error {
			e.say("overload: %s, capacity", name)
			if err := c.warm(ctx, e, l.Targets(), through); err != nil {
				return err
			}
			r, err := load.Run(ctx, c.load(e, 0, l.Targets(), 1.2*c.nominal(), true))
			if err != nil {
				return err
			}
			capacity = goodput(e, r)
			through.all = append(through.all, r)
			for i, factor := range overloadFactors {
				if err := through.at(ctx, e, c.load(e, i+1, l.Targets(), factor*capacity, true), capacity, factor); err != nil {
					return err
				}
			}
			verdicts.verdict(through.line.Name, recorded(l, through.all...))
			return nil
		})
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		straight := &overloadRun{name: name, path: "straight, round robin", table: &table, line: Line{Name: name + " straight"}}
		in, err := overloadStraight(ctx, e, c, straight, capacity)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		verdicts.verdict(straight.line.Name, in)
		kept.add(name, fmt.Sprintf("%.0f", capacity), through.kept(), straight.kept())
		p.Lines = append(p.Lines, through.line, straight.line)
	}
	return &Report{Tables: []Table{table, kept, verdicts}, Plots: []Plot{p}}, nil
}

// overloadStraight sends the load to stand-ins that have no nodes. Their nested
// calls go to the first stand-in of the other upstream.
func overloadStraight(ctx context.Context, e Env, c overloadCase, run *overloadRun, capacity float64) (check.Input, error) {
	records := backend.NewRecorder(0)
	var targets []string
	other := ""
	for i := len(c.deployment.Upstreams) - 1; i >= 0; i-- {
		u := c.deployment.Upstreams[i]
		for n := range u.Servers {
			config := u.Server
			config.Name, config.Upstream = fmt.Sprintf("%s-%d", u.Name, n+1), u.Name
			config.Seed, config.Records, config.Node = e.Seed+uint64(n), records, other
			s := backend.New(config)
			if err := s.Start(); err != nil {
				return check.Input{}, err
			}
			defer s.Close()
			if i == 0 {
				targets = append(targets, s.Address())
			} else if n == 0 {
				other = s.Address()
			}
		}
	}
	for i, factor := range overloadFactors {
		if err := run.at(ctx, e, c.load(e, i+1, targets, factor*capacity, false), capacity, factor); err != nil {
			return check.Input{}, err
		}
	}
	var in check.Input
	in.Entries, in.Dropped = records.Entries()
	for _, r := range run.all {
		in.Operations = append(in.Operations, r.Operations...)
	}
	return in, nil
}
