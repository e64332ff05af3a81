package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/core/placement"
)

// TestSpeedsOfFewRequestsChangeLittle guards against keys that move because of
// the first requests of a day: with the mean of the latest ones, servers of one
// speed had weights of 9 to 28 within a second of the start of traffic, and the
// moves that followed used up what may be moved in that minute.
func TestSpeedsOfFewRequestsChangeLittle(t *testing.T) {
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
			t.Errorf("server %d counts as %.2f times as fast as the mean after 4 requests", i, speed.Ratio)
		}
	}
}

// TestSpeedsFollowWhatLasts guards against a slow server that keeps its share of
// the keys.
func TestSpeedsFollowWhatLasts(t *testing.T) {
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
			t.Errorf("server %d counts as %.2f times as fast as the mean", i, speed.Ratio)
		}
	}
	if ratio := speeds[3].Ratio; ratio > 0.65*speeds[2].Ratio {
		t.Errorf("a server of half the speed counts as %.2f beside %.2f", ratio, speeds[2].Ratio)
	}
	s.Retain(func(incarnation uint64) bool { return incarnation != 3 })
	if _, known := s.Estimates(now)[3]; known {
		t.Error("a server that is gone has a speed")
	}
}
