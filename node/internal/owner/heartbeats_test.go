package owner_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/core/routing"
	"github.com/jujubeknot/jujubeknot/node/dialect"
	"github.com/jujubeknot/jujubeknot/node/internal/backend"
	"github.com/jujubeknot/jujubeknot/node/internal/owner"
	"github.com/jujubeknot/jujubeknot/node/internal/view"
	"github.com/jujubeknot/jujubeknot/wire/boottime"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// heartbeat comes from a backend server that holds no keys.
var heartbeat = dialect.Heartbeat{Name: "i-1", Upstream: "desk", Address: "127.0.0.1:9", Started: time.UnixMilli(5000), Sequence: 1, Slots: 4}

// registered returns the owner.Server of a node that is registered as an incarnation
// with the backend server of a heartbeat and has some assignments.
func registered(t *testing.T, b dialect.Heartbeat, incarnation uint64, partitions int, assignments ...*wirev1.Assignment) *owner.Server {
	t.Helper()
	table, err := routing.New().With(&wirev1.Update{
		Index: 1, Snapshot: true,
		Rules: &wirev1.RulesRevision{Revision: 1, Text: fmt.Sprintf("upstream desk keyed keys=numbers policy=ranges partitions=%d # a: b\n", partitions)},
		Nodes: []*wirev1.Node{{Incarnation: incarnation, Name: "n", BackendServer: &wirev1.BackendServer{
			Name: b.Name, Upstream: b.Upstream, Address: b.Address, BootId: b.Incarnation(), Slots: uint32(b.Slots),
		}}},
		Assignments: assignments,
	})
	if err != nil {
		t.Fatal(err)
	}
	clock := boottime.Clock{}
	v := view.New(table)
	v.SetIdentity(view.Identity{Incarnation: incarnation, LeaseExpiry: clock.Now().Add(time.Minute)})
	s := owner.New(owner.Config{
		Clock: clock, View: v, Backend: backend.New(backend.Config{Clock: clock}), GrantsByHeartbeat: true, HeartbeatInterval: time.Second,
	})
	s.BeginLease()
	s.TableChanged(table)
	return s
}

// TestKeptKeysAreGrantedAboveEarlierTokens guards against keys that a backend server
// refuses forever. The earlier process had granted them in one range with an adjacent
// partition of a higher fencing token. That partition has moved and the grant has
// expired, so no heartbeat reports that token. Keys that are still held keep their
// token.
func TestKeptKeysAreGrantedAboveEarlierTokens(t *testing.T) {
	const before, incarnation, after = 150, 300, 310
	s := registered(t, heartbeat, incarnation, 16,
		&wirev1.Assignment{Upstream: "desk", Partition: 3, Owner: incarnation, Epoch: 2, SinceIndex: before},
		&wirev1.Assignment{Upstream: "desk", Partition: 9, Owner: incarnation, Epoch: 1, SinceIndex: after},
		&wirev1.Assignment{Upstream: "desk", Partition: 12, Owner: incarnation, Epoch: 2, SinceIndex: before},
	)
	b := heartbeat
	b.Held = []dialect.FencedRange{{First: 12 << 12, Last: 13<<12 - 1, Fence: 200}}
	want := map[uint16]uint64{3 << 12: incarnation, 9 << 12: after, 12 << 12: 200}
	a := s.Respond(s.Receive(b), 5*time.Second)
	for _, g := range a.Grants {
		if g.Fence != want[g.First] {
			t.Errorf("keys from %d are granted with the token %d, want %d", g.First, g.Fence, want[g.First])
		}
	}
	if len(a.Grants) != len(want) {
		t.Errorf("%d grants, want %d: %+v", len(a.Grants), len(want), a.Grants)
	}
}

