package admission

import "time"

const (
	// minKindSamples is the number of service times from which on the median of a
	// kind is used in place of that of all requests.
	minKindSamples = 8
	// maxKinds bounds the kinds whose service times are recorded. The rules of a
	// deployment have some dozens of routes to one upstream.
	maxKinds = 1024
)

// recordKind adds the service time of a request of a kind.
func (c *Controller) recordKind(kind uint32, latency time.Duration) {
	if kind == 0 {
		return
	}
	e := c.latencyByKind[kind]
	if e == nil {
		if len(c.latencyByKind) >= maxKinds {
			clear(c.latencyByKind)
		}
		e = &latencyEstimate{}
		c.latencyByKind[kind] = e
	}
	e.add(latency)
}

// ExpectedService returns the time for which a request of a kind is expected to
// run, 0 if no request has ended yet.
func (c *Controller) ExpectedService(kind uint32) time.Duration {
	if e := c.latencyByKind[kind]; e != nil && e.samples >= minKindSamples {
		return time.Duration(e.median)
	}
	return time.Duration(c.latency.median)
}

// ServiceTime returns the moving mean of the service time of requests, 0 if
// none has ended yet.
func (c *Controller) ServiceTime() time.Duration { return time.Duration(c.latency.mean) }

// meanService returns the mean of the time for which a request of a kind runs, 0 if no
// request has ended yet.
func (c *Controller) meanService(kind uint32) time.Duration {
	if e := c.latencyByKind[kind]; e != nil && e.samples >= minKindSamples {
		return time.Duration(e.mean)
	}
	return time.Duration(c.latency.mean)
}

// nextFree returns the time until the first of the running requests is expected to
// end.
func (c *Controller) nextFree() time.Duration {
	// Integers, because a sum of floats would depend on the order of the map.
	var perSecond int64
	for _, r := range c.running {
		perSecond += int64(1e15 / max(float64(c.meanService(r.kind)), 1))
	}
	if free := int64(c.limiter.value() - len(c.running)); free > 0 || perSecond == 0 {
		return time.Duration(c.latency.mean / float64(c.limiter.value()))
	}
	return time.Duration(1e15 / float64(perSecond))
}
