package node_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/node"
)

// TestStopLogsResponses guards against a stop whose log does not say how the requests
// of callers ended, so that a request that was given up cannot be found.
func TestStopLogsResponses(t *testing.T) {
	p := startPair(t, testRules)
	entry := startNode(t, p.control, "stopping", nil, func(c *node.Config) { c.DrainTimeout, c.StopTimeout = 100*time.Millisecond, time.Minute })
	eventually(t, "node serves", func() bool { return entry.Ready() && send("GET", entry.url+"/applications/k", nil, nil).status == 200 })
	started, release := make(chan struct{}), make(chan struct{})
	p.server.setHandler(func(http.ResponseWriter, *http.Request) {
		close(started)
		<-release
	})
	answers := make(chan answer, 1)
	go func() { answers <- send("POST", entry.url+"/applications/k", nil, nil) }()
	<-started
	entry.stop()
	eventually(t, "the node stops", func() bool { return strings.Contains(entry.log.String(), `"draining"`) })
	close(release)
	if a := <-answers; a.status != 200 {
		t.Errorf("status %d error %v, want 200", a.status, a.err)
	}
	<-entry.ended
	for _, want := range []string{`"inFlightAtSignal":1`, `"responses":{"ok":1}`, `"message":"requests of callers ended"`} {
		if !strings.Contains(entry.log.String(), want) {
			t.Errorf("the log of a stop has no %s", want)
		}
	}
}
