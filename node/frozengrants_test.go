package node_test

import (
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/node"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// reassign gives a partition of applications to its owner again, at the next epoch. The
// caller holds c.mu.
func (c *fakeControl) reassign(number uint32) {
	a := c.assignments["applications"][number]
	a = &wirev1.Assignment{Upstream: a.GetUpstream(), Partition: number, Owner: a.GetOwner(), Epoch: a.GetEpoch() + 1}
	c.assignments["applications"][number] = a
	c.publish(&wirev1.Update{Assignments: []*wirev1.Assignment{a}})
}

// TestStopWithGrantsForFrozenServer guards against a stop that waits until each of
// several grants has timed out, one after the other, at a backend server that does not
// respond.
func TestStopWithGrantsForFrozenServer(t *testing.T) {
	c := newControl(t, testRules)
	server := newBackend(t, "server1", "applications")
	n := startNode(t, c, "first", server, func(cfg *node.Config) { cfg.DrainTimeout, cfg.StopTimeout = 100*time.Millisecond, 300*time.Millisecond })
	eventually(t, "node serves", func() bool { return send("GET", n.url+"/applications/k", nil, nil).status == 200 })
	server.freeze()
	c.mu.Lock()
	for i := range uint32(8) {
		c.reassign(i)
	}
	index := c.index
	c.mu.Unlock()
	eventually(t, "the node has the new assignments", func() bool { return uint64(vars(t, n)["tableIndex"].(float64)) >= index })
	endsWithin(t, n, 1500*time.Millisecond)
}
