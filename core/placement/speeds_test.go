package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/core/placement"
)

// TestSpeedOfFewRequestsStaysNearMean guards against moves caused by the first
// requests of a day. When the speed was the mean of the latest requests,
// servers of equal speed had weights of 9 to 28 within a second of the start of
// traffic, and the moves that followed used up the budget of that minute.
func TestSpeedOfFewRequestsStaysNearMean(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(100, 0)
	var s placement.SpeedEstimator
	for i := range uint64(8) {
		for range 4 {
			s.Observe(now, i, time.Duration(r.ExpFloat64()*float64(100*time.Millisecond)), 1)
		}
	}
	for i, speed := range s.Estimates(now) {
		if ratio := speed.Ratio; ratio < 1/placement.DefaultRebalanceStartRatio || ratio > placement.DefaultRebalanceStartRatio {
			t.Errorf("server %d has a speed of %.2f times the mean after 4 requests, want it within the ratio that starts rebalancing", i, speed.Ratio)
		}
	}
}

// TestSpeedFollowsLastingChange guards against a slow server that keeps its
// share of the keys.
func TestSpeedFollowsLastingChange(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(100, 0)
	var s placement.SpeedEstimator
	for range 10 {
		now = now.Add(time.Second)
		for i := range uint64(8) {
			mean := 100 * time.Millisecond
			if i == 3 {
				mean = 200 * time.Millisecond
			}
			for range 80 {
				s.Observe(now, i, time.Duration(r.ExpFloat64()*float64(mean)), 1)
			}
		}
	}
	speeds := s.Estimates(now)
	for i, speed := range speeds {
		if ratio, want := speed.Ratio, 1.0; i != 3 && (ratio < want*0.9 || ratio > want*1.35) {
			t.Errorf("server %d has a speed of %.2f times the mean, want 0.9 to 1.35", i, speed.Ratio)
		}
	}
	if ratio := speeds[3].Ratio; ratio > 0.65*speeds[2].Ratio {
		t.Errorf("a server of half the speed has ratio %.2f, want at most 0.65 times the %.2f of another", ratio, speeds[2].Ratio)
	}
	s.Retain(func(incarnation uint64) bool { return incarnation != 3 })
	if _, known := s.Estimates(now)[3]; known {
		t.Error("a server that was not retained has a speed, want none")
	}
}
