package placement

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// minSpeedRatio and maxSpeedRatio limit the effect of a measured speed, so
	// that a server that was slow for a moment does not lose all its keys.
	minSpeedRatio = 0.5
	maxSpeedRatio = 2
	// speedTimeConstant is the time constant of the exponential decay of samples.
	// The speed of shared machines changes many times a second while moves take
	// seconds, so only changes that outlast a few moves are followed.
	speedTimeConstant = 10 * time.Second
	// priorRequests is the number of requests at the mean time of all servers that
	// are added to those of each server. The mean of 50 requests with
	// exponentially distributed times is accurate to within 14%.
	priorRequests = 50
)

// SpeedEstimator compares the servers of one upstream by their time for a
// request. Servers own different keys, but serve the same kinds of requests.
// The zero value has no samples. It is not safe for concurrent use.
type SpeedEstimator struct {
	servers map[uint64]*requestStats
}

// requestStats has exponentially decaying sums over the requests of a server.
type requestStats struct {
	updated   time.Time
	requests  float64
	totalTime time.Duration
}

// decay reduces the sums by the time since the last update.
func (r *requestStats) decay(now time.Time) {
	if !r.updated.IsZero() {
		keep := math.Exp(-max(0, now.Sub(r.updated).Seconds()) / speedTimeConstant.Seconds())
		r.requests *= keep
		r.totalTime = time.Duration(float64(r.totalTime) * keep)
	}
	r.updated = now
}

// Observe adds requests to the samples of a server, given their mean time.
// Their number may be a fraction.
func (s *SpeedEstimator) Observe(now time.Time, incarnation uint64, mean time.Duration, requests float64) {
	if mean <= 0 || requests <= 0 {
		return
	}
	if s.servers == nil {
		s.servers = map[uint64]*requestStats{}
	}
	r := s.servers[incarnation]
	if r == nil {
		r = &requestStats{}
		s.servers[incarnation] = r
	}
	r.decay(now)
	r.requests += requests
	r.totalTime += time.Duration(float64(mean) * requests)
}

// Retain drops the samples of the servers for which kept returns false.
func (s *SpeedEstimator) Retain(kept func(incarnation uint64) bool) {
	maps.DeleteFunc(s.servers, func(incarnation uint64, _ *requestStats) bool { return !kept(incarnation) })
}

// Speed is the speed of a server.
type Speed struct {
	// Ratio is the speed in relation to the mean of all servers, 0.5 to 2.
	Ratio float64
	// MeanTime is the mean time for a request.
	MeanTime time.Duration
}

// Estimates returns the speed of each server that has samples, by incarnation.
func (s *SpeedEstimator) Estimates(now time.Time) map[uint64]Speed {
	known := slices.Sorted(maps.Keys(s.servers))
	requests, totalTime := 0.0, time.Duration(0)
	for _, incarnation := range known {
		r := s.servers[incarnation]
		r.decay(now)
		requests += r.requests
		totalTime += r.totalTime
	}
	speeds := make(map[uint64]Speed, len(known))
	if requests <= 0 || totalTime <= 0 {
		return speeds
	}
	mean := totalTime.Seconds() / requests
	for _, incarnation := range known {
		r := s.servers[incarnation]
		serverMean := (r.totalTime.Seconds() + mean*priorRequests) / (r.requests + priorRequests)
		speeds[incarnation] = Speed{min(max(mean/serverMean, minSpeedRatio), maxSpeedRatio), time.Duration(serverMean * float64(time.Second))}
	}
	return speeds
}
