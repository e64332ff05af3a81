package choice_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jujubeknot/jujubeknot/core/choice"
)

// TestRendezvousSeesEarlierSendings guards against a resend that runs at a node
// whose request table cannot contain the first sending. However the candidates
// change, a node that was always selected must have got every earlier sending.
func TestRendezvousSeesEarlierSendings(t *testing.T) {
	const window = 60 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1, 0)
		var history choice.RendezvousHistory
		type sending struct {
			at       time.Time
			id       string
			selected uint64
		}
		var sent []sending
		for step := range rapid.IntRange(1, 20).Draw(t, "steps") {
			var candidates []choice.Candidate
			for i := range uint64(5) {
				if rapid.Bool().Draw(t, "serves") {
					candidates = append(candidates, choice.Candidate{Incarnation: i + 1})
				}
			}
			history.Record(now, candidates, window)
			for range 3 {
				now = now.Add(time.Duration(rapid.Int64Range(0, int64(40*time.Second)).Draw(t, "passed")))
				id := fmt.Sprint("id-", rapid.IntRange(0, 5).Draw(t, "id"))
				selected, ok := choice.Rendezvous(id, candidates)
				if !ok {
					continue
				}
				if history.AlwaysSelected(now, id, selected.Incarnation, window) {
					for _, s := range sent {
						if s.id == id && s.selected != selected.Incarnation && now.Sub(s.at) < window {
							t.Fatalf("step %d: %s was sent to %d %v ago, but AlwaysSelected is true for %d", step, id, s.selected, now.Sub(s.at), selected.Incarnation)
						}
					}
				}
				sent = append(sent, sending{now, id, selected.Incarnation})
			}
		}
	})
}

// TestAlwaysSelected guards against refusals of first sendings whose selected
// node never changed, and against a node that has just started and claims to
// have got every earlier sending.
func TestAlwaysSelected(t *testing.T) {
	const window = 60 * time.Second
	start := time.Unix(1, 0)
	all := []choice.Candidate{{Incarnation: 1}, {Incarnation: 2}, {Incarnation: 3}}
	var history choice.RendezvousHistory
	history.Record(start, all, window)
	selected, _ := choice.Rendezvous("id", all)
	if history.AlwaysSelected(start.Add(time.Second), "id", selected.Incarnation, window) {
		t.Error("AlwaysSelected = true one second after the first record, want false")
	}
	history.Record(start.Add(2*window), all[:2], window)
	stayed, moved := 0, 0
	for i := range 300 {
		id := fmt.Sprint("id-", i)
		before, _ := choice.Rendezvous(id, all)
		after, _ := choice.Rendezvous(id, all[:2])
		always := history.AlwaysSelected(start.Add(2*window+time.Second), id, after.Incarnation, window)
		if always != (before == after) {
			t.Fatalf("%s: selected %d, then %d, but AlwaysSelected = %v", id, before.Incarnation, after.Incarnation, always)
		}
		if always {
			stayed++
		} else {
			moved++
		}
	}
	if stayed < 150 || moved < 50 {
		t.Errorf("%d ids stayed and %d moved, want about 200 and 100", stayed, moved)
	}
}
