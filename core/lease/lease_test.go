package lease_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jujubeknot/jujubeknot/core/lease"
)

// skewedClock is a clock with its own zero and a rate of 1 or 1.01, so that two
// clocks either run alike or differ by the allowed drift.
type skewedClock struct {
	zero time.Time
	// perMill is how much faster than real time the clock runs.
	perMill int64
}

func (c skewedClock) at(passed time.Duration) time.Time {
	return c.zero.Add(passed + passed*time.Duration(c.perMill)/1000)
}

func (s *simulation) newClock() skewedClock {
	return skewedClock{time.Unix(int64(s.intN(1e6)+1), 0), int64(s.intN(2) * 10)}
}

// node is an incarnation that owns the partition or did so before.
type node struct {
	clock    skewedClock
	holder   lease.Holder
	sequence uint64
}

// leader is one term of leadership. A leader that was replaced does not notice
// and continues to act.
type leader struct {
	clock   skewedClock
	granter *lease.Granter
}

// stage is how far a renewal has come.
type stage int

const (
	stageSent stage = iota
	stageReceived
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

// simulation has one partition, all incarnations that have owned it, and all
// leaders so far. They share one real time, from which each clock is derived.
type simulation struct {
	// now is the real time since the start.
	now      time.Duration
	nodes    []*node
	leaders  []*leader
	renewals []renewal
	moves    int
	// pendingTerm and pendingOwner describe a command that is appended to the log
	// but not committed: its term, and the owner that it replaces. pendingTerm is
	// -1 if there is no such command.
	pendingTerm, pendingOwner int
	random                    *rand.Rand
	// violated is set once two incarnations hold a valid lease, or once the
	// partition is reassigned while its owner holds a valid lease.
	violated bool
}

func (s *simulation) owner() int { return len(s.nodes) - 1 }

// elect starts a term. An uncommitted command of the previous term is committed
// or lost at random.
func (s *simulation) elect() {
	if s.pendingTerm >= 0 && s.intN(2) == 0 {
		s.commit()
	}
	s.pendingTerm = -1
	l := &leader{clock: s.newClock(), granter: lease.NewGranter(lease.Config{})}
	l.granter.Lead(l.clock.at(s.now), []uint64{uint64(s.owner())})
	s.leaders = append(s.leaders, l)
}

func (s *simulation) commitPending() {
	if s.pendingTerm >= 0 {
		s.commit()
	}
}

// commit assigns the partition to a new incarnation, which has no lease yet.
func (s *simulation) commit() {
	if s.pendingOwner == s.owner() {
		owner := s.nodes[s.owner()]
		s.violated = s.violated || owner.holder.Valid(owner.clock.at(s.now))
		s.nodes = append(s.nodes, &node{clock: s.newClock()})
		s.moves++
		for term, l := range s.leaders {
			if term == len(s.leaders)-1 {
				l.granter.Track(l.clock.at(s.now), uint64(s.owner()))
			}
		}
	}
	s.pendingTerm = -1
}

// advanceRenewal moves one renewal to its next stage. Only the current leader
// passes a quorum round, and only for the owner in its applied state.
func (s *simulation) advanceRenewal() {
	if len(s.renewals) == 0 {
		return
	}
	i := max(0, len(s.renewals)-1-s.intN(4))
	r := &s.renewals[i]
	switch r.stage {
	case stageSent:
		r.term = max(0, len(s.leaders)-1-s.intN(8)/7)
		r.stage = stageReceived
	case stageReceived:
		if r.term == len(s.leaders)-1 && r.node == s.owner() {
			r.stage = stageConfirmed
		}
	case stageConfirmed:
		l := s.leaders[r.term]
		if d, granted := l.granter.Renew(l.clock.at(s.now), uint64(r.node)); granted {
			r.duration, r.stage = d, stageAnswered
		}
	case stageAnswered:
		n := s.nodes[r.node]
		n.holder.Granted(n.clock.at(s.now), r.sequence, r.duration)
		if s.intN(4) > 0 {
			s.renewals = append(s.renewals[:i], s.renewals[i+1:]...)
		}
	}
}

// takeOver lets a leader, possibly one that was replaced, reassign the
// partition if it finds the owner's lease expired. Only a command of the
// current term reaches the log.
func (s *simulation) takeOver() {
	term := max(0, len(s.leaders)-1-s.intN(8)/7)
	l := s.leaders[term]
	if l.granter.Expired(l.clock.at(s.now), uint64(s.owner())) && term == len(s.leaders)-1 && s.pendingTerm < 0 {
		s.pendingTerm, s.pendingOwner = term, s.owner()
	}
}

// check records a violation if two incarnations hold a valid lease.
func (s *simulation) check() {
	valid := 0
	for _, n := range s.nodes {
		if n.holder.Valid(n.clock.at(s.now)) {
			valid++
		}
	}
	s.violated = s.violated || valid > 1
}

func (s *simulation) intN(n int) int { return s.random.IntN(n) }

// advance moves real time on by less than some milliseconds.
func (s *simulation) advance(ms int) { s.now += time.Duration(s.intN(1000*ms)) * time.Microsecond }

// send lets the owner, or at times the previous owner, send a renewal.
func (s *simulation) send() {
	i := s.owner()
	if i > 0 && s.intN(4) == 0 {
		i--
	}
	n := s.nodes[i]
	n.sequence++
	n.holder.Sent(n.clock.at(s.now), n.sequence)
	s.renewals = append(s.renewals, renewal{node: i, sequence: n.sequence})
}

// passWithoutRenewals lets more than a lease pass in small steps. Leaders act,
// elections happen and delayed messages arrive, but no node renews.
func (s *simulation) passWithoutRenewals() {
	for end := s.now + 2*time.Second; s.now < end && !s.violated; s.advance(10) {
		s.takeOver()
		if s.intN(3) == 0 {
			s.commitPending()
		}
		switch s.intN(400) {
		case 0:
			s.elect()
		case 1, 2, 3, 4, 5, 6, 7, 8:
			s.advanceRenewal()
		}
		s.check()
	}
}

// step takes one random step.
func (s *simulation) step() {
	switch n := s.intN(60); {
	case n == 0:
		s.passWithoutRenewals()
	case n == 1:
		s.elect()
	case n == 2:
		l := s.leaders[len(s.leaders)-1]
		s.nodes[s.owner()].holder.Invalidate()
		l.granter.Returned(uint64(s.owner()))
		s.takeOver()
	case n == 3:
		s.advance(2000)
	case n < 14:
		s.send()
	case n < 20:
		s.takeOver()
	case n < 23:
		s.commitPending()
	case n < 29:
		s.advance(100)
	default:
		s.advanceRenewal()
	}
	s.check()
}

// TestOneValidOwner guards against two incarnations with a valid lease for the
// same partition. Clocks differ by the allowed drift, messages are delayed,
// lost and duplicated, leaders and nodes pause at any point, and replaced
// leaders continue to grant leases.
func TestOneValidOwner(t *testing.T) {
	moves, terms := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		// Rapid's own draws favour small numbers, which would not cover most of a
		// lease's duration.
		s := &simulation{pendingTerm: -1, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))}
		s.nodes = []*node{{clock: s.newClock()}}
		s.elect()
		for range 300 {
			if s.step(); s.violated {
				t.Fatalf("a partition was reassigned during a valid lease, or two leases are valid, at %v after %d moves in term %d", s.now, s.moves, len(s.leaders))
			}
		}
		moves += s.moves
		terms += len(s.leaders)
	})
	t.Logf("%d moves, %d terms", moves, terms)
	if moves < 500 || terms < 500 {
		t.Errorf("%d moves in %d terms, want 500 of each: the cases do not exercise takeovers enough", moves, terms)
	}
}

