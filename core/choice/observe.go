package choice

import (
	"math"
	"time"
)

// Sent implements Policy.
func (t *TwoChoices) Sent(now time.Time, incarnation uint64) {
	s := t.servers[incarnation]
	if s == nil {
		s = &server{}
		t.servers[incarnation] = s
	}
	if s.inFlight == 0 {
		s.lastProgress = now
	}
	s.inFlight++
	s.lastSent = now
}

// Done implements Policy.
func (t *TwoChoices) Done(now time.Time, incarnation uint64, latency time.Duration, result Result) {
	s := t.servers[incarnation]
	if s == nil || s.inFlight == 0 {
		return
	}
	s.inFlight--
	switch result {
	case ResultShed, ResultRefused:
		s.backoffUntil = now.Add(t.config.Backoff)
		s.lastProgress = now
		return
	case ResultFailed:
		return
	case ResultCancelled:
		// The request would have taken longer than the latency until its
		// cancellation. That latency therefore counts only if it is above the
		// expected one. If it never counted, a server that loses every hedge
		// would look healthy.
		if float64(latency) > t.latency(s) {
			t.observe(now, incarnation, s, float64(latency))
		}
		return
	}
	s.lastProgress = now
	t.observe(now, incarnation, s, max(float64(latency), 1))
}

// observe adds a latency in nanoseconds to the estimates, and decides whether
// the server becomes a straggler or stops being one.
func (t *TwoChoices) observe(now time.Time, incarnation uint64, s *server, latency float64) {
	switch {
	case t.medianLatency == 0:
		t.medianLatency = latency
	case latency > t.medianLatency:
		// Equal steps up and down converge to the median, because half of the
		// latencies are above it.
		t.medianLatency *= 1 + latencySmoothing/4
	default:
		t.medianLatency /= 1 + latencySmoothing/4
	}
	s.samples++
	s.logLatency += max(latencySmoothing, 1/float64(s.samples)) * (math.Log(latency) - s.logLatency)
	bound := t.config.StragglerFactor * t.expectedMedian()
	switch {
	case s.straggler && latency > bound:
		s.goodProbes = 0
	case s.straggler:
		s.goodProbes++
		if s.goodProbes >= probesToRecover {
			s.straggler = false
			s.logLatency = math.Log(t.expectedMedian())
			t.removeStraggler(incarnation)
		}
	case s.samples >= minStragglerSamples && math.Exp(s.logLatency) > bound:
		t.markStraggler(now, incarnation, s)
	}
}

// removeStraggler removes a server from the list of stragglers.
func (t *TwoChoices) removeStraggler(incarnation uint64) {
	for i, other := range t.stragglers {
		if other == incarnation {
			t.stragglers = append(t.stragglers[:i], t.stragglers[i+1:]...)
			return
		}
	}
}

// forget removes the state of servers that have no request in flight and got
// none for serverRetention. The result does not depend on the order of the map.
func (t *TwoChoices) forget(now time.Time) {
	for incarnation, s := range t.servers {
		if s.inFlight == 0 && now.Sub(s.lastSent) > serverRetention {
			t.removeStraggler(incarnation)
			delete(t.servers, incarnation)
		}
	}
}
