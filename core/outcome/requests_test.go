package outcome_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jujubeknot/jujubeknot/core/outcome"
)

const window = 10 * time.Second

// owner is the node that owns the partition, with its table.
type owner struct {
	table *outcome.RequestTable
	// running has the ids that this node runs.
	running []string
	// waiting has the waiting sendings by ticket.
	waiting map[uint64]outcome.BeginRequest
	// barred has the sendings that the table promised never to run.
	barred map[string]bool
}

// world is one partition with its owners so far, and what has really run.
type world struct {
	t        *rapid.T
	now      time.Time
	config   outcome.RequestTableConfig
	owners   []*owner
	sendings int
	// sent has the sendings so far, for resends and delayed copies.
	sent []outcome.BeginRequest
	// sentTo is the owner that each sending was addressed to.
	sentTo map[string]*owner
	// ran has the time of the last start of each id.
	ran map[string]time.Time
	// answered has the response of each id that finished.
	answered map[string]string
}

func (w *world) owner() *owner { return w.owners[len(w.owners)-1] }

func (w *world) newOwner() *owner {
	o := &owner{
		table:   outcome.NewRequestTable(w.config),
		waiting: make(map[uint64]outcome.BeginRequest), barred: make(map[string]bool),
	}
	w.owners = append(w.owners, o)
	return o
}

// runs checks the start of a request: this is where an id runs twice.
func (w *world) runs(o *owner, r outcome.BeginRequest) {
	if at, ok := w.ran[r.ID]; ok && w.now.Sub(at) < window {
		w.t.Fatalf("id %s runs again after %v", r.ID, w.now.Sub(at))
	}
	if o.barred[r.Sending] {
		w.t.Fatalf("sending %s of %s runs although it is barred", r.Sending, r.ID)
	}
	w.ran[r.ID] = w.now
	o.running = append(o.running, r.ID)
}

func (w *world) begin(o *owner, r outcome.BeginRequest) {
	a := o.table.Begin(w.now, r)
	if a.Verdict == outcome.BeginWait {
		o.waiting[a.Waiter] = r
		return
	}
	w.answer(o, r, a)
}

func (w *world) answer(o *owner, r outcome.BeginRequest, a outcome.BeginAnswer) {
	at, ran := w.ran[r.ID]
	recent := ran && w.now.Sub(at) < window
	switch a.Verdict {
	case outcome.BeginRun:
		w.runs(o, r)
	case outcome.BeginReplay:
		if string(a.Response.Body) != w.answered[r.ID] {
			w.t.Fatalf("id %s gets the response %q, want %q", r.ID, a.Response.Body, w.answered[r.ID])
		}
	case outcome.BeginRefuse:
		// A barred sending has not run itself, whatever other sendings did.
		if a.Refusal.Outcome == outcome.OutcomeNotRun && recent && !o.barred[r.Sending] {
			w.t.Fatalf("id %s ran %v ago and is refused with %v", r.ID, w.now.Sub(at), a.Refusal)
		}
	case outcome.BeginWait:
		w.t.Fatalf("id %s: an event must not wait", r.ID)
	}
}

func (w *world) events(o *owner, events []outcome.RequestEvent) {
	for _, e := range events {
		r, ok := o.waiting[e.Waiter]
		if !ok || r.ID != e.ID {
			w.t.Fatalf("event %+v for a sending that does not wait", e)
		}
		delete(o.waiting, e.Waiter)
		w.answer(o, r, e.Answer)
	}
}

func (w *world) send(t *rapid.T) {
	w.sendings++
	r := outcome.BeginRequest{
		ID: fmt.Sprint("id", rapid.IntRange(0, 5).Draw(t, "id")), Sending: fmt.Sprint("s", w.sendings),
		Upstream: "desk", Partition: 3, IDFromCaller: true,
	}
	if _, ok := w.ran[r.ID]; !ok && !w.wasSent(r.ID) && rapid.Bool().Draw(t, "first") {
		r.Attempt = 1
	}
	w.sent = append(w.sent, r)
	w.sentTo[r.Sending] = w.owner()
	if rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
		w.begin(w.owner(), r)
	}
}

