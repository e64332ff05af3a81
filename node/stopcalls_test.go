package node_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/node"
)

// startStopping returns a node beside a backend server and an entry node that uses it.
// A stop of the first node keeps the backend server and its keys.
func startStopping(t *testing.T, change func(*node.Config)) (owner, entry *runningNode, server *backendServer) {
	c := newControl(t, testRules)
	server = newBackend(t, "server1", "applications")
	owner = startNode(t, c, "owner", server, func(cfg *node.Config) {
		cfg.TakesOver = true
		change(cfg)
	})
	entry = startNode(t, c, "entry", nil, nil)
	for _, n := range []*runningNode{owner, entry} {
		eventually(t, "node serves", func() bool { return n.Ready() && send("GET", n.url+"/applications/k", nil, nil).status == 200 })
	}
	for i := range 40 {
		send("GET", fmt.Sprintf("%s/applications/warm%d", entry.url, i), nil, nil)
	}
	return owner, entry, server
}

// holdCaller opens a connection whose caller does not read the response to its request.
// It returns when the response has begun.
func holdCaller(t *testing.T, n *runningNode) {
	nc, err := net.Dial("tcp", n.Addresses().Callers.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = nc.Close() })
	if _, err := io.WriteString(nc, "GET /applications/endless HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if _, err := nc.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
}

// serveEndless sends a response without end.
func serveEndless(w http.ResponseWriter, r *http.Request) {
	part := make([]byte, 64<<10)
	for r.Context().Err() == nil {
		if _, err := w.Write(part); err != nil {
			return
		}
	}
}

// TestStalledCallerCutsNoCallsOfNodes guards against a stopping node that takes calls of
// other nodes until a caller's connection has used up the stop, and then cuts them.
func TestStalledCallerCutsNoCallsOfNodes(t *testing.T) {
	const work, drainTimeout = 400 * time.Millisecond, 1500 * time.Millisecond
	for _, stopTimeout := range []time.Duration{0, drainTimeout} {
		t.Run(fmt.Sprint("stop timeout ", stopTimeout), func(t *testing.T) {
			owner, entry, server := startStopping(t, func(cfg *node.Config) { cfg.DrainTimeout, cfg.StopTimeout = drainTimeout, stopTimeout })
			var begun atomic.Int64
			server.setHandler(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/applications/endless" {
					serveEndless(w, r)
					return
				}
				begun.Add(1)
				time.Sleep(work)
				_, _ = io.WriteString(w, "stored")
			})
			holdCaller(t, owner)
			var group sync.WaitGroup
			defer group.Wait()
			defer owner.stop()
			for i := range 4 {
				group.Go(func() {
					for j := 0; ; j++ {
						select {
						case <-owner.ended:
							return
						default:
						}
						id := fmt.Sprintf("call-%d-%d", i, j)
						a := send("POST", entry.url+"/applications/k", map[string]string{idHeader: id, "Jujubeknot-Deadline": "1000"}, nil)
						// A call that waited for others may reach its deadline while it runs.
						expired := a.refusal.Reason == "deadline"
						if a.status != 200 && !expired && (a.refusal.Outcome != "notRun" || server.runCount(id) != 0) {
							t.Errorf("%s: status %d refusal %+v error %v after %d runs, want 200, or notRun and no run", id, a.status, a.refusal, a.err, server.runCount(id))
						}
					}
				})
			}
			eventually(t, "calls run", func() bool { return begun.Load() > 4 })
			owner.stop()
			<-owner.ended
		})
	}
}

// TestNestedCallsOfCallsInAStop guards against a stopping node that refuses the connections
// of the backend server beside it while that server runs calls of other nodes, which
// need its nested calls.
func TestNestedCallsOfCallsInAStop(t *testing.T) {
	const notice = 200 * time.Millisecond
	owner, entry, server := startStopping(t, func(cfg *node.Config) { cfg.DrainNotice, cfg.StopTimeout = notice, 6*time.Second })
	started, proceed := make(chan struct{}), make(chan struct{})
	server.setHandler(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(idHeader) != "parent" {
			_, _ = io.WriteString(w, "nested")
			return
		}
		close(started)
		<-proceed
		a := send("GET", owner.url+"/applications/k", map[string]string{"Jujubeknot-Depth": "1", "Jujubeknot-Deadline": "1000"}, nil)
		if a.status != 200 {
			w.WriteHeader(http.StatusBadGateway)
		}
		_, _ = fmt.Fprint(w, a.body, a.err)
	})
	answers := make(chan answer, 1)
	go func() {
		answers <- send("POST", entry.url+"/applications/k", map[string]string{idHeader: "parent", "Jujubeknot-Deadline": "4000"}, nil)
	}()
	<-started
	owner.stop()
	eventually(t, "the owner stops", func() bool { return !owner.Ready() })
	time.Sleep(notice + 500*time.Millisecond)
	close(proceed)
	if a := <-answers; a.status != 200 || a.body != "nested<nil>" {
		t.Errorf("status %d body %q error %v, want 200 and the response to the nested call", a.status, a.body, a.err)
	}
	<-owner.ended
}

// TestStopOfANodeWithoutOwners guards against requests that a new process has taken
// while no backend server has keys, and that end without a response when it is stopped.
func TestStopOfANodeWithoutOwners(t *testing.T) {
	for _, stopTimeout := range []time.Duration{0, time.Second} {
		t.Run(fmt.Sprint("stop timeout ", stopTimeout), func(t *testing.T) {
			n := startNode(t, newControl(t, testRules), "new", nil, func(cfg *node.Config) {
				cfg.WithoutLease, cfg.TakesOver, cfg.DrainNotice, cfg.DrainTimeout, cfg.StopTimeout = true, true, time.Second, time.Second, stopTimeout
			})
			eventually(t, "node has rules", n.Ready)
			var group sync.WaitGroup
			for i := range 8 {
				group.Go(func() {
					deadline := []string{"300", "5000"}[i%2]
					a := send("POST", n.url+"/applications/k", map[string]string{"Jujubeknot-Deadline": deadline}, nil)
					if a.err != nil || a.refusal.Outcome != "notRun" {
						t.Errorf("request %d: status %d refusal %+v error %v, want notRun", i, a.status, a.refusal, a.err)
					}
				})
			}
			eventually(t, "requests wait", func() bool { return vars(t, n)["inFlight"].(float64) == 8 })
			n.stop()
			group.Wait()
			if err := <-n.done; err != nil {
				t.Error(err)
			}
		})
	}
}
