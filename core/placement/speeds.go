package placement

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// minSpeed and maxSpeed bound what a measured speed changes: a server that
	// was slow for a moment must not lose all its keys.
	minSpeed = 0.5
	maxSpeed = 2
	// speedWindow is the time constant of speeds. Speeds of shared machines
	// change many times a second and moves take seconds, so that only what lasts
	// for longer than a few moves is followed.
	speedWindow = 10 * time.Second
	// speedPrior is the number of requests at the mean time of all servers that
	// count with those of each server: the mean of 50 requests with exponential
	// times is right within 14%.
	speedPrior = 50
)

// SpeedEstimator compares the servers of one upstream by the time that they take for a
// request. Each owns other keys, but the kinds of requests are the same. The
// zero value knows none. It is not safe for concurrent use.
type SpeedEstimator struct {
	servers map[uint64]*pace
}

// pace has decaying sums of the requests of a server.
type pace struct {
	at       time.Time
	requests float64
	busy     time.Duration
}

func (p *pace) decay(now time.Time) {
	if !p.at.IsZero() {
		keep := math.Exp(-max(0, now.Sub(p.at).Seconds()) / speedWindow.Seconds())
		p.requests *= keep
		p.busy = time.Duration(float64(p.busy) * keep)
	}
	p.at = now
}

// Observe notes that a server took a mean time for each of some requests, which
// may be a fraction.
func (s *SpeedEstimator) Observe(now time.Time, incarnation uint64, mean time.Duration, requests float64) {
	if mean <= 0 || requests <= 0 {
		return
	}
	if s.servers == nil {
		s.servers = map[uint64]*pace{}
	}
	p := s.servers[incarnation]
	if p == nil {
		p = &pace{}
		s.servers[incarnation] = p
	}
	p.decay(now)
	p.requests += requests
	p.busy += time.Duration(float64(mean) * requests)
}

// Retain drops the servers that are not to be kept.
func (s *SpeedEstimator) Retain(kept func(incarnation uint64) bool) {
	maps.DeleteFunc(s.servers, func(incarnation uint64, _ *pace) bool { return !kept(incarnation) })
}

// Speed is how fast a server is.
type Speed struct {
	// Ratio to the mean of all servers, 0.5 to 2.
	Ratio float64
	// MeanTime is the mean time for a request.
	MeanTime time.Duration
}

// Estimates returns the speed of each known server.
func (s *SpeedEstimator) Estimates(now time.Time) map[uint64]Speed {
	known := slices.Sorted(maps.Keys(s.servers))
	requests, busy := 0.0, time.Duration(0)
	for _, incarnation := range known {
		p := s.servers[incarnation]
		p.decay(now)
		requests += p.requests
		busy += p.busy
	}
	speeds := make(map[uint64]Speed, len(known))
	if requests <= 0 || busy <= 0 {
		return speeds
	}
	mean := busy.Seconds() / requests
	for _, incarnation := range known {
		p := s.servers[incarnation]
		own := (p.busy.Seconds() + mean*speedPrior) / (p.requests + speedPrior)
		speeds[incarnation] = Speed{min(max(mean/own, minSpeed), maxSpeed), time.Duration(own * float64(time.Second))}
	}
	return speeds
}
