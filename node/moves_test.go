package node_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/jujubeknot/jujubeknot/wire/headers"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// TestPlannedMoveLosesNoRequest guards against requests that are refused, lost or run
// twice while a node stops gracefully and its partitions move.
func TestPlannedMoveLosesNoRequest(t *testing.T) {
	c := startCluster(t, "applications", "applications")
	entry := startNode(t, c.control, "entry", nil, nil)
	eventually(t, "node serves", func() bool { return entry.Ready() && send("GET", entry.url+"/applications/k", nil, nil).status == 200 })
	stop := make(chan struct{})
	var group sync.WaitGroup
	sent := make([]int, 4)
	for i := range sent {
		group.Go(func() {
			for ; ; sent[i]++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("move%d-%d", i, sent[i])
				if a := send("POST", entry.url+"/applications/"+id, map[string]string{idHeader: id}, strings.NewReader("x")); a.status != 200 {
					t.Errorf("%s: status %d, want 200; body %q error %v", id, a.status, a.body, a.err)
					return
				}
			}
		})
	}
	eventually(t, "requests pass", func() bool { return c.servers[0].totalRuns() > 20 && c.servers[1].totalRuns() > 20 })
	c.nodes[0].stop()
	if err := <-c.nodes[0].done; err != nil {
		t.Errorf("stopping: %v", err)
	}
	after := c.servers[0].totalRuns()
	second := c.servers[1].totalRuns()
	eventually(t, "the other node has taken over", func() bool { return c.servers[1].totalRuns() > second+50 })
	close(stop)
	group.Wait()
	if c.servers[0].totalRuns() != after {
		t.Error("the backend server of the stopped node received new requests")
	}
	for i := range sent {
		for j := range sent[i] {
			id := fmt.Sprintf("move%d-%d", i, j)
			if n := c.servers[0].runCount(id) + c.servers[1].runCount(id); n != 1 {
				t.Errorf("%s ran %d times, want 1", id, n)
			}
		}
	}
}

// totalRuns returns the number of runs of all requests.
func (b *backendServer) totalRuns() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, r := range b.runs {
		n += r
	}
	return n
}

// TestResendsRunOnce guards against a request with an Idempotency-Key that runs again
// when it is resent, either through another node or after its key has moved to
// another owner.
func TestResendsRunOnce(t *testing.T) {
	c := startCluster(t, "applications", "applications")
	header := func(id string) map[string]string {
		return map[string]string{idHeader: id, headers.IdempotencyKey: "key of " + id, "Authorization": "caller"}
	}
	resend := func(step string) {
		t.Helper()
		for i := range 8 {
			id := fmt.Sprint("resend", i)
			for _, n := range c.nodes {
				a := send("POST", n.url+"/applications/"+id, header(id), strings.NewReader("x"))
				if a.status != 200 || !strings.Contains(a.body, "POST /applications/"+id+" x") {
					t.Errorf("%s, %s: status %d, want 200 and the first response; body %q error %v", step, id, a.status, a.body, a.err)
				}
			}
		}
	}
	resend("first")
	// The same Idempotency-Key with another path is another request.
	if a := send("POST", c.nodes[0].url+"/applications/resend0/other", header("resend0"), nil); !strings.Contains(a.body, "other") {
		t.Errorf("request with another path got %q, want its own response", a.body)
	}
	c.nodes[0].stop()
	<-c.nodes[0].done
	c.nodes = c.nodes[1:]
	resend("after the move")
	for i := range 8 {
		id := fmt.Sprint("resend", i)
		want := 1
		if i == 0 {
			want = 2
		}
		if n := c.servers[0].runCount(id) + c.servers[1].runCount(id); n != want {
			t.Errorf("%s ran %d times, want %d", id, n, want)
		}
	}
}

// TestStopWaitsForReportOfReleases guards against a stopping node that returns its lease
// before control has its report of the released partitions. The move is then
// unplanned: the next owner does not get the request ids, and refuses resends.
func TestStopWaitsForReportOfReleases(t *testing.T) {
	c := startCluster(t, "applications", "applications")
	header := func(id string) map[string]string {
		return map[string]string{idHeader: id, headers.IdempotencyKey: "key of " + id}
	}
	first := map[string]string{}
	for i := range 16 {
		id := fmt.Sprint("report", i)
		first[id] = send("POST", c.nodes[1].url+"/applications/"+id, header(id), nil).body
	}
	c.control.mu.Lock()
	c.control.failReports = 2
	c.control.mu.Unlock()
	c.nodes[0].stop()
	<-c.nodes[0].done
	for id, body := range first {
		if a := send("POST", c.nodes[1].url+"/applications/"+id, header(id), nil); a.status != 200 || a.body != body {
			t.Errorf("%s: status %d body %q error %v, want 200 and the first response %q", id, a.status, a.body, a.err, body)
		}
		if n := c.servers[0].runCount(id) + c.servers[1].runCount(id); n != 1 {
			t.Errorf("%s ran %d times, want 1", id, n)
		}
	}
}

