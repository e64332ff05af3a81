package leader

import (
	"time"

	"github.com/jujubeknot/jujubeknot/core/cluster"
)

// minSpeed and maxSpeed bound what a measured speed changes: a server that was
// slow for a moment must not lose all its keys.
const (
	minSpeed = 0.5
	maxSpeed = 2
)

// speeds has the speed of each server of an upstream in relation to their mean.
type speeds map[uint64]float64

// of returns the speed of a server, 1 if it is not known.
func (s speeds) of(incarnation uint64) float64 {
	if v, known := s[incarnation]; known {
		return v
	}
	return 1
}

// speeds compares the times that servers of an upstream take for a request.
// Each owns other keys, but the kinds of requests are the same.
func (l *Leader) speeds(state *cluster.State, now time.Time, upstream string) speeds {
	if !l.config.BySpeed {
		return nil
	}
	rates := speeds{}
	sum := 0.0
	for n := range state.Nodes() {
		r := l.reports[n.GetIncarnation()]
		if n.GetBackendServer().GetUpstream() != upstream || r == nil || now.Sub(r.at) > reportMaxAge || r.request.GetServiceMs() <= 0 {
			continue
		}
		rates[n.GetIncarnation()] = 1 / float64(r.request.GetServiceMs())
		sum += rates[n.GetIncarnation()]
	}
	mean := sum / float64(max(1, len(rates)))
	for incarnation, rate := range rates {
		rates[incarnation] = min(max(rate/mean, minSpeed), maxSpeed)
	}
	return rates
}
