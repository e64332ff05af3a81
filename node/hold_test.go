package node_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// TestHeldRequestWaitsForItsPartition guards against requests that are sent to the
// owner of a moving partition again at each change of the routing table. While an
// availability zone was taken out, one request was sent there every few milliseconds:
// 9,023 refusals in one day of the users' load.
func TestHeldRequestWaitsForItsPartition(t *testing.T) {
	c := startCluster(t, "applications", "applications")
	entry := c.nodes[1]
	key := ""
	for i := 0; key == ""; i++ {
		if k := fmt.Sprint("key", i); strings.HasPrefix(send("GET", entry.url+"/applications/"+k, nil, nil).body, "server1 ") {
			key = k
		}
	}
	free, busy := make(chan struct{}), make(chan struct{})
	c.servers[0].setHandler(func(_ http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/slow") {
			close(busy)
			<-free
		}
	})
	slow, held := make(chan answer, 1), make(chan answer, 1)
	go func() { slow <- send("GET", entry.url+"/applications/"+key+"/slow", nil, nil) }()
	<-busy
	c.control.mu.Lock()
	for i, n := range c.control.nodes {
		if n.GetBackendServer().GetName() == "server1" {
			c.control.releaseAll(i)
		}
	}
	c.control.mu.Unlock()
	// attempts returns the numbers of sendings to the other node and of holds, as
	// counted by the entry node.
	attempts := func() (sent, holds int) {
		counts := vars(t, entry)["attempts"].(map[string]any)
		number := func(name string) int {
			n, _ := counts[name].(float64)
			return int(n)
		}
		return number("peer"), number("hold")
	}
	before, _ := attempts()
	go func() { held <- send("GET", entry.url+"/applications/"+key, nil, nil) }()
	eventually(t, "the request is held", func() bool { _, holds := attempts(); return holds > 0 })
	started := time.Now()
	const changes = 40
	for range changes {
		c.control.mu.Lock()
		c.control.publish(&wirev1.Update{})
		index := float64(c.control.index)
		c.control.mu.Unlock()
		eventually(t, "the change is seen", func() bool { return vars(t, entry)["tableIndex"].(float64) >= index })
	}
	sent, _ := attempts()
	// One is the first sending, and a pause may end before the changes and another
	// one after them. Pauses take up to 100 ms.
	if maxSendings := 3 + int(time.Since(started)/(100*time.Millisecond)); sent-before > maxSendings {
		t.Errorf("the request was sent %d times during %d changes of the table, want %d at most", sent-before, changes, maxSendings)
	}
	close(free)
	if a := <-slow; a.status != http.StatusOK {
		t.Errorf("the request that ran during the move: status %d, want 200: %s", a.status, a.body)
	}
	if a := <-held; a.status != http.StatusOK && a.refusal.Outcome != "notRun" {
		t.Errorf("the held request: status %d, want 200 or outcome notRun: %s", a.status, a.body)
	}
}
