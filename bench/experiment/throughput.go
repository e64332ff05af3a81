package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/jujubeknot/jujubeknot/bench/backend"
	"github.com/jujubeknot/jujubeknot/bench/check"
	"github.com/jujubeknot/jujubeknot/bench/load"
)

const (
	throughputPhase = 10 * time.Second
	throughputSlots = 128
	throughputRules = `upstream files keyed partitions=256 slots=128 connections=200 # laboratory: small requests
route /files/ to files key=segment:2 timeout=5s # laboratory: small requests
`
)

// throughputRates are the loads of the entry node and of the owner's node.
var throughputRates = []float64{1000, 2300, 5000, 10_000}

// throughput measures processor time and memory of nodes that are processes
// with GOMAXPROCS=1 and write their log lines to a file.
func throughput(ctx context.Context, e Env) (*Report, error) {
	table := Table{
		Title: fmt.Sprintf("Reads of 256 bytes, 1 ms at the server, open loop for %.0f s each; each node a process with GOMAXPROCS=1; target 10,000 requests/s on one core", throughputPhase.Seconds()),
		Columns: []string{
			"callers ask", "requests/s", "completed/s", "not completed", "99th percentile", "node", "processor time per request", "requests/s on a full core", "resident memory",
		},
	}
	verdicts := newVerdicts()
	server := backend.Config{
		Upstream: "files", Slots: throughputSlots, Connections: 200, ConnectionCost: -1, ChecksFences: true,
		Service: backend.Service{Shape: backend.ShapeConstant, Mean: time.Millisecond},
	}
	err := e.withProcesses(ctx, server, throughputRules, func(s nodes) error {
		in := check.Input{}
		for i, rate := range throughputRates {
			for j, path := range []string{"entry node", "owner's node"} {
				e.say("throughput: %s, %.0f requests/s", path, rate)
				asked := []*Process{s.entry, s.owner}[j:]
				r, used, err := measured(ctx, asked, load.Config{
					Seed: e.subseed(2*i + j), Targets: []string{asked[0].Callers}, Rate: rate, Duration: e.length(throughputPhase),
					Hot: load.HotSet{Keys: load.DefaultKeys, Share: 1}, Classes: []load.Class{{Name: "read", Weight: 1, Path: "/files/{key}"}},
				})
				if err != nil {
					return err
				}
				in.Operations = append(in.Operations, r.Operations...)
				for k, n := range asked {
					now, _, err := n.memory()
					if err != nil {
						return err
					}
					per := used[k] / time.Duration(max(len(r.Operations), 1))
					table.add(path, fmt.Sprintf("%.0f", rate), fmt.Sprintf("%.0f", float64(r.Counts[load.OutcomeOK])/e.length(throughputPhase).Seconds()), notCompleted(r),
						quantile(r.Latency(load.OutcomeOK), 99), []string{"entry", "owner"}[j+k], fmt.Sprintf("%.1f us", float64(per)/float64(time.Microsecond)),
						fmt.Sprintf("%.0f", float64(time.Second)/float64(max(per, 1))), mebibytes(now))
				}
			}
		}
		in.Entries, in.Dropped = s.records.Entries()
		verdicts.verdict("all", in)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return &Report{Tables: []Table{table, verdicts}}, nil
}

// measured runs a load and returns the processor time that nodes used for it.
func measured(ctx context.Context, nodes []*Process, config load.Config) (*load.Result, []time.Duration, error) {
	used := make([]time.Duration, len(nodes))
	for i, n := range nodes {
		before, err := n.processorTime()
		if err != nil {
			return nil, nil, err
		}
		used[i] = -before
	}
	r, err := load.Run(ctx, config)
	if err != nil {
		return nil, nil, err
	}
	for i, n := range nodes {
		after, err := n.processorTime()
		if err != nil {
			return nil, nil, err
		}
		used[i] += after
	}
	return r, used, nil
}
