package node_test

import (
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/node"
	"github.com/jujubeknot/jujubeknot/wire/headers"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// changeRules puts a revision in force at all nodes except one, and makes the
// renewals of that one fail.
func (c *fakeControl) changeRules(revision uint64, text string, except uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failRenewals[except] = true
	c.withhold(revision, text, except)
}

// withhold puts a revision in force at all nodes except one. The caller holds c.mu.
func (c *fakeControl) withhold(revision uint64, text string, except uint64) {
	c.rules = &wirev1.RulesRevision{Revision: revision, Text: text}
	watcher := c.watchers[except]
	delete(c.watchers, except)
	c.publish(&wirev1.Update{Rules: c.rules})
	c.watchers[except] = watcher
}

// incarnationOf returns the incarnation of the registered node with a name, or 0.
func (c *fakeControl) incarnationOf(name string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.incarnationLocked(name)
}

// incarnationLocked is incarnationOf for a caller that holds c.mu.
func (c *fakeControl) incarnationLocked(name string) uint64 {
	for number, n := range c.nodes {
		if n.GetName() == name {
			return number
		}
	}
	return 0
}

// TestStaleRulesAreNotUsed guards against a node that has lost its connection to
// control without detecting it. It continues to route by rules that are no longer in
// force at other nodes, and answers that a route does not exist although it was added.
func TestStaleRulesAreNotUsed(t *testing.T) {
	c := newControl(t, testRules+"option holdTimeout=50ms # test: short\n")
	c.leaseMs = 60_000
	withGrace := func(c *node.Config) { c.RulesGrace, c.WithoutLease = 500*time.Millisecond, true }
	server := newBackend(t, "server1", "applications")
	owner, entry := startNode(t, c, "owner", server, withGrace), startNode(t, c, "entry", nil, withGrace)
	for _, n := range []*runningNode{owner, entry} {
		eventually(t, "node serves", func() bool { return send("GET", n.url+"/applications/k", nil, nil).status == 200 })
	}
	// A busy machine may delay a renewal by more than RulesGrace.
	eventually(t, "a route that is not there is denied", func() bool { return send("GET", entry.url+"/nothing", nil, nil).status == 404 })
	lost := c.incarnationOf("entry")
	c.changeRules(2, testRules+"route /nothing to applications key=segment:2 # test: added\n", lost)
	eventually(t, "the owner refuses", func() bool {
		a := send("GET", entry.url+"/applications/k", map[string]string{headers.Deadline: "500"}, nil)
		return a.status == 503 && a.refusal.Outcome == "notRun" && a.refusal.Reason == "oldRules"
	})
	eventually(t, "an added route is not denied", func() bool { return send("GET", entry.url+"/nothing/k", nil, nil).status == 503 })
	if a := send("GET", owner.url+"/nothing/k", nil, nil); a.status != 200 {
		t.Errorf("added route at the owner: status %d, want 200: %s", a.status, a.body)
	}
	c.mu.Lock()
	delete(c.failRenewals, lost)
	c.publish(&wirev1.Update{Rules: c.rules})
	c.mu.Unlock()
	eventually(t, "the entry node serves by the new rules", func() bool { return send("GET", entry.url+"/nothing/k", nil, nil).status == 200 })
}

// TestSupersededRulesAreNotUsed guards against a node whose renewals succeed but whose
// updates are late. It continues to use rules that are no longer in force, at its own
// backend server and at nodes whose updates are equally late. With 300 VMs an accepted
// change took 2.6 s to be in force at two nodes.
func TestSupersededRulesAreNotUsed(t *testing.T) {
	c := newControl(t, testRules)
	c.leaseMs = 60_000
	n := startNode(t, c, "entry", newBackend(t, "server1", "applications"), func(c *node.Config) {
		c.RulesGrace, c.WithoutLease = 500*time.Millisecond, true
	})
	eventually(t, "node serves", func() bool { return send("GET", n.url+"/applications/k", nil, nil).status == 200 })
	late := c.incarnationOf("entry")
	c.mu.Lock()
	c.withheld[late] = time.Now()
	c.withhold(2, testRules+"route /added to applications key=segment:2 # test: added\n", late)
	c.mu.Unlock()
	eventually(t, "the old rules are not used", func() bool {
		a := send("GET", n.url+"/applications/k", nil, nil)
		return a.status == 503 && a.refusal.Outcome == "notRun" && a.refusal.Reason == "noRules"
	})
	c.mu.Lock()
	c.publish(&wirev1.Update{Rules: c.rules})
	c.mu.Unlock()
	eventually(t, "the new rules are used", func() bool { return send("GET", n.url+"/added/k", nil, nil).status == 200 })
}

// TestRulesFromPeers guards against refusals at a node that is cut off from control
// but can reach other nodes, which have the rules that it lacks.
func TestRulesFromPeers(t *testing.T) {
	c := newControl(t, testRules+"option holdTimeout=50ms # test: short\n")
	c.leaseMs = 60_000
	withGrace := func(c *node.Config) {
		c.RulesGrace, c.WithoutLease, c.RulesFromPeers = 500*time.Millisecond, true, true
	}
	server := newBackend(t, "server1", "applications")
	owner, entry := startNode(t, c, "owner", server, withGrace), startNode(t, c, "entry", nil, withGrace)
	for _, n := range []*runningNode{owner, entry} {
		eventually(t, "node serves", func() bool { return send("GET", n.url+"/applications/k", nil, nil).status == 200 })
	}
	c.changeRules(2, testRules+"route /added to applications key=segment:2 # test: added\n", c.incarnationOf("entry"))
	eventually(t, "the rules came from the owner's node", func() bool { return send("GET", entry.url+"/added/k", nil, nil).status == 200 })
	// The next change arrives too, and the route that it drops is denied.
	c.mu.Lock()
	c.withhold(3, testRules+"route /added2 to applications key=segment:2 # test: added\n", c.incarnationLocked("entry"))
	c.mu.Unlock()
	eventually(t, "the next rules came", func() bool { return send("GET", entry.url+"/added2/k", nil, nil).status == 200 })
	eventually(t, "a dropped route is denied", func() bool { return send("GET", entry.url+"/added/k", nil, nil).status == 404 })
}
