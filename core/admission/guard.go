package admission

import (
	"fmt"
	"time"

	"github.com/jujubeknot/jujubeknot/core/outcome"
)

// Bounds of RetryAfter.
const (
	minRetryAfter = 10 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// targetShare is the share of the time to its target that a request may be
	// expected to wait: waits and runs differ by about their mean.
	targetShare = 0.4
)

// Controller decides which requests one backend server runs, and when. It is
// deterministic, and it is not safe for concurrent use. Operations take
// O(log n) in the number of waiting requests.
//
// After each call, including Offer, the owner asks NextExpire and calls Expire at
// that time: a request that was dropped from the queue to make room for another
// is reported by the next Done, Cancel, Expire or BackendStarted, and NextExpire is
// then not later than the current time.
type Controller struct {
	config   Config
	limiter  limiter
	estimate estimate
	rate     rate
	queue    *queue
	// waiting and running have the requests by id.
	waiting map[uint64]*waiter
	running map[uint64]run
	depth   [MaxDepth + 1]int
	// seen has the time of the last nested call of each depth.
	seen    [MaxDepth + 1]time.Time
	started uint64
	// shares has the recent share of each class in the requests that started.
	shares [classes]float64
	bootID string
	cold   coldRate
	// backlogSince is the time since which the queue has not been empty.
	backlogSince time.Time
	// pressed is set from the first request that was refused for its deadline
	// until the queue is empty.
	pressed     bool
	pausedUntil time.Time
	// events wait for the next call that returns events.
	events []Event
	// changedAt is the time of a change that may let waiters start, zero for
	// none.
	changedAt time.Time
}

type run struct {
	key    *key
	depth  int
	number uint64
	alone  bool
}

// New returns a Controller for a backend server that counts as cold: whether it has
// just started is not known.
func New(config Config) *Controller {
	g := &Controller{
		config:  config.withDefaults(),
		queue:   newQueue(),
		waiting: make(map[uint64]*waiter),
		running: make(map[uint64]run),
	}
	g.limiter.slots, g.limiter.told = g.config.Slots, g.config.ReportsColdStart
	g.limiter.chill(0)
	g.rate.configure(g.config.RequestsPerSecond, g.config.Burst)
	g.cold.configure(time.Time{}, g.config)
	return g
}

// Cold reports whether the backend server is in cold start.
func (g *Controller) Cold() bool { return g.limiter.cold }

// ColdAt reports whether the backend server is in cold start at a time.
func (g *Controller) ColdAt(now time.Time) bool {
	return g.limiter.cold || g.cold.at(now)
}

// SetColdUntil notes that the backend server says that it is cold until a time.
// Only Config.ReportsColdStart makes use of it.
func (g *Controller) SetColdUntil(now, until time.Time) {
	g.cold.chill(now, until)
}

// Limit returns the number of requests that may run at once, from 1 to the
// number of slots. While it is below the number of slots, one nested call of
// each depth may run on top of it if it could otherwise wait for a request that
// waits for it.
func (g *Controller) Limit() int { return g.limiter.value() }

// InFlight returns the number of requests that run, never above the slots.
func (g *Controller) InFlight() int { return len(g.running) }

// ServiceTime returns the mean time that the backend server takes for a
// request, 0 if none has ended yet.
func (g *Controller) ServiceTime() time.Duration { return time.Duration(g.estimate.mean) }

// Queued returns the number of requests that wait.
func (g *Controller) Queued() int { return g.queue.length }

// Offer decides about a new request. It panics if a request with the same id
// waits or runs.
func (g *Controller) Offer(now time.Time, r Request) Decision {
	if g.waiting[r.ID] != nil || g.isRunning(r.ID) {
		panic(fmt.Sprintf("admission: request %d offered twice", r.ID))
	}
	if r.Depth < 0 || r.Depth > MaxDepth {
		return refuse(outcome.ReasonDepth, 0)
	}
	g.seen[r.Depth] = now
	if !r.Deadline.IsZero() && !r.Deadline.After(now) {
		return refuse(outcome.ReasonDeadline, 0)
	}
	if wait := g.rate.wait(now); wait > 0 {
		return refuse(outcome.ReasonRateLimit, wait)
	}
	if !now.Before(g.pausedUntil) && g.cold.wait(now) == 0 && g.mayStart(now, r.Depth) {
		if g.queue.depth[r.Depth] == 0 {
			g.rate.take()
			g.start(r)
			return Decision{Verdict: VerdictAdmit}
		}
		// A slot has become free without a call, for example by the end of a
		// reserve. Those who wait come first, with the next call of Expire.
		g.changedAt = now
	}
	empty := g.queue.length == 0
	if answer, ok := g.enter(now, r); !ok {
		return answer
	}
	g.rate.take()
	if empty {
		g.backlogSince = now
		g.pressed = false
	}
	g.waiting[r.ID] = g.queue.push(r)
	return Decision{Verdict: VerdictQueue}
}

