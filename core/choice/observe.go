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
		s.quietSince = now
	}
	s.inFlight++
	s.lastSent = now
}

// Done implements Policy.
func (t *TwoChoices) Done(now time.Time, incarnation uint64, latency time.Duration, kind Result) {
	s := t.servers[incarnation]
	if s == nil || s.inFlight == 0 {
		return
	}
	s.inFlight--
	switch kind {
	case ResultShed, ResultRefused:
		s.backoffUntil = now.Add(t.config.Backoff)
		s.quietSince = now
		return
	case ResultFailed:
		return
	case ResultCancelled:
		// The request would have taken longer, so the time counts only where it
		// is long. Without it a server that loses every hedge looks healthy.
		if float64(latency) > t.latency(s) {
			t.observe(now, incarnation, s, float64(latency))
		}
		return
	}
	s.quietSince = now
	t.observe(now, incarnation, s, max(float64(latency), 1))
}

// observe adds a latency in nanoseconds to the estimates.
func (t *TwoChoices) observe(now time.Time, incarnation uint64, s *server, latency float64) {
	switch {
	case t.typical == 0:
		t.typical = latency
	case latency > t.typical:
		// Equal steps up and down settle where half of the latencies are above.
		t.typical *= 1 + smoothing/4
	default:
		t.typical /= 1 + smoothing/4
	}
	s.samples++
	s.logLatency += max(smoothing, 1/float64(s.samples)) * (math.Log(latency) - s.logLatency)
	bound := t.config.StragglerFactor * t.reference()
	switch {
	case s.straggler && latency > bound:
		s.goodProbes = 0
	case s.straggler:
		s.goodProbes++
		if s.goodProbes >= goodProbes {
			s.straggler = false
			s.logLatency = math.Log(t.reference())
			t.dropSlow(incarnation)
		}
	case s.samples >= minSamples && math.Exp(s.logLatency) > bound:
		t.markSlow(now, incarnation, s)
	}
}

func (t *TwoChoices) dropSlow(incarnation uint64) {
	for i, other := range t.slow {
		if other == incarnation {
			t.slow = append(t.slow[:i], t.slow[i+1:]...)
			return
		}
	}
}

// forget drops nodes that got no request for a while. Which ones go does not
// depend on the order of the map.
func (t *TwoChoices) forget(now time.Time) {
	for incarnation, s := range t.servers {
		if s.inFlight == 0 && now.Sub(s.lastSent) > forgetAfter {
			t.dropSlow(incarnation)
			delete(t.servers, incarnation)
		}
	}
}
