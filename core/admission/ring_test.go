package admission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jujubeknot/jujubeknot/core/admission"
)

// call is one call in a chain between two upstreams.
type call struct {
	id     uint64
	side   int
	depth  int
	levels int
	parent *call
	// child is the nested call that this one waits for.
	child *call
	// called is set once the nested call was made.
	called bool
}

// ring is two servers that call each other.
type ring struct {
	guards  [2]*admission.Controller
	now     time.Time
	ids     uint64
	waiting map[uint64]*call
	running []*call
	// nested counts the nested calls, and those that were refused.
	nested, nestedRefused int
}

func (r *ring) offer(side, depth, levels int, parent *call) {
	r.ids++
	c := &call{id: r.ids, side: side, depth: depth, levels: levels, parent: parent}
	if parent != nil {
		parent.child, parent.called = c, true
		r.nested++
	}
	switch r.guards[side].Offer(r.now, admission.Request{ID: c.id, Key: c.id%3 + 1, Depth: depth, Priority: 5}).Verdict {
	case admission.VerdictAdmit:
		r.running = append(r.running, c)
	case admission.VerdictQueue:
		r.waiting[c.id] = c
	case admission.VerdictRefuse:
		r.refused(c)
	}
	r.events(r.guards[side].Expire(r.now))
}

func (r *ring) refused(c *call) {
	if c.parent != nil {
		r.nestedRefused++
	}
	c.end()
}

// end lets the caller of a call go on.
func (c *call) end() {
	if c.parent != nil {
		c.parent.child = nil
	}
}

func (r *ring) events(events []admission.Event) {
	for _, e := range events {
		c := r.waiting[e.ID]
		delete(r.waiting, e.ID)
		if e.Decision.Verdict == admission.VerdictAdmit {
			r.running = append(r.running, c)
		} else {
			r.refused(c)
		}
	}
}

// step lets one running call that waits for nothing go on: it makes its nested
// call or ends. It reports false where every running call waits.
func (r *ring) step(choose func(n int) int, kind admission.ResultKind) bool {
	var able []int
	for i, c := range r.running {
		if c.child == nil {
			able = append(able, i)
		}
	}
	if len(able) == 0 {
		return false
	}
	i := able[choose(len(able))]
	c := r.running[i]
	if !c.called && c.levels > 0 && c.depth < admission.MaxDepth {
		r.offer(1-c.side, c.depth+1, c.levels-1, c)
		return true
	}
	r.running = append(r.running[:i], r.running[i+1:]...)
	c.end()
	r.events(r.guards[c.side].Done(r.now, c.id, admission.Result{Kind: kind, Latency: time.Millisecond}))
	return true
}

// TestRingMakesProgress guards against calls between two upstreams that hold
// all slots and wait for each other for ever: requests have no deadline here,
// so only the reserve can resolve that.
func TestRingMakesProgress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &ring{now: time.Unix(100, 0), waiting: make(map[uint64]*call)}
		for i := range r.guards {
			r.guards[i] = admission.New(admission.Config{Slots: rapid.IntRange(1, 6).Draw(t, "slots")})
		}
		choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "call") }
		kind := func() admission.ResultKind {
			return admission.ResultKind(rapid.SampledFrom([]int{0, 0, 0, 0, 0, 0, 0, 0, 1, 3}).Draw(t, "kind"))
		}
		warm := rapid.IntRange(0, 300).Draw(t, "warm")
		for range warm {
			r.offer(choose(2), 0, 0, nil)
			r.step(choose, admission.ResultOK)
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				r.offer(choose(2), 0, rapid.IntRange(0, 2).Draw(t, "levels"), nil)
			},
			"arriveRing": func(*rapid.T) { r.offer(choose(2), 0, 2, nil) },
			"step":       func(*rapid.T) { r.step(choose, kind()) },
			"pass": func(t *rapid.T) {
				// Reserves end after a minute without nested calls.
				r.now = r.now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "seconds")) * time.Second)
			},
		})
		for len(r.running)+len(r.waiting) > 0 {
			if !r.step(choose, admission.ResultOK) {
				t.Fatalf("%d calls run and %d wait, and none can go on", len(r.running), len(r.waiting))
			}
		}
	})
}

// TestRingSucceeds guards against nested calls that find no slot because calls
// from outside hold all of them: under overload by ring calls, most of those
// that were admitted have to end with all their nested calls run.
func TestRingSucceeds(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 5))
	r := &ring{now: time.Unix(100, 0), waiting: make(map[uint64]*call)}
	for i := range r.guards {
		r.guards[i] = admission.New(admission.Config{Slots: 6})
	}
	for range 20_000 {
		r.offer(random.IntN(2), 0, 2, nil)
		for range 2 {
			r.step(random.IntN, admission.ResultOK)
		}
	}
	t.Logf("%d nested calls, %d refused", r.nested, r.nestedRefused)
	if r.nested < 5000 || float64(r.nestedRefused) > 0.25*float64(r.nested) {
		t.Errorf("%d of %d nested calls refused, want at most a quarter", r.nestedRefused, r.nested)
	}
}
