package admission

import (
	"time"

	"github.com/jujubeknot/jujubeknot/core/outcome"
)

// makeQueueRoom makes room in the queue for a request that cannot start now, and
// returns the waiter to add. If it reports false, the request is refused with the
// returned decision.
func (c *Controller) makeQueueRoom(now time.Time, r Request) (*waiter, Decision, bool) {
	service := c.ExpectedService(r.Kind)
	w := &waiter{request: r, class: c.classAt(now, r, 0), latestStart: r.Deadline.Add(-service), work: c.meanService(r.Kind)}
	wait := c.expectedWait(now, r, w.class)
	if !c.mayWait(now, r.Depth) {
		return nil, c.refuseBusy(now, wait), false
	}
	if !r.Deadline.IsZero() && now.Add(wait+service).After(r.Deadline) {
		c.deadlinesMissed = true
		return nil, refuse(outcome.ReasonDeadline, wait), false
	}
	if c.missesTarget(now, r, wait) {
		w.class = lateClass(classOf(r))
		if !c.mayBeLate(now, w) {
			return nil, c.refuseBusy(now, wait), false
		}
		w.promoteAt = now.Add(time.Duration(promoteShare * float64(w.latestStart.Sub(now))))
	}
	newest := c.newestFirst(now)
	if k := c.queue.keys[r.Key]; k != nil && k.queued >= c.maxQueuedPerKey() && c.queue.length > k.queued {
		lowest := k.lowestSubqueue().dropCandidate(newest)
		if !newest || lowest.class > w.class {
			return nil, refuse(outcome.ReasonKeyShare, wait), false
		}
		c.refuseWaiter(now, lowest, outcome.ReasonKeyShare, wait)
	}
	if c.queue.length < c.config.MaxQueued {
		return w, Decision{}, true
	}
	if c.queue.length > c.config.MaxQueued || !c.dropForRequest(now, r, w.class, newest, wait) {
		return nil, c.refuseBusy(now, wait), false
	}
	return w, Decision{}, true
}

// dropForRequest drops one waiter of a full queue in favour of a request: a
// waiter of a key above its share, one of a lower class, or in overload the
// oldest of the same class. It reports whether it dropped one.
func (c *Controller) dropForRequest(now time.Time, r Request, class int, newest bool, wait time.Duration) bool {
	if k, ok := c.queue.byQueued.top(); ok && k.queued > c.maxQueuedPerKey() && k.hash != r.Key {
		w := k.lowestSubqueue().dropCandidate(newest)
		if w.request.Depth <= r.Depth {
			c.refuseWaiter(now, w, outcome.ReasonKeyShare, wait)
			return true
		}
	}
	lowest := c.queue.lowestClass()
	if lowest > class || (lowest == class && !newest) {
		return false
	}
	w := c.queue.dropCandidateOfClass(lowest, newest)
	if w == nil {
		return false
	}
	c.refuseWaiter(now, w, outcome.ReasonQueueFull, wait)
	return true
}
