package node_test

import "testing"

// TestLateRenewalResponsesExtendLease guards against a lease that ends because a busy
// leader responds to each renewal only after the node has sent the next one. The
// lease is counted from the sending of the renewal, so such a response extends it.
func TestLateRenewalResponsesExtendLease(t *testing.T) {
	c := newControl(t, testRules)
	c.leaseMs = 3000
	n := startNode(t, c, "late", newBackend(t, "applications1", "applications"), nil)
	lease := func() map[string]any { return vars(t, n)["lease"].(map[string]any) }
	eventually(t, "a lease", func() bool { return lease()["valid"].(bool) && lease()["incarnation"].(float64) > 2 })
	incarnation := lease()["incarnation"]
	c.mu.Lock()
	c.delayRenewals, c.renewals = true, 0
	c.mu.Unlock()
	// At one renewal every 350 ms the first lease of 3 s has expired after 9 of them.
	eventually(t, "14 renewals", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.renewals >= 14
	})
	if l := lease(); !l["valid"].(bool) || l["incarnation"] != incarnation {
		t.Errorf("lease %v, want that of incarnation %v", l, incarnation)
	}
}