func (g *Controller) isRunning(id uint64) bool {
	_, ok := g.running[id]
	return ok
}

// enter makes room in the queue, or refuses.
func (g *Controller) enter(now time.Time, r Request) (Decision, bool) {
	class := classOf(r.Depth, r.Priority)
	wait := g.expectedWait(now, r, class)
	if !g.mayWait(now, r.Depth) {
		return g.refuseBusy(wait), false
	}
	if !r.Deadline.IsZero() && now.Add(wait+g.typical()).After(r.Deadline) {
		g.pressed = true
		return refuse(outcome.ReasonDeadline, wait), false
	}
	if g.late(now, r, wait) {
		return g.refuseBusy(wait), false
	}
	newest := g.newestFirst(now)
	if k := g.queue.keys[r.Key]; k != nil && k.queued >= g.keyQueue() && g.queue.length > k.queued {
		w := k.lowestLane().end(newest)
		if !newest || w.class > class {
			return refuse(outcome.ReasonKeyShare, wait), false
		}
		g.drop(w, outcome.ReasonKeyShare, wait)
	}
	if g.queue.length < g.config.MaxQueued {
		return Decision{}, true
	}
	if g.queue.length > g.config.MaxQueued || !g.makeRoom(r, class, newest, wait) {
		return g.refuseBusy(wait), false
	}
	return Decision{}, true
}

// makeRoom drops one waiter of a full queue in favour of a request: one of a
// key above its share, one of a lower class, or in overload the oldest of the
// same class.
func (g *Controller) makeRoom(r Request, class int, newest bool, wait time.Duration) bool {
	if k, ok := g.queue.byQueued.top(); ok && k.queued > g.keyQueue() && k.hash != r.Key {
		w := k.lowestLane().end(newest)
		if w.request.Depth <= r.Depth {
			g.drop(w, outcome.ReasonKeyShare, wait)
			return true
		}
	}
	lowest := g.queue.lowest()
	if lowest > class || (lowest == class && !newest) {
		return false
	}
	w := g.queue.victim(lowest, newest)
	if w == nil {
		return false
	}
	g.drop(w, outcome.ReasonQueueFull, wait)
	return true
}

func (g *Controller) drop(w *waiter, reason outcome.Reason, wait time.Duration) {
	g.unqueue(w)
	g.events = append(g.events, Event{ID: w.request.ID, Decision: refuse(reason, wait)})
}

func (g *Controller) unqueue(w *waiter) {
	delete(g.waiting, w.request.ID)
	g.queue.remove(w)
	g.queue.drop(w.lane.key)
}

func (g *Controller) start(r Request) {
	k := g.queue.key(r.Key)
	k.inFlight++
	g.started++
	g.depth[r.Depth]++
	g.cold.take()
	g.noteShare(classOf(r.Depth, r.Priority))
	g.running[r.ID] = run{key: k, depth: r.Depth, number: g.started, alone: len(g.running) == 0}
}

// Done reports the end of a request that was admitted and returns decisions
// about waiting requests. An id that does not run is ignored.
func (g *Controller) Done(now time.Time, id uint64, result Result) []Event {
	if r, ok := g.running[id]; ok {
		g.finish(now, id, r, result)
	}
	return g.Expire(now)
}

func (g *Controller) finish(now time.Time, id uint64, r run, result Result) {
	inFlight := len(g.running)
	delete(g.running, id)
	g.depth[r.depth]--
	r.key.inFlight--
	if result.Kind == ResultOK || result.Kind == ResultTimeout {
		g.estimate.add(result.Latency)
	}
	if result.Kind == ResultRefused {
		g.pausedUntil = now.Add(g.config.RefusedBackoff)
	}
	alone := r.alone && inFlight == 1
	before := g.keySlots()
	g.limiter.done(result.Kind, r.number, g.started, inFlight, alone, g.estimate.typical)
	if g.keySlots() > before {
		g.queue.uncapBelow(g.keySlots())
	}
	if r.key.inFlight < g.keySlots() {
		g.queue.uncap(r.key)
	}
	g.queue.drop(r.key)
}

