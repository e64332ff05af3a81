package admission

import (
	"time"

	"github.com/jujubeknot/jujubeknot/core/outcome"
)

// reservedSlots returns the number of slots reserved for nested calls of a
// depth, 0 if there has been no such call for Config.ReserveIdleTimeout.
func (c *Controller) reservedSlots(now time.Time, depth int) int {
	used := c.runningByDepth[depth] > 0 || c.queue.countByDepth[depth] > 0
	recent := !c.lastOfferByDepth[depth].IsZero() && now.Sub(c.lastOfferByDepth[depth]) < c.config.ReserveIdleTimeout
	if !used && !recent {
		return 0
	}
	return c.config.ReservedSlots
}

// mayStart reports whether a request of the given depth may start.
//
// A call of depth 0 leaves the slots reserved for depths 1 and 2 free, and a
// call of depth 1 those reserved for depth 2. A call of depth 2 makes no
// further calls and therefore ends. A call of depth 1 waits only for calls of
// depth 2. So some request can always proceed, and cyclic calls between two
// upstreams cannot deadlock. If the limit is cut below the number of running
// requests, the reserved slots are available in addition to the limit, up to
// the number of slots.
func (c *Controller) mayStart(now time.Time, depth int) bool {
	limit, slots := c.limiter.value(), c.config.Slots
	reserved1, reserved2 := c.reservedSlots(now, 1), c.reservedSlots(now, 2)
	total := len(c.running)
	total01 := c.runningByDepth[0] + c.runningByDepth[1]
	switch depth {
	case 0:
		return total < limit && total01 < max(limit-reserved2, 1) && c.runningByDepth[0] < max(limit-reserved1-reserved2, 1)
	case 1:
		if total >= slots || total01 >= max(slots-reserved2, 1) {
			return false
		}
		return (total < limit && total01 < max(limit-reserved2, 1)) || c.runningByDepth[1] < reserved1
	default:
		return total < slots && (total < limit || c.runningByDepth[2] < reserved2)
	}
}

// mayWait reports whether a request of the given depth may wait for a slot. A
// nested call may wait only for a slot held by a call of its own depth, because
// a call of its own depth does not wait for it. Otherwise the nested call is
// refused at once.
func (c *Controller) mayWait(now time.Time, depth int) bool {
	switch depth {
	case 0:
		return true
	case 1:
		reserved2 := c.reservedSlots(now, 2)
		return c.runningByDepth[1] > 0 && c.runningByDepth[0]+c.runningByDepth[1] <= max(c.config.Slots-reserved2, 1)
	default:
		return c.runningByDepth[2] > 0
	}
}

func (c *Controller) maxSlotsPerKey() int {
	return max(int(c.config.KeyShare*float64(c.limiter.value())), 1)
}

func (c *Controller) maxQueuedPerKey() int {
	return max(int(c.config.KeyShare*float64(c.config.MaxQueued)), 1)
}

// newestFirst reports whether the newest request is served first because the
// server is overloaded; see the package comment. The queue must not have been
// empty for Config.OverloadAfter, or for twice the mean service time if that is
// longer, because busy periods scale with the service time. A request that was
// refused for its deadline also counts as overload, until a request enters an
// empty queue. The result is false if all waiting requests have a target.
func (c *Controller) newestFirst(now time.Time) bool {
	if c.queue.withoutTarget == 0 {
		return false
	}
	if c.deadlinesMissed {
		return true
	}
	after := max(c.config.OverloadAfter, time.Duration(2*c.latency.mean))
	return now.Sub(c.backlogSince) >= after
}

// expectedWait estimates the time until a request that enters the queue now
// gets a slot. Outside of a reported cold start, it is 0 until a first latency is known.
func (c *Controller) expectedWait(now time.Time, r Request, class int) time.Duration {
	ahead := c.queue.above(class)
	newest := c.newestFirst(now)
	if !newest {
		ahead = ahead.with(c.aheadOf(r.Organisation, class))
	}
	wait := float64(c.nextFree()) + ahead.time(c.latency.mean)/float64(c.limiter.value())
	if !newest {
		wait /= 1 - min(c.shareAbove(now, class), maxShareAbove)
	}
	if k := c.queue.keys[r.Key]; k != nil && !newest && c.queue.length > k.queued {
		// While other keys wait, this key gets no more than its share.
		wait = max(wait, c.latency.mean*float64(k.queued+1)/float64(c.maxSlotsPerKey()))
	}
	return c.coldStart.extend(now, time.Duration(wait), ahead.count+1)
}

