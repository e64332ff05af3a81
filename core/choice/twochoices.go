package choice

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// latencySmoothing is the weight of a new latency in the moving average of
	// logarithms. Six requests of tenfold latency exceed the straggler factor
	// of 3; a single long upload does not.
	latencySmoothing = 0.1
	// equalCostRatio is the ratio up to which two costs count as equal.
	equalCostRatio = 1.1
	// coldCostFactor is the factor on the cost of a server in cold start, so
	// that it is chosen only if it is clearly less loaded.
	coldCostFactor = 2
	// silenceLatencyFactor is the multiple of the median latency for which a
	// server may complete nothing before it counts as unresponsive. It leaves
	// room for requests that take long at every server.
	silenceLatencyFactor = 10
	// initialLatency is the expected latency before the first completion.
	initialLatency = time.Millisecond
	// serverRetention is the time without requests after which the state of a
	// server is removed. It bounds the memory for nodes that no longer exist.
	serverRetention = time.Minute
	// forgetIntervalPicks is the number of picks between two removals of the
	// state of servers without requests.
	forgetIntervalPicks = 4096
	// minStragglerSamples is the number of latencies before a server can be a
	// straggler. A single latency may be long by chance.
	minStragglerSamples = 5
	// probesToRecover is the number of short probes in a row after which a
	// server is no longer a straggler. At a tenfold slowdown, one probe in five
	// is still as short as that of a healthy server.
	probesToRecover = 3
	// maxDraws is the number of random draws for two candidates that are not
	// avoided. After these draws, all candidates are examined.
	maxDraws = 8
)

// TwoChoices draws two candidates and picks the one with the lower cost: the
// product of requests in flight and latency, both as observed by this node.
// Candidates are avoided while they are stragglers, back off after a refusal,
// or have as many requests as they may have in cold start. Stragglers are
// servers whose latency is a multiple of the others' or that do not answer.
// They get only probes. Pick takes O(1) on average, and O(n) while most
// candidates are avoided or if ZoneFactor is above 1.
type TwoChoices struct {
	config TwoChoicesConfig
	random *rand.Rand
	// servers are by incarnation.
	servers map[uint64]*server
	// medianLatency is a running estimate of the median latency over all
	// servers in nanoseconds, 0 before the first completion.
	medianLatency float64
	picks         uint64
	// stragglers are in the order in which they were found.
	stragglers []uint64
}

// server is what this node has observed of a server.
type server struct {
	inFlight int
	// logLatency is the moving average of the logarithm of the latency in
	// nanoseconds.
	logLatency float64
	// samples is the number of latencies in logLatency.
	samples int
	// lastProgress is the time of the last completion or refusal. A request
	// that is sent while none is in flight sets it to the time of sending.
	lastProgress time.Time
	lastSent     time.Time
	backoffUntil time.Time
	straggler    bool
	// probed and probedAtPick are the time and the number of the pick at which
	// the server was last probed, or at which it became a straggler.
	probed       time.Time
	probedAtPick uint64
	// goodProbes is the number of short latencies in a row since straggler was
	// set.
	goodProbes int
}

// NewTwoChoices returns a TwoChoices policy, which is the default policy.
func NewTwoChoices(config TwoChoicesConfig) *TwoChoices {
	config = config.withDefaults()
	return &TwoChoices{config: config, random: newRandom(config.Seed), servers: make(map[uint64]*server)}
}

// Pick implements Policy.
func (t *TwoChoices) Pick(now time.Time, candidates []Candidate, target time.Duration) (Candidate, Reason, bool) {
	if len(candidates) == 0 {
		return Candidate{}, "", false
	}
	t.picks++
	if t.picks%forgetIntervalPicks == 0 {
		t.forget(now)
	}
	if len(candidates) == 1 {
		return candidates[0], ReasonOnlyOne, true
	}
	if i, ok := t.probe(now, candidates); ok {
		return candidates[i], ReasonProbe, true
	}
	if a, b, ok := t.drawByZone(now, candidates, target); ok {
		return t.preferOwnZone(now, a, b, target)
	}
	first, second, found := t.draw(now, candidates)
	switch found {
	case 0:
		return t.pickAvoided(now, candidates)
	case 1:
		return candidates[first], ReasonLowerCost, true
	}
	return t.pickCheaper(candidates[first], candidates[second])
}