func (w *world) wasSent(id string) bool {
	return slices.ContainsFunc(w.sent, func(r outcome.BeginRequest) bool { return r.ID == id })
}

// end ends a running request in one of three ways.
func (w *world) end(t *rapid.T) {
	o := w.owner()
	if len(o.running) == 0 {
		t.Skip("nothing runs")
	}
	i := rapid.IntRange(0, len(o.running)-1).Draw(t, "running")
	id := o.running[i]
	o.running = append(o.running[:i], o.running[i+1:]...)
	switch rapid.IntRange(0, 2).Draw(t, "end") {
	case 0:
		body := fmt.Sprintf("%s at %v", id, w.now.UnixMilli())
		w.answered[id] = body
		w.ran[id] = w.now
		w.events(o, o.table.Finish(w.now, id, outcome.Response{
			Status: 200, Body: []byte(body), Complete: rapid.IntRange(0, 3).Draw(t, "complete") > 0,
		}))
	case 1:
		w.ran[id] = w.now
		w.events(o, o.table.Fail(w.now, id, true))
	default:
		// The request did not run after all.
		delete(w.ran, id)
		w.events(o, o.table.Fail(w.now, id, false))
	}
}

// settle asks the node that a sending was addressed to.
func (w *world) settle(t *rapid.T) {
	if len(w.sent) == 0 {
		t.Skip("nothing sent")
	}
	r := rapid.SampledFrom(w.sent).Draw(t, "sending")
	o := w.sentTo[r.Sending]
	a := o.table.Settle(w.now, r.Sending)
	switch a.State {
	case outcome.SettleBarred:
		o.barred[r.Sending] = true
	case outcome.SettleResponse:
		if string(a.Response.Body) != w.answered[r.ID] {
			t.Fatalf("settle of %s: %q, want %q", r.ID, a.Response.Body, w.answered[r.ID])
		}
	case outcome.SettleRunning:
		if o == w.owner() && !slices.Contains(o.running, r.ID) {
			t.Fatalf("settle of %s: running, but it does not run", r.ID)
		}
	}
}

// deliver lets an old sending arrive at the node that it was addressed to, if
// that still is the owner.
func (w *world) deliver(t *rapid.T) {
	if len(w.sent) == 0 {
		t.Skip("nothing sent")
	}
	r := rapid.SampledFrom(w.sent).Draw(t, "copy")
	if w.sentTo[r.Sending] == w.owner() {
		w.begin(w.owner(), r)
	}
}

func (w *world) plannedMove(*rapid.T) {
	old := w.owner()
	for len(old.running) > 0 {
		// The old owner lets its requests end first.
		id := old.running[0]
		old.running = old.running[1:]
		w.ran[id] = w.now
		w.answered[id] = id
		w.events(old, old.table.Finish(w.now, id, outcome.Response{Status: 200, Body: []byte(id), Complete: true}))
	}
	records := old.table.Export(w.now, "desk", 3)
	next := w.newOwner()
	next.table.BecameOwner(w.now, "desk", 3, true)
	next.table.Import(w.now, records)
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: time.Unix(1000, 0), ran: make(map[string]time.Time), answered: make(map[string]string),
		sentTo: make(map[string]*owner),
		config: outcome.RequestTableConfig{
			Window: window, BarWindow: time.Hour,
			MaxEntries: rapid.SampledFrom([]int{2, 5, 1000}).Draw(t, "entries"),
			MaxBytes:   rapid.SampledFrom([]int64{20, 1 << 20}).Draw(t, "bytes"),
		},
	}
	w.newOwner()
	return w
}