// aheadOf returns the waiters of a class that go before a new request of an
// organisation.
func (c *Controller) aheadOf(organisation uint64, class int) backlog {
	if len(c.queue.order.waiting) <= 1 && c.queue.order.waiting[organisation] == c.queue.length {
		return c.queue.byClass[class]
	}
	var b backlog
	tag := c.queue.order.tag(organisation)
	for _, w := range c.waiting {
		if w.class == class && w.tag <= tag {
			b = b.withWaiter(w, 1)
		}
	}
	return b
}

// maxShareAbove is the largest share of higher classes that the expected wait takes
// into account. At this share, the expected wait is ten times that without higher
// classes.
const maxShareAbove = 0.95

// shareAbove returns the share of the slots' time that requests of higher classes took
// recently. Later requests of these classes overtake the waiting ones.
func (c *Controller) shareAbove(now time.Time, class int) float64 {
	return c.usage.above(now, class) / float64(c.limiter.value())
}

// missesTarget reports whether a request that must wait is refused because its
// response is expected after its target. Nested calls are exempt, because
// refusing them would waste all the work of the calls that enclose them.
func (c *Controller) missesTarget(now time.Time, r Request, wait time.Duration) bool {
	if r.Target.IsZero() || r.Depth > 0 || r.Nested {
		return false
	}
	room := max(r.Target.Sub(now)-c.ExpectedService(r.Kind), 0)
	return float64(wait) > maxTargetWaitShare*float64(room)
}

const (
	// maxTargetWaitShare is the share of the time to its target that a request
	// may be expected to wait. Actual waits and service times deviate from the
	// expected ones by about their mean.
	maxTargetWaitShare = 0.4
	// maxLateWaitShare is the share of the time to its latest start that a request may
	// be expected to wait behind all requests that can still be in time.
	maxLateWaitShare = 0.5
	// maxSlowWaitShare replaces maxLateWaitShare for a request that is expected to run
	// until after its target even if it starts at once. It may run shorter, and is then
	// in time if it has not waited long.
	maxSlowWaitShare = 0.25
	// promoteShare is the share of the time to its latest start after which such a
	// request goes before later ones.
	promoteShare = 0.75
	// maxUseForLate is the share of the slots' time that all requests took recently
	// above which no request waits that is expected to be late.
	maxUseForLate = 0.9
)

// classAt returns the class of a request that starts after the given wait: a late class
// if it would then be expected to end after its target.
func (c *Controller) classAt(now time.Time, r Request, wait time.Duration) int {
	class := classOf(r)
	if r.Target.IsZero() || r.Depth > 0 || r.Nested || !now.Add(wait+c.ExpectedService(r.Kind)).After(r.Target) {
		return class
	}
	return lateClass(class)
}

// mayBeLate reports whether a request of a late class may wait.
func (c *Controller) mayBeLate(now time.Time, w *waiter) bool {
	if w.request.Deadline.IsZero() || c.ColdAt(now) || !c.usage.known(now) || c.usage.above(now, -1) > maxUseForLate*float64(c.limiter.value()) {
		return false
	}
	share := maxLateWaitShare
	if c.classAt(now, w.request, 0) == w.class {
		share = maxSlowWaitShare
	}
	return float64(c.expectedWait(now, w.request, w.class)) <= share*float64(w.latestStart.Sub(now))
}

func (c *Controller) refuseBusy(now time.Time, wait time.Duration) Decision {
	if c.ColdAt(now) {
		return refuse(outcome.ReasonCold, c.coldStart.returnAfter(now, wait, time.Duration(c.latency.mean)/time.Duration(c.limiter.value())))
	}
	return refuse(outcome.ReasonQueueFull, wait)
}

func refuse(reason outcome.Reason, retryAfter time.Duration) Decision {
	return Decision{
		Verdict:    VerdictRefuse,
		Reason:     reason,
		RetryAfter: min(max(retryAfter, minRetryAfter), maxRetryAfter),
	}
}
