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
	zoneRate = 600
	// zoneWarmUp is the length of the load before the measurement. During it the
	// limits of the nodes rise to the number of slots. Trials without it counted
	// refusals with the reason cold.
	zoneWarmUp = 3 * time.Second
	zoneBefore = 5 * time.Second
	zoneOut    = 15 * time.Second
	zoneBack   = 60 * time.Second
	// zoneGrace is the time after which a zone that is out must receive no new
	// work.
	zoneGrace  = 3 * time.Second
	zoneWindow = 5 * time.Second
)

// zoneCase is a deployment and the load of its callers.
type zoneCase struct {
	deployment lab.Deployment
	classes    []load.Class
	// probe is the path of the probes.
	probe string
}

func zoneCases() []zoneCase {
	return []zoneCase{
		{lab.Rahma(), []load.Class{
			{Name: "status", Weight: 70, Path: "/applications/{key}/status"},
			{Name: "submission", Weight: 15, Method: "POST", Path: "/applications/{key}/submit", Bytes: 2 << 10, IdempotencyKey: 0.5},
			{Name: "photo", Weight: 15, Method: "POST", Path: "/documents/{key}", Bytes: 32 << 10},
		}, "/applications/{key}/status"},
		{lab.Fjordpadle(), []load.Class{
			{Name: "waiver", Weight: 70, Path: "/waivers/{key}"},
			{Name: "signature", Weight: 15, Method: "POST", Path: "/waivers/{key}/sign", Bytes: 2 << 10, IdempotencyKey: 0.5},
			{Name: "roster", Weight: 15, Method: "POST", Path: "/rosters/{key}", Bytes: 32 << 10},
		}, "/waivers/{key}"},
	}
}

// zoneTimes are the times of the two rule changes.
type zoneTimes struct {
	// out and back are the times at which the changes were accepted. returnSent
	// is the time at which the second one was sent, and end is the end of the
	// load.
	out, returnSent, back, end time.Time
}

// zone measures the service while an availability zone is taken out and returned.
// Callers do not resend, so each interrupted request counts.
func zone(ctx context.Context, e Env) (*Report, error) {
	table := Table{
		Title: fmt.Sprintf("One availability zone out for %.0f s and back, %d requests/s without resends by callers, probes of 32 keys each 20 ms; even is a max/mean of requests per server under %.2f in windows of %.0f s",
			e.scaledLength(zoneOut).Seconds(), zoneRate, hotMaxImbalance, zoneWindow.Seconds()),
		Columns: []string{
			"deployment", "phase", "completed", "not completed", "reasons", "99th percentile", "longest pause of a key", "last new work in the zone", "even after",
		},
	}
	violations := newViolations()
	p := Plot{Name: "zone", Title: "An availability zone leaves at 5 s and returns at 20 s", X: "time in s", Y: "99th percentile in ms"}
	for _, c := range zoneCases() {
		err := e.withLab(ctx, lab.Config{Deployment: c.deployment}, func(l *lab.Lab) error {
			e.printProgress("zone: %s", c.deployment.Name)
			warmUp, err := load.Run(ctx, c.load(e, 1, l.Targets(), zoneWarmUp))
			if err != nil {
				return err
			}
			probe := l.StartProbe(lab.ProbeConfig{Path: c.probe, Keys: lab.KeysOfPartitions(recoveryKeys, recoveryPartitions)})
			defer probe.Stop()
			result, times, err := c.run(ctx, e, l)
			if err != nil {
				return err
			}
			probe.Stop()
			out := check.Exclusion{Zone: l.Servers()[0].Zone, From: times.out, To: times.returnSent, Grace: zoneGrace}
			in := checkInput(l, warmUp, result)
			in.Exclusions = []check.Exclusion{out}
			c.addRows(&table, in, result.Start, times, out, probe)
			violations.addViolations(c.deployment.Name, in)
			line := Line{Name: c.deployment.Name}
			for _, s := range check.Seconds(result.Operations, result.Start) {
				line.Points = append(line.Points, plotter.XY{X: s.Offset.Seconds(), Y: float64(s.P99) / float64(time.Millisecond)})
			}
			p.Lines = append(p.Lines, line)
			return nil
		})
		if err != nil {
			return nil, fmt.Errorf("%s: %w", c.deployment.Name, err)
		}
	}
	return &Report{Tables: []Table{table, violations}, Plots: []Plot{p}}, nil
}

