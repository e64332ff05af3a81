package choice

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// smoothing is the weight of a new latency in the average of logarithms.
	// Six requests of tenfold latency pass the straggler factor of 3; a single
	// long upload does not.
	smoothing = 0.1
	// equalCost is the ratio up to which two costs count as equal.
	equalCost = 1.1
	// coldCost makes a cold server the choice only where it is clearly less
	// loaded.
	coldCost = 2
	// silenceFactor keeps requests that are slow everywhere from counting as
	// silence.
	silenceFactor = 10
	// unknownLatency stands in until the first completion.
	unknownLatency = time.Millisecond
	// forgetAfter bounds the memory for nodes that are gone.
	forgetAfter = time.Minute
	// forgetEvery is the number of picks between two searches for such nodes.
	forgetEvery = 4096
	// minSamples is the number of latencies before a server can be a straggler;
	// the first one alone may be long by chance.
	minSamples = 5
	// goodProbes is the number of probes in a row that end the avoidance of a
	// straggler. One alone is as short as that of a healthy server in a fifth of
	// the cases, even at a tenfold slowdown.
	goodProbes = 3
	// tries bounds the draws for two candidates that are not avoided before
	// all candidates are looked at.
	tries = 8
)

// TwoChoices draws two candidates and takes the one with the lower product of
// requests in flight and latency, both as observed by this node. Servers whose
// latency is a multiple of the others', that do not answer or that refused a
// request lately get only probes. Pick takes O(1) on average and O(n) while
// most candidates are avoided.
type TwoChoices struct {
	config  TwoChoicesConfig
	random  *rand.Rand
	servers map[uint64]*server
	// typical is a running estimate of the median latency over all servers.
	typical float64
	picks   uint64
	// slow has the stragglers in the order in which they were found.
	slow []uint64
}

type server struct {
	inFlight int
	// logLatency is the moving average of the logarithm of the latency in
	// nanoseconds; samples counts what is in it.
	logLatency float64
	samples    int
	// quietSince is the time of the last completion, or of the first request
	// after none were in flight.
	quietSince   time.Time
	lastSent     time.Time
	backoffUntil time.Time
	straggler    bool
	probed       time.Time
	probedAtPick uint64
	// goodProbes counts short latencies in a row since straggler was set.
	goodProbes int
}

// NewTwoChoices returns the default policy.
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
	if t.picks%forgetEvery == 0 {
		t.forget(now)
	}
	if len(candidates) == 1 {
		return candidates[0], ReasonOnlyOne, true
	}
	if i, ok := t.probe(now, candidates); ok {
		return candidates[i], ReasonProbe, true
	}
	if a, b, ok := t.nearAndAny(now, candidates, target); ok {
		return t.nearer(now, a, b, target)
	}
	first, second, found := t.draw(now, candidates)
	switch found {
	case 0:
		return t.leastBad(now, candidates)
	case 1:
		return candidates[first], ReasonLowerCost, true
	}
	return t.better(candidates[first], candidates[second])
}

// nearAndAny returns a candidate of the own availability zone and any other one,
// neither of them avoided. It is false without Config.ZoneFactor, and where the
// own zone has none.
func (t *TwoChoices) nearAndAny(now time.Time, candidates []Candidate, target time.Duration) (near, other Candidate, ok bool) {
	if t.config.ZoneFactor <= 1 {
		return near, other, false
	}
	offset := t.random.IntN(len(candidates))
	nears, others := 0, 0
	for i := range candidates {
		c := candidates[(i+offset)%len(candidates)]
		own := c.AvailabilityZone == t.config.AvailabilityZone
		if t.avoided(now, c) && !(own && t.inTime(now, c, target)) {
			continue
		}
		if own {
			if nears++; nears == 1 || t.cost(c) < t.cost(near) {
				near = c
			}
		} else if others++; others == 1 {
			other = c
		}
	}
	if others == 0 {
		other = near
	}
	return near, other, nears > 0
}

// inTime reports whether a server that is slow beside others still answers within
// the target: it answers at all, and is expected to take no longer.
func (t *TwoChoices) inTime(now time.Time, c Candidate, target time.Duration) bool {
	s := t.servers[c.Incarnation]
	if target <= 0 || s == nil || t.coldFull(c) || now.Before(s.backoffUntil) {
		return false
	}
	quiet := s.inFlight > 0 && now.Sub(s.quietSince) > max(t.config.SilenceTimeout, target)
	return !quiet && t.cost(c) <= float64(target)
}

// nearer takes the candidate of the own zone unless it is late for the target and
// the other one costs so much less that the bytes between zones are worth it.
func (t *TwoChoices) nearer(now time.Time, near, other Candidate, target time.Duration) (Candidate, Reason, bool) {
	if t.inTime(now, near, target) || t.cost(near) <= t.cost(other)*t.config.ZoneFactor {
		return near, ReasonSameZone, true
	}
	return other, ReasonLowerCost, true
}

