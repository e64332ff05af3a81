package node_test

import (
	"fmt"
	"strings"
	"testing"
)

// TestKeyedRequestsReachTheirOwner guards against requests that reach a backend server
// other than the owner of their key, whichever entry node they are sent to.
func TestKeyedRequestsReachTheirOwner(t *testing.T) {
	c := startCluster(t, "applications", "applications", "documents")
	servedBy := map[string]string{}
	seen := map[string]bool{}
	for i := range 40 {
		for _, n := range c.nodes {
			key := fmt.Sprintf("key%d", i)
			a := send("POST", n.url+"/applications/"+key+"/submit?x=1", nil, strings.NewReader("body"))
			server, rest, _ := strings.Cut(a.body, " ")
			if a.status != 200 || rest != "POST /applications/"+key+"/submit?x=1 body" {
				t.Fatalf("%s: status %d, want 200 and the request as it was sent; body %q error %v", key, a.status, a.body, a.err)
			}
			if servedBy[key] != "" && servedBy[key] != server {
				t.Fatalf("%s served by %s and %s, want one server", key, servedBy[key], server)
			}
			servedBy[key] = server
			seen[server] = true
		}
	}
	if !seen["server1"] || !seen["server2"] || seen["server3"] {
		t.Errorf("served by %v, want server1 and server2", seen)
	}
	for _, n := range c.nodes {
		if a := send("GET", n.url+"/documents/d", nil, nil); a.status != 200 || !strings.HasPrefix(a.body, "server3 GET /documents/d") {
			t.Errorf("unkeyed: status %d, want 200 from server3; body %q error %v", a.status, a.body, a.err)
		}
	}
}
