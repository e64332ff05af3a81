package owner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/core/routing"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// TestClosedLeaseGrantsNothing guards against keys that are granted under a lease that
// is about to be returned. They would be granted to another backend server while this
// one holds them.
func TestClosedLeaseGrantsNothing(t *testing.T) {
	const incarnation = 300
	assignment := func(number uint32, index uint64) *wirev1.Assignment {
		return &wirev1.Assignment{Upstream: "desk", Partition: number, Owner: incarnation, Epoch: 2, SinceIndex: index}
	}
	s := registered(t, heartbeat, incarnation, 16, assignment(3, 150))
	ended, _ := s.CloseLease()
	<-ended
	table, err := routing.New().With(&wirev1.Update{
		Index: 310, Snapshot: true,
		Rules:       &wirev1.RulesRevision{Revision: 1, Text: fmt.Sprintf("upstream desk keyed keys=numbers policy=ranges partitions=%d # a: b\n", 16)},
		Nodes:       []*wirev1.Node{{Incarnation: incarnation, Name: "n", BackendServer: &wirev1.BackendServer{Name: "i-1", Upstream: "desk"}}},
		Assignments: []*wirev1.Assignment{assignment(3, 150), assignment(9, 305)},
	})
	if err != nil {
		t.Fatal(err)
	}
	s.TableChanged(table)
	if r := s.Respond(s.Receive(heartbeat), time.Minute); len(r.Grants) > 0 {
		t.Errorf("got grants %+v after the lease was closed, want none", r.Grants)
	}
}
