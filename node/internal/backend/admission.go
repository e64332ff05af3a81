package backend

import (
	"context"
	"sync"
	"time"

	"github.com/jujubeknot/jujubeknot/core/admission"
	"github.com/jujubeknot/jujubeknot/core/clock"
	"github.com/jujubeknot/jujubeknot/core/hedge"
	"github.com/jujubeknot/jujubeknot/core/keyspace"
	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/core/rules"
	"github.com/jujubeknot/jujubeknot/node/dialect"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// admissionController adds locking, blocking calls and timers to an
// admission.Controller. It is safe for concurrent use.
type admissionController struct {
	clock clock.Clock

	mu         sync.Mutex
	controller *admission.Controller
	lastID     uint64
	waiting    map[uint64]chan admission.Decision
	timer      *time.Timer
	// expireAt is when the timer fires, zero if it does not run.
	expireAt time.Time
	// reportDue receives a value when the backend server should be asked for its cold
	// start.
	reportDue chan struct{}
}

func newAdmissionController(c clock.Clock, cfg admission.Config) *admissionController {
	return &admissionController{clock: c, controller: admission.New(cfg), waiting: map[uint64]chan admission.Decision{}, reportDue: make(chan struct{}, 1)}
}

// acquire waits until a call may start, until the context ends, or until halt
// is closed. Halt may be nil. The ticket of a call that may start must be
// passed to release.
func (a *admissionController) acquire(ctx context.Context, c *relay.Call, halt <-chan struct{}, haltReason outcome.Reason) (ticket uint64, r *outcome.Refusal) {
	a.mu.Lock()
	a.lastID++
	id := a.lastID
	decision := a.controller.Offer(a.clock.Now(), a.request(id, c))
	var decided chan admission.Decision
	if decision.Verdict == admission.VerdictQueue {
		decided = make(chan admission.Decision, 1)
		a.waiting[id] = decided
	}
	// The offer may have dropped another call from the queue.
	a.wake(nil)
	a.mu.Unlock()
	if decided == nil {
		return id, refusalOf(decision)
	}
	reason := outcome.ReasonCancelled
	select {
	case decision = <-decided:
		return id, refusalOf(decision)
	case <-halt:
		reason = haltReason
	case <-ctx.Done():
	}
	return id, a.abandon(id, decided, reason)
}

// organisationHash returns the hash of the organisation that a call is made for, 0 for
// none.
func organisationHash(c *relay.Call) uint64 {
	if c.Organisation == "" {
		return 0
	}
	return max(keyspace.Hash(c.Organisation), 1)
}

// abandon removes a call from the queue. If it was admitted meanwhile, its slot
// is released.
func (a *admissionController) abandon(id uint64, decided chan admission.Decision, reason outcome.Reason) *outcome.Refusal {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	select {
	case decision := <-decided:
		if decision.Verdict == admission.VerdictAdmit {
			a.wake(a.controller.Done(now, id, admission.Result{Kind: admission.ResultCancelled}))
		}
	default:
		delete(a.waiting, id)
		a.wake(a.controller.Cancel(now, id))
	}
	return relay.NotRun(reason)
}

// hedgeLoad returns the state by which hedge.Policy decides.
func (a *admissionController) hedgeLoad() hedge.Load {
	limit, inFlight, queued, cold := a.counts()
	return hedge.Load{IdleSlots: limit - inFlight, Queued: queued, Cold: cold}
}

// tryAcquire takes a slot for a call if it can start at once.
func (a *admissionController) tryAcquire(c *relay.Call) (ticket uint64, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastID++
	ok = a.controller.TryStart(a.clock.Now(), a.request(a.lastID, c))
	a.wake(nil)
	return a.lastID, ok
}

func (*admissionController) request(id uint64, c *relay.Call) admission.Request {
	return admission.Request{
		ID: id, Key: c.KeyHash, Kind: c.Kind, Organisation: organisationHash(c), Priority: c.Priority, Nested: c.Nested, ParentPriority: c.ParentPriority, Depth: c.Depth, Deadline: c.Deadline, Target: c.TargetTime,
	}
}

// release frees the slot of an admitted call and records how the call ended.
func (a *admissionController) release(ticket uint64, kind admission.ResultKind, latency time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.wake(a.controller.Done(a.clock.Now(), ticket, admission.Result{Kind: kind, Latency: latency}))
}

func (a *admissionController) expire() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expireAt = time.Time{}
	a.wake(a.controller.Expire(a.clock.Now()))
}

