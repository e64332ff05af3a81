package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/jujubeknot/jujubeknot/bench/lab"
)

const (
	recoveryKeys       = 32
	recoveryPartitions = 1024
	// recoveryProbeTime is the time for which keys are probed after an event.
	recoveryProbeTime = 4 * time.Second
)

// event is a fault or a planned change that may make keys unavailable.
type event struct {
	name string
	// trigger causes the event in repetition n and returns a function that
	// reverts it.
	trigger func(context.Context, *lab.Lab, int) (undo func() error, err error)
}

func killServer(_ context.Context, l *lab.Lab, n int) (func() error, error) {
	i := n % 7
	l.KillServer(i)
	return func() error { return l.StartServer(i) }, nil
}

func killLeader(ctx context.Context, l *lab.Lab, _ int) (func() error, error) {
	leader, err := l.Leader(ctx)
	if err != nil {
		return nil, err
	}
	l.KillMember(leader)
	return func() error { return l.StartMember(leader) }, nil
}

// recoveryEvents are the events of the experiment recovery. The event nothing is
// the baseline.
var recoveryEvents = []event{
	{"nothing", func(context.Context, *lab.Lab, int) (func() error, error) { return func() error { return nil }, nil }},
	{"zone out", func(ctx context.Context, l *lab.Lab, n int) (func() error, error) {
		zone := l.Servers()[n%4].Zone
		_, err := l.SetZone(ctx, zone, true)
		return func() error { _, err := l.SetZone(ctx, zone, false); return err }, err
	}},
	{"node stopped gracefully", func(_ context.Context, l *lab.Lab, n int) (func() error, error) {
		i := n % 7
		err := l.StopServer(i)
		return func() error { return l.StartServer(i) }, err
	}},
	{"node and server killed", killServer},
	{"control leader killed", killLeader},
	{"node and leader killed", func(ctx context.Context, l *lab.Lab, n int) (func() error, error) {
		startMember, err := killLeader(ctx, l, n)
		if err != nil {
			return nil, err
		}
		startServer, err := killServer(ctx, l, n)
		return func() error {
			if err := startMember(); err != nil {
				return err
			}
			return startServer()
		}, err
	}},
}

// recovery measures the time for which keys are unavailable after each event.
func recovery(ctx context.Context, e Env) (*Report, error) {
	table := Table{
		Title: fmt.Sprintf("Rahma, longest time that any of %d keys was not served, one probe per key each 20 ms; without an event it is one service time plus the probe's interval", recoveryKeys),
		Columns: []string{
			"event", "repetitions", "least", "median", "worst",
		},
	}
	for _, x := range recoveryEvents {
		var longest []time.Duration
		err := e.withLab(ctx, lab.Config{Deployment: lab.Rahma()}, func(l *lab.Lab) error {
			for n := range e.scaledCount(20) {
				e.printProgress("recovery: %s, %d", x.name, n+1)
				unavailable, err := measureEvent(ctx, l, x, n)
				if err != nil {
					return err
				}
				longest = append(longest, unavailable)
			}
			return nil
		})
		if err != nil {
			return nil, fmt.Errorf("%s: %w", x.name, err)
		}
		least, median, worst := leastMedianLargest(longest)
		table.addRow(x.name, len(longest), least, median, worst)
	}
	return &Report{Tables: []Table{table}}, nil
}

// measureEvent causes an event, reverts it and returns the longest time for
// which any key was not served. It waits until the group is ready again.
func measureEvent(ctx context.Context, l *lab.Lab, x event, n int) (time.Duration, error) {
	probe := l.StartProbe(lab.ProbeConfig{Path: "/applications/{key}/status", Keys: lab.KeysOfPartitions(recoveryKeys, recoveryPartitions)})
	defer probe.Stop()
	time.Sleep(200 * time.Millisecond)
	from := time.Now()
	undo, err := x.trigger(ctx, l, n)
	if err != nil {
		return 0, err
	}
	time.Sleep(recoveryProbeTime)
	probe.Stop()
	longest := probe.Unavailable(from, time.Now().Add(-time.Second))[0]
	if err := undo(); err != nil {
		return 0, err
	}
	ready, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return longest, l.WaitReady(ready)
}