// TestResendAfterLossIsUndecided guards against the outcome notRun, or a second run,
// for a resent request whose first run was known only to an owner that is lost.
func TestResendAfterLossIsUndecided(t *testing.T) {
	c := startCluster(t, "applications", "applications")
	id := map[string]string{}
	for i := range 32 {
		key := fmt.Sprint("loss", i)
		a := send("POST", c.nodes[1].url+"/applications/"+key, map[string]string{idHeader: key, headers.IdempotencyKey: key}, nil)
		id[key], _, _ = strings.Cut(a.body, " ")
	}
	c.control.mu.Lock()
	for i, n := range c.control.nodes {
		if n.GetName() == "node1" {
			delete(c.control.nodes, i)
		}
	}
	c.control.assignPartitions()
	c.control.mu.Unlock()
	eventually(t, "the other node owns all", func() bool { return vars(t, c.nodes[1])["partitions"].(float64) == 16 })
	lost := 0
	for key, server := range id {
		if server != "server1" {
			continue
		}
		lost++
		var a answer
		eventually(t, "the new owner answers", func() bool {
			a = send("POST", c.nodes[1].url+"/applications/"+key, map[string]string{idHeader: key, headers.IdempotencyKey: key}, nil)
			return a.refusal.Reason != "noOwner"
		})
		if a.refusal.Outcome != "unknown" || a.refusal.Reason != "resendUndecided" {
			t.Errorf("%s: status %d refusal %+v, want unknown and resendUndecided", key, a.status, a.refusal)
		}
		first := map[string]string{idHeader: "first " + key, headers.IdempotencyKey: "new " + key, headers.Attempt: "1"}
		if a := send("POST", c.nodes[1].url+"/applications/"+key, first, nil); a.status != 200 {
			t.Errorf("%s, first attempt: status %d, want 200; refusal %+v", key, a.status, a.refusal)
		}
		if n := c.servers[0].runCount(key) + c.servers[1].runCount(key); n != 1 {
			t.Errorf("%s ran %d times, want 1", key, n)
		}
	}
	if lost == 0 {
		t.Errorf("no key was owned by the lost node: %v", id)
	}
}

// TestLeaseEndStopsKeyedWork guards against an owner that continues after its lease
// has ended. Calls in flight must be cancelled and new ones refused as notRun.
func TestLeaseEndStopsKeyedWork(t *testing.T) {
	// Without the cancellation the request would run for a minute.
	p := startPair(t, strings.ReplaceAll(testRules, "timeout=10s", "timeout=1m"))
	started, cancelled := make(chan struct{}), make(chan struct{})
	p.server.setHandler(func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get(idHeader) == "held" {
			close(started)
			<-r.Context().Done()
			close(cancelled)
		}
	})
	answers := make(chan answer, 1)
	go func() {
		answers <- send("POST", p.owner.url+"/applications/k", map[string]string{idHeader: "held"}, nil)
	}()
	<-started
	incarnation := uint64(vars(t, p.owner)["lease"].(map[string]any)["incarnation"].(float64))
	p.control.mu.Lock()
	p.control.failRenewals[incarnation] = true
	p.control.mu.Unlock()
	eventually(t, "the request in flight ends", func() bool { return len(answers) == 1 })
	if a := <-answers; a.refusal.Outcome != "unknown" || a.refusal.Reason != "noLease" {
		t.Errorf("status %d refusal %+v error %v, want unknown and noLease", a.status, a.refusal, a.err)
	}
	<-cancelled
	// A new incarnation gets the partitions again at a higher epoch.
	eventually(t, "keys are served again", func() bool { return send("GET", p.entry.url+"/applications/k", nil, nil).status == 200 })
	if next := uint64(vars(t, p.owner)["lease"].(map[string]any)["incarnation"].(float64)); next <= incarnation {
		t.Errorf("incarnation %d, want one above %d", next, incarnation)
	}
	if n := p.server.runCount("held"); n != 1 {
		t.Errorf("the request ran %d times, want 1", n)
	}
}

// TestNestedCallsPassFullServers guards against a deadlock of two full backend servers
// that call each other. Slots are reserved for calls made by backend servers.
func TestNestedCallsPassFullServers(t *testing.T) {
	c := startCluster(t, "applications", "documents")
	for i, other := range []string{"/documents/", "/applications/"} {
		self, node := c.servers[i], c.nodes[i]
		self.setHandler(func(w http.ResponseWriter, r *http.Request) {
			var depth int
			_, _ = fmt.Sscan(r.Header.Get(headers.Depth), &depth)
			if depth == 2 {
				return
			}
			a := send("GET", node.url+other+r.Header.Get(idHeader), map[string]string{
				idHeader: r.Header.Get(idHeader), headers.Depth: fmt.Sprint(depth + 1), headers.Deadline: r.Header.Get(headers.Deadline),
			}, nil)
			w.WriteHeader(a.status)
		})
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	ok, refused := 0, 0
	for i := range 60 {
		group.Go(func() {
			path := []string{"/applications/", "/documents/"}[i%2]
			id := fmt.Sprint("nested", i)
			a := send("GET", c.nodes[i/2%2].url+path+id, map[string]string{idHeader: id, headers.Deadline: "8000"}, nil)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.status == 200:
				ok++
			case a.err != nil || a.refusal.Reason == "deadline" || a.status == 504:
				t.Errorf("%s: status %d refusal %+v error %v, want a response before the deadline", id, a.status, a.refusal, a.err)
			default:
				refused++
			}
		})
	}
	group.Wait()
	if ok == 0 {
		t.Errorf("no nested call succeeded, %d refused", refused)
	}
}

