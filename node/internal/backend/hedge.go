package backend

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jujubeknot/jujubeknot/core/admission"
	"github.com/jujubeknot/jujubeknot/core/hedge"
	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/core/rules"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
)

// secondRunSuffix is added to the id of a sending for its second run.
const secondRunSuffix = "-2"

// hedges sends idempotent calls that run for long a second time, on another
// connection to the backend server. A key has one owner, so no other server may run
// them. It is safe for concurrent use.
type hedges struct {
	// enabled is true if the rules of the upstream have a budget.
	enabled atomic.Bool

	mu          sync.Mutex
	policy      *hedge.Policy
	sent, ahead uint64
}

// configure applies the rules of the upstream. Calls without a key are hedged by
// entry nodes, which can choose another server.
func (h *hedges) configure(u rules.Upstream) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := hedge.Config{Budget: u.HedgeBudget, After: u.HedgeAfter}
	if !u.Keyed {
		c = hedge.Config{}
	}
	h.enabled.Store(c.Budget > 0)
	if h.policy == nil {
		h.policy = hedge.New(c)
		return
	}
	h.policy.Configure(c)
}

// applies reports whether a call may be sent a second time.
func (h *hedges) applies(c *relay.Call) bool {
	return c.Idempotent && c.Keyed && !c.IDFromCaller && !c.Body.Streamed() && h.enabled.Load()
}

func (h *hedges) started(kind uint32) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.policy.Started(kind)
}

func (h *hedges) due(l hedge.Load) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.policy.Due(l)
}

func (h *hedges) ended(kind uint32, won bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.policy.Ended(kind, won)
	h.sent++
	if won {
		h.ahead++
	}
}

// record adds the time of a call to those of its kind.
func (h *hedges) record(c *relay.Call, took time.Duration, kind admission.ResultKind) {
	if !h.applies(c) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if kind == admission.ResultOK || kind == admission.ResultTimeout {
		h.policy.Record(c.Kind, took)
		return
	}
	h.policy.RecordCancelled(c.Kind, took)
}

func (h *hedges) counts() (sent, ahead uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sent, h.ahead
}

// hedgedRun is a call whose first run may be followed by a second one.
type hedgedRun struct {
	s    *Server
	call *relay.Call
	gate Gate
	// cancelFirst and cancelSecond end the runs.
	cancelFirst, cancelSecond context.CancelFunc
	second                    context.Context
	// won is set by the run whose response counts, before it cancels the other one.
	won atomic.Bool
	// result gets the result of the second run, nil if there was none.
	result chan *runResult
}

type runResult struct {
	response *relay.Response
	refusal  *outcome.Refusal
}

// runHedged runs the first attempt of a call, and a second one if the first takes
// long and the policy allows it. The first response counts, and the other run is
// cancelled.
func (s *Server) runHedged(ctx context.Context, first *attempt, gate Gate) (*relay.Response, *outcome.Refusal) {
	delay := s.hedges.started(first.call.Kind)
	if delay <= 0 {
		return first.run(ctx)
	}
	h := &hedgedRun{s: s, call: first.call, gate: gate, result: make(chan *runResult, 1)}
	var firstCtx context.Context
	firstCtx, h.cancelFirst = context.WithCancel(ctx)
	h.second, h.cancelSecond = context.WithCancel(ctx)
	first.onEnd = h.cancelFirst
	timer := time.AfterFunc(delay, h.runSecond)
	response, refusal := first.run(firstCtx)
	if timer.Stop() {
		h.cancelSecond()
		return response, refusal
	}
	if response != nil && h.won.CompareAndSwap(false, true) {
		h.cancelSecond()
		// The key may be handed over as soon as the call has ended, so the second run
		// must not be sent after that.
		h.discardSecond()
		return response, refusal
	}
	r := <-h.result
	if response != nil {
		// The second run won and has cancelled this one, so the rest of a body that is
		// still being read may be missing.
		_ = response.Body.Close()
	}
	if r == nil {
		return nil, refusal
	}
	if r.response != nil {
		return r.response, nil
	}
	if refusal.Outcome == outcome.OutcomeNotRun {
		refusal = r.refusal
	}
	return nil, refusal
}

// discardSecond waits for a second run that was cancelled.
func (h *hedgedRun) discardSecond() {
	if r := <-h.result; r != nil && r.response != nil {
		_ = r.response.Body.Close()
	}
}

// runSecond sends the call a second time if the policy allows it.
func (h *hedgedRun) runSecond() {
	a := h.startSecond()
	if a == nil {
		h.cancelSecond()
		h.result <- nil
		return
	}
	a.onEnd = h.cancelSecond
	response, refusal := a.run(h.second)
	ahead := response != nil && h.won.CompareAndSwap(false, true)
	if ahead {
		h.cancelFirst()
	}
	h.s.hedges.ended(h.call.Kind, ahead)
	h.s.log.Info().Str("requestId", h.call.ID).Str("decision", "hedge").Bool("ahead", ahead).
		Int64("tookMicros", h.s.cfg.RequestClock.Now().Sub(a.started).Microseconds()).Msg("owner")
	h.result <- &runResult{response, refusal}
}

// startSecond returns the second attempt with its slot and connection, or nil if there
// is none.
func (h *hedgedRun) startSecond() *attempt {
	s, c := h.s, *h.call
	if h.second.Err() != nil || s.drained() {
		return nil
	}
	if !s.hedges.due(s.admission.hedgeLoad()) {
		return nil
	}
	ticket, ok := s.admission.tryAcquire(&c)
	if !ok {
		return nil
	}
	// The cancellation of one run must not reach the other.
	c.Sending += secondRunSuffix
	a := &attempt{s: s, call: &c, ticket: ticket, started: s.cfg.RequestClock.Now(), server: s.Announced().GetName()}
	nc, err := s.pool.get(h.second, s.receivedID(&c))
	if err != nil {
		s.admission.release(ticket, admission.ResultCancelled, 0)
		return nil
	}
	a.prepare(nc)
	var refusal *outcome.Refusal
	if a.permit, refusal = h.gate.BeforeSend(); refusal != nil {
		a.finish(admission.ResultCancelled, true)
		return nil
	}
	return a
}
