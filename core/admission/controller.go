package admission

import (
	"fmt"
	"time"

	"github.com/jujubeknot/jujubeknot/core/outcome"
)

// minRetryAfter and maxRetryAfter bound Decision.RetryAfter.
const (
	minRetryAfter = 10 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Controller decides which requests one backend server runs, and when. It is
// deterministic and not safe for concurrent use. Operations take O(log n) in
// the number of waiting requests. Use New.
//
// After each call, including Offer, the user of a Controller must call
// NextExpire, and Expire at the time that it returns. A request that Offer
// drops from the queue in favour of another is reported by the next Done,
// Cancel, Expire or BackendStarted. Until then NextExpire is not later than the
// current time.
type Controller struct {
	config  Config
	limiter limiter
	latency latencyEstimate
	// latencyByKind has the service times of the kinds of requests.
	latencyByKind map[uint32]*latencyEstimate
	rateLimit     tokenBucket
	queue         *queue
	// waiting and running hold the requests by id.
	waiting        map[uint64]*waiter
	running        map[uint64]runningRequest
	runningByDepth [MaxDepth + 1]int
	// lastOfferByDepth is the time of the last offered request of each depth.
	lastOfferByDepth [MaxDepth + 1]time.Time
	started          uint64
	usage            slotUsage
	starvation       starvation
	// letInFirst counts the requests that went first because their kind or
	// organisation would starve.
	letInFirst uint64
	bootID     string
	coldStart  coldStartLimiter
	// backlogSince is the time since when the queue has not been empty.
	backlogSince time.Time
	// deadlinesMissed is set when a request is refused for its deadline, and
	// cleared when a request enters an empty queue.
	deadlinesMissed bool
	backoffUntil    time.Time
	// events holds the events that the next call returns.
	events []Event
	// changedAt is the time of a change after which waiting requests may start,
	// the zero time for none.
	changedAt time.Time
}

type runningRequest struct {
	key         *key
	class       int
	depth       int
	kind        uint32
	startNumber uint64
	alone       bool
}

// New returns a Controller for a backend server that is taken to be in cold
// start, because it is not known how long it has run. With
// Config.ReportsColdStart it counts as warm until SetColdUntil is called.
func New(config Config) *Controller {
	c := &Controller{
		config:  config.withDefaults(),
		queue:   newQueue(),
		waiting: make(map[uint64]*waiter),
		running: make(map[uint64]runningRequest),

		latencyByKind: make(map[uint32]*latencyEstimate),
	}
	c.limiter.slots, c.limiter.reportsColdStart = c.config.Slots, c.config.ReportsColdStart
	c.limiter.reset(0)
	c.rateLimit.configure(c.config.RequestsPerSecond, c.config.Burst)
	c.coldStart.configure(time.Time{}, c.config)
	return c
}

// Limit returns the number of requests that may run at once, from 1 to the
// number of slots. While it is below the number of slots, one nested call of
// each depth may run in addition to the limit if it could otherwise deadlock
// with a request that waits for it.
func (c *Controller) Limit() int { return c.limiter.value() }

// InFlight returns the number of running requests. It never exceeds the number
// of slots.
func (c *Controller) InFlight() int { return len(c.running) }

// Queued returns the number of waiting requests.
func (c *Controller) Queued() int { return c.queue.length }

// QueuedLate returns the number of waiting requests that are expected to be answered
// after their target.
func (c *Controller) QueuedLate() int { return len(c.queue.promotions.items) }

// LetInFirst returns the number of requests so far that went first because their kind
// or organisation would starve.
func (c *Controller) LetInFirst() uint64 { return c.letInFirst }

// Offer decides whether a new request runs, waits or is refused. It panics if a
// request with the same id waits or runs.
func (c *Controller) Offer(now time.Time, r Request) Decision {
	if c.waiting[r.ID] != nil || c.isRunning(r.ID) {
		panic(fmt.Sprintf("admission: request %d offered twice", r.ID))
	}
	if r.Depth < 0 || r.Depth > MaxDepth {
		return refuse(outcome.ReasonDepth, 0)
	}
	c.lastOfferByDepth[r.Depth] = now
	if !r.Deadline.IsZero() && !r.Deadline.After(now) {
		return refuse(outcome.ReasonDeadline, 0)
	}
	if wait := c.rateLimit.timeToToken(now); wait > 0 {
		return refuse(outcome.ReasonRateLimit, wait)
	}
	starves := c.starvation.starves(now, r)
	if starves {
		r.Priority = MaxPriority
	}
	decision := c.place(now, r)
	if starves && decision.Verdict != VerdictRefuse {
		c.letInFirst++
	}
	c.starvation.count(now, r, offers{1, letIn(decision)})
	return decision
}

// TryStart starts a request if nothing waits and it can start at once, and reports
// whether it did. Unlike Offer, it changes nothing otherwise: a second run of a request
// must neither cost a waiting one its place nor count as refused or let in.
func (c *Controller) TryStart(now time.Time, r Request) bool {
	if c.waiting[r.ID] != nil || c.isRunning(r.ID) {
		panic(fmt.Sprintf("admission: request %d offered twice", r.ID))
	}
	late := !r.Deadline.IsZero() && !r.Deadline.After(now)
	if r.Depth < 0 || r.Depth > MaxDepth || late || c.queue.length > 0 || c.rateLimit.timeToToken(now) > 0 {
		return false
	}
	if now.Before(c.backoffUntil) || c.coldStart.wait(now) > 0 || !c.mayStart(now, r.Depth) {
		return false
	}
	c.lastOfferByDepth[r.Depth] = now
	c.rateLimit.take()
	c.start(now, r, c.classAt(now, r, 0), c.queue.order.take(r.Organisation, c.meanService(r.Kind)))
	return true
}

func letIn(d Decision) int {
	if d.Verdict == VerdictRefuse {
		return 0
	}
	return 1
}

// place starts a request, adds it to the queue, or refuses it.
func (c *Controller) place(now time.Time, r Request) Decision {
	if !now.Before(c.backoffUntil) && c.coldStart.wait(now) == 0 && c.mayStart(now, r.Depth) {
		if c.queue.countByDepth[r.Depth] == 0 {
			c.rateLimit.take()
			c.start(now, r, c.classAt(now, r, 0), c.queue.order.take(r.Organisation, c.meanService(r.Kind)))
			return Decision{Verdict: VerdictAdmit}
		}
		// A slot has become free between calls, for example because a
		// reservation lapsed. Waiting requests get it first, with the next call
		// of Expire.
		c.changedAt = now
	}
	empty := c.queue.length == 0
	w, decision, ok := c.makeQueueRoom(now, r)
	if !ok {
		return decision
	}
	c.rateLimit.take()
	if empty {
		c.backlogSince = now
		c.deadlinesMissed = false
	}
	c.waiting[r.ID] = w
	c.queue.push(w)
	return Decision{Verdict: VerdictQueue}
}

func (c *Controller) isRunning(id uint64) bool {
	_, ok := c.running[id]
	return ok
}

func (c *Controller) refuseWaiter(now time.Time, w *waiter, reason outcome.Reason, wait time.Duration) {
	c.queue.order.giveBack(w.request.Organisation, w.work)
	c.dequeue(w)
	c.starvation.count(now, w.request, offers{letIn: -1})
	c.events = append(c.events, Event{ID: w.request.ID, Decision: refuse(reason, wait)})
}

func (c *Controller) dequeue(w *waiter) {
	delete(c.waiting, w.request.ID)
	c.queue.remove(w)
	c.queue.removeIdleKey(w.subqueue.key)
}

func (c *Controller) start(now time.Time, r Request, class int, tag time.Duration) {
	c.queue.order.started(tag)
	c.usage.start(now, class)
	k := c.queue.findOrAddKey(r.Key)
	k.inFlight++
	c.started++
	c.runningByDepth[r.Depth]++
	c.coldStart.take()
	c.running[r.ID] = runningRequest{key: k, class: class, depth: r.Depth, kind: r.Kind, startNumber: c.started, alone: len(c.running) == 0}
}

// Done records the end of an admitted request and returns decisions about
// waiting requests. The id of a request that does not run is ignored.
func (c *Controller) Done(now time.Time, id uint64, result Result) []Event {
	if r, ok := c.running[id]; ok {
		c.finish(now, id, r, result)
	}
	return c.Expire(now)
}

func (c *Controller) finish(now time.Time, id uint64, r runningRequest, result Result) {
	inFlight := len(c.running)
	delete(c.running, id)
	c.usage.end(now, r.class)
	c.runningByDepth[r.depth]--
	r.key.inFlight--
	if result.Kind == ResultOK || result.Kind == ResultTimeout {
		c.latency.add(result.Latency)
		c.recordKind(r.kind, result.Latency)
	}
	if result.Kind == ResultRefused {
		c.backoffUntil = now.Add(c.config.RefusedBackoff)
	}
	alone := r.alone && inFlight == 1
	before := c.maxSlotsPerKey()
	c.limiter.done(result.Kind, r.startNumber, c.started, inFlight, alone, c.latency.median)
	if c.maxSlotsPerKey() > before {
		c.queue.uncapBelow(c.maxSlotsPerKey())
	}
	if r.key.inFlight < c.maxSlotsPerKey() {
		c.queue.uncap(r.key)
	}
	c.queue.removeIdleKey(r.key)
}

// Cancel removes a request from the queue, and no event for it follows. A
// running request keeps its slot until Done.
func (c *Controller) Cancel(now time.Time, id uint64) []Event {
	if w := c.waiting[id]; w != nil {
		c.queue.order.giveBack(w.request.Organisation, w.work)
		c.dequeue(w)
	}
	return c.Expire(now)
}

// Expire refuses waiting requests that can no longer end by their deadline, and
// admits those that can start now.
func (c *Controller) Expire(now time.Time) []Event {
	c.changedAt = time.Time{}
	if !now.Before(c.backoffUntil) {
		c.backoffUntil = time.Time{}
	}
	for {
		w := c.queue.expired(now)
		if w == nil {
			break
		}
		c.deadlinesMissed = true
		c.refuseWaiter(now, w, outcome.ReasonQueueTimeout, c.expectedWait(now, w.request, w.class))
	}
	for w := c.queue.promotable(now); w != nil; w = c.queue.promotable(now) {
		c.queue.promote(w)
	}
	for c.queue.length > 0 && c.backoffUntil.IsZero() && c.coldStart.wait(now) == 0 {
		w := c.nextWaiter(now)
		if w == nil {
			break
		}
		// Starting the request before dequeueing it keeps its key in the
		// queue's map.
		c.start(now, w.request, w.class, w.tag)
		c.dequeue(w)
		c.events = append(c.events, Event{ID: w.request.ID, Decision: Decision{Verdict: VerdictAdmit}})
	}
	events := c.events
	c.events = nil
	return events
}

// nextWaiter returns the waiter that may start next, nil for none.
func (c *Controller) nextWaiter(now time.Time) *waiter {
	newest := c.newestFirst(now)
	share := c.maxSlotsPerKey()
	for _, capped := range [...]bool{false, true} {
		for depth := MaxDepth; depth >= 0; depth-- {
			if c.queue.countByDepth[depth] == 0 || !c.mayStart(now, depth) {
				continue
			}
			for class := (depth+1)*ranks - 1; class >= depth*ranks; class-- {
				if c.queue.byClass[class].count == 0 {
					continue
				}
				if w := c.queue.nextOfClass(class, share, newest, capped); w != nil {
					return w
				}
			}
		}
	}
	return nil
}

// NextExpire returns the time at which Expire must be called next, the zero
// time for never.
func (c *Controller) NextExpire() time.Time {
	var next time.Time
	earlier := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	if len(c.events) > 0 {
		earlier(c.lastOffer())
	}
	if c.queue.length > 0 {
		if !c.changedAt.IsZero() {
			earlier(c.changedAt)
		}
		if !c.backoffUntil.IsZero() {
			earlier(c.backoffUntil)
		}
		if next := c.coldStart.nextStart(); !next.IsZero() {
			earlier(next)
		}
	}
	if w, ok := c.queue.deadlines.top(); ok {
		earlier(w.latestStart)
	}
	if w, ok := c.queue.promotions.top(); ok {
		earlier(w.promoteAt)
	}
	return next
}

// lastOffer returns the time of the last Offer, the call that produces pending
// events.
func (c *Controller) lastOffer() time.Time {
	last := c.lastOfferByDepth[0]
	for _, t := range c.lastOfferByDepth[1:] {
		if t.After(last) {
			last = t
		}
	}
	return last
}

// BackendStarted records the boot id that the backend server announces. A new
// boot id resets the limit to 1, but not with Config.ReportsColdStart.
func (c *Controller) BackendStarted(now time.Time, bootID string) []Event {
	if c.bootID != bootID {
		c.bootID = bootID
		c.limiter.reset(c.started)
		c.backoffUntil = time.Time{}
	}
	return c.Expire(now)
}

// Configure changes the configuration. A change of Config.ReportsColdStart begins as New
// does. Without it, the cold start that was reported before has ended. Waiting requests keep their place even
// if the queue has become shorter. While any wait, NextExpire is then not later
// than now.
func (c *Controller) Configure(now time.Time, config Config) {
	c.config = config.withDefaults()
	if c.config.ReportsColdStart != c.limiter.reportsColdStart {
		c.limiter.reportsColdStart = c.config.ReportsColdStart
		c.limiter.reset(c.started)
		if !c.config.ReportsColdStart {
			c.coldStart.until = time.Time{}
		}
	}
	c.limiter.configure(c.config.Slots)
	c.coldStart.configure(now, c.config)
	c.rateLimit.configure(c.config.RequestsPerSecond, c.config.Burst)
	c.queue.uncapBelow(c.maxSlotsPerKey())
	if c.queue.length > 0 {
		c.changedAt = now
	}
}
