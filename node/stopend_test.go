package node_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/node"
)

// endsWithin stops a node and reports an error unless it ends within a time.
func endsWithin(t *testing.T, n *runningNode, limit time.Duration) {
	t.Helper()
	signalled := time.Now()
	n.stop()
	<-n.ended
	if took := time.Since(signalled); took > limit {
		t.Errorf("the node ended %v after the signal to stop, want at most %v", took, limit)
	}
}

// TestStopEndsWithoutResponseOfControl guards against a stop that requests have used up,
// and that then lasts beyond the grace because control does not answer the return of the
// lease. The platform kills the process at that time.
func TestStopEndsWithoutResponseOfControl(t *testing.T) {
	const stopTimeout = 800 * time.Millisecond
	c := newControl(t, testRules)
	server := newBackend(t, "server1", "applications")
	n := startNode(t, c, "first", server, func(cfg *node.Config) { cfg.DrainTimeout, cfg.StopTimeout = 100*time.Millisecond, stopTimeout })
	eventually(t, "node serves", func() bool { return send("GET", n.url+"/applications/k", nil, nil).status == 200 })
	started, release := make(chan struct{}), make(chan struct{})
	defer close(release)
	server.setHandler(func(http.ResponseWriter, *http.Request) {
		close(started)
		<-release
	})
	ended := make(chan answer, 1)
	go func() { ended <- send("POST", n.url+"/applications/k", map[string]string{idHeader: "long"}, nil) }()
	<-started
	c.mu.Lock()
	c.holdReturns = true
	c.mu.Unlock()
	endsWithin(t, n, stopTimeout+350*time.Millisecond)
	<-ended
}
