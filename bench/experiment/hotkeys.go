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
	// hotWindow is the span over which load is compared.
	hotWindow = 5 * time.Second
	// hotPhase is the time between two changes of the hot keys.
	hotPhase = 60 * time.Second
	// hotTarget is the imbalance that counts as even.
	hotTarget = 1.25
)

// hotPolicies are the default and the baselines.
var hotPolicies = []string{"balanced", "hashing", "random", "roundRobin"}

// hotkeys measures imbalance and churn when the hottest 10 keys change, for
// the default policy and the baselines.
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
			e.say("hotkeys: %s", policy)
			start, phase := time.Now(), e.length(hotPhase)
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
				w := hotChange(entries, start.Add(time.Duration(change)*phase), phase, deployment.Upstreams[0].Servers)
				reached := "not reached"
				if w.even >= 0 {
					reached = fmt.Sprintf("%.0f s", w.even.Seconds())
				}
				table.add(policy, change+1, w.imbalance[0], w.imbalance[len(w.imbalance)-1], reached, fmt.Sprintf("%d (%.1f%%)", w.moved, 100*float64(w.moved)/1024))
				for i, v := range w.imbalance {
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

// hotResult is what one change of the hot keys led to.
type hotResult struct {
	// imbalance has a value for each window.
	imbalance []float64
	// even is the time after which the imbalance stays under the target,
	// negative if it does not.
	even  time.Duration
	moved int
}

func hotChange(entries []backend.Entry, from time.Time, phase time.Duration, servers int) hotResult {
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
		if _, seen := first[x.Partition]; !seen {
			first[x.Partition] = x.Fence
		}
		last[x.Partition] = max(last[x.Partition], x.Fence)
	}
	r := hotResult{even: -1}
	for partition, fence := range last {
		if fence > first[partition] {
			r.moved++
		}
	}
	for i := range runs {
		r.imbalance = append(r.imbalance, imbalance(runs[i], servers))
		switch {
		case r.imbalance[i] >= hotTarget:
			r.even = -1
		case r.even < 0:
			r.even = time.Duration(i) * hotWindow
		}
	}
	return r
}

// imbalance is the largest number of runs of a server over the mean.
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
