package routing_test

import (
	"testing"

	"github.com/jujubeknot/jujubeknot/core/keyspace"
	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/core/routing"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

const sharesText = `upstream desk keyed keys=numbers partitions=256 # a: b
upstream store unkeyed # a: b
route /a/ to desk:90,store:10 host=one.example key=header:X-Key # a: b
route /a/b/ to store host=one.example # a: b
route / to store host=two.example # a: b
`

func sharesTable(t *testing.T) *routing.Table {
	t.Helper()
	n, err := routing.New().With(&wirev1.Update{Index: 1, Rules: &wirev1.RulesRevision{Revision: 1, Text: sharesText}})
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// TestSharesAndHosts guards against requests that take the route of another host or
// of a shorter prefix, and against shares that differ from those in the rules.
func TestSharesAndHosts(t *testing.T) {
	table := sharesTable(t)
	header := map[string][]string{"X-Key": {"65535"}}
	counts := map[string]int{}
	for draw := range uint64(1000) {
		d := table.Decide(routing.Request{Path: "/a/x", Host: "One.example:80", Header: header, Random: draw})
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

// TestNumberKeys guards against consecutive numbers that are not in the same range of
// partitions, and against keys that are not numbers.
func TestNumberKeys(t *testing.T) {
	table := sharesTable(t)
	for key, want := range map[string]uint32{"0": 0, "255": 0, "256": 1, "65535": 255} {
		d := table.Decide(routing.Request{Path: "/a/x", Host: "one.example", Header: map[string][]string{"X-Key": {key}}})
		if d.Partition != want || d.Reason != outcome.ReasonNoOwner {
			t.Errorf("key %s: partition %d, %q; want %d", key, d.Partition, d.Reason, want)
		}
		first, last := keyspace.NumericKeyRange(want, 256)
		if hash, _ := d.Upstream.KeyHash(key); first > last || keyspace.Partition(hash, 256) != want {
			t.Errorf("key %s: not in its partition, or the range %d to %d is empty", key, first, last)
		}
	}
	for _, key := range []string{"65536", "-1", "x", "1.5"} {
		d := table.Decide(routing.Request{Path: "/a/x", Host: "one.example", Header: map[string][]string{"X-Key": {key}}})
		if d.Reason != outcome.ReasonBadRequest {
			t.Errorf("key %s: %q, want badRequest", key, d.Reason)
		}
	}
}

// TestAssignmentRuns guards against partitions without an owner or with a wrong one
// after an update with one assignment for a run of partitions.
func TestAssignmentRuns(t *testing.T) {
	table, err := sharesTable(t).With(&wirev1.Update{Index: 9, Assignments: []*wirev1.Assignment{
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

// TestRunsKeepPlanned guards against an owner that takes a planned move for the loss of
// the earlier owner, because the assignment came as part of a run. It would refuse resends
// that the earlier owner has handed over.
func TestRunsKeepPlanned(t *testing.T) {
	for _, planned := range []bool{true, false} {
		want := routing.Assignment{Owner: 4, Epoch: 2, Planned: planned, Fence: 9, Handover: "token"}
		table, err := routing.New().With(&wirev1.Update{Index: 1, Assignments: []*wirev1.Assignment{
			{Upstream: "desk", Partition: 10, Owner: want.Owner, Epoch: want.Epoch, SinceIndex: want.Fence, Handover: want.Handover, Planned: planned, Following: 2},
		}})
		if err != nil {
			t.Fatal(err)
		}
		for p := uint32(10); p <= 12; p++ {
			if got := table.Assignment("desk", p); got != want {
				t.Errorf("planned %v, partition %d: got %+v, want %+v", planned, p, got, want)
			}
		}
	}
}
