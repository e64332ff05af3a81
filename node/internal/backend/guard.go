package backend

import (
	"context"
	"sync"
	"time"

	"github.com/jujubeknot/jujubeknot/core/admission"
	"github.com/jujubeknot/jujubeknot/core/clock"
	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/core/rules"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// guard puts a lock and wake-ups round admission.Controller. It is safe for
// concurrent use.
type guard struct {
	clock clock.Clock

	mu      sync.Mutex
	state   *admission.Controller
	last    uint64
	waiting map[uint64]chan admission.Decision
	timer   *time.Timer
	// due is when the timer fires, zero if it does not run.
	due time.Time
}

func newGuard(c clock.Clock, cfg admission.Config) *guard {
	return &guard{clock: c, state: admission.New(cfg), waiting: map[uint64]chan admission.Decision{}}
}

// enter waits until a call may start, until the context ends, or until halt is
// closed, which may be nil. The ticket of a call that may start must be passed
// to leave.
func (g *guard) enter(ctx context.Context, c *relay.Call, halt <-chan struct{}, haltReason outcome.Reason) (ticket uint64, r *outcome.Refusal) {
	g.mu.Lock()
	g.last++
	id := g.last
	answer := g.state.Offer(g.clock.Now(), admission.Request{
		ID: id, Key: c.KeyHash, Priority: c.Priority, Depth: c.Depth, Deadline: c.Deadline, Target: c.TargetTime,
	})
	var woken chan admission.Decision
	if answer.Verdict == admission.VerdictQueue {
		woken = make(chan admission.Decision, 1)
		g.waiting[id] = woken
	}
	// An offer may have dropped another call from the queue.
	g.wake(nil)
	g.mu.Unlock()
	if woken == nil {
		return id, refusalOf(answer)
	}
	reason := outcome.ReasonCancelled
	select {
	case answer = <-woken:
		return id, refusalOf(answer)
	case <-halt:
		reason = haltReason
	case <-ctx.Done():
	}
	return id, g.abandon(id, woken, reason)
}

// abandon takes a call out of the queue. If it was admitted meanwhile its slot
// is given back.
func (g *guard) abandon(id uint64, woken chan admission.Decision, reason outcome.Reason) *outcome.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	select {
	case answer := <-woken:
		if answer.Verdict == admission.VerdictAdmit {
			g.wake(g.state.Done(now, id, admission.Result{Kind: admission.ResultCancelled}))
		}
	default:
		delete(g.waiting, id)
		g.wake(g.state.Cancel(now, id))
	}
	return relay.NotRun(reason)
}

// leave reports how an admitted call ended.
func (g *guard) leave(ticket uint64, kind admission.ResultKind, latency time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wake(g.state.Done(g.clock.Now(), ticket, admission.Result{Kind: kind, Latency: latency}))
}

func (g *guard) expire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.due = time.Time{}
	g.wake(g.state.Expire(g.clock.Now()))
}

func (g *guard) configure(cfg admission.Config) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.Configure(g.clock.Now(), cfg)
	g.wake(nil)
}

func (g *guard) backendStarted(bootID string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wake(g.state.BackendStarted(g.clock.Now(), bootID))
}

func (g *guard) chill(until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.SetColdUntil(g.clock.Now(), until)
	g.wake(nil)
}

func (g *guard) cold() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.ColdAt(g.clock.Now())
}

func (g *guard) serviceTime() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.ServiceTime()
}

// figures returns the guard's counts and whether the backend server is cold.
func (g *guard) figures() (limit, inFlight, queued int, cold bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Limit(), g.state.InFlight(), g.state.Queued(), g.state.ColdAt(g.clock.Now())
}

// wake hands out answers, expires what is due and schedules the next expiry.
// The lock is held.
func (g *guard) wake(events []admission.Event) {
	g.deliver(events)
	next := g.state.NextExpire()
	if next.IsZero() {
		return
	}
	now := g.clock.Now()
	if !next.After(now) {
		g.deliver(g.state.Expire(now))
		if next = g.state.NextExpire(); next.IsZero() {
			return
		}
	}
	g.schedule(now, next)
}

func (g *guard) deliver(events []admission.Event) {
	for _, e := range events {
		if woken, ok := g.waiting[e.ID]; ok {
			delete(g.waiting, e.ID)
			woken <- e.Decision
		}
	}
}

// minExpiryWait keeps an expiry that is due but changes nothing from running
// again at once.
const minExpiryWait = time.Millisecond

// schedule makes the timer fire at next. The lock is held.
func (g *guard) schedule(now, next time.Time) {
	if next.Equal(g.due) {
		return
	}
	g.due = next
	wait := max(next.Sub(now), minExpiryWait)
	if g.timer == nil {
		g.timer = time.AfterFunc(wait, g.expire)
		return
	}
	g.timer.Reset(wait)
}

func refusalOf(a admission.Decision) *outcome.Refusal {
	if a.Verdict == admission.VerdictAdmit {
		return nil
	}
	r := relay.NotRun(a.Reason)
	r.RetryAfter = a.RetryAfter
	return r
}

// guardConfig derives the guard's bounds from announcement and rules.
func guardConfig(b *wirev1.BackendServer, u rules.Upstream, toldCold bool) admission.Config {
	return admission.Config{
		Slots: slots(b, u), MaxQueued: u.Queue, KeyShare: u.KeyShare, RequestsPerSecond: u.RequestsPerSecond,
		ReportsColdStart: toldCold, ColdRate: u.ColdStartRate,
	}
}
