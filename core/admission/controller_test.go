package admission_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jujubeknot/jujubeknot/core/admission"
	"github.com/jujubeknot/jujubeknot/core/outcome"
)

// model tracks the state of a Controller from its decisions and checks each
// decision.
type model struct {
	*admission.Controller
	t       *rapid.T
	config  admission.Config
	now     time.Time
	lastID  uint64
	waiting map[uint64]admission.Request
	running map[uint64]admission.Request
	// finished holds the ids of requests that were refused or cancelled.
	finished map[uint64]bool
	// maxQueue is the longest queue that any configuration so far allowed.
	maxQueue int
}

func newModel(t *rapid.T) *model {
	config := admission.Config{
		Slots:     rapid.IntRange(1, 8).Draw(t, "slots"),
		MaxQueued: rapid.SampledFrom([]int{-1, 1, 4, 16}).Draw(t, "queue"),
		KeyShare:  rapid.SampledFrom([]float64{0.25, 0.5, 1}).Draw(t, "share"),
	}
	m := &model{
		Controller: admission.New(config), t: t, config: config, now: time.Unix(100, 0), lastID: 1 << 32,
		waiting: make(map[uint64]admission.Request), running: make(map[uint64]admission.Request),
		finished: make(map[uint64]bool), maxQueue: max(config.MaxQueued, 0),
	}
	m.BackendStarted(m.now, "a")
	if rapid.Bool().Draw(t, "warm") {
		m.warm()
	}
	return m
}

// warm ends requests until the server has its full limit.
func (m *model) warm() {
	var running []uint64
	for id := uint64(1); m.Cold() || m.Limit() < m.config.Slots; id++ {
		if m.Offer(m.now, admission.Request{ID: id}).Verdict == admission.VerdictAdmit {
			running = append(running, id)
		}
		if len(running) == m.Limit() {
			m.Done(m.now, running[0], admission.Result{Latency: 10 * time.Millisecond})
			running = running[1:]
		}
		if id > 100_000 {
			m.t.Fatalf("limit is %d of %d slots after %d requests", m.Limit(), m.config.Slots, id)
		}
	}
	for m.Queued() > 0 || len(running) > 0 {
		for _, e := range m.Done(m.now, running[0], admission.Result{Latency: 10 * time.Millisecond}) {
			if e.Decision.Verdict == admission.VerdictAdmit {
				running = append(running, e.ID)
			}
		}
		running = running[1:]
	}
}

func (m *model) shareOf(n int) int { return max(int(m.config.KeyShare*float64(n)), 1) }

func (m *model) keyInFlight(key uint64) int {
	n := 0
	for _, r := range m.running {
		if r.Key == key {
			n++
		}
	}
	return n
}

// belowShare reports whether a key may get a slot while other keys wait.
func (m *model) belowShare(key uint64) bool {
	return key == 0 || m.keyInFlight(key) < m.shareOf(m.Limit())
}

// checkStart checks that a request may start, and records it as running.
func (m *model) checkStart(r admission.Request) {
	if len(m.running) >= m.config.Slots {
		m.t.Fatalf("request %d starts with %d of %d slots taken", r.ID, len(m.running), m.config.Slots)
	}
	if r.Depth == 0 && len(m.running) >= m.Limit() {
		m.t.Fatalf("request %d starts with %d in flight and limit %d", r.ID, len(m.running), m.Limit())
	}
	for _, other := range m.running {
		if len(m.running) >= m.Limit() && other.Depth == r.Depth {
			m.t.Fatalf("nested request %d starts with %d in flight and limit %d beside another one of depth %d",
				r.ID, len(m.running), m.Limit(), r.Depth)
		}
	}
	if !r.Deadline.IsZero() && !r.Deadline.After(m.now) {
		m.t.Fatalf("request %d starts %v after its deadline", r.ID, m.now.Sub(r.Deadline))
	}
	m.running[r.ID] = r
}

// checkQueueOrder checks that a start from the queue respects key shares and
// priorities.
func (m *model) checkQueueOrder(r admission.Request) {
	for _, w := range m.waiting {
		if w.Depth != r.Depth || !m.belowShare(w.Key) {
			continue
		}
		if !m.belowShare(r.Key) {
			m.t.Fatalf("key %d holds %d of %d and gets another slot while key %d waits with %d",
				r.Key, m.keyInFlight(r.Key), m.Limit(), w.Key, m.keyInFlight(w.Key))
		}
		if w.Priority > r.Priority {
			m.t.Fatalf("priority %d leaves the queue before priority %d", r.Priority, w.Priority)
		}
	}
}

