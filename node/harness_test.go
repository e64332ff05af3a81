package node_test

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/jujubeknot/jujubeknot/core/lease"
	"github.com/jujubeknot/jujubeknot/node"
	"github.com/jujubeknot/jujubeknot/wire/headers"
	"github.com/jujubeknot/jujubeknot/wire/testkit"
)

const testRules = `upstream applications keyed partitions=16 slots=6 connections=20 # test: keyed
upstream documents unkeyed slots=6 connections=20 # test: unkeyed
route /applications to applications key=segment:2 timeout=10s # test: key in the path
route /by-header to applications key=header:X-Key timeout=10s # test: key in a header
route /documents to documents timeout=10s # test: no key
`

// backendServer is a test double of a backend server.
type backendServer struct {
	name, upstream, bootID string
	address                string
	// slots and connections are announced to the node. 0 means 6 and 20.
	slots, connections int
	server             *http.Server

	mu     sync.Mutex
	runs   map[string]int
	grants lease.GrantReceiver
	// drains has the drain values received by POST /v1/drain, in order.
	drains  []bool
	cancels []string
	fences  map[string]uint64
	// frozen stops responses and announcements.
	frozen bool
	// grantedUntil is the latest expiry of the grants that were sent to the frozen
	// server.
	grantedUntil time.Time
	// handle responds to requests other than the node's own calls.
	handle http.HandlerFunc
}

// idHeader identifies a request of a test at the backend server, independently of
// the request ids that nodes assign.
const idHeader = "X-Test-Id"

func newBackend(t testing.TB, name, upstream string) *backendServer {
	b := &backendServer{name: name, upstream: upstream, bootID: "boot-1", runs: map[string]int{}, fences: map[string]uint64{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b.address = l.Addr().String()
	b.handle = func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(w, "%s %s %s %s", b.name, r.Method, r.URL.RequestURI(), body)
	}
	b.server = &http.Server{Handler: b}
	go func() { _ = b.server.Serve(l) }()
	t.Cleanup(func() { _ = b.server.Close() })
	return b
}

// ServeHTTP handles the node's own calls, and counts and handles requests.
func (b *backendServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	frozen := b.frozen
	b.mu.Unlock()
	if frozen {
		if r.URL.Path == "/v1/grant" {
			b.recordGrantExpiry(r.Body)
		}
		<-r.Context().Done()
		return
	}
	w.Header().Set(headers.BootID, b.bootID)
	switch r.URL.Path {
	case "/v1/health":
		_, _ = fmt.Fprintf(w, `{"status":"ok","bootId":%q}`, b.bootID)
		return
	case "/v1/load":
		_, _ = io.WriteString(w, `{"inFlight":0,"queued":0}`)
		return
	case "/v1/drain":
		var d struct{ Drain bool }
		_ = json.NewDecoder(r.Body).Decode(&d)
		b.mu.Lock()
		b.drains = append(b.drains, d.Drain)
		b.mu.Unlock()
		return
	case "/v1/cancel":
		var c struct {
			RequestID string `json:"requestId"`
		}
		_ = json.NewDecoder(r.Body).Decode(&c)
		b.mu.Lock()
		b.cancels = append(b.cancels, c.RequestID)
		b.mu.Unlock()
		return
	case "/v1/grant":
		var g lease.Grant
		_ = json.NewDecoder(r.Body).Decode(&g)
		b.mu.Lock()
		response := b.grants.Apply(time.Now(), g)
		b.mu.Unlock()
		if response.Error != "" {
			w.WriteHeader(http.StatusConflict)
		}
		_ = json.NewEncoder(w).Encode(response)
		return
	}
	b.mu.Lock()
	b.runs[r.Header.Get(idHeader)]++
	handle := b.handle
	b.mu.Unlock()
	handle(w, r)
}

// recordGrantExpiry records the expiry of a grant that the frozen server received but
// has not processed.
func (b *backendServer) recordGrantExpiry(body io.Reader) {
	var g lease.Grant
	if json.NewDecoder(body).Decode(&g) != nil || len(g.Partitions) == 0 && g.Whole {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if until := time.Now().Add(time.Duration(g.ExpiryMs) * time.Millisecond); g.ExpiryMs > 0 && until.After(b.grantedUntil) {
		b.grantedUntil = until
	}
}

// freeze makes the server stop responding while its connections stay open.
func (b *backendServer) freeze() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.frozen = true
}

func (b *backendServer) setHandler(h http.HandlerFunc) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.handle = h
}

