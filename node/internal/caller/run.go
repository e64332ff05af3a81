package caller

import (
	"context"
	"time"

	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/core/routing"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// Times between two tries of a request that is held. A change of the table
// ends the wait; the times are for what the table does not show, such as a
// node that is behind this one.
const (
	firstPause = 5 * time.Millisecond
	maxPause   = 100 * time.Millisecond
	// holdShare is the part of a request's time, in percent, after which it is no
	// longer held: its caller can still come back, or go elsewhere.
	holdShare = 40
)

// held says how long a request waits for a node that was not reached. Wait is 0
// if it waits for something else.
type held struct {
	wait    time.Duration
	reached <-chan struct{}
}

// next says what to do after a refusal.
type next int

const (
	nextStop next = iota
	// nextHold waits for a change of the table.
	nextHold
	// nextRetry sends again at once, under the retry budget.
	nextRetry
	// nextHoldRetry waits like nextHold, and sends again under the retry budget
	// because the backend server was reached.
	nextHoldRetry
	// nextRepeat sends again at once. The budget bounds what retries add to the
	// load of backend servers, and a sending that was barred has added nothing:
	// half-open connections left 187 of 2,100 requests unserved that the budget
	// kept from being repeated.
	nextRepeat
)

// run sends the request until it is answered or must be refused. A request of
// which any sending may have run is not refused with notRun: the refusal of the
// last sending says nothing about the earlier ones.
func (q *request) run() (*relay.Response, *outcome.Refusal) {
	answer, refusal := q.repeat()
	if refusal != nil && q.held.wait > 0 {
		q.log(&q.call, nil, "", nil, refusal, q.started)
	}
	if refusal != nil && refusal.Outcome == outcome.OutcomeNotRun && q.undecided != nil {
		return nil, &outcome.Refusal{
			Outcome: q.undecided.Outcome, Reason: q.undecided.Reason, RetryAfter: max(refusal.RetryAfter, q.undecided.RetryAfter),
		}
	}
	return answer, refusal
}

// repeat sends the request until it is answered or may not be sent again.
func (q *request) repeat() (*relay.Response, *outcome.Refusal) {
	u := q.h.upstream(q.upstream)
	u.request()
	var heldSince time.Time
	pause := firstPause
	for {
		// Taken before the table is read, so that no change is missed.
		changed := q.h.cfg.View.Changed()
		t := q.h.cfg.View.Table()
		answer, refusal := q.once(t, u)
		if refusal == nil {
			return answer, nil
		}
		if refusal.Outcome != outcome.OutcomeNotRun {
			q.undecided = refusal
		}
		now := q.h.cfg.Clock.Now()
		first := heldSince.IsZero()
		if first {
			heldSince = now
		}
		switch next := q.after(refusal); next {
		case nextStop:
			return nil, refusal
		case nextRetry, nextRepeat:
			if q.attempt >= attempts(q.route, q.upstream) || next == nextRetry && !u.retry() {
				return nil, refusal
			}
			q.h.cfg.Metrics.Attempts.Add("retry", 1)
		case nextHold, nextHoldRetry:
			if next == nextHoldRetry && !u.retry() {
				refusal.RetryAfter = max(refusal.RetryAfter, maxPause)
				return nil, refusal
			}
			left := min(t.Limits().HoldTimeout-now.Sub(heldSince), q.call.Deadline.Sub(q.started)*holdShare/100-now.Sub(q.started))
			if o := q.outage(u, refusal); first && !o.ShouldHold(left) {
				refusal.RetryAfter = max(refusal.RetryAfter, o.RetryAfter())
				return nil, refusal
			}
			if left <= 0 || refusal.RetryAfter > left {
				refusal.RetryAfter = max(refusal.RetryAfter, maxPause)
				return nil, refusal
			}
			q.h.cfg.Metrics.Attempts.Add("hold", 1)
			switch {
			case q.held.wait > 0:
				left = min(left, q.held.wait)
			case refusal.Reason == outcome.ReasonMoving:
				// Its owner takes nothing for the partition until it has another.
				left = min(left, maxPause)
			default:
				left = min(left, pause)
				pause = min(2*pause, maxPause)
			}
			if !q.wait(changed, left, refusal.Reason == outcome.ReasonMoving) {
				return nil, relay.NotRun(outcome.ReasonCancelled)
			}
		}
	}
}

// outage returns for how long what a refused request needs has been missing.
func (q *request) outage(u *upstream, r *outcome.Refusal) outcome.Outage {
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

// wait waits for a change of the table, or, where the partition moves, for a
// change of its assignment: the table changes many times while a zone is taken
// out, and each change had every request that waited sent once more. It returns
// false if the caller has gone.
func (q *request) wait(changed <-chan struct{}, pause time.Duration, moving bool) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	for {
		select {
		case <-changed:
			changed = q.h.cfg.View.Changed()
			if !moving || q.reassigned(q.h.cfg.View.Table()) {
				return true
			}
		case <-q.held.reached:
			return true
		case <-timer.C:
			return true
		case <-q.r.Context().Done():
			return false
		}
	}
}

// reassigned reports whether a table has another assignment of the partition
// than the one by which the request was sent last.
func (q *request) reassigned(t *routing.Table) bool {
	u := t.Upstream(q.upstream.Name)
	if u == nil || !u.Keyed {
		return true
	}
	d := t.Locate(routing.Decision{Route: q.route, Upstream: u, KeyHash: q.call.KeyHash})
	return d.Kind != routing.KindOwner || d.Partition != q.located.Partition || d.Assignment.Epoch != q.located.Assignment.Epoch
}

// after says whether a refused request may be sent again. What may have run is
// sent again only if it is idempotent.
func (q *request) after(r *outcome.Refusal) next {
	if !q.call.Body.Resendable() || q.r.Context().Err() != nil || !q.h.cfg.Clock.Now().Before(q.call.Deadline) {
		return nextStop
	}
	if r.Outcome != outcome.OutcomeNotRun {
		if q.call.Idempotent && r.Reason != outcome.ReasonDeadline {
			return nextRetry
		}
		return nextStop
	}
	switch r.Reason {
	case outcome.ReasonMoving, outcome.ReasonNotOwner, outcome.ReasonNoLease, outcome.ReasonNoOwner, outcome.ReasonNoServer,
		outcome.ReasonStopping, outcome.ReasonOldRules:
		return nextHold
	case outcome.ReasonNotHeld:
		return nextHoldRetry
	case outcome.ReasonUnreachable:
		if q.call.Keyed {
			return nextHold
		}
		return nextRetry
	case outcome.ReasonBarred:
		return nextRepeat
	case outcome.ReasonShed, outcome.ReasonCold, outcome.ReasonQueueFull, outcome.ReasonProcessorBusy, outcome.ReasonLinkBusy,
		outcome.ReasonQueueTimeout:
		// The server of a key is the only one. Where it tells its slots, it sheds
		// for a reason of its own, since its node admits no more.
		if !q.call.Keyed || r.Reason == outcome.ReasonShed && q.h.cfg.Dialect != nil {
			return nextRetry
		}
	}
	return nextStop
}

// once decides by a table and makes one sending.
func (q *request) once(t *routing.Table, u *upstream) (*relay.Response, *outcome.Refusal) {
	q.held = held{}
	q.call.Revision = t.Revision()
	identity := q.h.cfg.View.Identity()
	if !q.h.cfg.WithoutLease && (identity.Incarnation == 0 || !q.h.cfg.Clock.Now().Before(identity.LeaseExpiry)) {
		// Without a lease the rules that this node knows may be out of force.
		return q.refuse(outcome.ReasonNoLease)
	}
	d := routing.Decision{Route: q.route, Upstream: t.Upstream(q.upstream.Name), KeyHash: q.call.KeyHash}
	if d.Upstream == nil || d.Upstream.Keyed != q.call.Keyed {
		return q.refuse(outcome.ReasonNoRoute)
	}
	if !q.call.Keyed {
		q.attempt++
		return q.choose(t, u, identity.Incarnation)
	}
	if d = t.Locate(d); d.Kind != routing.KindOwner {
		return q.refuse(d.Reason)
	}
	q.owner = d.Owner.GetIncarnation()
	// A request that cannot be sent again is not held, so it tries in any case.
	if q.call.Body.Resendable() {
		q.held.wait, q.held.reached = q.h.unreachable.Hold(q.h.cfg.Clock.Now(), q.owner)
	}
	if q.held.wait > 0 {
		return nil, relay.NotRun(outcome.ReasonUnreachable)
	}
	q.attempt++
	q.located = d
	c := q.sending()
	c.Partition, c.Epoch = d.Partition, d.Assignment.Epoch
	started := q.h.cfg.Clock.Now()
	answer, refusal := q.send(q.r.Context(), c, d.Owner, identity.Incarnation)
	if refusal == nil || refusal.Reason != outcome.ReasonUnreachable {
		q.h.unreachable.RecordSuccess(q.owner)
	} else {
		q.h.unreachable.RecordFailure(q.h.cfg.Clock.Now(), q.owner)
	}
	q.log(c, d.Owner, "owner", answer, refusal, started)
	return answer, refusal
}

func (q *request) refuse(reason outcome.Reason) (*relay.Response, *outcome.Refusal) {
	refusal := relay.NotRun(reason)
	q.log(&q.call, nil, "", nil, refusal, q.started)
	return nil, refusal
}

// sending returns a copy of the call with an id of its own.
func (q *request) sending() *relay.Call {
	c := q.call
	c.Sending = q.h.ids.next()
	return &c
}

// send runs a call at the node of its owner, which may be this one, unless its
// caller has gone.
func (q *request) send(ctx context.Context, c *relay.Call, to *wirev1.Node, self uint64) (*relay.Response, *outcome.Refusal) {
	if ctx.Err() != nil {
		return nil, relay.NotRun(outcome.ReasonCancelled)
	}
	if to.GetIncarnation() == self {
		q.h.cfg.Metrics.Attempts.Add("local", 1)
		return q.h.cfg.Owner.Do(ctx, c)
	}
	q.h.cfg.Metrics.Attempts.Add("peer", 1)
	return q.h.cfg.Remote.Do(ctx, to, c)
}

// log writes the one line for a routing decision at the entry node, unless the
// sample leaves it out.
func (q *request) log(c *relay.Call, to *wirev1.Node, why string, a *relay.Response, refusal *outcome.Refusal, started time.Time) {
	if refusal == nil && q.h.cfg.Sample.Omit(c.ID, a.Status) {
		return
	}
	e := q.h.cfg.Log.Info().Str("requestId", c.ID).Str("upstream", c.Upstream).Str("route", q.route.Prefix).
		Str("method", c.Method).Int("attempt", q.attempt).Int64("tookMicros", q.h.cfg.Clock.Now().Sub(started).Microseconds())
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
	e.Str("outcome", "answered").Int("status", a.Status).Msg("entry")
}
