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

// owner is a node that owns the partition or did so before, with its table.
type owner struct {
	table *outcome.RequestTable
	// running are the ids that this node is running.
	running []string
	// waiting are the waiting sendings by waiter.
	waiting map[uint64]outcome.BeginRequest
	// barred are the sendings that the table has barred.
	barred map[string]bool
}

// model is one partition with its owners so far, and the requests that have
// actually run.
type model struct {
	t      *rapid.T
	now    time.Time
	config outcome.RequestTableConfig
	// owners are in order; the last one is the current owner.
	owners []*owner
	// sendings is the number of sendings so far.
	sendings int
	// sent are the sendings so far, from which delayed copies are drawn.
	sent []outcome.BeginRequest
	// sentTo is the owner that each sending was addressed to.
	sentTo map[string]*owner
	// ran is the time at which each id was last running.
	ran map[string]time.Time
	// answered is the response of each id that has finished.
	answered map[string]string
}

func (m *model) owner() *owner { return m.owners[len(m.owners)-1] }

func (m *model) newOwner() *owner {
	o := &owner{
		table:   outcome.NewRequestTable(m.config),
		waiting: make(map[uint64]outcome.BeginRequest), barred: make(map[string]bool),
	}
	m.owners = append(m.owners, o)
	return o
}

// start starts a request and checks that the id has not run within the window
// and that the sending is not barred.
func (m *model) start(o *owner, r outcome.BeginRequest) {
	if at, ok := m.ran[r.ID]; ok && m.now.Sub(at) < window {
		m.t.Fatalf("id %s runs a second time after %v, want once within the window", r.ID, m.now.Sub(at))
	}
	if o.barred[r.Sending] {
		m.t.Fatalf("sending %s of %s runs although it is barred", r.Sending, r.ID)
	}
	m.ran[r.ID] = m.now
	o.running = append(o.running, r.ID)
}

// begin lets a sending arrive at an owner.
func (m *model) begin(o *owner, r outcome.BeginRequest) {
	a := o.table.Begin(m.now, r)
	if a.Verdict == outcome.BeginWait {
		o.waiting[a.Waiter] = r
		return
	}
	m.answer(o, r, a)
}

// answer checks an answer of Begin or of an event against what has run.
func (m *model) answer(o *owner, r outcome.BeginRequest, a outcome.BeginAnswer) {
	at, ran := m.ran[r.ID]
	recent := ran && m.now.Sub(at) < window
	switch a.Verdict {
	case outcome.BeginRun:
		m.start(o, r)
	case outcome.BeginReplay:
		if string(a.Response.Body) != m.answered[r.ID] {
			m.t.Fatalf("id %s gets the response %q, want %q", r.ID, a.Response.Body, m.answered[r.ID])
		}
	case outcome.BeginRefuse:
		// A barred sending has not run, even if another sending of the id has.
		if a.Refusal.Outcome == outcome.OutcomeNotRun && recent && !o.barred[r.Sending] {
			m.t.Fatalf("id %s ran %v ago, but is refused with %v", r.ID, m.now.Sub(at), a.Refusal)
		}
	case outcome.BeginWait:
		m.t.Fatalf("id %s: got the verdict wait in an event", r.ID)
	}
}

// events handles the events of an owner's table.
func (m *model) events(o *owner, events []outcome.RequestEvent) {
	for _, e := range events {
		r, ok := o.waiting[e.Waiter]
		if !ok || r.ID != e.ID {
			m.t.Fatalf("event %+v for a sending that does not wait", e)
		}
		delete(o.waiting, e.Waiter)
		m.answer(o, r, e.Answer)
	}
}

// send sends a new request or resends one, and may lose it on the way.
func (m *model) send(t *rapid.T) {
	m.sendings++
	r := outcome.BeginRequest{
		ID: fmt.Sprint("id", rapid.IntRange(0, 5).Draw(t, "id")), Sending: fmt.Sprint("s", m.sendings),
		Upstream: "desk", Partition: 3, IDFromCaller: true,
	}
	if _, ok := m.ran[r.ID]; !ok && !m.wasSent(r.ID) && rapid.Bool().Draw(t, "first") {
		r.Attempt = 1
	}
	m.sent = append(m.sent, r)
	m.sentTo[r.Sending] = m.owner()
	if rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
		m.begin(m.owner(), r)
	}
}