// TestHeartbeatsOfAnotherIncarnationGetNoKeys guards against keys that were granted to
// one incarnation of a backend server and are granted again in the response to the
// first heartbeat of the next one. That one never held them, and the fencing tokens
// would not increase.
func TestHeartbeatsOfAnotherIncarnationGetNoKeys(t *testing.T) {
	started := time.UnixMilli(5000)
	first := heartbeat
	first.Started = started
	s := registered(t, first, 7, 16, &wirev1.Assignment{Upstream: "desk", Partition: 3, Owner: 7, Epoch: 1})
	if a := s.Respond(s.Receive(first), 5*time.Second); !a.UpdatesGrants || len(a.Grants) == 0 {
		t.Fatalf("response to the registered incarnation is %+v, want grants", a)
	}
	next := first
	next.Started = started.Add(time.Second)
	if a := s.Respond(s.Receive(next), 5*time.Second); a.UpdatesGrants || len(a.Grants) > 0 {
		t.Errorf("response to another incarnation is %+v, want no grants", a)
	}
}

// TestReturnedKeysAreRevoked guards against a backend server that was taken for lost and
// keeps its keys until its grants end, because the responses to its heartbeats say nothing
// about keys, while others own them already.
func TestReturnedKeysAreRevoked(t *testing.T) {
	b := heartbeat
	s := registered(t, b, 7, 16, &wirev1.Assignment{Upstream: "desk", Partition: 3, Owner: 7, Epoch: 1})
	if a := s.Respond(s.Receive(b), 5*time.Second); len(a.Grants) == 0 {
		t.Fatalf("response is %+v, want grants", a)
	}
	s.EndLease(context.Background())
	s.BeginLease()
	other := b
	other.Started, other.Held = b.Started.Add(time.Second), []dialect.FencedRange{{First: 3 << 12, Last: 4<<12 - 1, Fence: 9}}
	if a := s.Respond(s.Receive(other), 5*time.Second); a.UpdatesGrants {
		t.Errorf("response is %+v though the lease was not returned, want none about keys", a)
	}
	s.LeaseReturned()
	received := s.Receive(other)
	waited := time.Now()
	s.AwaitGrantChange(context.Background(), received, time.Minute)
	if a := s.Respond(received, 5*time.Second); !a.UpdatesGrants || len(a.Grants) > 0 || time.Since(waited) > 30*time.Second {
		t.Errorf("response is %+v after %v, want all keys revoked at once", a, time.Since(waited))
	}
}

// TestAllKeysAreGrantedWithinTheResponse guards against keys that are not served. Of
// 1,871 partitions that a backend server received while zones were taken out of
// service, 895 were left out of consecutive responses, 1.5 s apart, because each
// carried a handover token.
func TestAllKeysAreGrantedWithinTheResponse(t *testing.T) {
	const partitions, maxBytes = 4096, 4 << 10
	var assignments []*wirev1.Assignment
	owned := 0
	for i := range uint32(partitions) {
		// These are 140 ranges of up to 13 partitions. The keys of each 4
		// adjacent partitions were held by one server.
		if i%29 < 13 {
			owned++
			assignments = append(assignments, &wirev1.Assignment{
				Upstream: "desk", Partition: i, Owner: 7, Epoch: 2, SinceIndex: uint64(1000 + i), Handover: fmt.Sprintf("%016x", i/4),
			})
		}
	}
	s := registered(t, heartbeat, 7, partitions, assignments...)
	a := s.Respond(s.Receive(heartbeat), 5*time.Second)
	granted, handovers := 0, 0
	rows := [][]any{}
	for _, g := range a.Grants {
		granted += (int(g.Last) - int(g.First) + 1) * partitions >> 16
		if g.Handover != "" {
			handovers++
		}
		rows = append(rows, []any{g.First, g.Last, g.Fence, g.Handover})
	}
	encoded, err := json.Marshal(rows)
	if err != nil {
		t.Fatal(err)
	}
	if granted != owned || len(encoded) > maxBytes {
		t.Errorf("%d of %d partitions are granted in %d bytes, want all of them within the limit", granted, owned, len(encoded))
	}
	if handovers == 0 {
		t.Error("no handover token is granted although the limit leaves room for some")
	}
}