// drawByZone returns the cheapest candidate of the own availability zone and a
// random one of another zone, or the former twice if there is no other. Avoided
// candidates are left out, except those of the own zone that answer within the
// target. It reports false if ZoneFactor is not above 1 or the own zone has no
// candidate.
func (t *TwoChoices) drawByZone(now time.Time, candidates []Candidate, target time.Duration) (sameZone, other Candidate, ok bool) {
	if t.config.ZoneFactor <= 1 {
		return sameZone, other, false
	}
	offset := t.random.IntN(len(candidates))
	sameCount, otherCount := 0, 0
	for i := range candidates {
		c := candidates[(i+offset)%len(candidates)]
		own := c.AvailabilityZone == t.config.AvailabilityZone
		if t.avoided(now, c) && !(own && t.withinTarget(now, c, target)) {
			continue
		}
		if own {
			if sameCount++; sameCount == 1 || t.cost(c) < t.cost(sameZone) {
				sameZone = c
			}
		} else if otherCount++; otherCount == 1 {
			other = c
		}
	}
	if otherCount == 0 {
		other = sameZone
	}
	return sameZone, other, sameCount > 0
}

// withinTarget reports whether a server is expected to answer within the
// target, even if it is slower than others. It is false for a target of 0 and
// for a server to which nothing was sent yet.
func (t *TwoChoices) withinTarget(now time.Time, c Candidate, target time.Duration) bool {
	s := t.servers[c.Incarnation]
	if target <= 0 || s == nil || t.coldFull(c) || now.Before(s.backoffUntil) {
		return false
	}
	unresponsive := s.inFlight > 0 && now.Sub(s.lastProgress) > max(t.config.SilenceTimeout, target)
	return !unresponsive && t.cost(c) <= float64(target)
}

// preferOwnZone picks the candidate of the own zone if it answers within the
// target, or if the cost of the other one is not low enough to justify traffic
// between zones.
func (t *TwoChoices) preferOwnZone(now time.Time, sameZone, other Candidate, target time.Duration) (Candidate, Reason, bool) {
	if t.withinTarget(now, sameZone, target) || t.cost(sameZone) <= t.cost(other)*t.config.ZoneFactor {
		return sameZone, ReasonSameZone, true
	}
	return other, ReasonLowerCost, true
}

// pickCheaper picks one of two candidates that are not avoided. At about equal
// cost it prefers the own availability zone.
func (t *TwoChoices) pickCheaper(a, b Candidate) (Candidate, Reason, bool) {
	costA, costB := t.cost(a), t.cost(b)
	if costA <= costB*equalCostRatio && costB <= costA*equalCostRatio {
		ownA, ownB := a.AvailabilityZone == t.config.AvailabilityZone, b.AvailabilityZone == t.config.AvailabilityZone
		if ownA != ownB {
			if ownB {
				a = b
			}
			return a, ReasonSameZone, true
		}
	}
	if costB < costA {
		a = b
	}
	return a, ReasonLowerCost, true
}

// draw returns the positions of up to two different candidates that are not
// avoided, and how many it found.
func (t *TwoChoices) draw(now time.Time, candidates []Candidate) (first, second, found int) {
	for range maxDraws {
		i := t.random.IntN(len(candidates))
		if (found == 1 && i == first) || t.avoided(now, candidates[i]) {
			continue
		}
		if found == 1 {
			return first, i, 2
		}
		first, found = i, 1
	}
	return t.sampleAll(now, candidates)
}

// sampleAll returns the same as draw, but examines all candidates. It uses
// reservoir sampling: each candidate that is not avoided has the same
// probability.
func (t *TwoChoices) sampleAll(now time.Time, candidates []Candidate) (first, second, found int) {
	var chosen [2]int
	for i, c := range candidates {
		if t.avoided(now, c) {
			continue
		}
		if found < len(chosen) {
			chosen[found] = i
		} else if j := t.random.IntN(found + 1); j < len(chosen) {
			chosen[j] = i
		}
		found++
	}
	return chosen[0], chosen[1], min(found, len(chosen))
}

// pickAvoided picks one of the candidates if all are avoided. A server in cold
// start comes last if it has as many requests in flight as it may have, because
// it must not be overloaded. Servers in backoff take turns: a refusal leaves no
// request in flight, so by cost alone the server that refuses most would look
// the least loaded. Without turns, 3 of 7 nodes got 1,087 of 1,106 refused
// requests.
func (t *TwoChoices) pickAvoided(now time.Time, candidates []Candidate) (Candidate, Reason, bool) {
	best, refused := -1, -1
	offset := t.random.IntN(len(candidates))
	for i := range candidates {
		j := (i + offset) % len(candidates)
		if s := t.servers[candidates[j].Incarnation]; s != nil && now.Before(s.backoffUntil) {
			if refused < 0 || t.refusedEarlier(candidates[j], candidates[refused]) {
				refused = j
			}
		} else if best < 0 || t.cheaperAvoided(candidates[j], candidates[best]) {
			best = j
		}
	}
	if best < 0 || refused >= 0 && t.cheaperAvoided(candidates[refused], candidates[best]) {
		best = refused
	}
	return candidates[best], ReasonAllAvoided, true
}

