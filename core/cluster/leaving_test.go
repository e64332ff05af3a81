package cluster_test

import (
	"fmt"
	"testing"

	"github.com/jujubeknot/jujubeknot/core/cluster"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// TestLeavingOutlastsRegistration guards against a backend server that is in use again
// after its node was removed and registered anew, against a later start of it that is
// kept out, and against a state that grows with each backend server that leaves.
func TestLeavingOutlastsRegistration(t *testing.T) {
	const kept = 2048
	s, index := &cluster.State{}, uint64(0)
	apply := func(c *wirev1.Command) cluster.Result {
		index++
		next, result := s.Apply(index, c)
		s = next
		return result
	}
	registerStart := func(server, boot string) *wirev1.Node {
		c := register(server, 0, "")
		c.GetRegisterNode().GetNode().GetBackendServer().BootId = boot
		return s.Node(apply(c).Index)
	}
	remove := func(n *wirev1.Node) { apply(replaceNodes([]uint64{n.GetIncarnation()})) }
	leave := func(server, boot string) {
		n := registerStart(server, boot)
		apply(&wirev1.Command{Kind: &wirev1.Command_UpdateNode{UpdateNode: &wirev1.UpdateNode{
			Incarnation: n.GetIncarnation(), Draining: true,
			BackendServer: &wirev1.BackendServer{Name: server, Upstream: "desk", BootId: boot, Leaving: true},
		}}})
		remove(n)
	}
	leave("s1", "1")
	var err error
	if s, err = cluster.FromSnapshot(s.Snapshot()); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		boot string
		want bool
	}{{"1", true}, {"2", false}, {"1", true}} {
		n := registerStart("s1", c.boot)
		if n.GetDraining() != c.want || n.GetBackendServer().GetLeaving() != c.want {
			t.Errorf("start %s registered as %v, want draining and leaving %v", c.boot, n, c.want)
		}
		remove(n)
	}
	for i := range kept {
		leave(fmt.Sprint("other", i), "1")
	}
	if got := len(s.Snapshot().GetLeavingServers()); got != kept {
		t.Errorf("%d leaving servers are kept, want %d", got, kept)
	}
}
