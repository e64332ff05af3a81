package node_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/jujubeknot/jujubeknot/node"
	"github.com/jujubeknot/jujubeknot/wire/headers"
)

// decisions parses a node's log lines about the requests in sent. It returns their
// request ids by message and decision, and the size of those lines in bytes.
func decisions(t *testing.T, n *runningNode, sent map[string]bool) (ids map[string]map[string]bool, bytes int) {
	t.Helper()
	ids = map[string]map[string]bool{}
	for _, line := range strings.Split(n.log.String(), "\n") {
		var l struct{ Message, Decision, RequestID string }
		if line == "" {
			continue
		}
		if err := json.Unmarshal([]byte(line), &l); err != nil {
			t.Fatalf("log line %q: %v", line, err)
		}
		if !sent[l.RequestID] {
			continue
		}
		what := l.Message + " " + l.Decision
		if ids[what] == nil {
			ids[what] = map[string]bool{}
		}
		ids[what][l.RequestID] = true
		bytes += len(line) + 1
	}
	return ids, bytes
}

// TestRoutingSample guards against a sample that omits refusals or errors, that differs
// between the owner's node and the entry node, or that does not count the omitted
// lines. It also guards against lines that are omitted by default.
func TestRoutingSample(t *testing.T) {
	const requests = 300
	for _, every := range []int{0, 100} {
		c := newControl(t, testRules)
		sample := func(c *node.Config) { c.RoutingSample = every }
		server := newBackend(t, "server1", "applications")
		owner, entry := startNode(t, c, "owner", server, sample), startNode(t, c, "entry", nil, sample)
		for _, n := range []*runningNode{owner, entry} {
			eventually(t, "node serves", func() bool { return n.Ready() && send("GET", n.url+"/applications/k", nil, nil).status == 200 })
		}
		server.setHandler(func(w http.ResponseWriter, r *http.Request) {
			if strings.HasSuffix(r.URL.Path, "fails") {
				w.WriteHeader(http.StatusInternalServerError)
			}
		})
		before := vars(t, entry)["omittedLogLines"].(float64)
		completed, failed, refused := map[string]bool{}, map[string]bool{}, map[string]bool{}
		request := func(path string, status int, ids map[string]bool) {
			a := send("GET", entry.url+path, nil, nil)
			if a.status != status {
				t.Fatalf("%s: status %d, want %d: %s", path, a.status, status, a.body)
			}
			ids[a.header.Get(headers.RequestID)] = true
		}
		for i := range requests {
			request(fmt.Sprintf("/applications/%d", i), http.StatusOK, completed)
			if i%30 == 0 {
				request(fmt.Sprintf("/applications/%d/fails", i), http.StatusInternalServerError, failed)
				request("/nowhere", http.StatusNotFound, refused)
			}
		}
		omitted := int(vars(t, entry)["omittedLogLines"].(float64) - before)
		entries, bytes := decisions(t, entry, completed)
		owners, more := decisions(t, owner, completed)
		t.Logf("1 in %d: %d B of lines for %d completed requests at both nodes", every, bytes+more, requests)
		written := entries["entry send"]
		if len(written)+omitted != requests || every == 0 && omitted != 0 || every > 0 && omitted < requests/2 {
			t.Errorf("1 in %d: %d lines written and %d counted as omitted, for %d requests", every, len(written), omitted, requests)
		}
		if fmt.Sprint(owners["owner run"]) != fmt.Sprint(written) && len(written)+len(owners) > 0 {
			t.Errorf("1 in %d: lines of %v at the entry node, %v at the owner's node, want the same", every, written, owners["owner run"])
		}
		lines, _ := decisions(t, entry, failed)
		atOwner, _ := decisions(t, owner, failed)
		if len(lines["entry send"]) != len(failed) || len(atOwner["owner run"]) != len(failed) {
			t.Errorf("1 in %d: %d lines at the entry node and %d at the owner's node, want one at each for %d errors", every, len(lines["entry send"]), len(atOwner["owner run"]), len(failed))
		}
		if lines, _ = decisions(t, entry, refused); len(lines["entry refuse"]) != len(refused) {
			t.Errorf("1 in %d: %d lines, want one for each of %d refusals", every, len(lines["entry refuse"]), len(refused))
		}
	}
}
