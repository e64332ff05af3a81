package caller

import (
	"context"
	"time"

	"github.com/jujubeknot/jujubeknot/core/choice"
	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/core/routing"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// sendUnkeyed sends a request of an upstream without keys to one of its nodes.
// If the first node is slow and hedging is allowed, it sends the request to a
// second one too.
func (q *request) sendUnkeyed(t *routing.Table, u *upstreamState, self uint64) (*relay.Response, *outcome.Refusal) {
	candidates := t.Serving(q.upstream.Name)
	now := q.h.cfg.Clock.Now()
	if q.call.IDFromCaller {
		return q.sendByID(t, u, candidates, self)
	}
	picked, why, ok := u.pick(now, q.untried(candidates), q.remainingTargetTime(now))
	if !ok {
		return q.refuse(outcome.ReasonNoServer)
	}
	q.tried = append(q.tried, picked.Incarnation)
	first := selection{node: t.Node(picked.Incarnation), why: string(why)}
	if q.upstream.HedgeBudget <= 0 || !q.call.Idempotent || q.call.Body.Streamed() || len(candidates) < 2 {
		return q.sendAndRecord(q.r.Context(), u, first, self)
	}
	return q.sendHedged(t, u, first, candidates, self)
}

// remainingTargetTime returns the time that remains until a response counts as
// late. It is 0 if that time has passed or the request has no target.
func (q *request) remainingTargetTime(now time.Time) time.Duration {
	if q.call.TargetTime.IsZero() {
		return 0
	}
	return max(q.call.TargetTime.Sub(now), 0)
}

// untried returns the candidates to which this request has not been sent yet,
// or all candidates if it was sent to each of them.
func (q *request) untried(candidates []choice.Candidate) []choice.Candidate {
	if len(q.tried) == 0 {
		return candidates
	}
	left := make([]choice.Candidate, 0, len(candidates))
	for _, c := range candidates {
		if !contains(q.tried, c.Incarnation) {
			left = append(left, c)
		}
	}
	if len(left) == 0 {
		return candidates
	}
	return left
}

func contains(list []uint64, v uint64) bool {
	for _, l := range list {
		if l == v {
			return true
		}
	}
	return false
}

// sendByID sends every attempt of a request with an id from its caller to the
// same node, so that the node's request table recognises it.
func (q *request) sendByID(t *routing.Table, u *upstreamState, candidates []choice.Candidate, self uint64) (*relay.Response, *outcome.Refusal) {
	best, ok := choice.Rendezvous(q.call.ID, candidates)
	if !ok {
		return q.refuse(outcome.ReasonNoServer)
	}
	u.countSent(q.h.cfg.Clock.Now(), best.Incarnation)
	return q.sendAndRecord(q.r.Context(), u, selection{node: t.Node(best.Incarnation), why: "requestId"}, self)
}

// selection is a chosen node and the reason for the choice, as it is written in
// logs.
type selection struct {
	node *wirev1.Node
	why  string
}

// sendAndRecord sends the request to a node and records the result for the
// selection policy.
func (q *request) sendAndRecord(ctx context.Context, u *upstreamState, to selection, self uint64) (*relay.Response, *outcome.Refusal) {
	c := q.newAttempt()
	started := q.h.cfg.Clock.Now()
	response, refusal := q.send(ctx, c, to.node, self)
	now := q.h.cfg.Clock.Now()
	u.recordResult(now, to.node.GetIncarnation(), now.Sub(started), refusal)
	q.logDecision(c, to.node, to.why, response, refusal, started)
	return response, refusal
}

// attemptResult is the result of one of two concurrent attempts.
type attemptResult struct {
	response *relay.Response
	refusal  *outcome.Refusal
	hedge    bool
}

// sendHedged sends the request to a first node. If that node has not responded
// when hedge.Policy takes the request for due, and its budget allows it, the request
// is also sent to a second node. The first response wins, and the other attempt
// is cancelled.
func (q *request) sendHedged(t *routing.Table, u *upstreamState, first selection, candidates []choice.Candidate, self uint64) (*relay.Response, *outcome.Refusal) {
	results := make(chan attemptResult, 2)
	var cancels [2]context.CancelFunc
	start := func(i int, to selection) {
		ctx, cancel := context.WithCancel(q.r.Context())
		cancels[i] = cancel
		go func() {
			response, refusal := q.sendAndRecord(ctx, u, to, self)
			results <- attemptResult{response, refusal, i == 1}
		}()
	}
	started := q.h.cfg.Clock.Now()
	start(0, first)
	var due <-chan time.Time
	if delay := u.startHedgeable(q.call.Kind); delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		due = timer.C
	}
	running, hedge := 1, false
	var last *outcome.Refusal
	for {
		select {
		case <-due:
			second, ok := q.pickHedge(t, u, candidates)
			if ok {
				start(1, second)
				running, hedge = running+1, true
			}
		case r := <-results:
			running--
			if r.refusal != nil {
				// The refusal of an attempt that may have run takes precedence over notRun.
				if last == nil || last.Outcome == outcome.OutcomeNotRun {
					last = r.refusal
				}
				if running > 0 {
					continue
				}
				cancelAll(cancels)
				return nil, last
			}
			u.recordHedgeable(q.call.Kind, q.h.cfg.Clock.Now().Sub(started), hedge, r.hedge)
			q.finishHedge(results, running, cancels, r, hedge)
			return r.response, nil
		}
	}
}

func cancelAll(cancels [2]context.CancelFunc) {
	for _, cancel := range cancels {
		if cancel != nil {
			cancel()
		}
	}
}

// finishHedge cancels the attempt that lost and closes the response that it may
// still receive. The context of the winner is cancelled only when the body of
// its response is closed.
func (q *request) finishHedge(results <-chan attemptResult, running int, cancels [2]context.CancelFunc, won attemptResult, hedge bool) {
	winner := 0
	if won.hedge {
		winner = 1
		q.h.cfg.Metrics.Attempts.Add("hedgeWon", 1)
	}
	if hedge {
		cancels[1-winner]()
	}
	if running > 0 {
		go func() {
			if r := <-results; r.response != nil {
				_ = r.response.Body.Close()
			}
		}()
	}
	won.response.OnClose(cancels[winner])
}

// pickHedge picks the node for a hedged request. It is neither one that the request was
// sent to before nor one in cold start.
func (q *request) pickHedge(t *routing.Table, u *upstreamState, candidates []choice.Candidate) (selection, bool) {
	warm := make([]choice.Candidate, 0, len(candidates))
	for _, c := range candidates {
		if !c.Cold && !contains(q.tried, c.Incarnation) {
			warm = append(warm, c)
		}
	}
	if len(warm) == 0 || !u.takeHedge() {
		return selection{}, false
	}
	picked, _, ok := u.pick(q.h.cfg.Clock.Now(), warm, 0)
	if !ok {
		return selection{}, false
	}
	q.tried = append(q.tried, picked.Incarnation)
	q.h.cfg.Metrics.Attempts.Add("hedge", 1)
	return selection{node: t.Node(picked.Incarnation), why: "hedge"}, true
}