// TestAtMostOnce guards against a non-idempotent request that runs twice inside
// the window, a barred sending that runs, a notRun about a request that ran,
// and a response of another request, over resends, delayed copies, lost
// answers, planned moves and lost owners.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"send":    w.send,
			"resend":  w.send,
			"end":     w.end,
			"settle":  w.settle,
			"deliver": w.deliver,
			"move":    w.plannedMove,
			"lose": func(*rapid.T) {
				// The owner is gone. Its requests are cancelled at the end of its
				// lease, so they ran until now at most.
				for _, id := range w.owner().running {
					w.ran[id] = w.now
				}
				w.owner().running = nil
				w.newOwner().table.BecameOwner(w.now, "desk", 3, false)
			},
			"advance": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
				for _, o := range w.owners {
					for _, id := range o.running {
						// A request that still runs is inside its window.
						w.ran[id] = w.now
					}
				}
			},
			"giveUp": func(t *rapid.T) {
				o := w.owner()
				tickets := make([]uint64, 0, len(o.waiting))
				for ticket := range o.waiting {
					tickets = append(tickets, ticket)
				}
				if len(tickets) == 0 {
					t.Skip("nothing waits")
				}
				slices.Sort(tickets)
				ticket := rapid.SampledFrom(tickets).Draw(t, "ticket")
				if !o.table.CancelWait(ticket) {
					t.Fatalf("waiting sending %d is not known", ticket)
				}
				delete(o.waiting, ticket)
			},
			"": func(t *rapid.T) {
				for _, o := range w.owners {
					if o.table.Bytes() < 0 || o.table.Bytes() > w.config.MaxBytes {
						t.Fatalf("%d bytes stored, bound %d", o.table.Bytes(), w.config.MaxBytes)
					}
				}
			},
		})
	})
}

// TestFullTable guards against a full table that forgets ids to make room.
func TestFullTable(t *testing.T) {
	now := time.Unix(1000, 0)
	r := outcome.NewRequestTable(outcome.RequestTableConfig{MaxEntries: 3})
	for i := range 3 {
		id := fmt.Sprint(i)
		if a := r.Begin(now, outcome.BeginRequest{ID: id}); a.Verdict != outcome.BeginRun {
			t.Fatalf("id %s: %v", id, a.Verdict)
		}
		r.Finish(now, id, outcome.Response{Status: 200, Body: []byte(id), Complete: true})
	}
	a := r.Begin(now, outcome.BeginRequest{ID: "4"})
	if a.Verdict != outcome.BeginRefuse || a.Refusal.Outcome != outcome.OutcomeNotRun {
		t.Errorf("new id with a full table: %v %v, want a refusal with notRun", a.Verdict, a.Refusal)
	}
	if s := r.Settle(now, "5"); s.State != outcome.SettleUnknown {
		t.Errorf("settle with a full table: %v, want unknown because no bar can be stored", s.State)
	}
	if a := r.Begin(now, outcome.BeginRequest{ID: "1"}); a.Verdict != outcome.BeginReplay || string(a.Response.Body) != "1" {
		t.Errorf("resend: %v %q, want the stored response", a.Verdict, a.Response.Body)
	}
	now = now.Add(outcome.DefaultWindow)
	if a := r.Begin(now, outcome.BeginRequest{ID: "4"}); a.Verdict != outcome.BeginRun {
		t.Errorf("new id after the window: %v, want run", a.Verdict)
	}
	if r.Len() != 1 {
		t.Errorf("%d ids after the window, want 1", r.Len())
	}
}

