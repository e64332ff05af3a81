package lease_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jujubeknot/jujubeknot/core/lease"
)

// skewed is a clock with its own zero and a rate of 1 or 1.01, so that two of
// them differ by nothing or by the allowed drift.
type skewed struct {
	zero    time.Time
	perMill int64
}

func (c skewed) at(passed time.Duration) time.Time {
	return c.zero.Add(passed + passed*time.Duration(c.perMill)/1000)
}

func (w *world) newClock() skewed {
	return skewed{time.Unix(int64(w.below(1e6)+1), 0), int64(w.below(2) * 10)}
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
	random                    *rand.Rand
	// broken is set once two owners hold a valid lease, or the partition is
	// given away while its owner holds one.
	broken bool
}

func (w *world) owner() int { return len(w.nodes) - 1 }

func (w *world) elect() {
	if w.pendingTerm >= 0 && w.below(2) == 0 {
		w.commit()
	}
	w.pendingTerm = -1
	l := &leader{clock: w.newClock(), granter: lease.NewGranter(lease.Config{})}
	l.granter.Lead(l.clock.at(w.now), []uint64{uint64(w.owner())})
	w.leaders = append(w.leaders, l)
}

func (w *world) commitPending() {
	if w.pendingTerm >= 0 {
		w.commit()
	}
}

// commit gives the partition to a new incarnation, which has no lease yet.
func (w *world) commit() {
	if w.pendingOwner == w.owner() {
		owner := w.nodes[w.owner()]
		w.broken = w.broken || owner.holder.Valid(owner.clock.at(w.now))
		w.nodes = append(w.nodes, &node{clock: w.newClock()})
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
func (w *world) step() {
	if len(w.renewals) == 0 {
		return
	}
	i := max(0, len(w.renewals)-1-w.below(4))
	r := &w.renewals[i]
	switch r.stage {
	case stageSent:
		r.term = max(0, len(w.leaders)-1-w.below(8)/7)
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
		if w.below(4) > 0 {
			w.renewals = append(w.renewals[:i], w.renewals[i+1:]...)
		}
	}
}

// takeOver lets any leader, also a replaced one, act on the lease of the
// owner. Only a command of the current term reaches the log.
func (w *world) takeOver() {
	term := max(0, len(w.leaders)-1-w.below(8)/7)
	l := w.leaders[term]
	if l.granter.Expired(l.clock.at(w.now), uint64(w.owner())) && term == len(w.leaders)-1 && w.pendingTerm < 0 {
		w.pendingTerm, w.pendingOwner = term, w.owner()
	}
}

func (w *world) check() {
	valid := 0
	for _, n := range w.nodes {
		if n.holder.Valid(n.clock.at(w.now)) {
			valid++
		}
	}
	w.broken = w.broken || valid > 1
}

func (w *world) below(n int) int { return w.random.IntN(n) }

// pass lets up to some milliseconds pass.
func (w *world) pass(ms int) { w.now += time.Duration(w.below(1000*ms)) * time.Microsecond }

func (w *world) send() {
	at := w.owner()
	if at > 0 && w.below(4) == 0 {
		at--
	}
	n := w.nodes[at]
	n.sequence++
	n.holder.Sent(n.clock.at(w.now), n.sequence)
	w.renewals = append(w.renewals, renewal{node: at, sequence: n.sequence})
}

// silence lets a whole lease pass in small steps, in which leaders may act,
// elections happen and late messages arrive, but no node renews.
func (w *world) silence() {
	for end := w.now + 2*time.Second; w.now < end && !w.broken; w.pass(10) {
		w.takeOver()
		if w.below(3) == 0 {
			w.commitPending()
		}
		switch w.below(400) {
		case 0:
			w.elect()
		case 1, 2, 3, 4, 5, 6, 7, 8:
			w.step()
		}
		w.check()
	}
}

func (w *world) act() {
	switch n := w.below(60); {
	case n == 0:
		w.silence()
	case n == 1:
		w.elect()
	case n == 2:
		l := w.leaders[len(w.leaders)-1]
		w.nodes[w.owner()].holder.Invalidate()
		l.granter.Returned(uint64(w.owner()))
		w.takeOver()
	case n == 3:
		w.pass(2000)
	case n < 14:
		w.send()
	case n < 20:
		w.takeOver()
	case n < 23:
		w.commitPending()
	case n < 29:
		w.pass(100)
	default:
		w.step()
	}
	w.check()
}

// TestOneValidOwner guards against two incarnations that both believe they
// own a partition: clocks differ by the allowed drift, messages are late, lost
// and repeated, leaders and nodes pause at any point, and replaced leaders go
// on granting.
func TestOneValidOwner(t *testing.T) {
	moves, terms := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		// Rapid's own draws favour small numbers, which would leave out most
		// of a lease's duration.
		w := &world{pendingTerm: -1, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))}
		w.nodes = []*node{{clock: w.newClock()}}
		w.elect()
		for range 300 {
			if w.act(); w.broken {
				t.Fatalf("two owners hold a valid lease, or will, at %v after %d moves in term %d", w.now, w.moves, len(w.leaders))
			}
		}
		moves += w.moves
		terms += len(w.leaders)
	})
	t.Logf("%d moves, %d terms", moves, terms)
	if moves < 500 || terms < 500 {
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
	whole := lease.Config{}.GranterDuration()
	if g.Expired(again.Add(whole-1), 1) || !g.Expired(again.Add(whole), 1) {
		t.Error("a new leader did not wait exactly one whole lease")
	}
	if _, granted := g.Renew(again.Add(whole), 1); granted {
		t.Error("an expired lease was renewed")
	}
}
