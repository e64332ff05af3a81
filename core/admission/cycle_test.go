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
	id           uint64
	side         int
	depth        int
	nestedLevels int
	parent       *call
	// child is the nested call that this one waits for.
	child *call
	// called is set once the nested call has been made.
	called bool
}

// cycle is two servers that call each other.
type cycle struct {
	controllers [2]*admission.Controller
	now         time.Time
	lastID      uint64
	waiting     map[uint64]*call
	running     []*call
	// nested counts the nested calls, and nestedRefused the refused ones of them.
	nested, nestedRefused int
}

func (r *cycle) offer(side, depth, nestedLevels int, parent *call) {
	r.lastID++
	c := &call{id: r.lastID, side: side, depth: depth, nestedLevels: nestedLevels, parent: parent}
	if parent != nil {
		parent.child, parent.called = c, true
		r.nested++
	}
	switch r.controllers[side].Offer(r.now, admission.Request{ID: c.id, Key: c.id%3 + 1, Depth: depth, Priority: 5}).Verdict {
	case admission.VerdictAdmit:
		r.running = append(r.running, c)
	case admission.VerdictQueue:
		r.waiting[c.id] = c
	case admission.VerdictRefuse:
		r.refuse(c)
	}
	r.handle(r.controllers[side].Expire(r.now))
}

func (r *cycle) refuse(c *call) {
	if c.parent != nil {
		r.nestedRefused++
	}
	c.end()
}

// end marks a call as ended, so that its parent can proceed.
func (c *call) end() {
	if c.parent != nil {
		c.parent.child = nil
	}
}

func (r *cycle) handle(events []admission.Event) {
	for _, e := range events {
		c := r.waiting[e.ID]
		delete(r.waiting, e.ID)
		if e.Decision.Verdict == admission.VerdictAdmit {
			r.running = append(r.running, c)
		} else {
			r.refuse(c)
		}
	}
}

// step lets one running call that does not wait make its nested call or end. It
// reports false if every running call waits.
func (r *cycle) step(choose func(n int) int, kind admission.ResultKind) bool {
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
	if !c.called && c.nestedLevels > 0 && c.depth < admission.MaxDepth {
		r.offer(1-c.side, c.depth+1, c.nestedLevels-1, c)
		return true
	}
	r.running = append(r.running[:i], r.running[i+1:]...)
	c.end()
	r.handle(r.controllers[c.side].Done(r.now, c.id, admission.Result{Kind: kind, Latency: time.Millisecond}))
	return true
}

// TestCyclicCallsMakeProgress guards against a deadlock of calls between two
// upstreams that hold all slots and wait for each other. Requests have no
// deadline here, so only the reserved slots prevent it.
func TestCyclicCallsMakeProgress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &cycle{now: time.Unix(100, 0), waiting: make(map[uint64]*call)}
		for i := range r.controllers {
			r.controllers[i] = admission.New(admission.Config{Slots: rapid.IntRange(1, 6).Draw(t, "slots")})
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
			"arriveCycle": func(*rapid.T) { r.offer(choose(2), 0, 2, nil) },
			"step":        func(*rapid.T) { r.step(choose, kind()) },
			"pass": func(t *rapid.T) {
				// Reservations lapse after a minute without nested calls.
				r.now = r.now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "seconds")) * time.Second)
			},
		})
		for len(r.running)+len(r.waiting) > 0 {
			if !r.step(choose, admission.ResultOK) {
				t.Fatalf("%d calls run and %d wait, and none can proceed", len(r.running), len(r.waiting))
			}
		}
	})
}

// TestCyclicCallsSucceed guards against nested calls that get no slot because
// calls of depth 0 hold all of them. Under overload by cyclic calls, most
// nested calls of admitted calls must run.
func TestCyclicCallsSucceed(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 5))
	r := &cycle{now: time.Unix(100, 0), waiting: make(map[uint64]*call)}
	for i := range r.controllers {
		r.controllers[i] = admission.New(admission.Config{Slots: 6})
	}
	for range 20_000 {
		r.offer(random.IntN(2), 0, 2, nil)
		for range 2 {
			r.step(random.IntN, admission.ResultOK)
		}
	}
	t.Logf("%d nested calls, %d refused", r.nested, r.nestedRefused)
	if r.nested < 5000 || float64(r.nestedRefused) > 0.25*float64(r.nested) {
		t.Errorf("%d of %d nested calls refused, want at most a quarter of at least 5000", r.nestedRefused, r.nested)
	}
}
