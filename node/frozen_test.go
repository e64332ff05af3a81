package node_test

import (
	"testing"
	"time"
)

// TestFrozenServerKeepsItsKeys guards against partitions that go to another owner
// while a backend server that was frozen may wake up and find a grant of them
// among what was sent to it: its node returned the lease at once.
func TestFrozenServerKeepsItsKeys(t *testing.T) {
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
		return c.other("applications", before) != 0
	})
	frozen.freeze()
	eventually(t, "another owner", func() bool { return owner() != before })
	now := time.Now()
	frozen.mu.Lock()
	defer frozen.mu.Unlock()
	if frozen.grantedUntil.IsZero() || now.Before(frozen.grantedUntil) {
		t.Errorf("another owner %v before the end of what the frozen server was sent", frozen.grantedUntil.Sub(now))
	}
}
