package experiment

import (
	"context"
	"fmt"
	"slices"
	"time"

	"gonum.org/v1/plot/plotter"

	"github.com/jujubeknot/jujubeknot/bench/backend"
	"github.com/jujubeknot/jujubeknot/bench/check"
	"github.com/jujubeknot/jujubeknot/bench/lab"
	"github.com/jujubeknot/jujubeknot/bench/load"
)

const (
	coldServers = 7
	coldRate    = 2100
	// coldBaseline, coldAfterKill and coldAfterReset are the lengths of the
	// phases: all servers warm, one server killed and restarted, another one
	// cold without a restart.
	coldBaseline   = 4 * time.Second
	coldAfterKill  = 18 * time.Second
	coldAfterReset = 10 * time.Second
	// coldDowntime is the time from the kill of the server to its restart.
	coldDowntime = 500 * time.Millisecond
	// coldWarmUp and coldWarmRate are the duration and the rate per server, in
	// requests/s, of the load before the measurement. They suffice to make each
	// server warm.
	coldWarmUp   = 4 * time.Second
	coldWarmRate = 80
	// coldWindow and coldMinShare define when a server carries its share again. In
	// each later window it starts at least coldMinShare times the mean number of
	// requests of all servers.
	coldWindow   = time.Second
	coldMinShare = 0.75
)

// coldVariant is one way of distributing the load over the servers.
type coldVariant struct {
	name  string
	keyed bool
	// policy is empty if callers send directly to the servers, without nodes.
	policy string
}

var coldVariants = []coldVariant{
	{"keyed, balanced", true, "balanced"},
	{"without keys, twoChoices", false, "twoChoices"},
	{"without keys, roundRobin", false, "roundRobin"},
	{"straight, round robin", false, ""},
}

// coldServer returns the configuration of a server that runs at most 2 requests at
// a time while it is cold. It crashes after 30 requests above that within a second.
func coldServer() backend.Config {
	return backend.Config{
		Slots: 6, Connections: 110, ChecksFences: true,
		Service: backend.Service{Shape: backend.ShapeExponential, Mean: 10 * time.Millisecond},
		Cold:    backend.Cold{Capacity: 2, Work: 50, FailAt: 30, Restart: coldDowntime},
	}
}

func (v coldVariant) deployment() lab.Deployment {
	kind := "unkeyed"
	key := ""
	if v.keyed {
		kind, key = "keyed partitions=1024", " key=segment:2"
	}
	return lab.Deployment{
		Name: "cold", Zones: []string{"one", "two", "three"},
		Upstreams: []lab.Upstream{{Name: "files", Keyed: v.keyed, Servers: coldServers, Server: coldServer()}},
		Rules: fmt.Sprintf(`upstream files %s slots=6 connections=110 policy=%s # laboratory: policy under test
route /files/ to files%s timeout=5s # laboratory: reads
retry files budget=10%% attempts=3 # laboratory: no storm of retries
`, kind, v.policy, key),
	}
}

// coldSystem is the set of servers, with or without nodes, that a variant runs on.
type coldSystem struct {
	targets []string
	servers []*backend.Server
	names   []string
	records *backend.Recorder
}

// withSystem starts the system of the variant and calls run with it.
func (v coldVariant) withSystem(ctx context.Context, e Env, run func(coldSystem) error) error {
	if v.policy != "" {
		return e.withLab(ctx, lab.Config{Deployment: v.deployment()}, func(l *lab.Lab) error {
			s := coldSystem{targets: l.Targets(), records: l.Records()}
			for _, server := range l.Servers() {
				s.servers, s.names = append(s.servers, server.Backend), append(s.names, server.Name)
			}
			return run(s)
		})
	}
	s := coldSystem{records: backend.NewRecorder(0)}
	for i := range coldServers {
		config := coldServer()
		config.Name, config.Upstream = fmt.Sprintf("files-%d", i+1), "files"
		config.Seed, config.Records = e.Seed+uint64(i), s.records
		server := backend.New(config)
		if err := server.Start(); err != nil {
			return err
		}
		defer server.Close()
		s.servers, s.names = append(s.servers, server), append(s.names, config.Name)
		s.targets = append(s.targets, server.Address())
	}
	return run(s)
}

// warm sends requests directly to each server until it is warm.
func (s coldSystem) warm(ctx context.Context, e Env) error {
	var direct []string
	for _, server := range s.servers {
		direct = append(direct, server.Address())
	}
	_, err := load.Run(ctx, load.Config{
		Seed: e.loadSeed(1), Targets: direct, Rate: coldWarmRate * float64(len(direct)), Duration: coldWarmUp,
		Classes: []load.Class{{Name: "warm", Weight: 1, Path: "/files/{key}"}},
	})
	return err
}

// coldEvent is the interval of a run that follows an event at a server.
type coldEvent struct {
	description string
	server      string
	from, to    time.Time
	// plannedCrashes is the number of crashes of the server that the experiment
	// caused itself.
	plannedCrashes int
}

