package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/core/placement"
)

var policies = []string{placement.PolicyBalanced, placement.PolicyRandom, placement.PolicyRoundRobin, placement.PolicyHashing}

// BenchmarkPlan measures a plan without moves, one that rebalances load, and
// one that places the partitions of a lost server.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ partitions, servers int }{{1024, 10}, {4096, 100}, {16384, 610}, {65536, 10}, {65536, 610}} {
		base := evenView(size.servers, size.partitions, 1)
		for i := range base.Partitions {
			base.Partitions[i].Owner, base.Partitions[i].Epoch = uint64(i%size.servers+1), 1
		}
		hot := base
		hot.Partitions = append([]placement.Partition(nil), base.Partitions...)
		for i := range 10 {
			hot.Partitions[i*size.servers].Load = float64(size.partitions) / float64(size.servers) / 4
		}
		lost := base
		lost.Servers = base.Servers[1:]
		for _, c := range []struct {
			name string
			view placement.View
		}{{"even", base}, {"hot", hot}, {"lost", lost}} {
			b.Run(fmt.Sprintf("%s/partitions=%d/servers=%d", c.name, size.partitions, size.servers), func(b *testing.B) {
				moves := 0
				for b.Loop() {
					planner := placement.NewPlanner(placement.Config{}, newPolicy(b, ""))
					moves = len(planner.Plan(time.Unix(1, 0), c.view))
				}
				b.ReportMetric(float64(moves), "moves")
			})
		}
	}
}

// movedShare carries out one plan a second and returns the number of moves as a
// share of the partitions. Moves take effect at the next second.
func movedShare(planner *placement.Planner, v *placement.View, now *time.Time, seconds int) float64 {
	moved := 0
	for _, n := range runPlans(planner, v, now, seconds) {
		moved += n
	}
	return float64(moved) / float64(len(v.Partitions))
}

// BenchmarkPolicies compares the default policy with the baselines on the same
// loads for each seed. There are 8 servers and 1,024 partitions, 10 of which
// are hot with 30% of the load. Then other partitions become hot, a server
// leaves, and it returns. Only the reported metrics count, not the time.
func BenchmarkPolicies(b *testing.B) {
	const seeds = 20
	for _, name := range policies {
		for seed := range uint64(seeds) {
			b.Run(fmt.Sprintf("%s/seed=%d", name, seed), func(b *testing.B) {
				for b.Loop() {
					comparePolicy(b, name, seed)
				}
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// comparePolicy reports the balance and the moves of one policy for one seed.
func comparePolicy(b *testing.B, name string, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	v, now := evenView(8, 1024, 1), time.Unix(0, 0)
	drawHotPartitions := func() {
		for i := range v.Partitions {
			v.Partitions[i].Load = 0.5 + random.Float64()
		}
		for range 10 {
			v.Partitions[random.IntN(1024)].Load = 0.3 / 0.7 * 1024 / 10
		}
	}
	policy, err := placement.NewPolicy(name, seed)
	if err != nil {
		b.Fatal(err)
	}
	planner := placement.NewPlanner(placement.Config{}, policy)
	drawHotPartitions()
	movedShare(planner, &v, &now, 600)
	b.ReportMetric(maxToMean(&v), "before-max/mean")
	drawHotPartitions()
	b.ReportMetric(maxToMean(&v), "changed-max/mean")
	b.ReportMetric(100*movedShare(planner, &v, &now, 60), "moved60s-%")
	b.ReportMetric(maxToMean(&v), "after60s-max/mean")
	for i := range v.Partitions {
		v.Partitions[i].Load = 1
	}
	movedShare(planner, &v, &now, 1200)
	v.Servers[7].Leaving = true
	b.ReportMetric(100*movedShare(planner, &v, &now, 1800), "leave-%")
	v.Servers[7].Leaving = false
	b.ReportMetric(100*movedShare(planner, &v, &now, 1800), "return-%")
}
