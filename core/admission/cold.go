package admission

import "time"

// coldBurst is the share of a second's requests that may start at once while a
// backend server is cold.
const coldBurst = 0.2

// coldRate bounds the requests that start while a backend server says that it
// is in cold start. It answers the return of a zone under full load: each of
// its servers would otherwise get all of its callers at once and fall over.
type coldRate struct {
	until time.Time
	// last is the time of the latest question.
	last time.Time
	rate rate
}

func (c *coldRate) configure(now time.Time, config Config) {
	perSecond := config.ColdRate
	if perSecond <= 0 {
		perSecond = float64(config.Slots)
	}
	c.rate.configure(perSecond, max(1, perSecond*coldBurst))
	c.last = now
}

// chill begins or extends cold start.
func (c *coldRate) chill(now, until time.Time) {
	if !c.at(now) {
		// The requests of the last moment count as the burst.
		c.rate.tokens, c.rate.at = 0, now
	}
	c.until, c.last = until, now
}

func (c *coldRate) at(now time.Time) bool {
	return now.Before(c.until)
}

// wait returns the time until a request may start, 0 for now.
func (c *coldRate) wait(now time.Time) time.Duration {
	c.last = now
	if !c.at(now) || c.rate.perSecond <= 0 {
		return 0
	}
	return min(c.rate.wait(now), c.until.Sub(now))
}

func (c *coldRate) take() {
	if c.at(c.last) {
		c.rate.take()
	}
}

// next returns when a request may start, the zero time for now.
func (c *coldRate) next() time.Time {
	if wait := c.wait(c.last); wait > 0 {
		return c.last.Add(wait)
	}
	return time.Time{}
}
