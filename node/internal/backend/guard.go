package backend

import (
	"context"
	"sync"
	"time"

	"github.com/jujubeknot/jujubeknot/core/admission"
	"github.com/jujubeknot/jujubeknot/core/clock"
	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
)

// guard puts a lock and wake-ups round admission.Guard. It is safe for
// concurrent use.
type guard struct {
	clock clock.Clock

	mu      sync.Mutex
	state   *admission.Guard
	last    uint64
	waiting map[uint64]chan admission.Answer
	timer   *time.Timer
	// due is when the timer fires, zero if it does not run.
	due time.Time
}

func newGuard(c clock.Clock, cfg admission.Config) *guard {
	return &guard{clock: c, state: admission.New(cfg), waiting: map[uint64]chan admission.Answer{}}
}

// enter waits until a call may start. The ticket must then be passed to leave.
func (g *guard) enter(ctx context.Context, c *relay.Call) (ticket uint64, r *outcome.Refusal) {
	g.mu.Lock()
	g.last++
	id := g.last
	answer := g.state.Offer(g.clock.Now(), admission.Request{
		ID: id, Key: c.KeyHash, Priority: c.Priority, Depth: c.Depth, Deadline: c.Deadline,
	})
	if answer.Verdict != admission.VerdictQueue {
		g.mu.Unlock()
		return id, refusalOf(answer)
	}
	woken := make(chan admission.Answer, 1)
	g.waiting[id] = woken
	g.schedule()
	g.mu.Unlock()
	select {
	case answer = <-woken:
		return id, refusalOf(answer)
	case <-ctx.Done():
	}
	return id, g.abandon(id, woken)
}

// abandon takes a call out of the queue. If it was admitted meanwhile its slot
// is given back.
func (g *guard) abandon(id uint64, woken chan admission.Answer) *outcome.Refusal {
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
	return relay.NotRun(outcome.ReasonCancelled)
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
	g.wake(g.state.Configure(g.clock.Now(), cfg))
}

func (g *guard) backendStarted(bootID string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wake(g.state.BackendStarted(g.clock.Now(), bootID))
}

func (g *guard) cold() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Cold()
}

// wake hands out answers and schedules the next expiry. The lock is held.
func (g *guard) wake(events []admission.Event) {
	for _, e := range events {
		if woken, ok := g.waiting[e.ID]; ok {
			delete(g.waiting, e.ID)
			woken <- e.Answer
		}
	}
	g.schedule()
}

// schedule makes the timer fire when the next queued call expires. The lock is
// held.
func (g *guard) schedule() {
	next := g.state.Next()
	if next.IsZero() || next.Equal(g.due) {
		return
	}
	g.due = next
	wait := next.Sub(g.clock.Now())
	if g.timer == nil {
		g.timer = time.AfterFunc(wait, g.expire)
		return
	}
	g.timer.Reset(wait)
}

func refusalOf(a admission.Answer) *outcome.Refusal {
	if a.Verdict == admission.VerdictAdmit {
		return nil
	}
	r := relay.NotRun(a.Reason)
	r.RetryAfter = a.RetryAfter
	return r
}
