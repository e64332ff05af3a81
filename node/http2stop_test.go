package node_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/node"
)

// TestStopAnswersWaitingRequestsOverHTTP2 guards against requests of callers over HTTP/2
// that end without a response at the end of a stop.
func TestStopAnswersWaitingRequestsOverHTTP2(t *testing.T) {
	p := startPair(t, testRules)
	entry := startNode(t, p.control, "stopping", nil, func(c *node.Config) { c.DrainTimeout, c.StopTimeout = 100*time.Millisecond, time.Second })
	eventually(t, "node serves", func() bool { return entry.Ready() && send("GET", entry.url+"/applications/k", nil, nil).status == 200 })
	release := make(chan struct{})
	p.server.setHandler(func(http.ResponseWriter, *http.Request) { <-release })
	defer close(release)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
	defer client.CloseIdleConnections()
	const requests = 12
	results := make(chan error, requests)
	for i := range requests {
		go func() {
			r, err := client.Post(fmt.Sprint(entry.url, "/applications/waiting", i), "text/plain", nil)
			if err == nil {
				_ = r.Body.Close()
				if r.StatusCode < 500 {
					err = fmt.Errorf("status %d", r.StatusCode)
				}
			}
			results <- err
		}()
	}
	eventually(t, "requests run and wait", func() bool { return vars(t, p.owner)["backend"].(map[string]any)["queued"].(float64) > 0 })
	entry.stop()
	for range requests {
		if err := <-results; err != nil {
			t.Errorf("got %v, want a response that the node has given up", err)
		}
	}
}
