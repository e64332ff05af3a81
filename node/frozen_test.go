package node_test

import (
	"testing"
	"time"
)

// TestFrozenServerKeepsPartitionsUntilGrantExpiry guards against partitions that get
// another owner while the grants sent to a frozen backend server are still valid. The
// server may resume and process them. The fault occurred because the node returned
// its lease immediately.
func TestFrozenServerKeepsPartitionsUntilGrantExpiry(t *testing.T) {
	c := newControl(t, testRules)
	frozen, other := newBackend(t, "server1", "applications"), newBackend(t, "server2", "applications")
	first := startNode(t, c, "first", frozen, nil)
	eventually(t, "node serves", func() bool { return send("GET", first.url+"/applications/k", nil, nil).status == 200 })
	startNode(t, c, "second", other, nil)
	owner := func() uint64 {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.assignments["applications"][0].GetOwner()
	}
	before := owner()
	eventually(t, "the other node is registered", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.otherServing("applications", before) != 0
	})
	frozen.freeze()
	eventually(t, "another owner", func() bool { return owner() != before })
	now := time.Now()
	frozen.mu.Lock()
	defer frozen.mu.Unlock()
	if frozen.grantedUntil.IsZero() || now.Before(frozen.grantedUntil) {
		t.Errorf("another owner %v before the expiry of the grants sent to the frozen server, want none until then", frozen.grantedUntil.Sub(now))
	}
}