func (m *model) wasSent(id string) bool {
	return slices.ContainsFunc(m.sent, func(r outcome.BeginRequest) bool { return r.ID == id })
}

// end ends a running request: with a response, or without one after it was or
// was not started.
func (m *model) end(t *rapid.T) {
	o := m.owner()
	if len(o.running) == 0 {
		t.Skip("nothing runs")
	}
	i := rapid.IntRange(0, len(o.running)-1).Draw(t, "running")
	id := o.running[i]
	o.running = append(o.running[:i], o.running[i+1:]...)
	switch rapid.IntRange(0, 2).Draw(t, "end") {
	case 0:
		body := fmt.Sprintf("%s at %v", id, m.now.UnixMilli())
		m.answered[id] = body
		m.ran[id] = m.now
		m.events(o, o.table.Finish(m.now, id, outcome.Response{
			Status: 200, Body: []byte(body), Complete: rapid.IntRange(0, 3).Draw(t, "complete") > 0,
		}))
	case 1:
		m.ran[id] = m.now
		m.events(o, o.table.Fail(m.now, id, true))
	default:
		// The request was never started at the backend server.
		delete(m.ran, id)
		m.events(o, o.table.Fail(m.now, id, false))
	}
}

// settle asks the node that a sending was addressed to what became of it.
func (m *model) settle(t *rapid.T) {
	if len(m.sent) == 0 {
		t.Skip("nothing sent")
	}
	r := rapid.SampledFrom(m.sent).Draw(t, "sending")
	o := m.sentTo[r.Sending]
	a := o.table.Settle(m.now, r.Sending)
	switch a.State {
	case outcome.SettleBarred:
		o.barred[r.Sending] = true
	case outcome.SettleResponse:
		if string(a.Response.Body) != m.answered[r.ID] {
			t.Fatalf("settle of %s: response %q, want %q", r.ID, a.Response.Body, m.answered[r.ID])
		}
	case outcome.SettleRunning:
		if o == m.owner() && !slices.Contains(o.running, r.ID) {
			t.Fatalf("settle of %s: got running, but it is not running", r.ID)
		}
	}
}

// deliver lets a copy of an old sending arrive at the node that it was
// addressed to, if that node is still the owner.
func (m *model) deliver(t *rapid.T) {
	if len(m.sent) == 0 {
		t.Skip("nothing sent")
	}
	r := rapid.SampledFrom(m.sent).Draw(t, "copy")
	if m.sentTo[r.Sending] == m.owner() {
		m.begin(m.owner(), r)
	}
}

// plannedMove hands the partition over to a new owner with its records.
func (m *model) plannedMove(*rapid.T) {
	old := m.owner()
	for len(old.running) > 0 {
		// The old owner waits for its running requests to end.
		id := old.running[0]
		old.running = old.running[1:]
		m.ran[id] = m.now
		m.answered[id] = id
		m.events(old, old.table.Finish(m.now, id, outcome.Response{Status: 200, Body: []byte(id), Complete: true}))
	}
	records := old.table.Export(m.now, "desk", 3)
	next := m.newOwner()
	next.table.BecameOwner(m.now, "desk", 3, true)
	next.table.Import(m.now, records)
}

func newModel(t *rapid.T) *model {
	m := &model{
		t: t, now: time.Unix(1000, 0), ran: make(map[string]time.Time), answered: make(map[string]string),
		sentTo: make(map[string]*owner),
		config: outcome.RequestTableConfig{
			Window: window, BarWindow: time.Hour,
			MaxEntries: rapid.SampledFrom([]int{2, 5, 1000}).Draw(t, "entries"),
			MaxBytes:   rapid.SampledFrom([]int64{20, 1 << 20}).Draw(t, "bytes"),
		},
	}
	m.newOwner()
	return m
}

