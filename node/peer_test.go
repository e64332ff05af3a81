package node_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/jujubeknot/jujubeknot/node"
	"github.com/jujubeknot/jujubeknot/wire/headers"
)

// pair is an entry node without a backend server and the node that owns all keys. The
// entry node reaches the owner's node through a proxy that can inject faults.
type pair struct {
	control *fakeControl
	entry   *runningNode
	owner   *runningNode
	server  *backendServer
	proxy   *faultProxy
}

func startPair(t testing.TB, rules string) *pair {
	p := &pair{control: newControl(t, rules)}
	l := newProxiedListener(t)
	p.proxy = l.proxy
	p.server = newBackend(t, "server1", "applications")
	p.owner = startNode(t, p.control, "owner", p.server, func(c *node.Config) { c.PeerListener = l })
	p.entry = startNode(t, p.control, "entry", nil, nil)
	for _, n := range []*runningNode{p.owner, p.entry} {
		eventually(t, "node serves", func() bool { return n.Ready() && send("GET", n.url+"/applications/k", nil, nil).status == 200 })
	}
	// Warm-up: the admission controller starts a new backend server with one request
	// at a time.
	for i := range 40 {
		send("GET", fmt.Sprintf("%s/applications/warm%d", p.entry.url, i), nil, nil)
	}
	return p
}

// TestHalfOpenConnectionIsSettledWhileRunning guards against a request that runs
// twice, or whose response is lost, because its connection became half-open while it
// ran.
func TestHalfOpenConnectionIsSettledWhileRunning(t *testing.T) {
	p := startPair(t, testRules)
	started, release := make(chan struct{}), make(chan struct{})
	p.server.setHandler(func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		<-release
		_, _ = w.Write([]byte("signed"))
	})
	answers := make(chan answer, 1)
	go func() {
		answers <- send("POST", p.entry.url+"/applications/k", map[string]string{idHeader: "s1"}, strings.NewReader("x"))
	}()
	<-started
	p.proxy.stall()
	eventually(t, "the entry node requests the state of the request", func() bool { return strings.Contains(p.owner.log.String(), `"state":"running"`) })
	close(release)
	if a := <-answers; a.status != 200 || a.body != "signed" {
		t.Fatalf("status %d body %q error %v, want 200 and signed", a.status, a.body, a.err)
	}
	if n := p.server.runCount("s1"); n != 1 {
		t.Fatalf("the request ran %d times, want 1", n)
	}
}

// TestLateCopyNeverRuns guards against a copy of a request that arrives late and runs
// although the caller got notRun, or runs the request a second time.
func TestLateCopyNeverRuns(t *testing.T) {
	for name, c := range map[string]struct {
		rules  string
		status int
		runs   int
	}{
		"sent again": {testRules, 200, 1},
		// A barred sending does not count against the retry budget.
		"no budget": {testRules + "retry applications budget=0% attempts=3 # test: no retries\n", 200, 1},
		"abandoned": {testRules + "retry applications attempts=1 # test: no second try\n", 503, 0},
	} {
		p := startPair(t, c.rules)
		p.proxy.cut()
		eventually(t, "connections are closed", func() bool { return peerConnections(t, p.entry) == 0 })
		deliver := p.proxy.delayNext()
		a := send("POST", p.entry.url+"/applications/k", map[string]string{idHeader: name}, strings.NewReader("x"))
		if a.status != c.status || c.runs == 0 && (a.refusal.Outcome != "notRun" || a.refusal.Reason != "barred") {
			t.Errorf("%s: status %d, want %d; body %q error %v", name, a.status, c.status, a.body, a.err)
		}
		if !strings.Contains(p.owner.log.String(), `"state":"barred"`) {
			t.Errorf("%s: the sending was not barred", name)
		}
		deliver()
		eventually(t, "the late copy is answered", func() bool {
			return strings.Count(p.owner.log.String(), `"requestId":"`+a.header.Get(headers.RequestID)+`"`) == c.runs+1
		})
		if n := p.server.runCount(name); n != c.runs {
			t.Errorf("%s: the request ran %d times, want %d", name, n, c.runs)
		}
	}
}

// TestIdempotentRequestIsSettled guards against idempotent requests that fail although
// their response is still available at the owner's node, and against a second run.
// Their connection has become half-open and the retry budget is used up.
func TestIdempotentRequestIsSettled(t *testing.T) {
	p := startPair(t, testRules+"retry applications budget=0% attempts=2 # test: no retries\n")
	get := func(id string) answer {
		return send("GET", p.entry.url+"/applications/k", map[string]string{idHeader: id}, nil)
	}
	started, release := make(chan struct{}), make(chan struct{})
	p.server.setHandler(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(idHeader) == "response lost" {
			close(started)
			<-release
		}
		_, _ = w.Write([]byte("status"))
	})
	answers := make(chan answer, 1)
	go func() { answers <- get("response lost") }()
	<-started
	p.proxy.stall()
	close(release)
	if a := <-answers; a.status != 200 || a.body != "status" {
		t.Errorf("lost response: status %d body %q error %v, want 200 and status", a.status, a.body, a.err)
	}
	if n := p.server.runCount("response lost"); n != 1 {
		t.Errorf("the request ran %d times, want 1", n)
	}
}

