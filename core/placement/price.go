package placement

import (
	"math"
	"time"
)

const (
	// gainMargin is the ratio of the time that a move saves callers to the one that
	// it costs them above which it is made. Both are estimates.
	gainMargin = 2
	// timeRatio is the ratio of the time that a request takes more at its server than
	// at another one above which its partition is moved. The load of a server is known
	// to within a few percent, which moves that time by a fifth at a full server.
	timeRatio = 1.3
	// hotReserve is the share of the churn budget that is kept for hot partitions.
	hotReserve = 0.1
	// planShare is the share of the churn budget of a window that one plan may use to
	// relieve servers: the effect of the first moves is seen before the next ones.
	planShare = 0.25
	// refusalSeconds is the time that a request costs its caller that a full queue
	// refuses.
	refusalSeconds = 1
	// minFullUtilization bounds the utilization above which requests are refused.
	minFullUtilization = 0.5
)

// callerTime is the time that callers spend at a server, as a function of its load.
// The zero value is that of a server of unknown capacity, where it is 0.
type callerTime struct {
	capacity, slots, exponent float64
	// full is the utilization above which a further request costs as much as a
	// refused one.
	full float64
}

// newCallerTime returns the time for a server that sustains a rate in requests/s
// with a number of slots.
func newCallerTime(capacity, slots float64) callerTime {
	c := callerTime{capacity: capacity, slots: max(1, slots)}
	if capacity <= 0 {
		return callerTime{}
	}
	c.exponent = math.Sqrt(2 * (c.slots + 1))
	low, high := minFullUtilization, 0.999
	for range 12 {
		if middle := (low + high) / 2; c.slope(middle) > refusalSeconds*capacity {
			high = middle
		} else {
			low = middle
		}
	}
	c.full = low
	return c
}

// slope returns the growth of the number of requests at the server with its
// utilization.
func (c callerTime) slope(u float64) float64 {
	return c.slots + c.exponent*math.Pow(u, c.exponent-1)/(1-u) + math.Pow(u, c.exponent)/((1-u)*(1-u))
}

// at returns the number of requests at the server on average, which is the time
// that callers spend there in each second, in seconds. Those that run are the load
// times the time of a run. Those that wait are those of a queue with one server for
// each slot (Sakasegawa's approximation). Above full, further requests cost as much
// as refused ones, whatever the server: moving load from one full server to another
// saves nothing.
func (c callerTime) at(load float64) float64 {
	if c.capacity <= 0 || load <= 0 {
		return 0
	}
	u := min(load/c.capacity, c.full)
	return c.slots*u + math.Pow(u, c.exponent)/(1-u) + refusalSeconds*max(0, load-c.full*c.capacity)
}

// movePrice returns the time that a move costs callers, in seconds. The requests
// that arrive during the pause end late, which costs about as much as a refusal, and
// the transfer of the partition's state costs the same whatever its load.
func (c Config) movePrice(load float64) float64 {
	return refusalSeconds*load*c.MovePause.Seconds() + c.TransferCost.Seconds()
}

// horizon returns for how long a move takes effect. A hot partition is expected
// to stay hot for as long as it has been, at least HotHorizon and at most
// LoadHorizon.
func (c Config) horizon(now, hotSince time.Time) time.Duration {
	if hotSince.IsZero() {
		return c.LoadHorizon
	}
	return min(max(now.Sub(hotSince), c.HotHorizon), c.LoadHorizon)
}
