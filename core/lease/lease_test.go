package lease_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jujubeknot/jujubeknot/core/lease"
)

// skewed is a clock with its own zero and a rate of 1 to 1.01, so that any
// two of them differ by at most the allowed drift.
type skewed struct {
	zero    time.Time
	perMill int64
}

func (c skewed) at(passed time.Duration) time.Time {
	return c.zero.Add(passed + passed*time.Duration(c.perMill)/1000)
}

func drawClock(t *rapid.T) skewed {
	return skewed{time.Unix(rapid.Int64Range(1, 1e6).Draw(t, "zero"), 0), rapid.Int64Range(0, 10).Draw(t, "rate")}
}

// node is an incarnation that owns or owned the partition.
type node struct {
	clock    skewed
	holder   lease.Holder
	sequence uint64
}

// leader is one term of leadership. A leader that was replaced does not know
// it and goes on.
type leader struct {
	clock   skewed
	granter *lease.Granter
}

type stage int

const (
	stageSent stage = iota
	stageArrived
	stageConfirmed
	stageAnswered
)

type renewal struct {
	node     int
	sequence uint64
	stage    stage
	term     int
	duration time.Duration
}

// world has one partition, the incarnations that owned it, and all leaders
// so far. Real time passes for all of them together.
type world struct {
	now      time.Duration
	nodes    []*node
	leaders  []*leader
	renewals []renewal
	moves    int
	// pending is the term and the owner that an appended, not yet committed
	// command replaces; term is -1 if there is none.
	pendingTerm, pendingOwner int
}

func (w *world) owner() int { return len(w.nodes) - 1 }

func (w *world) elect(t *rapid.T) {
	if w.pendingTerm >= 0 && rapid.Bool().Draw(t, "inherited") {
		w.commit(t)
	}
	w.pendingTerm = -1
	l := &leader{clock: drawClock(t), granter: lease.NewGranter(lease.Config{})}
	l.granter.Lead(l.clock.at(w.now), []uint64{uint64(w.owner())})
	w.leaders = append(w.leaders, l)
}

// commit gives the partition to a new incarnation, which has no lease yet.
func (w *world) commit(t *rapid.T) {
	if w.pendingOwner == w.owner() {
		w.nodes = append(w.nodes, &node{clock: drawClock(t)})
		w.moves++
		for term, l := range w.leaders {
			if term == len(w.leaders)-1 {
				l.granter.Track(l.clock.at(w.now), uint64(w.owner()))
			}
		}
	}
	w.pendingTerm = -1
}

// step lets one renewal make its next step. Only the current leader passes a
// quorum round, and only with the state it has applied.
func (w *world) step(t *rapid.T) {
	if len(w.renewals) == 0 {
		t.Skip("no renewals")
	}
	i := rapid.IntRange(0, len(w.renewals)-1).Draw(t, "renewal")
	r := &w.renewals[i]
	switch r.stage {
	case stageSent:
		r.term = rapid.IntRange(max(0, len(w.leaders)-2), len(w.leaders)-1).Draw(t, "term")
		r.stage = stageArrived
	case stageArrived:
		if r.term == len(w.leaders)-1 && r.node == w.owner() {
			r.stage = stageConfirmed
		}
	case stageConfirmed:
		l := w.leaders[r.term]
		if d, granted := l.granter.Renew(l.clock.at(w.now), uint64(r.node)); granted {
			r.duration, r.stage = d, stageAnswered
		}
	case stageAnswered:
		n := w.nodes[r.node]
		n.holder.Granted(n.clock.at(w.now), r.sequence, r.duration)
		if rapid.IntRange(0, 3).Draw(t, "again") > 0 {
			w.renewals = append(w.renewals[:i], w.renewals[i+1:]...)
		}
	}
}

// takeOver lets any leader, also a replaced one, act on the lease of the
// owner. Only a command of the current term reaches the log.
func (w *world) takeOver(t *rapid.T) {
	term := rapid.IntRange(max(0, len(w.leaders)-2), len(w.leaders)-1).Draw(t, "term")
	l := w.leaders[term]
	if l.granter.Expired(l.clock.at(w.now), uint64(w.owner())) && term == len(w.leaders)-1 && w.pendingTerm < 0 {
		w.pendingTerm, w.pendingOwner = term, w.owner()
	}
}

