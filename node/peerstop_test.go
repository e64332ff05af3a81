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

// TestStoppingOwnerCompletesLongCalls guards against calls that are cut while a
// backend server runs them, because the connection on which they came counts as
// half-open once the owner's node has begun to stop. On a site of the users, an upload
// was answered 502 after 963 ms, and its backend server completed it.
func TestStoppingOwnerCompletesLongCalls(t *testing.T) {
	const work = 2500 * time.Millisecond
	c := newControl(t, testRules)
	server := newBackend(t, "server1", "applications")
	owner := startNode(t, c, "owner", server, func(cfg *node.Config) {
		cfg.TakesOver, cfg.DrainNotice, cfg.StopTimeout = true, 50*time.Millisecond, 10*time.Second
	})
	entry := startNode(t, c, "entry", nil, nil)
	for _, n := range []*runningNode{owner, entry} {
		eventually(t, "node serves", func() bool { return n.Ready() && send("GET", n.url+"/applications/k", nil, nil).status == 200 })
	}
	for i := range 40 {
		send("GET", fmt.Sprintf("%s/applications/warm%d", entry.url, i), nil, nil)
	}
	started := make(chan struct{}, 4)
	server.setHandler(func(w http.ResponseWriter, _ *http.Request) {
		started <- struct{}{}
		time.Sleep(work)
		_, _ = w.Write([]byte("stored"))
	})
	var group sync.WaitGroup
	// Short bodies go on framed connections, long ones over HTTP/2.
	for _, size := range []int{10, 100, 20 << 10, 200 << 10} {
		group.Go(func() {
			a := send("POST", entry.url+"/applications/k", map[string]string{idHeader: fmt.Sprint("size", size), "Jujubeknot-Deadline": "8000"}, strings.NewReader(strings.Repeat("x", size)))
			if a.status != 200 || a.body != "stored" {
				t.Errorf("body of %d bytes: status %d refusal %+v error %v, want 200", size, a.status, a.refusal, a.err)
			}
		})
	}
	for range 4 {
		<-started
	}
	owner.stop()
	group.Wait()
}