// better compares two candidates that are not avoided.
func (t *TwoChoices) better(a, b Candidate) (Candidate, Reason, bool) {
	costA, costB := t.cost(a), t.cost(b)
	if costA <= costB*equalCost && costB <= costA*equalCost {
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

// draw returns up to two different candidates that are not avoided.
func (t *TwoChoices) draw(now time.Time, candidates []Candidate) (first, second, found int) {
	for range tries {
		i := t.random.IntN(len(candidates))
		if (found == 1 && i == first) || t.avoided(now, candidates[i]) {
			continue
		}
		if found == 1 {
			return first, i, 2
		}
		first, found = i, 1
	}
	return t.drawFromAll(now, candidates)
}

// drawFromAll chooses two of the candidates that are not avoided with the same
// probability (reservoir sampling).
func (t *TwoChoices) drawFromAll(now time.Time, candidates []Candidate) (first, second, found int) {
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

// leastBad chooses among candidates that are all avoided. Cold servers at
// their bound come last: they must not get more than they sustain. Servers that
// refused lately take turns: refusals leave nothing in flight, so by cost alone
// the server that refuses most looked the least loaded, and 3 of 7 nodes got
// 1,087 of 1,106 refused requests.
func (t *TwoChoices) leastBad(now time.Time, candidates []Candidate) (Candidate, Reason, bool) {
	best, refused := -1, -1
	offset := t.random.IntN(len(candidates))
	for i := range candidates {
		j := (i + offset) % len(candidates)
		if s := t.servers[candidates[j].Incarnation]; s != nil && now.Before(s.backoffUntil) {
			if refused < 0 || t.refusedEarlier(candidates[j], candidates[refused]) {
				refused = j
			}
		} else if best < 0 || t.lessBad(candidates[j], candidates[best]) {
			best = j
		}
	}
	if best < 0 || refused >= 0 && t.lessBad(candidates[refused], candidates[best]) {
		best = refused
	}
	return candidates[best], ReasonAllAvoided, true
}

func (t *TwoChoices) lessBad(a, b Candidate) bool {
	if fullA, fullB := t.coldFull(a), t.coldFull(b); fullA != fullB {
		return fullB
	}
	return t.cost(a) < t.cost(b)
}

func (t *TwoChoices) refusedEarlier(a, b Candidate) bool {
	if fullA, fullB := t.coldFull(a), t.coldFull(b); fullA != fullB {
		return fullB
	}
	return t.servers[a.Incarnation].backoffUntil.Before(t.servers[b.Incarnation].backoffUntil)
}

func (t *TwoChoices) cost(c Candidate) float64 {
	s := t.servers[c.Incarnation]
	cost := t.latency(s)
	if s != nil {
		cost *= 1 + float64(s.inFlight)
	}
	if c.Cold {
		cost *= coldCost
	}
	return cost
}

// latency returns the expected latency of a server in nanoseconds. A server
// without observations counts as typical.
func (t *TwoChoices) latency(s *server) float64 {
	if s == nil || s.samples == 0 {
		return t.reference()
	}
	return math.Exp(s.logLatency)
}

func (t *TwoChoices) avoided(now time.Time, c Candidate) bool {
	s := t.servers[c.Incarnation]
	if s == nil {
		return false
	}
	if t.coldFull(c) || now.Before(s.backoffUntil) {
		return true
	}
	if !s.straggler && t.silent(now, s) {
		t.markSlow(now, c.Incarnation, s)
	}
	return s.straggler
}

// coldFull reports whether a cold server has all the requests that it may have
// from this node.
func (t *TwoChoices) coldFull(c Candidate) bool {
	s := t.servers[c.Incarnation]
	return c.Cold && s != nil && s.inFlight >= t.config.ColdInFlight
}

func (t *TwoChoices) silent(now time.Time, s *server) bool {
	bound := max(t.config.SilenceTimeout, time.Duration(silenceFactor*t.reference()))
	return s.inFlight > 0 && now.Sub(s.quietSince) > bound
}

func (t *TwoChoices) reference() float64 {
	if t.typical == 0 {
		return float64(unknownLatency)
	}
	return t.typical
}

func (t *TwoChoices) markSlow(now time.Time, incarnation uint64, s *server) {
	s.straggler = true
	s.probed = now
	s.probedAtPick = t.picks
	s.goodProbes = 0
	t.slow = append(t.slow, incarnation)
}

// probe returns the straggler whose turn it is to get one request.
func (t *TwoChoices) probe(now time.Time, candidates []Candidate) (int, bool) {
	for _, incarnation := range t.slow {
		s := t.servers[incarnation]
		since := now.Sub(s.probed)
		due := since >= t.config.ProbeInterval && float64(t.picks-s.probedAtPick)*t.config.ProbeShare >= 1
		// After a good probe the next one follows at once, to decide soon.
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
