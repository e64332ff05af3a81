package admission

import (
	"cmp"
	"time"
)

// coldBurstShare times the permitted requests/s is the number of requests that
// may start at once during cold start. At least one may.
const coldBurstShare = 0.2

// coldWindow is the time over which ColdRate and Config.ColdExcess bound the starts at a
// cold server. It is longer than the one second for which they hold, because requests
// that start further apart can arrive within one second.
const coldWindow = 1100 * time.Millisecond

const (
	// reportTime is the time from the request for a report of the server to its effect.
	reportTime = 50 * time.Millisecond
	// minRateTime is the least time over which the rate of starts is taken.
	minRateTime = 50 * time.Millisecond
)

// minColdRate is the least rate by which requests that were refused are asked to return.
const minColdRate = 0.1

// defaultColdExcessShare times the permitted requests/s is the default of
// Config.ColdExcess.
const defaultColdExcessShare = 0.5

// coldStartLimiter limits the rate of request starts while a backend server
// reports cold start. Without it, the servers of an availability zone that
// returns under full load get all of their callers at once and fail.
type coldStartLimiter struct {
	until time.Time
	// lastCheck is the time of the last call of wait.
	lastCheck time.Time
	bucket    tokenBucket
	// rate is Config.ColdRate. fullRate is the rate that with the burst of the bucket stays
	// within ColdRate and ColdExcess in each coldWindow. It applies from fullFrom on: before,
	// the excess may have been used by requests that started while the cold start was not
	// known yet.
	rate, fullRate float64
	fullFrom       time.Time
	// promised is the time at which the next refused request is asked to return.
	promised time.Time
	// unreported is emptied by the requests that start, beyond the rate of a cold
	// server, while the latest report says that the server is warm.
	unreported tokenBucket
	// reportedAt is the time of the latest report, or of the first request if there was
	// none, and started the number of requests that have started since.
	reportedAt time.Time
	started    int
}

func (c *coldStartLimiter) configure(now time.Time, config Config) {
	perSecond := config.ColdRate
	if perSecond <= 0 {
		perSecond = float64(config.Slots)
	}
	burst := max(1, perSecond*coldBurstShare)
	c.rate, c.fullRate = perSecond, perSecond
	if config.ColdRate > 0 {
		c.fullRate = max(perSecond, (perSecond+config.ColdExcess-burst)/coldWindow.Seconds())
	}
	c.bucket.configure(perSecond, burst)
	excess := cmp.Or(config.ColdExcess, perSecond*defaultColdExcessShare)
	c.unreported.configure(perSecond, max(1, excess))
	c.lastCheck = now
}

// recordReport records that the server reported at the given time.
func (c *coldStartLimiter) recordReport(now time.Time) {
	c.unreported.tokens, c.unreported.lastRefill = c.unreported.burst, now
	c.reportedAt, c.started = now, 0
}

// setUntil begins a cold start or changes its end.
func (c *coldStartLimiter) setUntil(now, until time.Time) {
	if !c.active(now) {
		// Requests that started just before now count as the burst.
		c.bucket.tokens, c.bucket.lastRefill = 0, now
		c.fullFrom, c.promised = now.Add(coldWindow), time.Time{}
		c.recordReport(now)
	}
	c.until, c.lastCheck = until, now
}

// timeToStart returns the time until a cold server may get another request.
func (c *coldStartLimiter) timeToStart(now time.Time) time.Duration {
	c.bucket.perSecond = c.rate
	if !now.Before(c.fullFrom) {
		c.bucket.perSecond = c.fullRate
	}
	return c.bucket.timeToToken(now)
}

func (c *coldStartLimiter) active(now time.Time) bool {
	return now.Before(c.until)
}

// wait returns the time until a request may start, 0 if one may start now.
func (c *coldStartLimiter) wait(now time.Time) time.Duration {
	c.lastCheck = now
	if !c.active(now) || c.bucket.perSecond <= 0 {
		return 0
	}
	return min(c.timeToStart(now), c.until.Sub(now))
}

