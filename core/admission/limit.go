package admission

import "time"

const (
	// roundsPerIncrease is the number of rounds after which the limit rises by
	// one. A round is complete when as many requests have finished as the
	// limit. A server with 18 slots and service times of 10 ms takes 1.4 s from
	// cold start to the full limit.
	roundsPerIncrease = 8
	// slowGrowthDivisor divides the growth of the limit while the limit is
	// between limiter.fastGrowthBound and slowGrowthRange above that bound.
	// Below and above this range, the limit rises at full speed.
	slowGrowthDivisor = 4
	slowGrowthRange   = 3
	// warmRequestsPerSlot is the number of successful requests per slot after
	// which a server counts as warm even if its limit has not reached the
	// number of slots. The limit may stay low because the server has little
	// traffic, is slower under load, or sheds requests. Requests that end while
	// the limit rises at full speed are not counted: counting them let a server
	// under load leave cold start too early and shed 25 requests within a
	// second.
	warmRequestsPerSlot = 32
	// maxSlowdown is the ratio of the median latency to the baseline above
	// which the limit does not rise: the server is busy although it does not
	// shed.
	maxSlowdown = 2
	// shedCutFactor multiplies the limit after a shed request, timeoutCutFactor
	// after a timeout. During cold start, coldCutFactor applies to every cut
	// instead of these two.
	coldCutFactor    = 0.5
	shedCutFactor    = 0.75
	timeoutCutFactor = 0.8
	// timeoutWeight is the weight of one request in limiter.timeoutShare. A
	// timeout cuts the limit only if that share is above maxTimeoutShare and
	// the median latency is above maxSlowdown times the baseline. Cutting the
	// limit at each timeout kept goodput below 16% of the capacity when 5% of
	// the requests had too short a deadline.
	timeoutWeight   = 1.0 / 32
	maxTimeoutShare = 0.1
	// driftPerRequest is the relative rise of the baseline with each finished
	// request. The baseline doubles in 7,000 requests, so that it follows a
	// permanent change of the workload.
	driftPerRequest = 0.0001
	// driftPerRound replaces driftPerRequest, if the result is larger, while
	// the limit of a warm server is below the number of slots. The baseline
	// then rises by driftPerRound * slots / limit in each round, and by 1/limit
	// of that with each finished request. The factor slots / limit is there
	// because the fewer requests run, the less likely it is that they slow each
	// other down. With driftPerRequest alone, the limit took up to 15,676 times
	// the service time to return to the number of slots after the service time
	// had risen tenfold.
	driftPerRound = 0.0018
)

// limiter adapts the number of requests in flight to what the backend server
// sustains. The limit rises by additive increase with finished requests. It
// falls by multiplicative decrease at shed requests and timeouts, and during
// cold start also at failed requests. Requests that started before a cut do not
// cause another cut, so each round causes at most one. The limit rises at full
// speed to 1 below its value before the last cut, because the server sustained
// that many requests. Beyond, the limit rises slowly, because each time it
// exceeds what the server sustains, a request is shed.
type limiter struct {
	slots int
	limit float64
	cold  bool
	// reportsColdStart is Config.ReportsColdStart.
	reportsColdStart bool
	// fastGrowthBound is the limit from which on the limit rises slowly.
	fastGrowthBound float64
	// warmupRequests is the number of successful requests since the last reset
	// that ended while the limit did not rise at full speed. The server counts
	// as warm at warmRequestsPerSlot of them for each slot.
	warmupRequests int
	// baseline is the lowest recent median latency in nanoseconds, or the
	// median latency at limit 1. 0 means that it is not known yet.
	baseline float64
	// lastStartBeforeCut is the start number of the last request that started
	// before the last cut or reset.
	lastStartBeforeCut uint64
	// timeoutShare is the moving share of timeouts among finished requests.
	timeoutShare float64
}

func (l *limiter) value() int {
	return min(max(int(l.limit), 1), l.slots)
}

// reset begins a cold start with limit 1. For a server that reports its cold
// starts, it sets the limit to the number of slots instead. lastStarted is the
// start number of the last request that started.
func (l *limiter) reset(lastStarted uint64) {
	*l = limiter{slots: l.slots, reportsColdStart: l.reportsColdStart, limit: 1, cold: true, fastGrowthBound: float64(l.slots), lastStartBeforeCut: lastStarted}
	if l.reportsColdStart {
		// coldStartLimiter handles the cold starts that the server reports.
		l.limit, l.cold = float64(l.slots), false
	}
}

// done adapts the limit to the end of a request. Requests are numbered in the
// order of their starts: startNumber is the number of this request and
// lastStarted that of the last one that started. inFlight is the number of
// running requests, including this one. alone is true if no other request ran
// when this one started, and none when it ended. median is the median latency
// in nanoseconds.
func (l *limiter) done(kind ResultKind, startNumber, lastStarted uint64, inFlight int, alone bool, median float64) {
	if l.reportsColdStart {
		// The limit of such a server is always its number of slots. A timeout
		// or a shed request depends on what the callers request, not on the
		// number of running requests, so it is no reason to cut the limit.
		return
	}
	l.updateBaseline(median)
	switch kind {
	case ResultOK:
		l.timeoutShare -= timeoutWeight * l.timeoutShare
		l.grow(inFlight, median)
	case ResultRefused:
		// A server that refuses connections has usually ended. Its successor
		// starts cold.
		l.reset(lastStarted)
	case ResultShed:
		if alone && !l.cold {
			// A warm server does not shed its only request.
			l.reset(lastStarted)
			return
		}
		l.cut(shedCutFactor, startNumber, lastStarted)
	case ResultTimeout:
		l.timeoutShare += timeoutWeight * (1 - l.timeoutShare)
		if l.timeoutShare > maxTimeoutShare && median > maxSlowdown*l.baseline {
			l.cut(timeoutCutFactor, startNumber, lastStarted)
		}
	case ResultFailed:
		if l.cold {
			l.cut(coldCutFactor, startNumber, lastStarted)
		}
	case ResultCancelled:
	}
}

