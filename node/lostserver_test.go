package node_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/node"
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
	return startTwoWith(t, testRules, nil)
}

func startTwoWith(t *testing.T, rules string, change func(*node.Config)) (c *fakeControl, first, second *runningNode, server *backendServer, silence func()) {
	t.Helper()
	c = newControl(t, rules)
	server = newBackend(t, "server1", "applications")
	first = startNode(t, c, "first", nil, change)
	ctx, silence := context.WithCancel(t.Context())
	server.announce(ctx, t, first.Addresses().Backend, server.address)
	eventually(t, "node serves", func() bool { return send("GET", first.url+"/applications/k", nil, nil).status == 200 })
	second = startNode(t, c, "second", newBackend(t, "server2", "applications"), change)
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

// TestServerWithoutListenerCompletesLongCalls guards against calls that are cancelled in
// the middle of their run, because the backend server has closed its listener and the
// calls last longer than the lease did at that time, although the lease is extended.
func TestServerWithoutListenerCompletesLongCalls(t *testing.T) {
	c, first, second, server, silence := startTwo(t)
	before := c.ownerOf(0)
	started, release := make(chan struct{}, 2), make(chan struct{})
	server.setHandler(func(w http.ResponseWriter, _ *http.Request) {
		started <- struct{}{}
		<-release
		_, _ = w.Write([]byte("stored"))
	})
	var callers sync.WaitGroup
	for i, n := range []*runningNode{first, second} {
		callers.Go(func() {
			a := send("POST", fmt.Sprint(n.url, "/applications/k", i), map[string]string{idHeader: fmt.Sprint("long", i), "Jujubeknot-Deadline": "9000"}, nil)
			if a.status != 200 || a.body != "stored" {
				t.Errorf("status %d refusal %+v error %v, want 200", a.status, a.refusal, a.err)
			}
		})
	}
	for range 2 {
		<-started
	}
	silence()
	go func() { _ = server.server.Shutdown(t.Context()) }()
	// Several leases, which last 1.5 s.
	time.Sleep(5 * time.Second)
	if c.ownerOf(0) != before {
		t.Error("the partition has another owner while the server runs its calls")
	}
	close(release)
	callers.Wait()
}

// TestUnreadResponseHoldsNoKeys guards against keys that stay without an owner after the
// end of a backend server, because a caller does not read the response that it had begun.
func TestUnreadResponseHoldsNoKeys(t *testing.T) {
	c, first, _, server, silence := startTwo(t)
	before := c.ownerOf(0)
	server.setHandler(serveEndless)
	holdCaller(t, first)
	silence()
	_ = server.server.Close()
	eventually(t, "another owner", func() bool { return c.ownerOf(0) != before })
}

// restartOn starts another process of the server at the address of the earlier one,
// which has closed its listener.
func (b *backendServer) restartOn(t *testing.T, bootID string) *backendServer {
	t.Helper()
	next := newBackend(t, b.name, b.upstream)
	next.bootID = bootID
	l, err := net.Listen("tcp", b.address)
	if err != nil {
		t.Fatal(err)
	}
	next.address = b.address
	go func() { _ = next.server.Serve(l) }()
	return next
}

// TestLateResponseOfEarlierProcess guards against a response of a process that has been
// replaced, which makes the node take the new one for restarted, close its connections
// and reset its limits.
func TestLateResponseOfEarlierProcess(t *testing.T) {
	c := newControl(t, testRules)
	server := newBackend(t, "server1", "documents")
	first := startNode(t, c, "first", nil, nil)
	ctx := t.Context()
	announce := func(b *backendServer) {
		b.announce(ctx, t, first.Addresses().Backend, b.address)
	}
	server.announceOnce(t, first.Addresses().Backend)
	eventually(t, "node serves", func() bool { return send("GET", first.url+"/documents/k", nil, nil).status == 200 })
	warm(first.url + "/documents/warm")
	started, release := make(chan struct{}, 4), make(chan struct{})
	server.setHandler(func(w http.ResponseWriter, _ *http.Request) {
		started <- struct{}{}
		<-release
		_, _ = w.Write([]byte("stored"))
	})
	answers := make(chan answer, 1)
	go func() {
		answers <- send("POST", first.url+"/documents/k", map[string]string{"Jujubeknot-Deadline": "9000"}, nil)
	}()
	<-started
	go func() { _ = server.server.Shutdown(ctx) }()
	eventually(t, "the listener is closed", func() bool {
		nc, err := net.Dial("tcp", server.address)
		if err == nil {
			_ = nc.Close()
		}
		return err != nil
	})
	next := server.restartOn(t, "boot-2")
	announce(next)
	eventually(t, "the new process is announced", func() bool { return countLines(first, `"backend server announced"`) >= 2 })
	restarts := countLines(first, `"backend server restarted"`)
	close(release)
	if a := <-answers; a.status != 200 || a.body != "stored" {
		t.Errorf("call to the earlier process: status %d refusal %+v error %v, want 200", a.status, a.refusal, a.err)
	}
	time.Sleep(500 * time.Millisecond)
	if now := countLines(first, `"backend server restarted"`); now != restarts {
		t.Errorf("the node saw %d restarts after the response of the earlier process, want 0", now-restarts)
	}
}

// countLines returns how many lines of a node's log contain text.
func countLines(n *runningNode, text string) int { return strings.Count(n.log.String(), text) }

// announceOnce announces the backend server once.
func (b *backendServer) announceOnce(t *testing.T, to net.Addr) {
	t.Helper()
	body := fmt.Sprintf(`{"name":%q,"upstream":%q,"address":%q,"bootId":%q,"slots":6,"connections":20,"checksFences":true}`, b.name, b.upstream, b.address, b.bootID)
	r, err := http.Post("http://"+to.String()+"/v1/announce", "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	_ = r.Body.Close()
}