// TestUnrecordedSending guards against a bar for a sending that waits but had no
// room in the table: it may still be told to run.
func TestUnrecordedSending(t *testing.T) {
	now := time.Unix(1000, 0)
	r := outcome.NewRequestTable(outcome.RequestTableConfig{MaxEntries: 3})
	r.Begin(now, outcome.BeginRequest{ID: "a", Sending: "s1"})
	r.Begin(now, outcome.BeginRequest{ID: "b"})
	if a := r.Begin(now, outcome.BeginRequest{ID: "a", Sending: "s2"}); a.Verdict != outcome.BeginWait {
		t.Fatalf("second sending: %v, want wait", a.Verdict)
	}
	r.Fail(now, "b", false)
	if s := r.Settle(now, "s2"); s.State != outcome.SettleUnknown {
		t.Errorf("settle of the waiting sending: %v, want unknown", s.State)
	}
	if events := r.Fail(now, "a", false); len(events) != 1 || events[0].Answer.Verdict != outcome.BeginRun {
		t.Errorf("events %+v, want the waiting sending to run", events)
	}
}

// TestLargeResponse guards against a large body that is kept, and against a
// waiting sending that misses it although it is at hand.
func TestLargeResponse(t *testing.T) {
	now := time.Unix(1000, 0)
	r := outcome.NewRequestTable(outcome.RequestTableConfig{MaxBody: 10})
	r.Begin(now, outcome.BeginRequest{ID: "a"})
	waiting := r.Begin(now, outcome.BeginRequest{ID: "a"})
	events := r.Finish(now, "a", outcome.Response{Status: 200, Body: make([]byte, 11), Complete: true})
	if len(events) != 1 || events[0].Waiter != waiting.Waiter || events[0].Answer.Verdict != outcome.BeginReplay {
		t.Errorf("events %+v, want the response for waiter %d", events, waiting.Waiter)
	}
	if r.Bytes() != 0 {
		t.Errorf("%d bytes kept, want 0", r.Bytes())
	}
	a := r.Begin(now, outcome.BeginRequest{ID: "a"})
	if a.Verdict != outcome.BeginRefuse || a.Refusal.Outcome != outcome.OutcomeUnknown {
		t.Errorf("resend: %v %v, want a refusal with unknown", a.Verdict, a.Refusal)
	}
}

// TestIDOfAnotherKey guards against a response that goes to a caller who used
// the same id for a request with another key.
func TestIDOfAnotherKey(t *testing.T) {
	now := time.Unix(1000, 0)
	r := outcome.NewRequestTable(outcome.RequestTableConfig{})
	r.Begin(now, outcome.BeginRequest{ID: "a", Upstream: "desk", Partition: 1})
	r.Finish(now, "a", outcome.Response{Status: 200, Body: []byte("one"), Complete: true})
	a := r.Begin(now, outcome.BeginRequest{ID: "a", Upstream: "desk", Partition: 2})
	if a.Verdict != outcome.BeginRefuse || a.Refusal.Reason != outcome.ReasonBadRequest {
		t.Errorf("%v %v, want a refusal", a.Verdict, a.Refusal)
	}
}

// TestBudget guards against retry storms: over any sequence the repetitions
// stay within the share of requests plus the burst, and are not starved.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0.01, 1).Draw(t, "share")
		burst := rapid.Float64Range(1, 20).Draw(t, "burst")
		b := outcome.NewBudget(outcome.BudgetConfig{Share: share, Burst: burst})
		requests, repeated, since := 0.0, 0.0, 0.0
		t.Repeat(map[string]func(*rapid.T){
			"request": func(*rapid.T) {
				b.CountRequest()
				requests++
				since++
			},
			"take": func(t *rapid.T) {
				if b.Take() {
					repeated++
					since = 0
				} else if since*share > 1.001 {
					t.Fatalf("no repetition after %v requests with share %v", since, share)
				}
				if bound := burst + share*requests; repeated > bound+1e-6 {
					t.Fatalf("%v repetitions of %v requests, bound %v", repeated, requests, bound)
				}
			},
		})
	})
	none := outcome.NewBudget(outcome.BudgetConfig{Share: -1})
	none.CountRequest()
	if none.Take() {
		t.Error("a budget of none allows a repetition")
	}
}
