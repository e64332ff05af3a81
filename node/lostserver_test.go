package node_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

// ownerOf returns the owner of a partition of applications.
func (c *fakeControl) ownerOf(number int) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.assignments["applications"][number].GetOwner()
}

// startTwo starts a node whose backend server owns all partitions, and a second node
// that can take them over.
// silence ends the announcements of the server.
func startTwo(t *testing.T) (c *fakeControl, first, second *runningNode, server *backendServer, silence func()) {
	t.Helper()
	c = newControl(t, testRules)
	server = newBackend(t, "server1", "applications")
	first = startNode(t, c, "first", nil, nil)
	ctx, silence := context.WithCancel(t.Context())
	server.announce(ctx, t, first.Addresses().Backend, server.address)
	eventually(t, "node serves", func() bool { return send("GET", first.url+"/applications/k", nil, nil).status == 200 })
	second = startNode(t, c, "second", newBackend(t, "server2", "applications"), nil)
	eventually(t, "the other node is registered", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.otherServing("applications", c.assignments["applications"][0].GetOwner()) != 0
	})
	for _, n := range []*runningNode{first, second} {
		eventually(t, "node serves", func() bool { return n.Ready() && send("GET", n.url+"/applications/k", nil, nil).status == 200 })
	}
	warm(first.url + "/applications/warm")
	return c, first, second, server, silence
}

// warm sends requests until the concurrency limit of a new backend server has grown.
func warm(url string) {
	for i := range 40 {
		send("GET", fmt.Sprint(url, i), nil, nil)
	}
}

// TestFrozenServerDelaysPartitionsOnce guards against keys without an owner for the
// time of two leases, because calls in flight at a frozen backend server are waited for
// while its lease and its grants are extended.
func TestFrozenServerDelaysPartitionsOnce(t *testing.T) {
	for _, calls := range []int{0, 2} {
		t.Run(fmt.Sprintf("%d calls in flight", calls), func(t *testing.T) {
			c, first, _, server, _ := startTwo(t)
			before := c.ownerOf(0)
			started := make(chan struct{}, calls)
			server.setHandler(func(_ http.ResponseWriter, r *http.Request) {
				started <- struct{}{}
				<-r.Context().Done()
			})
			var callers sync.WaitGroup
			for i := range calls {
				callers.Go(func() {
					send("POST", first.url+fmt.Sprint("/applications/k", i), map[string]string{"Jujubeknot-Deadline": "8000"}, nil)
				})
			}
			for range calls {
				<-started
			}
			server.freeze()
			frozen := time.Now()
			eventually(t, "another owner", func() bool { return c.ownerOf(0) != before })
			// The server counts as lost after 1 s, and its last lease lasts 1.5 s.
			took := time.Since(frozen)
			t.Logf("another owner after %v", took)
			if limit := 3 * time.Second; took > limit {
				t.Errorf("another owner after %v, want at most %v", took, limit)
			}
			_ = server.server.Close()
			callers.Wait()
		})
	}
}