// TestEndedLeaseStaysEnded guards against a node that was frozen and uses its
// old lease again because an answer arrives after the lease expired.
func TestEndedLeaseStaysEnded(t *testing.T) {
	var h lease.Holder
	start := time.Unix(100, 0)
	h.Sent(start, 1)
	if !h.Granted(start.Add(10*time.Millisecond), 1, time.Second) {
		t.Fatal("lease is not valid after the first grant")
	}
	h.Sent(start.Add(900*time.Millisecond), 2)
	if h.Granted(start.Add(time.Second), 2, time.Second) {
		t.Error("lease is valid after an answer that arrived at its end")
	}
	if h.Valid(start.Add(999 * time.Millisecond)) {
		t.Error("ended lease is valid again at an earlier time")
	}
}

// TestGranterDiscardsEarlierTerm guards against a leader that acts on what it
// knew from an earlier term, although another leader has granted leases since.
func TestGranterDiscardsEarlierTerm(t *testing.T) {
	g := lease.NewGranter(lease.Config{})
	start := time.Unix(100, 0)
	g.Lead(start, []uint64{1})
	g.Stop()
	if g.Expired(start.Add(time.Hour), 1) {
		t.Error("granter found a lease expired while it does not lead")
	}
	again := start.Add(10 * time.Second)
	g.Lead(again, []uint64{1})
	wait := lease.Config{}.GranterDuration()
	if g.Expired(again.Add(wait-1), 1) || !g.Expired(again.Add(wait), 1) {
		t.Error("lease did not expire exactly one GranterDuration after the new term began")
	}
	if _, granted := g.Renew(again.Add(wait), 1); granted {
		t.Error("expired lease was renewed")
	}
}
