package choice

import (
	"math/rand/v2"
	"time"
)

// Random chooses each candidate with the same probability. It is a baseline for
// comparisons.
type Random struct {
	random *rand.Rand
}

// NewRandom returns a Random policy.
func NewRandom(seed uint64) *Random {
	return &Random{random: newRandom(seed)}
}

// Pick implements Policy.
func (r *Random) Pick(_ time.Time, candidates []Candidate, _ time.Duration) (Candidate, Reason, bool) {
	if len(candidates) == 0 {
		return Candidate{}, "", false
	}
	return candidates[r.random.IntN(len(candidates))], ReasonRandom, true
}

// Sent implements Policy.
func (*Random) Sent(time.Time, uint64) {}

// Done implements Policy.
func (*Random) Done(time.Time, uint64, time.Duration, Result) {}

// RoundRobin chooses the candidates in turn. It is a baseline for comparisons.
// The zero value is ready to use.
type RoundRobin struct {
	next uint64
}

// Pick implements Policy.
func (r *RoundRobin) Pick(_ time.Time, candidates []Candidate, _ time.Duration) (Candidate, Reason, bool) {
	if len(candidates) == 0 {
		return Candidate{}, "", false
	}
	c := candidates[r.next%uint64(len(candidates))]
	r.next++
	return c, ReasonRoundRobin, true
}

// Sent implements Policy.
func (*RoundRobin) Sent(time.Time, uint64) {}

// Done implements Policy.
func (*RoundRobin) Done(time.Time, uint64, time.Duration, Result) {}

// LeastInFlight chooses a candidate with the fewest requests in flight from
// this node, at random among equals. It is only a baseline for comparisons,
// because a server that fails fast attracts all requests. Pick takes O(n).
type LeastInFlight struct {
	random   *rand.Rand
	inFlight map[uint64]int
}

// NewLeastInFlight returns a LeastInFlight policy.
func NewLeastInFlight(seed uint64) *LeastInFlight {
	return &LeastInFlight{random: newRandom(seed), inFlight: make(map[uint64]int)}
}

// Pick implements Policy.
func (l *LeastInFlight) Pick(_ time.Time, candidates []Candidate, _ time.Duration) (Candidate, Reason, bool) {
	if len(candidates) == 0 {
		return Candidate{}, "", false
	}
	best, equals := 0, 0
	for i, c := range candidates {
		n := l.inFlight[c.Incarnation]
		switch least := l.inFlight[candidates[best].Incarnation]; {
		case n < least || equals == 0:
			best, equals = i, 1
		case n == least:
			equals++
			if l.random.IntN(equals) == 0 {
				best = i
			}
		}
	}
	return candidates[best], ReasonLeastInFlight, true
}

// Sent implements Policy.
func (l *LeastInFlight) Sent(_ time.Time, incarnation uint64) {
	l.inFlight[incarnation]++
}

// Done implements Policy.
func (l *LeastInFlight) Done(_ time.Time, incarnation uint64, _ time.Duration, _ Result) {
	if l.inFlight[incarnation] <= 1 {
		delete(l.inFlight, incarnation)
		return
	}
	l.inFlight[incarnation]--
}

// newRandom returns the random number generator of a policy. The second word
// may be any odd constant. It makes the streams of consecutive seeds differ.
func newRandom(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15))
}