// TestAtMostOnce guards against a non-idempotent request that runs twice within
// the window, a barred sending that runs, the outcome notRun for a request that
// ran, and a response that belongs to another request. It covers resends,
// delayed copies, lost answers, planned moves and lost owners.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"send":    m.send,
			"resend":  m.send,
			"end":     m.end,
			"settle":  m.settle,
			"deliver": m.deliver,
			"move":    m.plannedMove,
			"lose": func(*rapid.T) {
				// The owner is lost. Its requests are cancelled at the end of its
				// lease, so they have run until now at the latest.
				for _, id := range m.owner().running {
					m.ran[id] = m.now
				}
				m.owner().running = nil
				m.newOwner().table.BecameOwner(m.now, "desk", 3, false)
			},
			"advance": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
				for _, o := range m.owners {
					for _, id := range o.running {
						// The window of a running request has not begun.
						m.ran[id] = m.now
					}
				}
			},
			"giveUp": func(t *rapid.T) {
				o := m.owner()
				waiters := make([]uint64, 0, len(o.waiting))
				for waiter := range o.waiting {
					waiters = append(waiters, waiter)
				}
				if len(waiters) == 0 {
					t.Skip("nothing waits")
				}
				slices.Sort(waiters)
				waiter := rapid.SampledFrom(waiters).Draw(t, "waiter")
				if !o.table.CancelWait(waiter) {
					t.Fatalf("CancelWait(%d) = false, want true for a waiting sending", waiter)
				}
				delete(o.waiting, waiter)
			},
			"": func(t *rapid.T) {
				for _, o := range m.owners {
					if o.table.Bytes() < 0 || o.table.Bytes() > m.config.MaxBytes {
						t.Fatalf("%d bytes stored, want at most %d", o.table.Bytes(), m.config.MaxBytes)
					}
				}
			},
		})
	})
}

// TestFullTable guards against a full table that drops ids to make room.
func TestFullTable(t *testing.T) {
	now := time.Unix(1000, 0)
	r := outcome.NewRequestTable(outcome.RequestTableConfig{MaxEntries: 3})
	for i := range 3 {
		id := fmt.Sprint(i)
		if a := r.Begin(now, outcome.BeginRequest{ID: id}); a.Verdict != outcome.BeginRun {
			t.Fatalf("new id %s: %v, want run", id, a.Verdict)
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

// TestUnrecordedSending guards against a bar for a waiting sending that the
// full table could not record. Such a sending may still be told to run.
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

// TestLargeResponse guards against a response that is stored although it is
// above MaxBody, and against a waiting sending that does not get it.
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
		t.Errorf("%d bytes stored, want 0", r.Bytes())
	}
	a := r.Begin(now, outcome.BeginRequest{ID: "a"})
	if a.Verdict != outcome.BeginRefuse || a.Refusal.Outcome != outcome.OutcomeUnknown {
		t.Errorf("resend: %v %v, want a refusal with unknown", a.Verdict, a.Refusal)
	}
}

// TestIDOfAnotherKey guards against a stored response that is sent to a caller
// who used the same id for a request with another key.
func TestIDOfAnotherKey(t *testing.T) {
	now := time.Unix(1000, 0)
	r := outcome.NewRequestTable(outcome.RequestTableConfig{})
	r.Begin(now, outcome.BeginRequest{ID: "a", Upstream: "desk", Partition: 1})
	r.Finish(now, "a", outcome.Response{Status: 200, Body: []byte("one"), Complete: true})
	a := r.Begin(now, outcome.BeginRequest{ID: "a", Upstream: "desk", Partition: 2})
	if a.Verdict != outcome.BeginRefuse || a.Refusal.Reason != outcome.ReasonBadRequest {
		t.Errorf("same id with another key: %v %v, want a refusal with badRequest", a.Verdict, a.Refusal)
	}
}

// TestBudget guards against retry storms, and against a budget that allows too
// few retries. Over any sequence, retries stay within the share of requests
// plus the burst.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0.01, 1).Draw(t, "share")
		burst := rapid.Float64Range(1, 20).Draw(t, "burst")
		b := outcome.NewBudget(outcome.BudgetConfig{Share: share, Burst: burst})
		requests, retries, sinceRetry := 0.0, 0.0, 0.0
		t.Repeat(map[string]func(*rapid.T){
			"request": func(*rapid.T) {
				b.CountRequest()
				requests++
				sinceRetry++
			},
			"take": func(t *rapid.T) {
				if b.Take() {
					retries++
					sinceRetry = 0
				} else if sinceRetry*share > 1.001 {
					t.Fatalf("no retry allowed after %v requests with share %v", sinceRetry, share)
				}
				if bound := burst + share*requests; retries > bound+1e-6 {
					t.Fatalf("%v retries for %v requests, want at most %v", retries, requests, bound)
				}
			},
		})
	})
	none := outcome.NewBudget(outcome.BudgetConfig{Share: -1})
	none.CountRequest()
	if none.Take() {
		t.Error("budget with a negative share allows a retry")
	}
}
