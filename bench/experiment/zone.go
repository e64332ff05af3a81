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
	// zoneWarm is the time before the figures, in which the nodes' limits reach
	// the slots: without it trials counted refusals with the reason cold.
	zoneWarm   = 3 * time.Second
	zoneBefore = 5 * time.Second
	zoneOut    = 15 * time.Second
	zoneBack   = 60 * time.Second
	// zoneGrace is the time after which a zone that is out gets no new work.
	zoneGrace  = 3 * time.Second
	zoneWindow = 5 * time.Second
)

// zoneCase is a deployment with the load of its users.
type zoneCase struct {
	deployment lab.Deployment
	classes    []load.Class
	probe      string
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

// zoneTimes are the times of the two changes.
type zoneTimes struct {
	// out and back are the times at which the changes were accepted, asked the
	// time at which the second one was sent, and end that of the last look.
	out, asked, back, end time.Time
}

// zone measures service while an availability zone leaves and returns. Callers
// resend nothing, so each interrupted request counts.
func zone(ctx context.Context, e Env) (*Report, error) {
	table := Table{
		Title: fmt.Sprintf("One availability zone out for %.0f s and back, %d requests/s without resends by callers, probes of 32 keys each 20 ms; even is a max/mean of requests per server under %.2f in windows of %.0f s",
			e.length(zoneOut).Seconds(), zoneRate, hotTarget, zoneWindow.Seconds()),
		Columns: []string{
			"deployment", "phase", "completed", "not completed", "reasons", "99th percentile", "longest pause of a key", "last new work in the zone", "even after",
		},
	}
	verdicts := newVerdicts()
	p := Plot{Name: "zone", Title: "An availability zone leaves at 5 s and returns at 20 s", X: "time in s", Y: "99th percentile in ms"}
	for _, c := range zoneCases() {
		err := e.withLab(ctx, lab.Config{Deployment: c.deployment}, func(l *lab.Lab) error {
			e.say("zone: %s", c.deployment.Name)
			warm, err := load.Run(ctx, c.load(e, 1, l.Targets(), zoneWarm))
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
			out := check.Out{Zone: l.Servers()[0].Zone, From: times.out, To: times.asked, Grace: zoneGrace}
			in := recorded(l, warm, result)
			in.Outs = []check.Out{out}
			c.rows(&table, in, result.Start, times, out, probe)
			verdicts.verdict(c.deployment.Name, in)
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
	return &Report{Tables: []Table{table, verdicts}, Plots: []Plot{p}}, nil
}

// load is the mix of the users, mostly spread evenly over the keys.
func (c zoneCase) load(e Env, n int, targets []string, duration time.Duration) load.Config {
	const keys = 5000
	return load.Config{
		Seed: e.subseed(n), Targets: targets, Rate: zoneRate, Duration: duration,
		Keys: keys, Hot: load.HotSet{Keys: keys, Share: 0.8}, Classes: c.classes,
	}
}

func (c zoneCase) run(ctx context.Context, e Env, l *lab.Lab) (*load.Result, zoneTimes, error) {
	ended := startLoad(ctx, c.load(e, 0, l.Targets(), e.length(zoneBefore+zoneOut+zoneBack)))
	times, err := c.change(ctx, e, l)
	r := <-ended
	times.end = time.Now()
	if err == nil {
		err = r.err
	}
	return r.result, times, err
}

// change takes the zone out and back.
func (c zoneCase) change(ctx context.Context, e Env, l *lab.Lab) (t zoneTimes, err error) {
	name := l.Servers()[0].Zone
	time.Sleep(e.length(zoneBefore))
	if _, err = l.SetZone(ctx, name, true); err != nil {
		return t, err
	}
	t.out = time.Now()
	time.Sleep(e.length(zoneOut))
	t.asked = time.Now()
	_, err = l.SetZone(ctx, name, false)
	t.back = time.Now()
	return t, err
}

func (c zoneCase) rows(t *Table, in check.Input, start time.Time, times zoneTimes, out check.Out, probe *lab.Prober) {
	phases := []struct {
		name     string
		from, to time.Time
	}{{"before", start, times.out}, {"out", times.out, times.asked}, {"back", times.asked, times.end}}
	for _, phase := range phases {
		seen := between(in.Operations, phase.from, phase.to)
		last, even := "", ""
		switch phase.name {
		case "out":
			last = lastWork(in.Entries, out)
		case "back":
			even = evenAfter(in.Entries, c.deployment.Upstreams[0], times)
		}
		t.add(c.deployment.Name, phase.name, seen.completed, seen.failed, seen.reasons, seen.p99, probe.Unavailable(phase.from, phase.to.Add(-time.Second))[0], last, even)
	}
}

// lastWork returns the time of the last new work in the zone after the change
// was accepted.
func lastWork(entries []backend.Entry, out check.Out) string {
	last := out.From
	for _, x := range entries {
		if x.Kind == backend.EntryStart && x.Zone == out.Zone && x.At.After(last) && x.At.Before(out.To) {
			last = x.At
		}
	}
	return milliseconds(last.Sub(out.From))
}

// evenAfter returns the time after the return from which the load is even.
func evenAfter(entries []backend.Entry, u lab.Upstream, times zoneTimes) string {
	even := -1
	for i := range int(times.end.Sub(times.back) / zoneWindow) {
		from := times.back.Add(time.Duration(i) * zoneWindow)
		switch {
		case check.Imbalance(entries, u.Name, from, from.Add(zoneWindow)) >= hotTarget:
			even = -1
		case even < 0:
			even = i
		}
	}
	if even < 0 {
		return "not reached"
	}
	return fmt.Sprintf("%.0f s", (time.Duration(even) * zoneWindow).Seconds())
}