func (m *model) handle(events []admission.Event) {
	for _, e := range events {
		r, ok := m.waiting[e.ID]
		if !ok {
			m.t.Fatalf("event %+v for a request that does not wait (refused or cancelled before: %v)", e, m.finished[e.ID])
		}
		delete(m.waiting, e.ID)
		switch e.Decision.Verdict {
		case admission.VerdictAdmit:
			m.checkQueueOrder(r)
			m.checkStart(r)
		case admission.VerdictRefuse:
			m.checkDrop(r, e.Decision)
		default:
			m.t.Fatalf("event with verdict %v, want admit or refuse", e.Decision.Verdict)
		}
	}
	m.checkState()
}

// checkDrop checks that requests of low priority are dropped first.
func (m *model) checkDrop(r admission.Request, a admission.Decision) {
	m.finished[r.ID] = true
	if a.Reason == "" || a.RetryAfter <= 0 {
		m.t.Fatalf("refusal without Reason or RetryAfter: %+v", a)
	}
	if a.Reason != outcome.ReasonQueueFull {
		return
	}
	for _, w := range m.waiting {
		if w.Depth == r.Depth && w.Priority < r.Priority {
			m.t.Fatalf("priority %d is dropped while priority %d waits", r.Priority, w.Priority)
		}
	}
}

func (m *model) checkState() {
	if m.InFlight() != len(m.running) {
		m.t.Fatalf("%d in flight, want %d", m.InFlight(), len(m.running))
	}
	if m.Queued() != len(m.waiting) || m.Queued() > m.maxQueue {
		m.t.Fatalf("%d queued, want %d and at most %d", m.Queued(), len(m.waiting), m.maxQueue)
	}
	if m.Limit() < 1 || m.Limit() > m.config.Slots {
		m.t.Fatalf("limit %d, want 1 to %d slots", m.Limit(), m.config.Slots)
	}
	next := m.NextExpire()
	for _, w := range m.waiting {
		if !w.Deadline.IsZero() && (next.IsZero() || next.After(w.Deadline)) {
			m.t.Fatalf("NextExpire returns %v, after the deadline %v of a waiting request", next, w.Deadline)
		}
	}
	if len(m.running) == 0 && len(m.waiting) > 0 && next.IsZero() {
		m.t.Fatalf("%d requests wait for an idle server and no call of Expire is due", len(m.waiting))
	}
}

func (m *model) offer(t *rapid.T) {
	m.lastID++
	r := admission.Request{
		ID: m.lastID, Key: rapid.Uint64Range(0, 3).Draw(t, "key"),
		Priority: rapid.IntRange(4, 5).Draw(t, "priority"),
		Depth:    rapid.SampledFrom([]int{0, 0, 0, 0, 0, 0, 1, 2}).Draw(t, "depth"),
	}
	if rapid.Bool().Draw(t, "hasDeadline") {
		r.Deadline = m.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "deadline")) * time.Millisecond)
	}
	before := len(m.waiting)
	a := m.Offer(m.now, r)
	switch a.Verdict {
	case admission.VerdictAdmit:
		m.checkStart(r)
	case admission.VerdictQueue:
		m.waiting[r.ID] = r
	case admission.VerdictRefuse:
		m.finished[r.ID] = true
		if a.Reason == outcome.ReasonKeyShare && before == m.keyQueued(r.Key) {
			m.t.Fatalf("key %d was refused for its share while no other key waits", r.Key)
		}
	}
	// Requests that were dropped in favour of this one are reported at once.
	if next := m.NextExpire(); !next.IsZero() && !next.After(m.now) {
		m.handle(m.Expire(m.now))
	}
	m.checkState()
}

func (m *model) keyQueued(key uint64) int {
	n := 0
	for _, w := range m.waiting {
		if w.Key == key {
			n++
		}
	}
	return n
}

func pickID(t *rapid.T, requests map[uint64]admission.Request) uint64 {
	ids := make([]uint64, 0, len(requests))
	for id := range requests {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return 0
	}
	slices.Sort(ids)
	return rapid.SampledFrom(ids).Draw(t, "id")
}