// TestNestedCallsAreRecognisedByTheirParent guards against calls that are taken for
// nested ones without a running parent, and against nested calls that wait behind the
// requests of their parent's priority. A caller can state the id of any request.
func TestNestedCallsAreRecognisedByTheirParent(t *testing.T) {
	rules := strings.ReplaceAll(testRules, "route /documents to documents timeout=10s", "route /documents to documents timeout=10s target=200ms priority=1")
	rules = strings.ReplaceAll(rules, "documents unkeyed slots=6", "documents unkeyed slots=1")
	rules = strings.ReplaceAll(rules, "key=segment:2 timeout=10s", "key=segment:2 timeout=10s priority=3")
	c := startClusterWithRules(t, rules, "applications", "documents")
	release, parentReached := make(chan struct{}), make(chan string, 1)
	var mu sync.Mutex
	var order []string
	c.servers[0].setHandler(func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get(idHeader) == "parent" {
			parentReached <- r.Header.Get(headers.RequestID)
			<-release
		}
	})
	c.servers[1].setHandler(func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get(idHeader) == "first" {
			<-release
		}
		mu.Lock()
		defer mu.Unlock()
		order = append(order, r.Header.Get(idHeader))
	})
	var group sync.WaitGroup
	post := func(n *runningNode, path, id, parent string) {
		group.Go(func() {
			a := send("POST", n.url+path, map[string]string{idHeader: id, headers.ParentID: parent}, nil)
			if a.status != 200 {
				t.Errorf("%s: status %d refusal %+v, want 200", id, a.status, a.refusal)
			}
		})
	}
	queued := func(want float64) func() bool {
		return func() bool { return vars(t, c.nodes[1])["backend"].(map[string]any)["queued"].(float64) == want }
	}
	post(c.nodes[0], "/applications/k", "parent", "")
	parent := <-parentReached
	post(c.nodes[0], "/documents/a", "first", "")
	eventually(t, "the slot is taken", func() bool { return c.servers[1].runCount("first") == 1 })
	// Neither an unknown parent nor one that runs beside another node counts.
	post(c.nodes[0], "/documents/b", "unknownParent", "none")
	eventually(t, "one waits", queued(1))
	post(c.nodes[1], "/documents/c", "otherNode", parent)
	eventually(t, "two wait", queued(2))
	post(c.nodes[0], "/documents/d", "nested", parent)
	eventually(t, "three wait", queued(3))
	close(release)
	group.Wait()
	if got, want := strings.Join(order, " "), "first nested unknownParent otherNode"; got != want {
		t.Errorf("order %q, want %q", got, want)
	}
	if a := send("POST", c.nodes[0].url+"/documents/e", map[string]string{idHeader: "late", headers.ParentID: parent}, nil); a.status != 200 {
		t.Errorf("after the end of the parent: status %d, want 200", a.status)
	}
}

// TestDrainedServerIsNotified guards against a backend server that the rules take out
// of service and that is not notified, or is notified while it still owns partitions.
func TestDrainedServerIsNotified(t *testing.T) {
	c := startCluster(t, "applications", "applications")
	notified := func(want bool) func() bool {
		return func() bool {
			c.servers[0].mu.Lock()
			defer c.servers[0].mu.Unlock()
			n := len(c.servers[0].drains)
			return n > 0 && c.servers[0].drains[n-1] == want
		}
	}
	eventually(t, "the backend server is notified to serve", notified(false))
	c.control.mu.Lock()
	c.control.rules = &wirev1.RulesRevision{Revision: 2, Text: testRules + "server server1 drain # test: drain\n"}
	c.control.publish(&wirev1.Update{Rules: c.control.rules})
	var owner uint64
	for i, n := range c.control.nodes {
		if n.GetName() == "node1" {
			owner = i
		}
	}
	c.control.mu.Unlock()
	eventually(t, "rules in force", func() bool { return vars(t, c.nodes[0])["rulesRevision"].(float64) == 2 })
	if notified(true)() {
		t.Fatal("the backend server was notified to drain while it owns partitions")
	}
	c.control.mu.Lock()
	c.control.releaseAll(owner)
	c.control.mu.Unlock()
	eventually(t, "the backend server is notified to drain", notified(true))
}