// load returns the load of the deployment's callers. Most of it is spread evenly
// over the keys.
func (c zoneCase) load(e Env, n int, targets []string, duration time.Duration) load.Config {
	const keys = 5000
	return load.Config{
		Seed: e.loadSeed(n), Targets: targets, Rate: zoneRate, Duration: duration,
		Keys: keys, Hot: load.HotSet{Keys: keys, Share: 0.8}, Classes: c.classes,
	}
}

// run runs the load and takes the zone out and back meanwhile.
func (c zoneCase) run(ctx context.Context, e Env, l *lab.Lab) (*load.Result, zoneTimes, error) {
	loadDone := startLoad(ctx, c.load(e, 0, l.Targets(), e.scaledLength(zoneBefore+zoneOut+zoneBack)))
	times, err := c.change(ctx, e, l)
	r := <-loadDone
	times.end = time.Now()
	if err == nil {
		err = r.err
	}
	return r.result, times, err
}

// change takes the zone out of service and returns it to service.
func (c zoneCase) change(ctx context.Context, e Env, l *lab.Lab) (t zoneTimes, err error) {
	name := l.Servers()[0].Zone
	time.Sleep(e.scaledLength(zoneBefore))
	if _, err = l.SetZone(ctx, name, true); err != nil {
		return t, err
	}
	t.out = time.Now()
	time.Sleep(e.scaledLength(zoneOut))
	t.returnSent = time.Now()
	_, err = l.SetZone(ctx, name, false)
	t.back = time.Now()
	return t, err
}

// addRows appends one row for each phase: before, out and back.
func (c zoneCase) addRows(t *Table, in check.Input, start time.Time, times zoneTimes, out check.Exclusion, probe *lab.Prober) {
	phases := []struct {
		name     string
		from, to time.Time
	}{{"before", start, times.out}, {"out", times.out, times.returnSent}, {"back", times.returnSent, times.end}}
	for _, phase := range phases {
		summary := summarize(in.Operations, phase.from, phase.to)
		last, balanced := "", ""
		switch phase.name {
		case "out":
			last = lastNewWork(in.Entries, out)
		case "back":
			balanced = balancedAfter(in.Entries, c.deployment.Upstreams[0], times)
		}
		t.addRow(c.deployment.Name, phase.name, summary.completed, summary.failed, summary.reasons, summary.p99, probe.Unavailable(phase.from, phase.to.Add(-time.Second))[0], last, balanced)
	}
}

// lastNewWork returns the time from the acceptance of the change to the last
// start of a request in the zone.
func lastNewWork(entries []backend.Entry, out check.Exclusion) string {
	last := out.From
	for _, x := range entries {
		if x.Kind == backend.EntryStart && x.Zone == out.Zone && x.At.After(last) && x.At.Before(out.To) {
			last = x.At
		}
	}
	return milliseconds(last.Sub(out.From))
}

// balancedAfter returns the time after the return of the zone from which the
// imbalance stays below hotMaxImbalance.
func balancedAfter(entries []backend.Entry, u lab.Upstream, times zoneTimes) string {
	balanced := -1
	for i := range int(times.end.Sub(times.back) / zoneWindow) {
		from := times.back.Add(time.Duration(i) * zoneWindow)
		switch {
		case check.Imbalance(entries, u.Name, from, from.Add(zoneWindow)) >= hotMaxImbalance:
			balanced = -1
		case balanced < 0:
			balanced = i
		}
	}
	if balanced < 0 {
		return "not reached"
	}
	return fmt.Sprintf("%.0f s", (time.Duration(balanced) * zoneWindow).Seconds())
}
