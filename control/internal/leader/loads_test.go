package leader_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/control/internal/leader"
	"github.com/jujubeknot/jujubeknot/core/cluster"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// TestLoadAveragesAtTrafficStart guards against partitions that appear to have
// no load because the averages do not include their requests yet. When a zone
// was taken out 1.9 s after traffic had started, one server got 734 of 1,396
// partitions and refused up to 310 requests in 2 s for 10 s.
func TestLoadAveragesAtTrafficStart(t *testing.T) {
	const (
		count    = 64
		owners   = 4
		rate     = 80
		heaviest = 4
	)
	state := &cluster.State{}
	apply := func(c *wirev1.Command) {
		t.Helper()
		next, result := state.Apply(state.Index()+1, c)
		if result.Code != cluster.CodeApplied {
			t.Fatalf("%v: %v", c, result)
		}
		state = next
	}
	renewals := map[uint64]*wirev1.RenewRequest{}
	for i := range owners {
		apply(&wirev1.Command{Kind: &wirev1.Command_RegisterNode{RegisterNode: &wirev1.RegisterNode{
			Node: &wirev1.Node{Name: fmt.Sprint("n", i), PeerAddress: "127.0.0.1:1", BackendServer: &wirev1.BackendServer{Name: fmt.Sprint("s", i), Upstream: "desk"}},
		}}})
		incarnation := state.Index()
		changes := []*wirev1.AssignChange{}
		for p := range uint32(count / owners) {
			changes = append(changes, &wirev1.AssignChange{Upstream: "desk", Partition: uint32(i)*count/owners + p, Owner: incarnation, Reason: "firstAssignment"})
		}
		apply(&wirev1.Command{Kind: &wirev1.Command_Assign{Assign: &wirev1.Assign{Changes: changes}}})
		renewals[incarnation] = &wirev1.RenewRequest{}
	}
	averages := leader.NewAverages(2 * time.Second)
	now := time.Unix(100, 0)
	for range 8 {
		averages.Update(now, state, "desk", count, renewals)
		now = now.Add(time.Second)
	}
	for i, r := range renewals {
		r.RequestsPerSecond = rate
		first := uint32(0)
		for a := range state.Assignments("desk") {
			if a.GetOwner() == i {
				first = a.GetPartition()
				break
			}
		}
		for p := range uint32(heaviest) {
			r.Heaviest = append(r.Heaviest, &wirev1.PartitionLoad{Upstream: "desk", Partition: first + p, RequestsPerSecond: 5})
		}
	}
	for step := range 10 {
		averages.Update(now, state, "desk", count, renewals)
		now = now.Add(time.Second)
		total, least := 0.0, math.Inf(1)
		for p := range uint32(count) {
			total += averages.Rate(p)
			least = min(least, averages.Rate(p))
		}
		if math.Abs(total-owners*rate) > owners*rate/10 {
			t.Errorf("averages %d s after traffic began: %.0f requests/s in total, want %d within 10%%", step, total, owners*rate)
		}
		if fair := float64(owners*rate) / count; least < fair/2 {
			t.Errorf("lowest average %d s after traffic began: %.2f requests/s, want at least half of the mean %.2f", step, least, fair)
		}
	}
}