// extend returns the wait of the nth of the requests that start from now on, which is
// wait without the cold start.
func (c *coldStartLimiter) extend(now time.Time, wait time.Duration, n int) time.Duration {
	if !c.active(now) || c.bucket.perSecond <= 0 {
		return wait
	}
	c.timeToStart(now)
	atRate := time.Duration((float64(n) - c.bucket.tokens) / c.bucket.perSecond * float64(time.Second))
	return max(wait, min(atRate, c.until.Sub(now)+wait))
}

// perRequest returns the time between two starts at a cold server.
func (c *coldStartLimiter) perRequest() time.Duration {
	return time.Duration(float64(time.Second) / max(c.bucket.perSecond, minColdRate))
}

// returnAfter returns the time after which a request that is refused should return, if the
// next one to start waits for the given time and a warm server needs perRequest for each.
// While a fleet returns, new requests alone use up what cold servers take. Those refused
// then return one after the other once the server is warm. If all returned after the wait
// of the next one, they would be refused until their callers give up.
func (c *coldStartLimiter) returnAfter(now time.Time, wait, perRequest time.Duration) time.Duration {
	if !c.active(now) || c.bucket.perSecond <= 0 {
		return wait
	}
	at := now.Add(wait)
	if c.promised.After(at) {
		at = c.promised
	}
	step := c.perRequest()
	if !at.Before(c.until) {
		// What was promised for after the cold start before its end was known better.
		if latest := c.until.Add(maxRetryAfter); at.After(latest) {
			at = latest
		}
		step = min(step, perRequest)
	}
	c.promised = at.Add(step)
	return at.Sub(now)
}

func (c *coldStartLimiter) take() {
	cold := c.active(c.lastCheck)
	if cold {
		c.bucket.take()
		c.promised = c.promised.Add(c.perRequest())
	}
	c.unreported.timeToToken(c.lastCheck)
	c.unreported.take()
	if cold {
		// A server that is still cold at the end that it reported has had these requests.
		c.unreported.tokens = max(c.unreported.tokens, 0)
		return
	}
	if c.started == 0 && c.reportedAt.IsZero() {
		c.reportedAt = c.lastCheck
	}
	c.started++
}

// reportDue reports whether a cold server would get more than it bears unless a report is
// requested now. What starts until the report has its effect counts.
func (c *coldStartLimiter) reportDue() bool {
	if c.active(c.lastCheck) {
		return false
	}
	rate := float64(c.started) / max(c.lastCheck.Sub(c.reportedAt), minRateTime).Seconds()
	return c.unreported.tokens < min(1+rate*reportTime.Seconds(), c.unreported.burst)
}

// nextStart returns the time at which a request may start, the zero time if
// one may start now.
func (c *coldStartLimiter) nextStart() time.Time {
	if wait := c.wait(c.lastCheck); wait > 0 {
		return c.lastCheck.Add(wait)
	}
	return time.Time{}
}

// Cold reports whether the backend server is taken to be in cold start. It is
// always false with Config.ReportsColdStart; ColdAt includes reported cold
// starts.
func (c *Controller) Cold() bool { return c.limiter.cold }

// ColdAt reports whether the backend server is in cold start at the given time,
// as reported by the server or as assumed by the Controller.
func (c *Controller) ColdAt(now time.Time) bool {
	return c.limiter.cold || c.coldStart.active(now)
}

// SetColdUntil records that the backend server reports cold start until the
// given time. It is for servers with Config.ReportsColdStart.
func (c *Controller) SetColdUntil(now, until time.Time) {
	c.coldStart.setUntil(now, until)
}

// SetStartedCold records that the backend server has just started, has got no requests yet
// and reports cold start until the given time. Unlike after SetColdUntil, no request can
// have used up Config.ColdExcess before.
func (c *Controller) SetStartedCold(now, until time.Time) {
	c.coldStart.setUntil(now, until)
	c.coldStart.fullFrom = now
}

// ReportWarm records that the backend server reported at the given time that it is in
// no cold start. One that it reported before keeps its end.
func (c *Controller) ReportWarm(now time.Time) {
	c.coldStart.recordReport(now)
}

// ReportDue reports whether the backend server should be asked for its cold start: so
// many requests have started since its latest report that it would get too many if it
// has become cold since. It is false without Config.ColdRate.
func (c *Controller) ReportDue() bool {
	return c.config.ReportsColdStart && c.config.ColdRate > 0 && c.coldStart.reportDue()
}
