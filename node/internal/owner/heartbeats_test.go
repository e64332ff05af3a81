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

// beat is one of a backend server that holds nothing.
var beat = dialect.Heartbeat{Name: "i-1", Upstream: "desk", Address: "127.0.0.1:9", Started: time.UnixMilli(5000), Sequence: 1, Slots: 4}

// registered returns the owner's side of a node that has registered with the backend
// server of a beat, as an incarnation, and got some partitions.
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
	s.TableChanged(context.Background(), table)
	return s
}

// TestKeptKeysAreGrantedAboveEarlierTokens guards against keys that a backend server
// refuses for ever: the process before had granted them in one row with a neighbour
// of a higher fencing token, the neighbour has moved, and the hold has run out, so
// that no beat tells of that token. What is still held keeps its token.
func TestKeptKeysAreGrantedAboveEarlierTokens(t *testing.T) {
	const before, incarnation, after = 150, 300, 310
	s := registered(t, beat, incarnation, 16,
		&wirev1.Assignment{Upstream: "desk", Partition: 3, Owner: incarnation, Epoch: 2, SinceIndex: before},
		&wirev1.Assignment{Upstream: "desk", Partition: 9, Owner: incarnation, Epoch: 1, SinceIndex: after},
		&wirev1.Assignment{Upstream: "desk", Partition: 12, Owner: incarnation, Epoch: 2, SinceIndex: before},
	)
	b := beat
	b.Held = []dialect.FencedRange{{First: 12 << 12, Last: 13<<12 - 1, Fence: 200}}
	want := map[uint16]uint64{3 << 12: incarnation, 9 << 12: after, 12 << 12: 200}
	a := s.Respond(s.Receive(b), 5*time.Second)
	for _, g := range a.Grants {
		if g.Fence != want[g.First] {
			t.Errorf("keys from %d are granted with the token %d, want %d", g.First, g.Fence, want[g.First])
		}
	}
	if len(a.Grants) != len(want) {
		t.Errorf("%d rows, want %d: %+v", len(a.Grants), len(want), a.Grants)
	}
}

// TestBeatsOfAnotherLifeGetNoKeys guards against keys that were granted to one
// life of a backend server and go on in the answer to the first beat of the next
// one: it never held them, and its fencing tokens would not rise.
func TestBeatsOfAnotherLifeGetNoKeys(t *testing.T) {
	started := time.UnixMilli(5000)
	first := beat
	first.Started = started
	s := registered(t, first, 7, 16, &wirev1.Assignment{Upstream: "desk", Partition: 3, Owner: 7, Epoch: 1})
	if a := s.Respond(s.Receive(first), 5*time.Second); !a.UpdatesGrants || len(a.Grants) == 0 {
		t.Fatalf("the life that was registered gets %+v", a)
	}
	next := first
	next.Started = started.Add(time.Second)
	if a := s.Respond(s.Receive(next), 5*time.Second); a.UpdatesGrants || len(a.Grants) > 0 {
		t.Errorf("another life gets %+v", a)
	}
}

// TestAllKeysAreGrantedWithinTheAnswer guards against keys without service: of
// 1,871 partitions that a server had got while zones were taken out, 895 were
// left out of answer after answer, 1.5 s apart, because each carried a handover.
func TestAllKeysAreGrantedWithinTheAnswer(t *testing.T) {
	const partitions, room = 4096, 4 << 10
	var assignments []*wirev1.Assignment
	owned := 0
	for i := range uint32(partitions) {
		// 140 ranges of up to 13 partitions, whose keys were held by one server
		// for each 4.
		if i%29 < 13 {
			owned++
			assignments = append(assignments, &wirev1.Assignment{
				Upstream: "desk", Partition: i, Owner: 7, Epoch: 2, SinceIndex: uint64(1000 + i), Handover: fmt.Sprintf("%016x", i/4),
			})
		}
	}
	s := registered(t, beat, 7, partitions, assignments...)
	a := s.Respond(s.Receive(beat), 5*time.Second)
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
	if granted != owned || len(encoded) > room {
		t.Errorf("%d of %d partitions are granted in %d bytes", granted, owned, len(encoded))
	}
	if handovers == 0 {
		t.Error("no handover is passed on although there is room for some")
	}
}