// Cancel takes a request out of the queue; no event for it follows. A request
// that runs keeps its slot until Done.
func (g *Controller) Cancel(now time.Time, id uint64) []Event {
	if w := g.waiting[id]; w != nil {
		g.unqueue(w)
	}
	return g.Expire(now)
}

// Expire refuses waiting requests that cannot be answered in time any more, and
// admits those for which there is a slot.
func (g *Controller) Expire(now time.Time) []Event {
	g.changedAt = time.Time{}
	if !now.Before(g.pausedUntil) {
		g.pausedUntil = time.Time{}
	}
	for {
		w := g.queue.due(now, g.typical())
		if w == nil {
			break
		}
		g.pressed = true
		g.drop(w, outcome.ReasonQueueTimeout, g.expectedWait(now, w.request, w.class))
	}
	for g.queue.length > 0 && g.pausedUntil.IsZero() && g.cold.wait(now) == 0 {
		w := g.pick(now)
		if w == nil {
			break
		}
		// The request runs before it leaves the queue, so that its key stays
		// known.
		g.start(w.request)
		g.unqueue(w)
		g.events = append(g.events, Event{ID: w.request.ID, Decision: Decision{Verdict: VerdictAdmit}})
	}
	events := g.events
	g.events = nil
	return events
}

// pick returns the waiter that starts next, nil for none.
func (g *Controller) pick(now time.Time) *waiter {
	newest := g.newestFirst(now)
	share := g.keySlots()
	for _, capped := range [...]bool{false, true} {
		for depth := MaxDepth; depth >= 0; depth-- {
			if g.queue.depth[depth] == 0 || !g.mayStart(now, depth) {
				continue
			}
			for p := MaxPriority; p >= 0; p-- {
				class := classOf(depth, p)
				if g.queue.count[class] == 0 {
					continue
				}
				if w := g.queue.next(class, share, newest, capped); w != nil {
					return w
				}
			}
		}
	}
	return nil
}

// NextExpire returns the time at which Expire must be called, the zero time for
// never.
func (g *Controller) NextExpire() time.Time {
	var next time.Time
	earlier := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	if len(g.events) > 0 {
		earlier(g.lastSeen())
	}
	if g.queue.length > 0 {
		if !g.changedAt.IsZero() {
			earlier(g.changedAt)
		}
		if !g.pausedUntil.IsZero() {
			earlier(g.pausedUntil)
		}
		if next := g.cold.next(); !next.IsZero() {
			earlier(next)
		}
	}
	if w, ok := g.queue.deadlines.top(); ok {
		earlier(w.request.Deadline.Add(-g.typical()))
	}
	return next
}

// lastSeen returns the time of the last offer, by which events were made.
func (g *Controller) lastSeen() time.Time {
	last := g.seen[0]
	for _, t := range g.seen[1:] {
		if t.After(last) {
			last = t
		}
	}
	return last
}

// BackendStarted reports the boot id that the backend server announces. A new
// one starts the limit at 1 again.
func (g *Controller) BackendStarted(now time.Time, bootID string) []Event {
	if g.bootID != bootID {
		g.bootID = bootID
		g.limiter.chill(g.started)
		g.pausedUntil = time.Time{}
	}
	return g.Expire(now)
}

// Configure changes the configuration. Requests that wait keep their place even
// where the queue is now shorter; NextExpire is then not later than now.
func (g *Controller) Configure(now time.Time, config Config) {
	g.config = config.withDefaults()
	if g.config.ReportsColdStart && !g.limiter.told {
		g.limiter.told = true
		g.limiter.chill(g.started)
	}
	g.limiter.configure(g.config.Slots)
	g.cold.configure(now, g.config)
	g.rate.configure(g.config.RequestsPerSecond, g.config.Burst)
	g.queue.uncapBelow(g.keySlots())
	if g.queue.length > 0 {
		g.changedAt = now
	}
}
