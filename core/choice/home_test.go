package choice_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jujubeknot/jujubeknot/core/choice"
)

// TestHomesKnowEverySendingBefore guards against a resend that runs at a node
// whose request table cannot know the first sending: for any course of
// candidates, a node that was always the home got every earlier sending.
func TestHomesKnowEverySendingBefore(t *testing.T) {
	const window = 60 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1, 0)
		var homes choice.RendezvousHistory
		type sending struct {
			at   time.Time
			id   string
			home uint64
		}
		var sent []sending
		for step := range rapid.IntRange(1, 20).Draw(t, "steps") {
			var candidates []choice.Candidate
			for i := range uint64(5) {
				if rapid.Bool().Draw(t, "serves") {
					candidates = append(candidates, choice.Candidate{Incarnation: i + 1})
				}
			}
			homes.Record(now, candidates, window)
			for range 3 {
				now = now.Add(time.Duration(rapid.Int64Range(0, int64(40*time.Second)).Draw(t, "passed")))
				id := fmt.Sprint("id-", rapid.IntRange(0, 5).Draw(t, "id"))
				home, ok := choice.Rendezvous(id, candidates)
				if !ok {
					continue
				}
				if homes.AlwaysSelected(now, id, home.Incarnation, window) {
					for _, s := range sent {
						if s.id == id && s.home != home.Incarnation && now.Sub(s.at) < window {
							t.Fatalf("step %d: %s was at %d %v ago, now at %d", step, id, s.home, now.Sub(s.at), home.Incarnation)
						}
					}
				}
				sent = append(sent, sending{now, id, home.Incarnation})
			}
		}
	})
}

// TestHomesStayWhereNothingChanged guards against refusals of first sendings
// whose home never changed, and against a node that has just come believing
// that it knows every id.
func TestHomesStayWhereNothingChanged(t *testing.T) {
	const window = 60 * time.Second
	start := time.Unix(1, 0)
	all := []choice.Candidate{{Incarnation: 1}, {Incarnation: 2}, {Incarnation: 3}}
	var homes choice.RendezvousHistory
	homes.Record(start, all, window)
	home, _ := choice.Rendezvous("id", all)
	if homes.AlwaysSelected(start.Add(time.Second), "id", home.Incarnation, window) {
		t.Error("a node knows every id one second after it began to watch")
	}
	homes.Record(start.Add(2*window), all[:2], window)
	stayed, moved := 0, 0
	for i := range 300 {
		id := fmt.Sprint("id-", i)
		before, _ := choice.Rendezvous(id, all)
		after, _ := choice.Rendezvous(id, all[:2])
		known := homes.AlwaysSelected(start.Add(2*window+time.Second), id, after.Incarnation, window)
		if known != (before == after) {
			t.Fatalf("%s: home %d, then %d, known %v", id, before.Incarnation, after.Incarnation, known)
		}
		if known {
			stayed++
		} else {
			moved++
		}
	}
	if stayed < 150 || moved < 50 {
		t.Errorf("%d homes stayed and %d moved, want about 200 and 100", stayed, moved)
	}
}