// cheaperAvoided reports whether to prefer the first of two avoided candidates
// by cost.
func (t *TwoChoices) cheaperAvoided(a, b Candidate) bool {
	if fullA, fullB := t.coldFull(a), t.coldFull(b); fullA != fullB {
		return fullB
	}
	return t.cost(a) < t.cost(b)
}

// refusedEarlier reports whether to prefer the first of two candidates in
// backoff, because its backoff ends earlier.
func (t *TwoChoices) refusedEarlier(a, b Candidate) bool {
	if fullA, fullB := t.coldFull(a), t.coldFull(b); fullA != fullB {
		return fullB
	}
	return t.servers[a.Incarnation].backoffUntil.Before(t.servers[b.Incarnation].backoffUntil)
}

// cost returns the latency of a candidate in nanoseconds, multiplied by its
// number of requests in flight plus one, and by coldCostFactor in cold start.
func (t *TwoChoices) cost(c Candidate) float64 {
	s := t.servers[c.Incarnation]
	cost := t.latency(s)
	if s != nil {
		cost *= 1 + float64(s.inFlight)
	}
	if c.Cold {
		cost *= coldCostFactor
	}
	return cost
}

// latency returns the expected latency of a server in nanoseconds. It is the
// median of all servers if nothing has been observed of this one.
func (t *TwoChoices) latency(s *server) float64 {
	if s == nil || s.samples == 0 {
		return t.expectedMedian()
	}
	return math.Exp(s.logLatency)
}

// avoided reports whether a candidate should get no ordinary requests. It marks
// an unresponsive server as a straggler.
func (t *TwoChoices) avoided(now time.Time, c Candidate) bool {
	s := t.servers[c.Incarnation]
	if s == nil {
		return false
	}
	if t.coldFull(c) || now.Before(s.backoffUntil) {
		return true
	}
	if !s.straggler && t.unresponsive(now, s) {
		t.markStraggler(now, c.Incarnation, s)
	}
	return s.straggler
}

// coldFull reports whether a server in cold start has as many requests in
// flight as it may have from this node.
func (t *TwoChoices) coldFull(c Candidate) bool {
	s := t.servers[c.Incarnation]
	return c.Cold && s != nil && s.inFlight >= t.config.ColdInFlight
}

// unresponsive reports whether a server has requests in flight and has made no
// progress for too long.
func (t *TwoChoices) unresponsive(now time.Time, s *server) bool {
	bound := max(t.config.SilenceTimeout, time.Duration(silenceLatencyFactor*t.expectedMedian()))
	return s.inFlight > 0 && now.Sub(s.lastProgress) > bound
}

// expectedMedian returns the estimated median latency of all servers in
// nanoseconds.
func (t *TwoChoices) expectedMedian() float64 {
	if t.medianLatency == 0 {
		return float64(initialLatency)
	}
	return t.medianLatency
}

// markStraggler makes a server a straggler. Its next probe is due as if it had
// been probed now.
func (t *TwoChoices) markStraggler(now time.Time, incarnation uint64, s *server) {
	s.straggler = true
	s.probed = now
	s.probedAtPick = t.picks
	s.goodProbes = 0
	t.stragglers = append(t.stragglers, incarnation)
}

// probe returns the position of the first straggler whose next probe is due.
func (t *TwoChoices) probe(now time.Time, candidates []Candidate) (int, bool) {
	for _, incarnation := range t.stragglers {
		s := t.servers[incarnation]
		since := now.Sub(s.probed)
		due := since >= t.config.ProbeInterval && float64(t.picks-s.probedAtPick)*t.config.ProbeShare >= 1
		// After a good probe the next one follows at once, to find out soon
		// whether the server has recovered.
		due = due || since >= t.config.MaxProbeInterval || (s.goodProbes > 0 && s.inFlight == 0)
		if !due || now.Before(s.backoffUntil) {
			continue
		}
		for i, c := range candidates {
			if c.Incarnation != incarnation || t.coldFull(c) {
				continue
			}
			s.probed = now
			s.probedAtPick = t.picks
			return i, true
		}
	}
	return 0, false
}