func (w *world) check(t *rapid.T) {
	valid := 0
	for _, n := range w.nodes {
		if n.holder.Valid(n.clock.at(w.now)) {
			valid++
		}
	}
	if valid > 1 {
		t.Fatalf("%d owners hold a valid lease at %v after %d moves in term %d", valid, w.now, w.moves, len(w.leaders))
	}
}

func (w *world) actions() map[string]func(*rapid.T) {
	pass := func(t *rapid.T) { w.now += time.Duration(rapid.IntRange(1, 400_000).Draw(t, "us")) * time.Microsecond }
	send := func(t *rapid.T) {
		n := w.nodes[w.owner()]
		if len(w.nodes) > 1 && rapid.IntRange(0, 3).Draw(t, "previous") == 0 {
			n = w.nodes[w.owner()-1]
		}
		n.sequence++
		n.holder.Sent(n.clock.at(w.now), n.sequence)
		for i := range w.nodes {
			if w.nodes[i] == n {
				w.renewals = append(w.renewals, renewal{node: i, sequence: n.sequence})
			}
		}
	}
	return map[string]func(*rapid.T){
		"pass": pass, "send": send, "step": w.step, "step2": w.step, "step3": w.step, "step4": w.step,
		"takeOver": w.takeOver, "takeOver2": w.takeOver, "elect": w.elect,
		"pause": func(*rapid.T) { w.now += lease.Config{}.Whole() - time.Millisecond },
		"commit": func(t *rapid.T) {
			if w.pendingTerm >= 0 {
				w.commit(t)
			}
		},
		"return": func(t *rapid.T) {
			l := w.leaders[len(w.leaders)-1]
			w.nodes[w.owner()].holder.Lost()
			l.granter.Returned(uint64(w.owner()))
			w.takeOver(t)
		},
		"": w.check,
	}
}

// TestOneValidOwner guards against two incarnations that both believe they
// own a partition: clocks differ by the allowed drift, messages are late, lost
// and repeated, leaders and nodes pause at any point, and replaced leaders go
// on granting.
func TestOneValidOwner(t *testing.T) {
	moves, terms := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := &world{pendingTerm: -1, nodes: []*node{{clock: drawClock(t)}}}
		w.elect(t)
		t.Repeat(w.actions())
		moves += w.moves
		terms += len(w.leaders)
	})
	t.Logf("%d moves, %d terms", moves, terms)
	if moves < 50 || terms < 200 {
		t.Errorf("only %d moves in %d terms: the cases no longer exercise takeovers", moves, terms)
	}
}

// TestHolderStaysLost guards against a frozen node that takes up its old
// grants when a late answer arrives after the lease was over.
func TestHolderStaysLost(t *testing.T) {
	var h lease.Holder
	start := time.Unix(100, 0)
	h.Sent(start, 1)
	if !h.Granted(start.Add(10*time.Millisecond), 1, time.Second) {
		t.Fatal("first grant is not valid")
	}
	h.Sent(start.Add(900*time.Millisecond), 2)
	if h.Granted(start.Add(time.Second), 2, time.Second) {
		t.Error("an answer at the end of the lease revived it")
	}
	if h.Valid(start.Add(999 * time.Millisecond)) {
		t.Error("the lease is valid again at an earlier time")
	}
}

// TestGranterForgetsEarlierTerm guards against a leader that acts on what it
// knew before another leader was in office and granted leases.
func TestGranterForgetsEarlierTerm(t *testing.T) {
	g := lease.NewGranter(lease.Config{})
	start := time.Unix(100, 0)
	g.Lead(start, []uint64{1})
	g.Stop()
	if g.Expired(start.Add(time.Hour), 1) {
		t.Error("a granter that does not lead found a lease expired")
	}
	again := start.Add(10 * time.Second)
	g.Lead(again, []uint64{1})
	whole := lease.Config{}.Whole()
	if g.Expired(again.Add(whole-1), 1) || !g.Expired(again.Add(whole), 1) {
		t.Error("a new leader did not wait exactly one whole lease")
	}
	if _, granted := g.Renew(again.Add(whole), 1); granted {
		t.Error("an expired lease was renewed")
	}
}
