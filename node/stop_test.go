package node_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/node"
)

// TestStopTimeoutIsUsedForRequests guards against a stopping node without partitions
// that aborts requests after DrainTimeout, although most of StopTimeout remains. In a
// grown Rahma mix with seed 341490531656, 16 uploads were aborted 3.3 s after the
// signal to stop and 6 s before the process would have been killed.
func TestStopTimeoutIsUsedForRequests(t *testing.T) {
	const drainTimeout = 100 * time.Millisecond
	p := startPair(t, testRules)
	entry := startNode(t, p.control, "stopping", nil, func(c *node.Config) { c.DrainTimeout, c.StopTimeout = drainTimeout, time.Minute })
	eventually(t, "node serves", func() bool { return entry.Ready() && send("GET", entry.url+"/applications/k", nil, nil).status == 200 })
	started, release := make(chan struct{}), make(chan struct{})
	p.server.setHandler(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(idHeader) == "upload" {
			close(started)
			<-release
		}
		_, _ = w.Write([]byte("stored"))
	})
	answers := make(chan answer, 1)
	go func() {
		answers <- send("POST", entry.url+"/applications/k", map[string]string{idHeader: "upload"}, strings.NewReader("receipt"))
	}()
	<-started
	entry.stop()
	eventually(t, "the node stops", func() bool { return strings.Contains(entry.log.String(), `"draining"`) })
	// More than twice the drain timeout: the node must still wait.
	time.Sleep(3 * drainTimeout)
	close(release)
	if a := <-answers; a.status != 200 || a.body != "stored" {
		t.Errorf("status %d body %q error %v, want 200 and stored", a.status, a.body, a.err)
	}
}

// TestStoppingNodeAdmitsOnlyWhatItCanComplete guards against calls that a stopping
// node accepts although they may run beyond the end of its stop, and then cuts off.
func TestStoppingNodeAdmitsOnlyWhatItCanComplete(t *testing.T) {
	const stopTimeout = 3 * time.Second
	c := newControl(t, testRules)
	server := newBackend(t, "server1", "applications")
	owner := startNode(t, c, "owner", server, func(cfg *node.Config) {
		cfg.TakesOver, cfg.DrainNotice, cfg.StopTimeout = true, stopTimeout/2, stopTimeout
	})
	entry := startNode(t, c, "entry", nil, nil)
	for _, n := range []*runningNode{owner, entry} {
		eventually(t, "node serves", func() bool { return n.Ready() && send("GET", n.url+"/applications/k", nil, nil).status == 200 })
	}
	owner.stop()
	eventually(t, "the owner stops", func() bool { return !owner.Ready() })
	if a := send("POST", entry.url+"/applications/k", map[string]string{idHeader: "short", "Jujubeknot-Deadline": "500"}, nil); a.status != 200 {
		t.Errorf("a call that ends within the stop: status %d refusal %+v, want 200", a.status, a.refusal)
	}
	var group sync.WaitGroup
	for i, n := range []*runningNode{owner, entry} {
		group.Go(func() {
			long := fmt.Sprint("long", i)
			a := send("POST", n.url+"/applications/k", map[string]string{idHeader: long, "Jujubeknot-Deadline": "4000"}, nil)
			if a.refusal.Outcome != "notRun" || server.runCount(long) != 0 {
				t.Errorf("hop %d: status %d refusal %+v, %d runs; want notRun and no run", i+1, a.status, a.refusal, server.runCount(long))
			}
		})
	}
	group.Wait()
}

// TestStopAnswersWaitingRequests guards against requests that a stopping node has read
// and that get neither an answer nor a refusal, because they wait until its end. On a
// day of the users, 72 uploads that waited for a full link ended so.
func TestStopAnswersWaitingRequests(t *testing.T) {
	p := startPair(t, testRules)
	entry := startNode(t, p.control, "stopping", nil, func(c *node.Config) { c.DrainTimeout, c.StopTimeout = 100*time.Millisecond, time.Second })
	eventually(t, "node serves", func() bool { return entry.Ready() && send("GET", entry.url+"/applications/k", nil, nil).status == 200 })
	release := make(chan struct{})
	p.server.setHandler(func(http.ResponseWriter, *http.Request) { <-release })
	defer close(release)
	// Requests beyond the slots wait at the owner.
	answers := make(chan answer, 12)
	for i := range cap(answers) {
		go func() {
			answers <- send("POST", entry.url+"/applications/k", map[string]string{idHeader: fmt.Sprint("waiting", i)}, nil)
		}()
	}
	eventually(t, "requests run and wait", func() bool { return vars(t, p.owner)["backend"].(map[string]any)["queued"].(float64) > 0 })
	entry.stop()
	for range cap(answers) {
		if a := <-answers; a.err != nil || a.status < 500 {
			t.Errorf("status %d error %v, want a refusal", a.status, a.err)
		}
	}
}