// updateBaseline tracks the lowest recent median latency.
func (l *limiter) updateBaseline(median float64) {
	limit := float64(l.value())
	if l.baseline == 0 || median < l.baseline || limit == 1 {
		// At limit 1 no request slows another down.
		l.baseline = median
		return
	}
	drift := driftPerRequest
	if !l.cold && l.limit < float64(l.slots) {
		drift = max(drift, driftPerRound/limit*float64(l.slots)/limit)
	}
	l.baseline *= 1 + drift
}

// cut multiplies the limit by a factor, or by coldCutFactor during cold start.
// It does nothing if the request with the given start number started before the
// last cut or reset.
func (l *limiter) cut(factor float64, startNumber, lastStarted uint64) {
	if startNumber <= l.lastStartBeforeCut {
		return
	}
	l.lastStartBeforeCut = lastStarted
	if l.cold {
		factor = coldCutFactor
	}
	l.limit = min(l.limit, float64(l.slots))
	l.fastGrowthBound = max(1, l.limit-1)
	l.limit = max(1, l.limit*factor)
}

// grow adapts the limit and the cold start to a successful request.
func (l *limiter) grow(inFlight int, median float64) {
	// The limit does not rise while less than half of it is in use, because
	// success then does not show that the server sustains more. Neither does it
	// rise while the server is slow.
	mayGrow := 2*inFlight >= l.value() && median <= maxSlowdown*l.baseline
	notFullSpeed := !mayGrow || l.limit >= l.fastGrowthBound
	if mayGrow {
		step := 1 / (roundsPerIncrease * l.limit)
		if l.limit >= l.fastGrowthBound {
			step /= slowGrowthDivisor
		}
		l.limit = min(l.limit+step, float64(l.slots))
		if l.limit >= l.fastGrowthBound+slowGrowthRange {
			l.fastGrowthBound = float64(l.slots)
		}
	}
	if notFullSpeed {
		l.warmupRequests++
	}
	if l.limit >= float64(l.slots) || l.warmupRequests >= warmRequestsPerSlot*l.slots {
		l.cold = false
	}
}

// configure changes the number of slots. The limit of a warm server that has
// reached the number of slots follows the change. Any other limit is lowered if
// it exceeds the new number, but not raised: it has not been shown that the
// server sustains more.
func (l *limiter) configure(slots int) {
	if !l.cold && l.limit >= float64(l.slots) {
		l.limit = float64(slots)
	}
	l.slots = slots
	l.limit = min(l.limit, float64(slots))
}

const (
	// meanWeight is the weight of a new latency in the mean.
	meanWeight = 1.0 / 16
	// medianStep is the relative change of the estimated median with each
	// latency from the 50th on. Before, the change is 1 / the number of
	// latencies so far. A step of 5% let the estimate double by chance, which
	// kept cold servers from warming up.
	medianStep = 0.02
)

// latencyEstimate estimates the latency of the backend server in nanoseconds.
// The mean predicts how fast slots become free. The median predicts how long
// one request will run, and is not moved by a few long uploads.
type latencyEstimate struct {
	mean    float64
	median  float64
	samples int
}

func (e *latencyEstimate) add(latency time.Duration) {
	x := max(float64(latency), 1)
	e.samples++
	if e.samples == 1 {
		e.mean, e.median = x, x
		return
	}
	e.mean += meanWeight * (x - e.mean)
	step := 1 + max(medianStep, 1/float64(e.samples))
	if x > e.median {
		e.median *= step
	} else {
		e.median /= step
	}
}

// tokenBucket limits the rate of requests. The zero value has no limit.
type tokenBucket struct {
	perSecond  float64
	burst      float64
	tokens     float64
	lastRefill time.Time
}

func (b *tokenBucket) configure(perSecond, burst float64) {
	if b.perSecond == 0 {
		b.tokens = burst
	}
	b.perSecond, b.burst = perSecond, burst
	b.tokens = min(b.tokens, burst)
}

// timeToToken refills the bucket and returns the time until a token is
// available, 0 if there is one.
func (b *tokenBucket) timeToToken(now time.Time) time.Duration {
	if b.perSecond <= 0 {
		return 0
	}
	if !b.lastRefill.IsZero() && now.After(b.lastRefill) {
		b.tokens = min(b.tokens+now.Sub(b.lastRefill).Seconds()*b.perSecond, b.burst)
	}
	b.lastRefill = now
	if b.tokens >= 1 {
		return 0
	}
	return time.Duration((1 - b.tokens) / b.perSecond * float64(time.Second))
}

func (b *tokenBucket) take() {
	if b.perSecond > 0 {
		b.tokens--
	}
}