func (m *model) done(t *rapid.T) {
	if len(m.running) == 0 {
		t.Skip("nothing runs")
	}
	id := pickID(t, m.running)
	result := admission.Result{
		Kind: admission.ResultKind(rapid.SampledFrom([]int{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 2, 3, 4, 5}).Draw(t, "kind")),
		// Latencies are short relative to the deadlines, so that requests wait
		// instead of being refused.
		Latency: time.Duration(rapid.IntRange(1, 20).Draw(t, "latency")) * time.Millisecond,
	}
	before := m.Limit()
	delete(m.running, id)
	events := m.Done(m.now, id, result)
	if result.Kind == admission.ResultOK && m.Limit() < before || result.Kind != admission.ResultOK && m.Limit() > before {
		m.t.Fatalf("limit changed from %d to %d after result %v", before, m.Limit(), result.Kind)
	}
	if result.Kind == admission.ResultRefused && (m.Limit() != 1 || !m.Cold()) {
		m.t.Fatalf("limit %d, cold %v after a refused connection; want 1 and true", m.Limit(), m.Cold())
	}
	m.handle(events)
}

// TestControllerProperties guards against exceeded slots or queues, unfair key
// shares, inverted priorities, starts after the deadline, missing or repeated
// events, and waiting requests for which no call of Expire is due. It applies
// random operations and checks each decision against the model.
func TestControllerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		boots := 0
		t.Repeat(map[string]func(*rapid.T){
			"offer":  m.offer,
			"offer2": m.offer,
			"offer3": m.offer,
			"offer4": m.offer,
			"done":   m.done,
			"done2":  m.done,
			"done3":  m.done,
			"cancel": func(t *rapid.T) {
				id := pickID(t, m.waiting)
				delete(m.waiting, id)
				m.finished[id] = true
				m.handle(m.Cancel(m.now, id))
			},
			"advance": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond)
				m.handle(m.Expire(m.now))
			},
			"boot": func(t *rapid.T) {
				fresh := rapid.IntRange(0, 9).Draw(t, "fresh") == 0
				if fresh {
					boots++
				}
				events := m.BackendStarted(m.now, string(rune('a'+boots)))
				if fresh && (m.Limit() != 1 || !m.Cold()) {
					t.Fatalf("limit %d, cold %v after a new boot id; want 1 and true", m.Limit(), m.Cold())
				}
				m.handle(events)
			},
			"configure": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "change") > 0 {
					return
				}
				m.config.Slots = rapid.IntRange(1, 8).Draw(t, "slots")
				m.Configure(m.now, m.config)
				m.handle(m.Expire(m.now))
			},
		})
	})
}

// TestAdvanceToNextExpire guards against a request that waits for ever although
// Expire is called at each time that NextExpire returns.
func TestAdvanceToNextExpire(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){"offer": m.offer, "done": m.done})
		for steps := 0; len(m.waiting)+len(m.running) > 0; steps++ {
			if steps > 10_000 {
				t.Fatalf("%d requests wait and %d run after %d steps, want none", len(m.waiting), len(m.running), steps)
			}
			if len(m.running) > 0 {
				id := pickID(t, m.running)
				delete(m.running, id)
				m.handle(m.Done(m.now, id, admission.Result{Latency: time.Millisecond}))
				continue
			}
			next := m.NextExpire()
			if next.IsZero() {
				t.Fatalf("%d requests wait and no call of Expire is due", len(m.waiting))
			}
			if next.After(m.now) {
				m.now = next
			}
			m.handle(m.Expire(m.now))
		}
	})
}

// TestRateLimit guards against admitting more requests than the operator's rate
// limit allows in any period from the start.
func TestRateLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(1, 1000).Draw(t, "rate")
		burst := rapid.Float64Range(1, 20).Draw(t, "burst")
		c := admission.New(admission.Config{Slots: 1000, RequestsPerSecond: perSecond, Burst: burst})
		start := time.Unix(100, 0)
		now, taken := start, 0.0
		for id := range rapid.Uint64Range(1, 200).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			a := c.Offer(now, admission.Request{ID: id})
			if a.Verdict == admission.VerdictRefuse {
				if a.Reason != outcome.ReasonRateLimit && a.Reason != outcome.ReasonCold {
					t.Fatalf("refused for %v, want rateLimit or cold", a.Reason)
				}
				continue
			}
			taken++
			if bound := burst + perSecond*now.Sub(start).Seconds(); taken > bound+1e-6 {
				t.Fatalf("%v requests within %v, want at most %v", taken, now.Sub(start), bound)
			}
		}
	})
}
