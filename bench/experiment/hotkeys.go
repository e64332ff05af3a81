package experiment

import (
	"context"
	"fmt"
	"time"

	"gonum.org/v1/plot/plotter"

	"github.com/jujubeknot/jujubeknot/bench/backend"
	"github.com/jujubeknot/jujubeknot/bench/lab"
	"github.com/jujubeknot/jujubeknot/bench/load"
)

const (
	// hotWindow is the interval over which the load of servers is compared.
	hotWindow = 5 * time.Second
	// hotPhase is the time between two changes of the hot keys.
	hotPhase = 60 * time.Second
	// hotMaxImbalance is the imbalance (max/mean) below which load counts as
	// balanced.
	hotMaxImbalance = 1.25
)

// hotPolicies are the default policy and the baselines it is compared with.
var hotPolicies = []string{"balanced", "hashing", "random", "roundRobin"}

// hotkeys measures imbalance and churn when the 10 hottest keys change, for each of
// hotPolicies.
func hotkeys(ctx context.Context, e Env) (*Report, error) {
	table := Table{
		Title: fmt.Sprintf("Fjordpadle waiverDesk, 8 servers, 1,024 partitions, 800 requests/s, 10 hot keys with 40%% of the load that change every %.0f s; load over %.0f s windows",
			hotPhase.Seconds(), hotWindow.Seconds()),
		Columns: []string{"policy", "change", "max/mean right after", "max/mean at the end", "time to under 1.25", "partitions moved"},
	}
	p := Plot{Name: "hotkeys", Title: "Imbalance when the hottest 10 keys change", X: "time in s", Y: "max/mean requests per server"}
	for _, policy := range hotPolicies {
		deployment := lab.Fjordpadle()
		deployment.Upstreams = deployment.Upstreams[:1]
		err := e.withLab(ctx, lab.Config{Deployment: deployment, Policy: policy}, func(l *lab.Lab) error {
			e.printProgress("hotkeys: %s", policy)
			start, phase := time.Now(), e.scaledLength(hotPhase)
			_, err := load.Run(ctx, load.Config{
				Seed: e.Seed, Targets: l.Targets(), Rate: 800, Duration: 3 * phase, Keys: 5000, Zipf: 1.01,
				Hot:     load.HotSet{Keys: 10, Share: 0.4, MoveEvery: phase},
				Classes: []load.Class{{Name: "read", Weight: 1, Path: "/waivers/{key}", Resends: 2}},
			})
			if err != nil {
				return err
			}
			entries, _ := l.Records().Entries()
			line := Line{Name: policy}
			for change := range 3 {
				result := evaluateHotChange(entries, start.Add(time.Duration(change)*phase), phase, deployment.Upstreams[0].Servers)
				balanced := "not reached"
				if result.balancedAfter >= 0 {
					balanced = fmt.Sprintf("%.0f s", result.balancedAfter.Seconds())
				}
				table.addRow(policy, change+1, result.imbalance[0], result.imbalance[len(result.imbalance)-1], balanced, fmt.Sprintf("%d (%.1f%%)", result.moved, 100*float64(result.moved)/1024))
				for i, v := range result.imbalance {
					at := time.Duration(change)*phase + time.Duration(i)*hotWindow
					line.Points = append(line.Points, plotter.XY{X: at.Seconds(), Y: v})
				}
			}
			p.Lines = append(p.Lines, line)
			return nil
		})
		if err != nil {
			return nil, fmt.Errorf("%s: %w", policy, err)
		}
	}
	return &Report{Tables: []Table{table}, Plots: []Plot{p}}, nil
}

// hotResult is the effect of one change of the hot keys.
type hotResult struct {
	// imbalance is the max/mean of requests per server in each window.
	imbalance []float64
	// balancedAfter is the time after which the imbalance stays below
	// hotMaxImbalance, negative if it does not.
	balancedAfter time.Duration
	// moved is the number of partitions that changed their owner.
	moved int
}

// evaluateHotChange evaluates the change of the hot keys at the time from, over
// one phase. A partition counts as moved if its fencing token rose.
func evaluateHotChange(entries []backend.Entry, from time.Time, phase time.Duration, servers int) hotResult {
	windows := max(1, int(phase/hotWindow))
	runs := make([]map[string]int, windows)
	for i := range runs {
		runs[i] = map[string]int{}
	}
	first, last := map[uint32]uint64{}, map[uint32]uint64{}
	for _, x := range entries {
		i := int(x.At.Sub(from) / hotWindow)
		if x.Kind != backend.EntryStart || !x.Keyed || x.At.Before(from) || i >= windows {
			continue
		}
		runs[i][x.Server]++
		if _, known := first[x.Partition]; !known {
			first[x.Partition] = x.Fence
		}
		last[x.Partition] = max(last[x.Partition], x.Fence)
	}
	r := hotResult{balancedAfter: -1}
	for partition, fence := range last {
		if fence > first[partition] {
			r.moved++
		}
	}
	for i := range runs {
		r.imbalance = append(r.imbalance, imbalance(runs[i], servers))
		switch {
		case r.imbalance[i] >= hotMaxImbalance:
			r.balancedAfter = -1
		case r.balancedAfter < 0:
			r.balancedAfter = time.Duration(i) * hotWindow
		}
	}
	return r
}

// imbalance returns the largest number of runs of a server divided by the mean.
func imbalance(runs map[string]int, servers int) float64 {
	total, largest := 0, 0
	for _, n := range runs {
		total += n
		largest = max(largest, n)
	}
	if total == 0 {
		return 0
	}
	return float64(largest) * float64(servers) / float64(total)
}