func (a *admissionController) configure(cfg admission.Config) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.Configure(a.clock.Now(), cfg)
	a.wake(nil)
}

func (a *admissionController) backendStarted(bootID string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.wake(a.controller.BackendStarted(a.clock.Now(), bootID))
}

func (a *admissionController) setColdUntil(until time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.SetColdUntil(a.clock.Now(), until)
	a.wake(nil)
}

func (a *admissionController) setStartedCold(until time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.SetStartedCold(a.clock.Now(), until)
	a.wake(nil)
}

func (a *admissionController) reportWarm() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.ReportWarm(a.clock.Now())
}

// needsReport reports whether the backend server should be asked for its cold start.
func (a *admissionController) needsReport() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.ReportDue()
}

func (a *admissionController) cold() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.ColdAt(a.clock.Now())
}

func (a *admissionController) serviceTime() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.ServiceTime()
}

// expectedService returns the time for which a call of a kind is expected to run.
func (a *admissionController) expectedService(kind uint32) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.ExpectedService(kind)
}

// counts returns the concurrency limit, the calls in flight and in the queue,
// and whether the backend server is in cold start.
func (a *admissionController) counts() (limit, inFlight, queued int, cold bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.Limit(), a.controller.InFlight(), a.controller.Queued(), a.controller.ColdAt(a.clock.Now())
}

// overload returns the calls in the queue that are expected to be late, and the number
// of those so far that went first because others of their kind would starve.
func (a *admissionController) overload() (queuedLate int, letInFirst uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.QueuedLate(), a.controller.LetInFirst()
}

// wake delivers decisions, expires queued calls that are due and schedules the
// next expiry. The caller holds the lock.
func (a *admissionController) wake(events []admission.Event) {
	a.deliver(events)
	defer a.signalReport()
	next := a.controller.NextExpire()
	if next.IsZero() {
		return
	}
	now := a.clock.Now()
	if !next.After(now) {
		a.deliver(a.controller.Expire(now))
		if next = a.controller.NextExpire(); next.IsZero() {
			return
		}
	}
	a.schedule(now, next)
}

func (a *admissionController) signalReport() {
	if !a.controller.ReportDue() {
		return
	}
	select {
	case a.reportDue <- struct{}{}:
	default:
		// A report is being requested.
	}
}

func (a *admissionController) deliver(events []admission.Event) {
	for _, e := range events {
		if decided, ok := a.waiting[e.ID]; ok {
			delete(a.waiting, e.ID)
			decided <- e.Decision
		}
	}
}

// minExpiryWait keeps an expiry that is due but changes nothing from being
// repeated in a busy loop.
const minExpiryWait = time.Millisecond

// schedule sets the timer to fire at next. The caller holds the lock.
func (a *admissionController) schedule(now, next time.Time) {
	if next.Equal(a.expireAt) {
		return
	}
	a.expireAt = next
	wait := max(next.Sub(now), minExpiryWait)
	if a.timer == nil {
		a.timer = time.AfterFunc(wait, a.expire)
		return
	}
	a.timer.Reset(wait)
}

func refusalOf(a admission.Decision) *outcome.Refusal {
	if a.Verdict == admission.VerdictAdmit {
		return nil
	}
	r := relay.NotRun(a.Reason)
	r.RetryAfter = a.RetryAfter
	return r
}

// admissionConfig derives the admission limits from announcement and rules.
func admissionConfig(b *wirev1.BackendServer, u rules.Upstream, d *dialect.Dialect) admission.Config {
	c := admission.Config{
		Slots: slotLimit(b, u), MaxQueued: u.Queue, KeyShare: u.KeyShare, RequestsPerSecond: u.RequestsPerSecond,
		ReportsColdStart: d != nil, ColdRate: u.ColdStartRate,
	}
	if d != nil {
		c.ColdExcess = u.ColdStartRate*d.ColdExcessShare + d.ColdExcess
	}
	return c
}
