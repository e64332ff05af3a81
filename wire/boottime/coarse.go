package boottime

import (
	"sync/atomic"
	"time"
)

// coarseInterval is the time after which a Coarse clock reads CLOCK_BOOTTIME
// again. It is a small part of the margin of a lease.
const coarseInterval = time.Millisecond

// Coarse is a Clock that notices a suspension of the machine up to 1 ms later.
// Reading CLOCK_BOOTTIME is a system call, and a request takes some twenty
// readings at two nodes. Between two of them, Coarse adds the time of the
// monotonic clock, which takes no system call. It never goes backwards. A check
// of a lease must use Clock. Use NewCoarse. It is safe for concurrent use.
type Coarse struct {
	boot      func() time.Time
	monotonic func() time.Duration
	base      atomic.Pointer[coarseBase]
	// latest is the latest time returned, as Unix time in nanoseconds.
	latest atomic.Int64
}

// coarseBase has two readings taken together.
type coarseBase struct {
	boot      time.Time
	monotonic time.Duration
}

// NewCoarse returns a clock.
func NewCoarse() *Coarse {
	started := time.Now()
	return newCoarse(Clock{}.Now, func() time.Duration { return time.Since(started) })
}

func newCoarse(boot func() time.Time, monotonic func() time.Duration) *Coarse {
	c := &Coarse{boot: boot, monotonic: monotonic}
	c.refresh()
	return c
}

// Now returns the time since the machine booted, like Clock.Now.
func (c *Coarse) Now() time.Time {
	base := c.base.Load()
	elapsed := c.monotonic() - base.monotonic
	if elapsed >= coarseInterval {
		base, elapsed = c.refresh(), 0
	}
	now := base.boot.Add(elapsed).UnixNano()
	for {
		latest := c.latest.Load()
		if now <= latest {
			return time.Unix(0, latest)
		}
		if c.latest.CompareAndSwap(latest, now) {
			return time.Unix(0, now)
		}
	}
}

// refresh reads both clocks. The monotonic one is read last, so that a pause
// between the readings makes the clock late and not early.
func (c *Coarse) refresh() *coarseBase {
	base := &coarseBase{boot: c.boot()}
	base.monotonic = c.monotonic()
	c.base.Store(base)
	return base
}
