package placement_test

import (
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/core/placement"
)

// TestRangesPolicyLimitsRanges guards against owners with more ranges than the
// response to a heartbeat has room for. It also guards against long ranges at
// one server, because busy keys are often adjacent.
func TestRangesPolicyLimitsRanges(t *testing.T) {
	const partitions, servers, maxRanges = 4096, 7, 150
	policy, err := placement.NewPolicy(placement.PolicyRanges, 0)
	if err != nil {
		t.Fatal(err)
	}
	p := placement.NewPlanner(placement.Config{BaseLoad: 0.005}, policy)
	view := placement.View{Upstream: "desk", LoadsUnknown: true, Partitions: make([]placement.Partition, partitions)}
	for i := range view.Partitions {
		view.Partitions[i].Number = uint32(i)
	}
	for i := range servers {
		view.Servers = append(view.Servers, placement.Server{Incarnation: uint64(i + 1), Name: string(rune('a' + i)), Weight: 6})
	}
	now := time.Unix(100, 0)
	apply := func(moves []placement.Move) {
		for _, m := range moves {
			view.Partitions[m.Partition].Owner = m.To
			view.Partitions[m.Partition].Epoch++
		}
	}
	apply(p.Plan(now, view))
	for lost := 0; lost < 3; lost++ {
		ranges, owned := map[uint64]int{}, map[uint64]int{}
		longest, run := 0, 0
		for i, part := range view.Partitions {
			owned[part.Owner]++
			if i > 0 && view.Partitions[i-1].Owner == part.Owner {
				run++
			} else {
				ranges[part.Owner]++
				run = 1
			}
			longest = max(longest, run)
		}
		for incarnation, n := range ranges {
			if n > maxRanges {
				t.Errorf("%d servers lost: server %d has %d ranges, want at most 150", lost, incarnation, n)
			}
			if fair := partitions / (servers - lost); owned[incarnation] > fair*5/4 {
				t.Errorf("%d servers lost: server %d has %d partitions of %d, want at most 5/4 of its fair share", lost, incarnation, owned[incarnation], partitions)
			}
		}
		if lost == 0 && longest > partitions/servers/50 {
			t.Errorf("%d adjacent partitions have one owner, want fewer", longest)
		}
		view.Servers[lost].Lost = true
		apply(p.Plan(now, view))
	}
}