// events makes two servers cold, one after the other, and returns the interval that
// follows each event.
func (s coldSystem) events(e Env) ([]coldEvent, error) {
	time.Sleep(e.scaledLength(coldBaseline))
	killed := coldEvent{description: "killed and started again", server: s.names[0], from: time.Now(), plannedCrashes: 1}
	s.servers[0].Kill()
	time.Sleep(coldDowntime)
	if err := s.servers[0].Start(); err != nil {
		return nil, err
	}
	time.Sleep(e.scaledLength(coldAfterKill) - coldDowntime)
	reset := coldEvent{description: "cold without a restart", server: s.names[1], from: time.Now()}
	killed.to = reset.from
	s.servers[1].ResetColdStart()
	time.Sleep(e.scaledLength(coldAfterReset))
	reset.to = time.Now()
	return []coldEvent{killed, reset}, nil
}

// cold measures the load that servers receive during cold start.
func cold(ctx context.Context, e Env) (*Report, error) {
	table := Table{
		Title: fmt.Sprintf("%d servers, 6 slots, 2 while cold, exponential 10 ms, %d requests/s; a cold server fails over after 30 requests above its capacity within 1 s", coldServers, coldRate),
		Columns: []string{
			"variant", "server", "above its capacity", "crashes", "time until it carries its share", "99th percentile", "completed", "not completed", "reasons",
		},
	}
	violations := newViolations()
	p := Plot{Name: "cold", Title: "A server killed and started cold, then another one cold without a restart", X: "time in s", Y: "99th percentile in ms"}
	for _, v := range coldVariants {
		err := v.withSystem(ctx, e, func(s coldSystem) error {
			e.printProgress("cold: %s", v.name)
			if err := s.warm(ctx, e); err != nil {
				return err
			}
			result, events, err := s.run(ctx, e)
			if err != nil {
				return err
			}
			in := check.Input{Operations: result.Operations}
			in.Entries, in.Dropped = s.records.Entries()
			in.Entries = slices.DeleteFunc(in.Entries, func(x backend.Entry) bool { return x.At.Before(result.Start) })
			for _, event := range events {
				event.addEventRow(&table, v.name, in)
			}
			violations.addViolations(v.name, in)
			line := Line{Name: v.name}
			for _, second := range check.Seconds(result.Operations, result.Start) {
				line.Points = append(line.Points, plotter.XY{X: second.Offset.Seconds(), Y: float64(second.P99) / float64(time.Millisecond)})
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

func (s coldSystem) run(ctx context.Context, e Env) (*load.Result, []coldEvent, error) {
	const keys = 10_000
	loadDone := startLoad(ctx, load.Config{
		Seed: e.loadSeed(2), Targets: s.targets, Rate: coldRate, Duration: e.scaledLength(coldBaseline + coldAfterKill + coldAfterReset),
		Keys: keys, Hot: load.HotSet{Keys: keys, Share: 1},
		Classes: []load.Class{{Name: "read", Weight: 1, Path: "/files/{key}", Resends: 2}},
	})
	events, err := s.events(e)
	r := <-loadDone
	if err == nil {
		err = r.err
	}
	return r.result, events, err
}

// addEventRow appends a row with the effects of the event.
func (v coldEvent) addEventRow(t *Table, name string, in check.Input) {
	overCapacity, crashes := 0, -v.plannedCrashes
	starts := map[string][]int{}
	windows := int(v.to.Sub(v.from) / coldWindow)
	for _, x := range in.Entries {
		i := int(x.At.Sub(v.from) / coldWindow)
		if x.At.Before(v.from) || x.At.After(v.to) {
			continue
		}
		switch {
		case x.Kind == backend.EntryShed && x.Cold && x.InFlight > x.Capacity:
			overCapacity++
		case x.Kind == backend.EntryCrash:
			crashes++
		case x.Kind == backend.EntryStart && i < windows:
			if starts[x.Server] == nil {
				starts[x.Server] = make([]int, windows)
			}
			starts[x.Server][i]++
		}
	}
	summary := summarize(in.Operations, v.from, v.to)
	t.addRow(name, v.description, overCapacity, crashes, timeToShare(starts, v.server, windows), summary.p99, summary.completed, summary.failed, summary.reasons)
}

// timeToShare returns the time after which the server starts its share of the
// requests in every window, see coldMinShare.
func timeToShare(starts map[string][]int, server string, windows int) string {
	from := -1
	for i := range windows {
		total := 0
		for _, counts := range starts {
			total += counts[i]
		}
		started := 0
		if counts := starts[server]; counts != nil {
			started = counts[i]
		}
		switch {
		case float64(started*coldServers) < coldMinShare*float64(total):
			from = -1
		case from < 0:
			from = i
		}
	}
	if from < 0 {
		return "not reached"
	}
	return fmt.Sprintf("%.0f s", (time.Duration(from) * coldWindow).Seconds())
}
