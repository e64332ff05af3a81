package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jujubeknot/jujubeknot/bench/backend"
	"github.com/jujubeknot/jujubeknot/bench/lab"
	"github.com/jujubeknot/jujubeknot/bench/load"
)

// hopsNodes is the number of nodes in the experiment hops. They share one machine
// with the load generator.
const hopsNodes = 2

const hopsPhase = 20 * time.Second

// hopsDeployment returns a deployment whose servers take 5 ms for each request.
func hopsDeployment() lab.Deployment {
	return lab.Deployment{
		Name: "hops", Zones: []string{"one", "two"},
		Upstreams: []lab.Upstream{{
			Name: "files", Keyed: true, Servers: hopsNodes,
			Server: backend.Config{
				Slots: 64, Connections: 110, ChecksFences: true, ConnectionCost: -1,
				Service: backend.Service{Shape: backend.ShapeConstant, Mean: 5 * time.Millisecond},
			},
		}},
		Rules: `upstream files keyed partitions=256 slots=64 connections=110 # laboratory: added latency
route /files/ to files key=segment:2 timeout=5s # laboratory: added latency
`,
	}
}

// hops measures the latency that two hops add to a request of 5 ms, compared with
// the same load sent directly to the backend servers.
func hops(ctx context.Context, e Env) (*Report, error) {
	table := Table{
		Title:   fmt.Sprintf("%d nodes, open loop, constant 5 ms requests, %.0f s each, one machine", hopsNodes, e.scaledLength(hopsPhase).Seconds()),
		Columns: []string{"requests/s per node", "path", "completed", "not completed", "median", "99th percentile", "99.9th percentile"},
	}
	for _, rate := range []float64{500, 1000, 2300} {
		err := e.withLab(ctx, lab.Config{Deployment: hopsDeployment()}, func(l *lab.Lab) error {
			var direct []string
			for _, s := range l.Servers() {
				direct = append(direct, s.Backend.Address())
			}
			var base *hdrhistogram.Histogram
			for _, path := range []string{"direct", "through nodes"} {
				targets := l.Targets()
				if path == "direct" {
					targets = direct
				}
				e.printProgress("hops: %.0f requests/s per node, %s", rate, path)
				result, err := load.Run(ctx, load.Config{
					Seed: e.Seed, Targets: targets, Rate: rate * hopsNodes, Duration: e.scaledLength(hopsPhase), WarmUp: e.scaledLength(3 * time.Second),
					Zipf: 1.01, Classes: []load.Class{{Name: "read", Weight: 1, Path: "/files/{key}"}},
				})
				if err != nil {
					return err
				}
				h := result.Latency(load.OutcomeOK)
				table.addRow(rate, path, result.Counts[load.OutcomeOK], notCompleted(result),
					quantile(h, 50), quantile(h, 99), quantile(h, 99.9))
				if base == nil {
					base = h
					continue
				}
				table.addRow(rate, "difference", "", "", quantile(h, 50)-quantile(base, 50), quantile(h, 99)-quantile(base, 99), quantile(h, 99.9)-quantile(base, 99.9))
			}
			return nil
		})
		if err != nil {
			return nil, err
		}
	}
	return &Report{Tables: []Table{table}}, nil
}