func (b *backendServer) runCount(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

// announce announces the backend server to a node every 200 ms until the context
// ends.
func (b *backendServer) announce(ctx context.Context, t testing.TB, to net.Addr, address string) {
	body := fmt.Sprintf(`{"name":%q,"upstream":%q,"address":%q,"bootId":%q,"slots":%d,"connections":%d,"checksFences":true}`,
		b.name, b.upstream, address, b.bootID, cmp.Or(b.slots, 6), cmp.Or(b.connections, 20))
	post := func() {
		b.mu.Lock()
		frozen := b.frozen
		b.mu.Unlock()
		if frozen {
			return
		}
		r, err := http.Post("http://"+to.String()+"/v1/announce", "application/json", bytes.NewReader([]byte(body)))
		if err != nil {
			return
		}
		defer func() { _ = r.Body.Close() }()
		if r.StatusCode != http.StatusOK && ctx.Err() == nil {
			content, _ := io.ReadAll(r.Body)
			t.Errorf("announcement: status %d, want 200: %s", r.StatusCode, content)
		}
	}
	post()
	go func() {
		ticker := time.NewTicker(200 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				post()
			}
		}
	}()
}

// runningNode is a node that a test has started.
type runningNode struct {
	*node.Node
	url  string
	stop context.CancelFunc
	done chan error
	// ended is closed after done has the result.
	ended chan struct{}
	log   *testkit.Buffer
}

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// startNode starts a node beside a backend server, which may be nil.
func startNode(t testing.TB, c *fakeControl, name string, b *backendServer, change func(*node.Config)) *runningNode {
	log := &testkit.Buffer{}
	cfg := node.Config{
		Name: name, AvailabilityZone: "zone1", ControlMembers: []netip.AddrPort{c.address}, NodeSecret: nodeSecret,
		Callers: loopback, Peer: loopback, Backend: loopback, Operator: loopback,
		Log: zerolog.New(log).With().Timestamp().Logger(),
	}
	if change != nil {
		change(&cfg)
	}
	n, err := node.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &runningNode{
		Node: n, url: "http://" + n.Addresses().Callers.String(), stop: cancel,
		done: make(chan error, 1), ended: make(chan struct{}), log: log,
	}
	go func() {
		r.done <- n.Run(ctx)
		// Ends the announcements: another listener may get the port of a killed node.
		cancel()
		close(r.ended)
	}()
	if b != nil {
		b.announce(ctx, t, n.Addresses().Backend, b.address)
	}
	t.Cleanup(func() {
		// A node that outlived its test would renew its lease at the control double of
		// a later test, which may get the same port and the same incarnations.
		n.Kill()
		<-r.ended
		cancel()
		if t.Failed() && testing.Verbose() {
			lines := log.String()
			t.Logf("end of the log of %s:\n%s", name, lines[max(0, len(lines)-4000):])
		}
	})
	return r
}

// eventually waits until a condition holds. The timeout of 20 s only ends tests that
// would never pass.
func eventually(t testing.TB, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatalf("condition not met within 20 s: %s", what)
}

// answer is the response to a request, or the error that replaced it.
type answer struct {
	status  int
	header  http.Header
	body    string
	err     error
	refusal struct {
		Outcome      string
		Reason       string
		RetryAfterMs int64
		RequestID    string `json:"requestId"`
	}
}

// send sends one request as a caller, on a connection of its own.
func send(method, url string, header map[string]string, body io.Reader) answer {
	q, err := http.NewRequest(method, url, body)
	if err != nil {
		return answer{err: err}
	}
	for name, v := range header {
		q.Header.Set(name, v)
	}
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	r, err := c.Do(q)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = r.Body.Close() }()
	content, err := io.ReadAll(r.Body)
	a := answer{status: r.StatusCode, header: r.Header, body: string(content), err: err}
	if r.Header.Get(headers.Outcome) != "" {
		a.err = json.Unmarshal(content, &a.refusal)
	}
	return a
}

// cluster is a control double with several nodes, each beside a backend server.
type cluster struct {
	control *fakeControl
	nodes   []*runningNode
	servers []*backendServer
}

func startCluster(t testing.TB, upstreams ...string) *cluster {
	return startClusterWithRules(t, testRules, upstreams...)
}

func startClusterWithRules(t testing.TB, rules string, upstreams ...string) *cluster {
	c := &cluster{control: newControl(t, rules)}
	c.control.expected = len(upstreams)
	for i, u := range upstreams {
		b := newBackend(t, fmt.Sprintf("server%d", i+1), u)
		c.servers = append(c.servers, b)
		c.nodes = append(c.nodes, startNode(t, c.control, fmt.Sprintf("node%d", i+1), b, nil))
	}
	for _, n := range c.nodes {
		eventually(t, "node serves", func() bool {
			return n.Ready() && send("GET", n.url+"/applications/k", nil, nil).status == 200 || len(upstreams) == 0
		})
	}
	return c
}

// vars returns a node's metrics from its operator port.
func vars(t testing.TB, n *runningNode) map[string]any {
	t.Helper()
	a := send("GET", "http://"+n.Addresses().Operator.String()+"/debug/vars", nil, nil)
	v := map[string]any{}
	if err := json.Unmarshal([]byte(a.body), &v); err != nil {
		t.Fatalf("metrics of the node: %v in %q", err, a.body)
	}
	return v
}