// TestLateCopyOfIdempotentRequestIsUnknown guards against the outcome notRun for an
// idempotent request whose first copy may still run.
func TestLateCopyOfIdempotentRequestIsUnknown(t *testing.T) {
	p := startPair(t, testRules+"retry applications attempts=1 # test: no second try\n")
	p.proxy.cut()
	eventually(t, "connections are closed", func() bool { return peerConnections(t, p.entry) == 0 })
	deliver := p.proxy.delayNext()
	defer deliver()
	a := send("GET", p.entry.url+"/applications/k", map[string]string{idHeader: "late"}, nil)
	if a.status != http.StatusBadGateway || a.refusal.Outcome != "unknown" {
		t.Errorf("status %d body %q error %v, want 502 and unknown", a.status, a.body, a.err)
	}
}

// TestPeerPortRefusesCallers guards against callers that reach a backend server
// through the peer port, with or without forged headers.
func TestPeerPortRefusesCallers(t *testing.T) {
	p := startPair(t, testRules)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
	registered := fmt.Sprint(vars(t, p.entry)["lease"].(map[string]any)["incarnation"])
	for name, forged := range map[string]map[string]string{
		"none":    {},
		"secret":  {headers.PeerIncarnation: registered, headers.PeerSecret: "guess", headers.PeerCall: "a b applications 1 0 1 0 1000 0 5 1 0"},
		"empty":   {headers.PeerIncarnation: registered, headers.PeerSecret: ""},
		"unknown": {headers.PeerIncarnation: "999", headers.PeerSecret: "guess", headers.PeerCall: "a b applications 1 0 1 0 1000 0 5 1 0"},
	} {
		q, err := http.NewRequest("POST", "http://"+p.owner.Addresses().Peer.String()+"/applications/k", strings.NewReader("x"))
		if err != nil {
			t.Fatal(err)
		}
		q.Header.Set(idHeader, "forged")
		for h, v := range forged {
			q.Header.Set(h, v)
		}
		r, err := client.Do(q)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		_ = r.Body.Close()
		if r.StatusCode < 400 || r.Header.Get(headers.Outcome) != "notRun" {
			t.Errorf("%s: status %d outcome %q, want an error and notRun", name, r.StatusCode, r.Header.Get(headers.Outcome))
		}
	}
	// The peer port does not accept HTTP/1.1.
	if a := send("GET", "http://"+p.owner.Addresses().Peer.String()+"/applications/k", map[string]string{idHeader: "forged"}, nil); a.status == 200 {
		t.Error("HTTP/1.1 request was answered on the peer port")
	}
	if n := p.server.runCount("forged"); n != 0 {
		t.Fatalf("forged requests ran %d times, want 0", n)
	}
}

// TestForgedHeadersAreRemoved guards against callers that set headers which nodes send
// to each other or to backend servers.
func TestForgedHeadersAreRemoved(t *testing.T) {
	p := startPair(t, testRules)
	got := make(chan http.Header, 1)
	p.server.setHandler(func(_ http.ResponseWriter, r *http.Request) { got <- r.Header.Clone() })
	for _, n := range []*runningNode{p.entry, p.owner} {
		a := send("POST", n.url+"/applications/k", map[string]string{
			headers.Fence: "999", headers.Partition: "3", headers.PeerSecret: "s", headers.RequestID: "mine", "Jujubeknot-New": "1",
			"Jujubeknot_Fence": "999", "Connection": "X-Hop", "X-Hop": "1", "X-Kept": "kept",
		}, strings.NewReader("x"))
		if a.status != 200 {
			t.Fatalf("status %d, want 200; error %v", a.status, a.err)
		}
		h := <-got
		if h.Get(headers.Fence) != "1" || h.Get(headers.RequestID) == "mine" || h.Get("X-Kept") != "kept" {
			t.Errorf("fence %q, request id %q, X-Kept %q; want 1, one of the node and kept", h.Get(headers.Fence), h.Get(headers.RequestID), h.Get("X-Kept"))
		}
		for _, name := range []string{headers.PeerSecret, headers.PeerIncarnation, "Jujubeknot-New", "X-Hop", "Jujubeknot_fence", "Jujubeknot_Fence"} {
			if _, ok := h[name]; ok {
				t.Errorf("%s reached the backend server", name)
			}
		}
	}
}

// TestHalfOpenConnectionIsClosedByPing guards against requests that repeatedly use a
// half-open connection. Pings must detect and close it, also without TLS.
func TestHalfOpenConnectionIsClosedByPing(t *testing.T) {
	p := startPair(t, testRules)
	p.proxy.stall()
	before := p.proxy.openedCount()
	// No request is sent, so only pings can detect the fault. The next request then
	// opens a new connection and needs no retry.
	eventually(t, "connection closed by ping", func() bool { return peerConnections(t, p.entry) == 0 })
	if a := send("POST", p.entry.url+"/applications/k", map[string]string{idHeader: "p"}, strings.NewReader("x")); a.status != 200 {
		t.Fatalf("status %d, want 200; body %q error %v", a.status, a.body, a.err)
	}
	if p.proxy.openedCount() != before+1 {
		t.Errorf("%d new connections, want 1", p.proxy.openedCount()-before)
	}
}

func peerConnections(t testing.TB, n *runningNode) int {
	t.Helper()
	return int(vars(t, n)["peerConnections"].(float64))
}
