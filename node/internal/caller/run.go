package caller

import (
	"context"
	"time"

	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/core/routing"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// Limits for requests that are held. A held request is sent again when the
// routing table changes, or after an interval that grows from minHoldInterval
// to maxHoldInterval. The interval is for causes that the table does not show,
// such as another node whose table is older than this node's.
const (
	minHoldInterval = 5 * time.Millisecond
	maxHoldInterval = 100 * time.Millisecond
	// maxHoldPercent is the percentage of the time from the arrival of a request
	// to its deadline within which the request may be held. The rest is left for
	// its caller to retry, at this node or another.
	maxHoldPercent = 40
)

// nodeHold says how long a request waits for a node that was not reached. The
// channel reached is closed when the node is reached again. If wait is 0, the
// request does not wait for such a node.
type nodeHold struct {
	wait    time.Duration
	reached <-chan struct{}
}

// action is what to do after a refusal.
type action int

const (
	actionStop action = iota
	// actionHold waits for a change of the routing table and sends again.
	actionHold
	// actionRetry sends again immediately if the retry budget allows it.
	actionRetry
	// actionHoldRetry waits like actionHold, but needs the retry budget, because
	// the attempt reached the backend server.
	actionHoldRetry
	// actionRetryUnbudgeted sends again immediately without the retry budget. The
	// budget bounds the load that retries add to backend servers, and an attempt
	// that was barred has added none. When such retries counted against the
	// budget, half-open connections left 187 of 2,100 requests without a response.
	actionRetryUnbudgeted
)

// run sends the request until it succeeds or must be refused. If any attempt
// may have run, the refusal is not notRun, because the refusal of the last
// attempt says nothing about the earlier ones.
func (q *request) run() (*relay.Response, *outcome.Refusal) {
	response, refusal := q.sendUntilFinal()
	if refusal != nil && q.hold.wait > 0 {
		q.logDecision(&q.call, nil, "", nil, refusal, q.started)
	}
	if refusal != nil && refusal.Outcome == outcome.OutcomeNotRun && q.lastUnknown != nil {
		return nil, &outcome.Refusal{
			Outcome: q.lastUnknown.Outcome, Reason: q.lastUnknown.Reason, RetryAfter: max(refusal.RetryAfter, q.lastUnknown.RetryAfter),
		}
	}
	return response, refusal
}

// sendUntilFinal sends the request until it succeeds or may not be sent again.
func (q *request) sendUntilFinal() (*relay.Response, *outcome.Refusal) {
	u := q.h.upstreamState(q.upstream)
	u.countRequest()
	var heldSince time.Time
	interval := minHoldInterval
	for {
		// The channel is read before the table, so that no change is missed.
		changed := q.h.cfg.View.Changed()
		t := q.h.cfg.View.Table()
		response, refusal := q.attemptOnce(t, u)
		if refusal == nil {
			return response, nil
		}
		if refusal.Outcome != outcome.OutcomeNotRun {
			q.lastUnknown = refusal
		}
		now := q.h.cfg.Clock.Now()
		first := heldSince.IsZero()
		if first {
			heldSince = now
		}
		switch action := q.actionAfter(refusal); action {
		case actionStop:
			return nil, refusal
		case actionRetry, actionRetryUnbudgeted:
			if q.attempt >= maxAttempts(q.route, q.upstream) || action == actionRetry && !u.takeRetry() {
				return nil, refusal
			}
			q.h.cfg.Metrics.Attempts.Add("retry", 1)
		case actionHold, actionHoldRetry:
			if action == actionHoldRetry && !u.takeRetry() {
				refusal.RetryAfter = max(refusal.RetryAfter, maxHoldInterval)
				return nil, refusal
			}
			left := min(t.Limits().HoldTimeout-now.Sub(heldSince), q.call.Deadline.Sub(q.started)*maxHoldPercent/100-now.Sub(q.started))
			if o := q.outage(u, refusal); first && !o.ShouldHold(left) {
				refusal.RetryAfter = max(refusal.RetryAfter, o.RetryAfter())
				return nil, refusal
			}
			if left <= 0 || refusal.RetryAfter > left {
				refusal.RetryAfter = max(refusal.RetryAfter, maxHoldInterval)
				return nil, refusal
			}
			q.h.cfg.Metrics.Attempts.Add("hold", 1)
			switch {
			case q.hold.wait > 0:
				left = min(left, q.hold.wait)
			case refusal.Reason == outcome.ReasonMoving:
				// The owner accepts no requests for the partition until the partition has a
				// new owner.
				left = min(left, maxHoldInterval)
			default:
				left = min(left, interval)
				interval = min(2*interval, maxHoldInterval)
			}
			if !q.waitForChange(changed, left, refusal.Reason == outcome.ReasonMoving) {
				return nil, relay.NotRun(outcome.ReasonCancelled)
			}
		}
	}
}

// outage returns the outage of the node or upstream that a refused request
// needs.
func (q *request) outage(u *upstreamState, r *outcome.Refusal) outcome.Outage {
	switch r.Reason {
	case outcome.ReasonUnreachable:
		if q.call.Keyed {
			return q.h.unreachable.Outage(q.owner)
		}
	case outcome.ReasonNoServer:
		return u.outage()
	}
	return outcome.Outage{}
}

// waitForChange waits until the routing table changes, the unreachable node is
// reached again, or the interval ends. If the partition is moving, it waits for
// a new assignment of the partition instead of any change. The table changes
// many times while an availability zone is taken out of service. When the wait
// ended at any change, each change caused every held request to be sent again.
// It returns false if the caller has disconnected.
func (q *request) waitForChange(changed <-chan struct{}, interval time.Duration, moving bool) bool {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for {
		select {
		case <-changed:
			changed = q.h.cfg.View.Changed()
			if !moving || q.reassigned(q.h.cfg.View.Table()) {
				return true
			}
		case <-q.hold.reached:
			return true
		case <-timer.C:
			return true
		case <-q.r.Context().Done():
			return false
		}
	}
}

// reassigned reports whether a table assigns the partition differently from the
// assignment that the latest attempt used.
func (q *request) reassigned(t *routing.Table) bool {
	u := t.Upstream(q.upstream.Name)
	if u == nil || !u.Keyed {
		return true
	}
	d := t.Locate(routing.Decision{Route: q.route, Upstream: u, KeyHash: q.call.KeyHash})
	return d.Kind != routing.KindOwner || d.Partition != q.lastDecision.Partition || d.Assignment.Epoch != q.lastDecision.Assignment.Epoch
}

// actionAfter returns what to do after a refusal. A request that may have run
// is sent again only if it is idempotent.
func (q *request) actionAfter(r *outcome.Refusal) action {
	if !q.call.Body.Resendable() || q.r.Context().Err() != nil || !q.h.cfg.Clock.Now().Before(q.call.Deadline) {
		return actionStop
	}
	if r.Outcome != outcome.OutcomeNotRun {
		if q.call.Idempotent && r.Reason != outcome.ReasonDeadline {
			return actionRetry
		}
		return actionStop
	}
	switch r.Reason {
	case outcome.ReasonMoving, outcome.ReasonNotOwner, outcome.ReasonNoLease, outcome.ReasonNoOwner, outcome.ReasonNoServer,
		outcome.ReasonStopping, outcome.ReasonOldRules:
		return actionHold
	case outcome.ReasonNotHeld:
		return actionHoldRetry
	case outcome.ReasonUnreachable:
		if q.call.Keyed {
			return actionHold
		}
		return actionRetry
	case outcome.ReasonBarred:
		return actionRetryUnbudgeted
	case outcome.ReasonShed, outcome.ReasonCold, outcome.ReasonQueueFull, outcome.ReasonProcessorBusy, outcome.ReasonLinkBusy,
		outcome.ReasonQueueTimeout:
		// Another attempt at a key reaches the same server. With a dialect, the
		// server reports its slots and its node admits no more calls than that. The
		// server then sheds for another reason, and a retry can succeed.
		if !q.call.Keyed || r.Reason == outcome.ReasonShed && q.h.cfg.Dialect != nil {
			return actionRetry
		}
	}
	return actionStop
}

// attemptOnce routes the request by a table and makes one attempt.
func (q *request) attemptOnce(t *routing.Table, u *upstreamState) (*relay.Response, *outcome.Refusal) {
	q.hold = nodeHold{}
	q.call.Revision = t.Revision()
	identity := q.h.cfg.View.Identity()
	if !q.h.cfg.WithoutLease && (identity.Incarnation == 0 || !q.h.cfg.Clock.Now().Before(identity.LeaseExpiry)) {
		// Without a lease, the rules that this node has may no longer be in force.
		return q.refuse(outcome.ReasonNoLease)
	}
	if refusal := q.reidentify(t); refusal != nil {
		q.logDecision(&q.call, nil, "", nil, refusal, q.started)
		return nil, refusal
	}
	d := routing.Decision{Route: q.route, Upstream: t.Upstream(q.upstream.Name), KeyHash: q.call.KeyHash}
	if d.Upstream == nil || d.Upstream.Keyed != q.call.Keyed {
		return q.refuse(outcome.ReasonNoRoute)
	}
	if !q.call.Keyed {
		q.attempt++
		return q.sendUnkeyed(t, u, identity.Incarnation)
	}
	if d = t.Locate(d); d.Kind != routing.KindOwner {
		return q.refuse(d.Reason)
	}
	q.owner = d.Owner.GetIncarnation()
	// A request that cannot be sent again cannot be held, so it is sent even to a
	// node that is known to be unreachable.
	if q.call.Body.Resendable() {
		q.hold.wait, q.hold.reached = q.h.unreachable.Hold(q.h.cfg.Clock.Now(), q.owner)
	}
	if q.hold.wait > 0 {
		return nil, relay.NotRun(outcome.ReasonUnreachable)
	}
	q.attempt++
	q.lastDecision = d
	c := q.newAttempt()
	c.Partition, c.Epoch = d.Partition, d.Assignment.Epoch
	started := q.h.cfg.Clock.Now()
	response, refusal := q.send(q.r.Context(), c, d.Owner, identity.Incarnation)
	if refusal == nil || refusal.Reason != outcome.ReasonUnreachable {
		q.h.unreachable.RecordSuccess(q.owner)
	} else {
		q.h.unreachable.RecordFailure(q.h.cfg.Clock.Now(), q.owner)
	}
	q.logDecision(c, d.Owner, "owner", response, refusal, started)
	return response, refusal
}

func (q *request) refuse(reason outcome.Reason) (*relay.Response, *outcome.Refusal) {
	refusal := relay.NotRun(reason)
	q.logDecision(&q.call, nil, "", nil, refusal, q.started)
	return nil, refusal
}

// newAttempt returns a copy of the call with an attempt id of its own.
func (q *request) newAttempt() *relay.Call {
	c := q.call
	c.Sending = q.h.ids.next()
	return &c
}

// send runs a call at a node, which may be this one, unless the caller has
// disconnected.
func (q *request) send(ctx context.Context, c *relay.Call, to *wirev1.Node, self uint64) (*relay.Response, *outcome.Refusal) {
	if ctx.Err() != nil {
		return nil, relay.NotRun(outcome.ReasonCancelled)
	}
	var response *relay.Response
	var refusal *outcome.Refusal
	if to.GetIncarnation() == self {
		q.h.cfg.Metrics.Attempts.Add("local", 1)
		response, refusal = q.h.cfg.Owner.Do(ctx, c)
	} else {
		q.h.cfg.Metrics.Attempts.Add("peer", 1)
		response, refusal = q.h.cfg.Remote.Do(ctx, to, c)
	}
	if response != nil && !relay.FinalStatus(response.Status) {
		// Nodes of earlier versions relay any status. http.ResponseWriter takes an
		// informational one for the announcement of a final status, which would then
		// be 200.
		_ = response.Body.Close()
		return nil, relay.Unknown(outcome.ReasonAnswerIncomplete)
	}
	return response, refusal
}

// logDecision logs one routing decision of the entry node, unless the sample
// omits it.
func (q *request) logDecision(c *relay.Call, to *wirev1.Node, why string, response *relay.Response, refusal *outcome.Refusal, started time.Time) {
	if refusal == nil && q.h.cfg.Sample.Omit(c.ID, response.Status) {
		return
	}
	e := q.h.cfg.Log.Info().Str("requestId", c.ID).Str("upstream", c.Upstream).Str("route", q.route.Prefix).
		Str("method", c.Method).Int("attempt", q.attempt).Int64("tookMicros", q.h.cfg.Clock.Now().Sub(started).Microseconds())
	e = logOrganisation(e, c)
	if c.Keyed && to != nil {
		e = e.Uint32("partition", c.Partition).Uint64("epoch", c.Epoch)
	}
	if to != nil {
		e = e.Str("decision", "send").Str("node", to.GetName()).Str("why", why).Str("sending", c.Sending)
	} else {
		e = e.Str("decision", "refuse")
	}
	if refusal != nil {
		e.Str("outcome", refusal.Outcome.String()).Str("reason", string(refusal.Reason)).Msg("entry")
		return
	}
	e.Str("outcome", "answered").Int("status", response.Status).Msg("entry")
}
