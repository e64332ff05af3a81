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

// choose sends a request of an upstream without keys to one of its nodes, and
// to a second one if the first is slow and hedging is allowed.
func (q *request) choose(t *routing.Table, u *upstream, self uint64) (*relay.Response, *outcome.Refusal) {
	candidates := t.Serving(q.upstream.Name)
	now := q.h.cfg.Clock.Now()
	if q.call.IDFromCaller {
		return q.chooseByID(t, u, candidates, self)
	}
	picked, why, ok := u.pick(now, q.untried(candidates), q.targetLeft(now))
	if !ok {
		return q.refuse(outcome.ReasonNoServer)
	}
	q.tried = append(q.tried, picked.Incarnation)
	first := sendTo{node: t.Node(picked.Incarnation), why: string(why)}
	if q.upstream.HedgeBudget <= 0 || !q.call.Idempotent || q.call.Body.Streamed() || len(candidates) < 2 {
		return q.tell(q.r.Context(), u, first, self)
	}
	return q.hedged(t, u, first, candidates, self)
}

// targetLeft returns the time until the answer is late, 0 if there is no target.
func (q *request) targetLeft(now time.Time) time.Duration {
	if q.call.TargetTime.IsZero() {
		return 0
	}
	return max(q.call.TargetTime.Sub(now), 0)
}

// untried returns the candidates that have not refused this request, or all of
// them if there are none.
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

// chooseByID sends each sending of a request with the caller's own id to the
// same node, whose request table then knows it.
func (q *request) chooseByID(t *routing.Table, u *upstream, candidates []choice.Candidate, self uint64) (*relay.Response, *outcome.Refusal) {
	best, ok := choice.Rendezvous(q.call.ID, candidates)
	if !ok {
		return q.refuse(outcome.ReasonNoServer)
	}
	u.sent(q.h.cfg.Clock.Now(), best.Incarnation)
	return q.tell(q.r.Context(), u, sendTo{node: t.Node(best.Incarnation), why: "requestId"}, self)
}

// sendTo is a chosen node and why it was chosen.
type sendTo struct {
	node *wirev1.Node
	why  string
}

// tell sends to a node and tells the policy how it went.
func (q *request) tell(ctx context.Context, u *upstream, to sendTo, self uint64) (*relay.Response, *outcome.Refusal) {
	c := q.sending()
	started := q.h.cfg.Clock.Now()
	answer, refusal := q.send(ctx, c, to.node, self)
	now := q.h.cfg.Clock.Now()
	u.done(now, to.node.GetIncarnation(), now.Sub(started), refusal)
	q.log(c, to.node, to.why, answer, refusal, started)
	return answer, refusal
}

// result is the end of one of two racing sendings.
type result struct {
	answer  *relay.Response
	refusal *outcome.Refusal
	hedge   bool
}

// hedged sends to a first node and, if it has not answered after the hedge
// time and the budget allows, to a second one. The first answer wins, the
// other sending is cancelled.
func (q *request) hedged(t *routing.Table, u *upstream, first sendTo, candidates []choice.Candidate, self uint64) (*relay.Response, *outcome.Refusal) {
	ends := make(chan result, 2)
	var cancels [2]context.CancelFunc
	start := func(i int, to sendTo) {
		ctx, cancel := context.WithCancel(q.r.Context())
		cancels[i] = cancel
		go func() {
			answer, refusal := q.tell(ctx, u, to, self)
			ends <- result{answer, refusal, i == 1}
		}()
	}
	start(0, first)
	timer := time.NewTimer(q.upstream.HedgeAfter)
	defer timer.Stop()
	running, hedge := 1, false
	var last *outcome.Refusal
	for {
		select {
		case <-timer.C:
			second, ok := q.second(t, u, first, candidates)
			if ok {
				start(1, second)
				running, hedge = running+1, true
			}
		case r := <-ends:
			running--
			if r.refusal != nil {
				// A sending that may have run decides what is known of both.
				if last == nil || last.Outcome == outcome.OutcomeNotRun {
					last = r.refusal
				}
				if running > 0 {
					continue
				}
				cancelAll(cancels)
				return nil, last
			}
			q.finishRace(ends, running, cancels, r, hedge)
			return r.answer, nil
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

// finishRace cancels the sending that lost and closes the answer that it may
// still get. The winner's context stays until its body has been read.
func (q *request) finishRace(ends <-chan result, running int, cancels [2]context.CancelFunc, won result, hedge bool) {
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
			if r := <-ends; r.answer != nil {
				_ = r.answer.Body.Close()
			}
		}()
	}
	won.answer.OnClose(cancels[winner])
}

// second picks the node for a hedged request: neither the first one nor a cold
// one.
func (q *request) second(t *routing.Table, u *upstream, first sendTo, candidates []choice.Candidate) (sendTo, bool) {
	warm := make([]choice.Candidate, 0, len(candidates))
	for _, c := range candidates {
		if !c.Cold && c.Incarnation != first.node.GetIncarnation() {
			warm = append(warm, c)
		}
	}
	if len(warm) == 0 || !u.hedge() {
		return sendTo{}, false
	}
	picked, _, ok := u.pick(q.h.cfg.Clock.Now(), warm, 0)
	if !ok {
		return sendTo{}, false
	}
	q.h.cfg.Metrics.Attempts.Add("hedge", 1)
	return sendTo{node: t.Node(picked.Incarnation), why: "hedge"}, true
}
