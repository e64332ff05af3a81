package admission

import "time"

const (
	// roundsPerIncrease is the number of rounds after which the limit rises by
	// one. A round is as many finished requests as the limit. A server with 18
	// slots and service times of 10 ms takes 1.4 s from cold start to the full
	// limit.
	roundsPerIncrease = 8
	// slowGrowthDivisor slows the growth of the limit above
	// limiter.fastGrowthBound, until the limit exceeds it by slowGrowthRange.
	slowGrowthDivisor = 4
	slowGrowthRange   = 3
	// warmRequestsPerSlot is the number of finished requests per slot after which
	// a server counts as warm although its limit does not rise quickly, because it
	// has little traffic, is slower under load, or sheds requests. Requests that
	// finish while the limit rises quickly are not counted: counting them let a
	// server under load leave cold start too early and shed 25 requests within a
	// second.
	warmRequestsPerSlot = 32
	// maxSlowdown is the ratio of the median latency to the baseline above which
	// the limit does not rise: the server is busy although it does not shed.
	maxSlowdown = 2
	// coldCutFactor, shedCutFactor and timeoutCutFactor multiply the limit at a
	// cut during cold start, after a shed request and after a timeout.
	coldCutFactor    = 0.5
	shedCutFactor    = 0.75
	timeoutCutFactor = 0.8
	// timeoutWeight is the weight of one request in limiter.timeoutShare. A
	// timeout cuts the limit only if that share is above maxTimeoutShare and the
	// median latency is above maxSlowdown times the baseline. Cutting the limit at
	// each timeout kept goodput below 16% when 5% of the requests had too short a
	// deadline.
	timeoutWeight   = 1.0 / 32
	maxTimeoutShare = 0.1
	// driftPerRequest is the relative rise of the baseline with each finished
	// request. The baseline doubles in 7,000 requests, so that it follows a
	// permanent change of the workload.
	driftPerRequest = 0.0001
	// driftPerRound is the relative rise of the baseline with each round while the
	// limit of a warm server is below the slots. It is multiplied by the ratio of
	// slots to limit, because the fewer requests run, the less likely it is that
	// they slow each other down. With driftPerRequest alone, the limit took up to
	// 15,676 service times to return to the number of slots after the service time
	// had risen tenfold.
	driftPerRound = 0.0018
)

// limiter adapts the number of requests in flight to what the backend server
// sustains, by additive increase with finished requests and multiplicative
// decrease at shed requests and timeouts. Requests that started before a cut do
// not cause another one, so each round causes at most one cut. The limit rises quickly up to just below its value
// before the last cut, because the server sustained that. It rises slowly
// beyond, because each attempt costs a shed request.
type limiter struct {
	slots int
	limit float64
	cold  bool
	// reportsColdStart is Config.ReportsColdStart.
	reportsColdStart bool
	// fastGrowthBound is the limit above which the limit rises slowly.
	fastGrowthBound float64
	// warmupRequests counts the requests that finished without fast growth of the
	// limit, for warmRequestsPerSlot.
	warmupRequests int
	// baseline is the lowest recent median latency in nanoseconds, or the median
	// latency at limit 1. 0 means that it is not known yet.
	baseline float64
	// lastCutNumber is the number of the last request that started before the
	// last cut.
	lastCutNumber uint64
	// timeoutShare is the moving share of timeouts among finished requests.
	timeoutShare float64
}

func (l *limiter) value() int {
	return min(max(int(l.limit), 1), l.slots)
}

func (l *limiter) reset(started uint64) {
	*l = limiter{slots: l.slots, reportsColdStart: l.reportsColdStart, limit: 1, cold: true, fastGrowthBound: float64(l.slots), lastCutNumber: started}
	if l.reportsColdStart {
		// The backend server reports cold start itself; coldStartLimiter handles it.
		l.limit, l.cold = float64(l.slots), false
	}
}

// done adapts the limit to the end of a request. number is the start number of
// the request and started that of the last request that started. inFlight
// includes the request, and alone means that no other request ran with it. median
// is the median latency in nanoseconds.
func (l *limiter) done(kind ResultKind, number, started uint64, inFlight int, alone bool, median float64) {
	if l.reportsColdStart {
		// The number of slots is known, and results depend on the needs of the
		// callers, not on the slots.
		return
	}
	l.updateBaseline(median)
	switch kind {
	case ResultOK:
		l.timeoutShare -= timeoutWeight * l.timeoutShare
		l.grow(inFlight, median)
	case ResultRefused:
		l.reset(started)
	case ResultShed:
		if alone && !l.cold {
			// A warm server does not shed its only request.
			l.reset(started)
			return
		}
		l.cut(shedCutFactor, number, started)
	case ResultTimeout:
		l.timeoutShare += timeoutWeight * (1 - l.timeoutShare)
		if l.timeoutShare > maxTimeoutShare && median > maxSlowdown*l.baseline {
			l.cut(timeoutCutFactor, number, started)
		}
	case ResultFailed:
		if l.cold {
			l.cut(coldCutFactor, number, started)
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

func (l *limiter) cut(factor float64, number, started uint64) {
	if number <= l.lastCutNumber {
		return
	}
	l.lastCutNumber = started
	if l.cold {
		factor = coldCutFactor
	}
	l.limit = min(l.limit, float64(l.slots))
	l.fastGrowthBound = max(1, l.limit-1)
	l.limit = max(1, l.limit*factor)
}

func (l *limiter) grow(inFlight int, median float64) {
	// Requests that finish while less than half of the limit is in use say
	// nothing about the limit. Neither do those of a server that has become slow.
	mayGrow := 2*inFlight >= l.value() && median <= maxSlowdown*l.baseline
	slowGrowth := !mayGrow || l.limit >= l.fastGrowthBound
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
	if slowGrowth {
		l.warmupRequests++
	}
	if l.limit >= float64(l.slots) || l.warmupRequests >= warmRequestsPerSlot*l.slots {
		l.cold = false
	}
}

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
	// medianStep is the share by which one latency moves the estimate of the
	// median, once there are enough samples. A step of 5% let the estimate double
	// by chance, which kept cold servers from warming up.
	medianStep = 0.02
)

// latencyEstimate estimates the latency of the backend server in nanoseconds.
// The mean predicts how fast slots become free. The median predicts how long one
// request will run, and is not moved by a few long uploads.
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

// wait refills the bucket and returns the time until a token is available, 0 if
// there is one.
func (b *tokenBucket) wait(now time.Time) time.Duration {
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
