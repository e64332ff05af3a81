package node_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/node"
)

// TestStopWaitsForRequestsToItsEnd guards against a stopping node without
// partitions that cuts requests off after the time for moves, although most of the
// time for the whole stop is left: 16 uploads in a grown Rahma mix, seed
// 341490531656, were cut 3.3 s after the signal with 6 s until the kill.
func TestStopWaitsForRequestsToItsEnd(t *testing.T) {
	const moves = 100 * time.Millisecond
	p := startPair(t, testRules)
	entry := startNode(t, p.control, "stopping", nil, func(c *node.Config) { c.DrainTimeout, c.StopTimeout = moves, time.Minute })
	eventually(t, "node serves", func() bool { return entry.Ready() && send("GET", entry.url+"/applications/k", nil, nil).status == 200 })
	began, release := make(chan struct{}), make(chan struct{})
	p.server.setHandle(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(idHeader) == "upload" {
			close(began)
			<-release
		}
		_, _ = w.Write([]byte("stored"))
	})
	answers := make(chan answer, 1)
	go func() {
		answers <- send("POST", entry.url+"/applications/k", map[string]string{idHeader: "upload"}, strings.NewReader("receipt"))
	}()
	<-began
	entry.stop()
	eventually(t, "the node stops", func() bool { return strings.Contains(entry.log.String(), `"draining"`) })
	// Longer than the time for moves, twice: the node must still wait.
	time.Sleep(3 * moves)
	close(release)
	if a := <-answers; a.status != 200 || a.body != "stored" {
		t.Errorf("status %d body %q error %v", a.status, a.body, a.err)
	}
}
