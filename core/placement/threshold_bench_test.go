package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/core/placement"
)

// BenchmarkRebalanceThresholds compares one threshold for rebalancing with
// separate ones for its start and stop. Loads drift: each second, 3 of 1,024
// partitions become hot or cease to be. Only the reported metrics count, not
// the time.
func BenchmarkRebalanceThresholds(b *testing.B) {
	const seconds = 1800
	for _, c := range []placement.Config{
		{RebalanceStartRatio: 1.10, RebalanceStopRatio: 1.10},
		{RebalanceStartRatio: 1.15, RebalanceStopRatio: 1.15},
		{RebalanceStartRatio: 1.20, RebalanceStopRatio: 1.20},
		{RebalanceStartRatio: 1.20, RebalanceStopRatio: 1.17},
		{RebalanceStartRatio: 1.20, RebalanceStopRatio: 1.15},
		{RebalanceStartRatio: 1.20, RebalanceStopRatio: 1.10},
	} {
		b.Run(fmt.Sprintf("start=%.2f/stop=%.2f", c.RebalanceStartRatio, c.RebalanceStopRatio), func(b *testing.B) {
			for b.Loop() {
				moved, over, mean := 0.0, 0, 0.0
				const seeds = 10
				for seed := range uint64(seeds) {
					random := rand.New(rand.NewPCG(seed, 2))
					v, now := evenView(8, 1024, 1), time.Unix(0, 0)
					policy, err := placement.NewPolicy("", seed)
					if err != nil {
						b.Fatal(err)
					}
					planner := placement.NewPlanner(c, policy)
					movedShare(planner, &v, &now, 10)
					for range seconds {
						for range 3 {
							p := &v.Partitions[random.IntN(len(v.Partitions))]
							p.Load = 0.5 + random.Float64()
							if random.IntN(40) == 0 {
								p.Load = 40
							}
						}
						moved += movedShare(planner, &v, &now, 1)
						r := maxToMean(&v)
						mean += r
						if r > 1.25 {
							over++
						}
					}
				}
				b.ReportMetric(100*moved/seeds/(seconds/60), "moved-%/min")
				b.ReportMetric(mean/seeds/seconds, "mean-max/mean")
				b.ReportMetric(100*float64(over)/seeds/seconds, "over1.25-%")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}
