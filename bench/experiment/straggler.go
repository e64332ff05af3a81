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
	stragglerPhase = 8 * time.Second
	// stragglerSkip is the part at the start of each phase that the figures
	// exclude. They describe the steady state; the plot also shows the change.
	stragglerSkip = time.Second
	// stragglerFactor multiplies the service time of the slow server.
	stragglerFactor = 10
	// stragglerRate is the load in requests/s. Spread evenly, it gives each
	// server 125/s, which is more than the 80/s that the straggler sustains.
	stragglerRate = 1000
)

// stragglerPolicies are the default policy and the baselines it is compared with.
var stragglerPolicies = []string{"twoChoices", "leastInFlight", "random", "roundRobin"}

// stragglerDeployment returns a deployment with eight servers of an unkeyed
// upstream. The load reports of the servers are 2 s old.
func stragglerDeployment(policy string, hedging bool) lab.Deployment {
	d := lab.Deployment{
		Name: "straggler", Zones: []string{"one", "two", "three"},
		Upstreams: []lab.Upstream{{
			Name: "photos", Servers: 8,
			Server: backend.Config{
				Slots: 4, Connections: 100, LoadLag: 2 * time.Second,
				Service: backend.Service{Shape: backend.ShapeExponential, Mean: 5 * time.Millisecond},
			},
		}},
		Rules: fmt.Sprintf(`upstream photos unkeyed slots=4 connections=100 policy=%s # laboratory: policy under test
route /photos/ to photos timeout=5s # laboratory: reads
retry photos budget=10%% attempts=3 # laboratory: no storm of retries
`, policy),
	}
	if hedging {
		d.Rules += "hedge photos budget=5% after=20ms # laboratory: one slow server in eight\n"
	}
	return d
}

// straggler measures tail latency while one of eight servers is slow.
func straggler(ctx context.Context, e Env) (*Report, error) {
	table := Table{
		Title: fmt.Sprintf("8 servers without keys, 4 slots each, exponential 5 ms, %d requests/s, one server %d times as slow in the second phase, %.0f s each; target: 99th percentile within twice the healthy one",
			stragglerRate, stragglerFactor, e.scaledLength(stragglerPhase-stragglerSkip).Seconds()),
		Columns: []string{
			"policy", "hedging", "healthy median", "healthy 99th", "slow median", "slow 99th", "slow / healthy 99th", "share of the slow server", "not completed",
		},
	}
	violations := newViolations()
	p := Plot{Name: "straggler", Title: "One of eight servers slow from the 8th second on, hedging on", X: "time in s", Y: "99th percentile in ms"}
	for _, policy := range stragglerPolicies {
		for _, hedging := range []bool{true, false} {
			name := policy + ", hedging off"
			if hedging {
				name = policy + ", hedging on"
			}
			err := e.withLab(ctx, lab.Config{Deployment: stragglerDeployment(policy, hedging)}, func(l *lab.Lab) error {
				e.printProgress("straggler: %s", name)
				line := Line{Name: policy}
				var results []*load.Result
				for phase, factor := range []float64{1, stragglerFactor} {
					l.Servers()[0].Backend.SetSlowdown(factor)
					r, err := load.Run(ctx, load.Config{
						Seed: e.loadSeed(phase), Targets: l.Targets(), Rate: stragglerRate,
						Duration: e.scaledLength(stragglerPhase), WarmUp: e.scaledLength(stragglerSkip),
						Classes: []load.Class{{Name: "read", Weight: 1, Path: "/photos/{key}"}},
					})
					if err != nil {
						return err
					}
					results = append(results, r)
					for _, s := range check.Seconds(r.Operations, r.Start) {
						x := time.Duration(phase)*e.scaledLength(stragglerPhase) + s.Offset
						line.Points = append(line.Points, plotter.XY{X: x.Seconds(), Y: float64(s.P99) / float64(time.Millisecond)})
					}
				}
				in := checkInput(l, results...)
				addStragglerRow(&table, policy, hedging, results, in.Entries, l.Servers()[0].Name)
				violations.addViolations(name, in)
				if hedging {
					p.Lines = append(p.Lines, line)
				}
				return nil
			})
			if err != nil {
				return nil, fmt.Errorf("%s: %w", name, err)
			}
		}
	}
	return &Report{Tables: []Table{table, violations}, Plots: []Plot{p}}, nil
}

// addStragglerRow appends a row. The first of results is that of the phase in
// which all servers are healthy, the second that of the phase with the slow
// server.
func addStragglerRow(t *Table, policy string, hedging bool, results []*load.Result, entries []backend.Entry, slow string) {
	var atSlow, total int
	for _, x := range entries {
		if x.Kind != backend.EntryStart || x.At.Before(results[1].Start) {
			continue
		}
		total++
		if x.Server == slow {
			atSlow++
		}
	}
	healthy, slowed := results[0].Latency(load.OutcomeOK), results[1].Latency(load.OutcomeOK)
	t.addRow(policy, hedging, quantile(healthy, 50), quantile(healthy, 99), quantile(slowed, 50), quantile(slowed, 99),
		float64(quantile(slowed, 99))/float64(max(quantile(healthy, 99), 1)), fmt.Sprintf("%.1f%%", 100*float64(atSlow)/float64(max(total, 1))),
		notCompleted(results[0])+notCompleted(results[1]))
}
