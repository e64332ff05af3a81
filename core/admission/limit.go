package admission

import "time"

const (
	// growRounds is the number of full rounds of finished work at one limit
	// before the limit rises by one. A server with 18 slots and service times of
	// 10 ms so takes 1.4 s from cold start to the full limit.
	growRounds = 8
	// caution slows the rise above the limit at which the server shed last, less
	// one, until it is ceilingWidth above that.
	caution      = 4
	ceilingWidth = 3
	// coldWork is the finished work for each slot after which a server counts
	// as warm whose limit does not rise quickly: it has little traffic, is slower
	// under load, or sheds. Other work does not count: a server under load left
	// cold start too early by it and shed 25 requests within a second.
	coldWork = 32
	// slowdown is the ratio to the baseline above which the limit does not rise:
	// the server is busy although it does not shed.
	slowdown = 2
	// coldCut, shedCut and timeoutCut are what remains of the limit.
	coldCut    = 0.5
	shedCut    = 0.75
	timeoutCut = 0.8
	// timeoutWeight and timeoutShare: a cut follows only where more than a
	// tenth of the latest requests timed out and the typical latency is above
	// slowdown times the baseline. Cutting at each timeout kept goodput
	// below 16% where 5% of the requests had too short a deadline.
	timeoutWeight = 1.0 / 32
	timeoutShare  = 0.1
	// baselineDrift is the rise of the baseline with each finished request, a
	// doubling in 7,000, so that it follows a lasting change of the work.
	baselineDrift = 0.0001
	// roundDrift is the rise with each round of finished work while the limit of
	// a warm server is below the slots, times the ratio of slots to limit: the
	// fewer requests run, the less likely it is that they slow each other down.
	// With baselineDrift alone it took up to 15,676 service times until the
	// limit returned to the slots after the service time had risen tenfold.
	roundDrift = 0.0018
)

// limiter adapts the number of requests in flight to what the backend server
// sustains: additive growth with finished work, multiplicative cuts at shed
// answers and timeouts, at most one cut for the requests of one round. Up to
// the limit before the last cut it rises quickly, because that was sustained,
// and slowly beyond, because each try costs a shed request.
type limiter struct {
	slots int
	limit float64
	cold  bool
	// told is Config.ReportsColdStart.
	told bool
	// ceiling is the limit above which the limit rises slowly.
	ceiling float64
	// finished counts towards coldWork.
	finished int
	// baseline is the lowest typical latency of late, or that at limit 1. 0
	// before it is known.
	baseline float64
	// cutAt is the number of the last request that started before the last cut.
	cutAt uint64
	// timeouts is the moving share of timeouts among finished requests.
	timeouts float64
}

func (l *limiter) value() int {
	return min(max(int(l.limit), 1), l.slots)
}

func (l *limiter) chill(started uint64) {
	*l = limiter{slots: l.slots, told: l.told, limit: 1, cold: true, ceiling: float64(l.slots), cutAt: started}
	if l.told {
		l.limit, l.cold = float64(l.slots), false
	}
}

// done adapts the limit to the end of a request. Number is that of the request,
// started that of the last request started, and alone says that the request
// had the server for itself. Typical is the typical latency in nanoseconds.
func (l *limiter) done(kind ResultKind, number, started uint64, inFlight int, alone bool, typical float64) {
	if l.told {
		// The slots are known, and work of callers that differ in their needs
		// says nothing about them.
		return
	}
	l.rebase(typical)
	switch kind {
	case ResultOK:
		l.timeouts -= timeoutWeight * l.timeouts
		l.grow(inFlight, typical)
	case ResultRefused:
		l.chill(started)
	case ResultShed:
		if alone && !l.cold {
			// A warm server does not shed its only request.
			l.chill(started)
			return
		}
		l.cut(shedCut, number, started)
	case ResultTimeout:
		l.timeouts += timeoutWeight * (1 - l.timeouts)
		if l.timeouts > timeoutShare && typical > slowdown*l.baseline {
			l.cut(timeoutCut, number, started)
		}
	case ResultFailed:
		if l.cold {
			l.cut(coldCut, number, started)
		}
	case ResultCancelled:
	}
}

// rebase follows the lowest typical latency.
func (l *limiter) rebase(typical float64) {
	limit := float64(l.value())
	if l.baseline == 0 || typical < l.baseline || limit == 1 {
		// At limit 1 no request slows down another.
		l.baseline = typical
		return
	}
	drift := baselineDrift
	if !l.cold && l.limit < float64(l.slots) {
		drift = max(drift, roundDrift/limit*float64(l.slots)/limit)
	}
	l.baseline *= 1 + drift
}

func (l *limiter) cut(factor float64, number, started uint64) {
	if number <= l.cutAt {
		return
	}
	l.cutAt = started
	if l.cold {
		factor = coldCut
	}
	l.limit = min(l.limit, float64(l.slots))
	l.ceiling = max(1, l.limit-1)
	l.limit = max(1, l.limit*factor)
}

func (l *limiter) grow(inFlight int, typical float64) {
	// Work below half of the limit says nothing about the limit, and neither
	// does that of a server that has become slow.
	rises := 2*inFlight >= l.value() && typical <= slowdown*l.baseline
	stalled := !rises || l.limit >= l.ceiling
	if rises {
		step := 1 / (growRounds * l.limit)
		if l.limit >= l.ceiling {
			step /= caution
		}
		l.limit = min(l.limit+step, float64(l.slots))
		if l.limit >= l.ceiling+ceilingWidth {
			l.ceiling = float64(l.slots)
		}
	}
	if stalled {
		l.finished++
	}
	if l.limit >= float64(l.slots) || l.finished >= coldWork*l.slots {
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
	// typicalStep is the share by which one latency moves the estimate of the
	// median, once there are enough of them. 5% let the estimate double by
	// chance, which kept cold servers from warming up.
	typicalStep = 0.02
)

// estimate describes the latency of the backend server in nanoseconds. The
// mean predicts how fast slots become free; the median predicts how long one
// request will run, and a few long uploads do not move it.
type estimate struct {
	mean    float64
	typical float64
	samples int
}

func (e *estimate) add(latency time.Duration) {
	x := max(float64(latency), 1)
	e.samples++
	if e.samples == 1 {
		e.mean, e.typical = x, x
		return
	}
	e.mean += meanWeight * (x - e.mean)
	step := 1 + max(typicalStep, 1/float64(e.samples))
	if x > e.typical {
		e.typical *= step
	} else {
		e.typical /= step
	}
}

// rate is a token bucket on time.
type rate struct {
	perSecond float64
	burst     float64
	tokens    float64
	at        time.Time
}

func (r *rate) configure(perSecond, burst float64) {
	if r.perSecond == 0 {
		r.tokens = burst
	}
	r.perSecond, r.burst = perSecond, burst
	r.tokens = min(r.tokens, burst)
}

// wait returns the time until a token is there, 0 for now.
func (r *rate) wait(now time.Time) time.Duration {
	if r.perSecond <= 0 {
		return 0
	}
	if !r.at.IsZero() && now.After(r.at) {
		r.tokens = min(r.tokens+now.Sub(r.at).Seconds()*r.perSecond, r.burst)
	}
	r.at = now
	if r.tokens >= 1 {
		return 0
	}
	return time.Duration((1 - r.tokens) / r.perSecond * float64(time.Second))
}

func (r *rate) take() {
	if r.perSecond > 0 {
		r.tokens--
	}
}
