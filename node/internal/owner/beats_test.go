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

// TestBeatsOfAnotherLifeGetNoKeys guards against keys that were granted to one
// life of a backend server and go on in the answer to the first beat of the next
// one: it never held them, and its fencing tokens would not rise.
func TestBeatsOfAnotherLifeGetNoKeys(t *testing.T) {
	clock := boottime.Clock{}
	started := time.UnixMilli(5000)
	first := dialect.Beat{Name: "i-1", Upstream: "desk", Address: "127.0.0.1:9", Started: started, Sequence: 1, Slots: 4}
	table, err := routing.New().With(&wirev1.Update{
		Index: 1, Snapshot: true,
		Rules: &wirev1.RulesRevision{Revision: 1, Text: "upstream desk keyed keys=numbers policy=ranges partitions=16 # a: b\n"},
		Nodes: []*wirev1.Node{{Incarnation: 7, Name: "n", BackendServer: &wirev1.BackendServer{
			Name: "i-1", Upstream: "desk", Address: first.Address, BootId: first.Life(), Slots: 4,
		}}},
		Assignments: []*wirev1.Assignment{{Upstream: "desk", Partition: 3, Owner: 7, Epoch: 1}},
	})
	if err != nil {
		t.Fatal(err)
	}
	v := view.New(table)
	v.SetIdentity(view.Identity{Incarnation: 7, Until: clock.Now().Add(time.Minute)})
	s := owner.New(owner.Config{
		Clock: clock, View: v, Backend: backend.New(backend.Config{Clock: clock}), ByBeat: true, BeatInterval: time.Second,
	})
	s.BeginTerm()
	s.TableChanged(context.Background(), table)
	if a := s.Answer(s.Receive(first), 5*time.Second); !a.Granting || len(a.Grants) == 0 {
		t.Fatalf("the life that was registered gets %+v", a)
	}
	next := first
	next.Started = started.Add(time.Second)
	if a := s.Answer(s.Receive(next), 5*time.Second); a.Granting || len(a.Grants) > 0 {
		t.Errorf("another life gets %+v", a)
	}
}

// TestAllKeysAreGrantedWithinTheAnswer guards against keys without service: of
// 1,871 partitions that a server had got while zones were taken out, 895 were
// left out of answer after answer, 1.5 s apart, because each carried a handover.
func TestAllKeysAreGrantedWithinTheAnswer(t *testing.T) {
	const partitions, room = 4096, 4 << 10
	clock := boottime.Clock{}
	beat := dialect.Beat{Name: "i-1", Upstream: "desk", Address: "127.0.0.1:9", Started: time.UnixMilli(5000), Sequence: 1, Slots: 4}
	update := &wirev1.Update{
		Index: 1, Snapshot: true,
		Rules: &wirev1.RulesRevision{Revision: 1, Text: fmt.Sprintf("upstream desk keyed keys=numbers policy=ranges partitions=%d # a: b\n", partitions)},
		Nodes: []*wirev1.Node{{Incarnation: 7, Name: "n", BackendServer: &wirev1.BackendServer{
			Name: "i-1", Upstream: "desk", Address: beat.Address, BootId: beat.Life(), Slots: 4,
		}}},
	}
	owned := 0
	for i := range uint32(partitions) {
		// 140 ranges of up to 13 partitions, whose keys were held by one server
		// for each 4.
		if i%29 < 13 {
			owned++
			update.Assignments = append(update.Assignments, &wirev1.Assignment{
				Upstream: "desk", Partition: i, Owner: 7, Epoch: 2, SinceIndex: uint64(1000 + i), Handover: fmt.Sprintf("%016x", i/4),
			})
		}
	}
	table, err := routing.New().With(update)
	if err != nil {
		t.Fatal(err)
	}
	v := view.New(table)
	v.SetIdentity(view.Identity{Incarnation: 7, Until: clock.Now().Add(time.Minute)})
	s := owner.New(owner.Config{
		Clock: clock, View: v, Backend: backend.New(backend.Config{Clock: clock}), ByBeat: true, BeatInterval: time.Second,
	})
	s.BeginTerm()
	s.TableChanged(context.Background(), table)
	a := s.Answer(s.Receive(beat), 5*time.Second)
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
