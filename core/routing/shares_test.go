package routing_test

import (
	"testing"

	"github.com/jujubeknot/jujubeknot/core/keyspace"
	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/core/routing"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

const sharedText = `upstream desk keyed keys=numbers partitions=256 # a: b
upstream store unkeyed # a: b
route /a/ to desk:90,store:10 host=one.example key=header:X-Key # a: b
route /a/b/ to store host=one.example # a: b
route / to store host=two.example # a: b
`

func sharedTable(t *testing.T) *routing.Table {
	t.Helper()
	n, err := routing.New().With(&wirev1.Update{Index: 1, Rules: &wirev1.RulesRevision{Revision: 1, Text: sharedText}})
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// TestSharesAndHosts guards against requests that go by the route of another
// host, by a shorter prefix, or in other proportions than the rules say.
func TestSharesAndHosts(t *testing.T) {
	table := sharedTable(t)
	header := map[string][]string{"X-Key": {"65535"}}
	counts := map[string]int{}
	for draw := range uint64(1000) {
		d := table.Decide(routing.Request{Path: "/a/x", Host: "One.example:80", Header: header, Draw: draw})
		counts[d.Upstream.Name]++
	}
	if counts["desk"] != 900 || counts["store"] != 100 {
		t.Errorf("shares %v, want 900 and 100", counts)
	}
	for _, c := range []struct {
		host, path, route string
		reason            outcome.Reason
	}{
		{"one.example", "/a/b/c", "/a/b/", outcome.ReasonNoServer},
		{"two.example", "/a/b/c", "/", outcome.ReasonNoServer},
		{"three.example", "/a/b/c", "", outcome.ReasonNoRoute},
		{"", "/a/b/c", "", outcome.ReasonNoRoute},
		{"one.example", "/z", "", outcome.ReasonNoRoute},
	} {
		d := table.Decide(routing.Request{Path: c.path, Host: c.host})
		got := ""
		if d.Route != nil {
			got = d.Route.Prefix
		}
		if got != c.route || d.Reason != c.reason {
			t.Errorf("%s%s: route %q, %q; want %q, %q", c.host, c.path, got, d.Reason, c.route, c.reason)
		}
	}
}

// TestNumberKeys guards against numbers whose neighbours are in other
// partitions, and against keys that are no numbers.
func TestNumberKeys(t *testing.T) {
	table := sharedTable(t)
	for key, want := range map[string]uint32{"0": 0, "255": 0, "256": 1, "65535": 255} {
		d := table.Decide(routing.Request{Path: "/a/x", Host: "one.example", Header: map[string][]string{"X-Key": {key}}})
		if d.Partition != want || d.Reason != outcome.ReasonNoOwner {
			t.Errorf("key %s: partition %d, %q; want %d", key, d.Partition, d.Reason, want)
		}
		first, last := keyspace.NumericKeyRange(want, 256)
		if hash, _ := d.Upstream.KeyHash(key); first > last || keyspace.Partition(hash, 256) != want {
			t.Errorf("key %s: range %d to %d", key, first, last)
		}
	}
	for _, key := range []string{"65536", "-1", "x", "1.5"} {
		d := table.Decide(routing.Request{Path: "/a/x", Host: "one.example", Header: map[string][]string{"X-Key": {key}}})
		if d.Reason != outcome.ReasonBadRequest {
			t.Errorf("key %s: %q, want badRequest", key, d.Reason)
		}
	}
}

// TestJoinedAssignments guards against partitions that are lost or get another
// owner where an update names a run of them.
func TestJoinedAssignments(t *testing.T) {
	table, err := sharedTable(t).With(&wirev1.Update{Index: 9, Assignments: []*wirev1.Assignment{
		{Upstream: "desk", Partition: 10, Owner: 4, Epoch: 1, SinceIndex: 9, Following: 2},
		{Upstream: "desk", Partition: 13, Owner: 5, Epoch: 1, SinceIndex: 9},
	}})
	if err != nil {
		t.Fatal(err)
	}
	for partition, owner := range map[uint32]uint64{9: 0, 10: 4, 11: 4, 12: 4, 13: 5, 14: 0} {
		if got := table.Assignment("desk", partition); got.Owner != owner {
			t.Errorf("partition %d has owner %d, want %d", partition, got.Owner, owner)
		}
	}
}
