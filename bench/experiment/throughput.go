package experiment

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/jujubeknot/jujubeknot/bench/backend"
	"github.com/jujubeknot/jujubeknot/bench/check"
	"github.com/jujubeknot/jujubeknot/bench/load"
	"github.com/jujubeknot/jujubeknot/bench/procfs"
)

const (
	throughputPhase = 10 * time.Second
	// throughputSkip is the part at the start of each load that latencies
	// exclude. During it the admission controller leaves cold start.
	throughputSkip  = 2 * time.Second
	throughputSlots = 128
	throughputRules = `upstream files keyed partitions=256 slots=128 connections=200 # laboratory: small requests
route /files/ to files key=segment:2 timeout=5s # laboratory: small requests
`
)

// throughputRates are the loads, in requests/s, that are sent on each path.
var throughputRates = []float64{1000, 2300, 5000, 10_000}

// throughput measures the processor time and memory of nodes. Each node is a
// process with GOMAXPROCS=1 that writes its log lines to a file.
func throughput(ctx context.Context, e Env) (*Report, error) {
	table := Table{
		Title: fmt.Sprintf("Reads of 256 bytes, 1 ms at the server, open loop for %.0f s each; each node a process with GOMAXPROCS=1; target 10,000 requests/s on one core", e.scaledLength(throughputPhase).Seconds()),
		Columns: []string{
			"callers ask", "requests/s", "completed/s", "not completed", "median", "99th percentile", "node", "processor time per request", "requests/s on a full core", "resident memory",
		},
	}
	violations := newViolations()
	server := backend.Config{
		Upstream: "files", Slots: throughputSlots, Connections: 200, ConnectionCost: -1, ChecksFences: true,
		Service: backend.Service{Shape: backend.ShapeConstant, Mean: time.Millisecond},
	}
	err := e.withProcesses(ctx, server, throughputRules, func(s nodePair) error {
		in := check.Input{}
		paths := []throughputPath{
			{name: "the server", target: s.server},
			{name: "entry node", target: s.entry.Callers, nodes: []*Process{s.entry, s.owner}, roles: []string{"entry", "owner"}},
			{name: "owner's node", target: s.owner.Callers, nodes: []*Process{s.owner}, roles: []string{"owner"}},
		}
		for i, rate := range throughputRates {
			for j, path := range paths {
				e.printProgress("throughput: %s, %.0f requests/s", path.name, rate)
				r, processorTime, err := runMeasured(ctx, path.nodes, load.Config{
					Seed: e.loadSeed(len(paths)*i + j), Targets: []string{path.target}, Rate: rate, Duration: e.scaledLength(throughputPhase), WarmUp: e.scaledLength(throughputSkip),
					Hot: load.HotSet{Keys: load.DefaultKeys, Share: 1}, Classes: []load.Class{{Name: "read", Weight: 1, Path: "/files/{key}"}},
				})
				if err != nil {
					return err
				}
				if len(path.nodes) > 0 {
					in.Operations = append(in.Operations, r.Operations...)
				}
				if err := path.addRows(&table, e, rate, r, processorTime); err != nil {
					return err
				}
			}
		}
		in.Entries, in.Dropped = s.records.Entries()
		// Requests sent directly to the server have no node that limits them, so
		// they are excluded from the check.
		in.Entries = slices.DeleteFunc(in.Entries, func(x backend.Entry) bool { return !x.Keyed && x.Kind != backend.EntryBoot })
		violations.addViolations("through nodes", in)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return &Report{Tables: []Table{table, violations}}, nil
}

// throughputPath is a target of callers and the nodes on the path from there.
type throughputPath struct {
	name   string
	target string
	nodes  []*Process
	roles  []string
}

// addRows appends a row with the latencies and one row for each node of the path.
func (p throughputPath) addRows(t *Table, e Env, rate float64, r *load.Result, processorTime []time.Duration) error {
	h := r.Latency(load.OutcomeOK)
	measured := e.scaledLength(throughputPhase) - e.scaledLength(throughputSkip)
	t.addRow(p.name, fmt.Sprintf("%.0f", rate), fmt.Sprintf("%.0f", float64(r.Counts[load.OutcomeOK])/measured.Seconds()), notCompleted(r),
		quantile(h, 50), quantile(h, 99), "", "", "", "")
	for i, n := range p.nodes {
		now, err := procfs.ReadUsage(n.PID)
		if err != nil {
			return err
		}
		per := processorTime[i] / time.Duration(max(len(r.Operations), 1))
		t.addRow(p.name, fmt.Sprintf("%.0f", rate), "", "", "", "", p.roles[i], fmt.Sprintf("%.1f us", float64(per)/float64(time.Microsecond)),
			fmt.Sprintf("%.0f", float64(time.Second)/float64(max(per, 1))), mebibytes(now.Resident))
	}
	return nil
}

// runMeasured runs a load and returns the processor time that each node used
// meanwhile.
func runMeasured(ctx context.Context, nodes []*Process, config load.Config) (*load.Result, []time.Duration, error) {
	processorTime := make([]time.Duration, len(nodes))
	for i, n := range nodes {
		before, err := procfs.ReadUsage(n.PID)
		if err != nil {
			return nil, nil, err
		}
		processorTime[i] = -before.Processor
	}
	r, err := load.Run(ctx, config)
	if err != nil {
		return nil, nil, err
	}
	for i, n := range nodes {
		after, err := procfs.ReadUsage(n.PID)
		if err != nil {
			return nil, nil, err
		}
		processorTime[i] += after.Processor
	}
	return r, processorTime, nil
}
