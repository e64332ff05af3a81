package boottime

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestCoarseFollowsBootTime guards against a coarse clock that goes backwards, does not
// notice a suspension, or makes a system call for each reading.
func TestCoarseFollowsBootTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		boot, monotonic, readings := time.Unix(1000, 0), time.Duration(0), 0
		c := newCoarse(func() time.Time { readings++; return boot }, func() time.Duration { return monotonic })
		last := c.Now()
		// suspended is what the clock may not have noticed yet.
		var suspended, sinceSuspension, running time.Duration
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			step := time.Duration(rapid.IntRange(0, 400).Draw(t, "us")) * time.Microsecond
			boot, monotonic = boot.Add(step), monotonic+step
			running += step
			sinceSuspension += step
			if rapid.IntRange(0, 20).Draw(t, "suspend") == 0 {
				length := time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond
				boot = boot.Add(length)
				suspended, sinceSuspension = suspended+length, 0
			}
			if sinceSuspension >= coarseInterval {
				suspended = 0
			}
			now := c.Now()
			if now.Before(last) {
				t.Fatalf("the clock went back from %v to %v", last, now)
			}
			if behind := boot.Sub(now); behind < 0 || behind > suspended {
				t.Fatalf("%v behind, want at most %v: the last suspension was %v ago", behind, suspended, sinceSuspension)
			}
			last = now
		}
		if limit := int(running/coarseInterval) + 1; readings > limit {
			t.Fatalf("%d readings of the boot time in %v, want at most %d", readings, running, limit)
		}
	})
}
