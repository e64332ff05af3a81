package caller

import (
	"strconv"
	"time"

	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/core/routing"
	"github.com/jujubeknot/jujubeknot/core/rules"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
	"github.com/jujubeknot/jujubeknot/wire/headers"
)

// readCallerHeaders reads the headers that callers may set: deadline, depth,
// attempt and, without a dialect, idempotency key. With a dialect, a header of
// that name belongs to the application and is only passed on.
func (q *request) readCallerHeaders(t *routing.Table) *outcome.Refusal {
	c, get := &q.call, q.r.Header.Get
	timeout := q.route.Timeout
	if v := get(headers.Deadline); v != "" {
		ms, err := strconv.ParseUint(v, 10, 32)
		if err != nil {
			return relay.NotRun(outcome.ReasonBadRequest)
		}
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	c.Deadline = q.started.Add(timeout)
	if q.route.TargetLatency > 0 {
		c.TargetTime = q.started.Add(min(q.route.TargetLatency, timeout))
	}
	if v := get(headers.Attempt); v != "" {
		n, err := strconv.ParseUint(v, 10, 16)
		if err != nil || n == 0 {
			return relay.NotRun(outcome.ReasonBadRequest)
		}
		c.Attempt = int(n)
	}
	if v := get(headers.Depth); v != "" && q.nested() {
		n, err := strconv.ParseUint(v, 10, 16)
		if err != nil {
			return relay.NotRun(outcome.ReasonBadRequest)
		}
		// A call that states a depth is a nested one. A depth of 0 was copied,
		// without an increment, from the request that made the call.
		c.Depth = max(int(n), 1)
		if c.Depth > t.Limits().MaxDepth {
			return relay.NotRun(outcome.ReasonDepth)
		}
	}
	if keys := q.r.Header[headers.IdempotencyKey]; len(keys) > 0 && !c.Idempotent && q.h.cfg.Dialect == nil {
		if len(keys) > 1 || keys[0] == "" || len(keys[0]) > maxIdempotencyKeyBytes {
			return relay.NotRun(outcome.ReasonBadRequest)
		}
		c.ID, c.IDFromCaller = idFromKey(c, keys[0]), true
	}
	return nil
}

// nested reports whether the request may come from the backend server.
func (q *request) nested() bool {
	return q.h.mayBeNested(q.r.RemoteAddr)
}

// idempotent reports whether the request may run more than once.
func (q *request) idempotent() bool {
	switch q.route.Repeat {
	case rules.RepeatAlways:
		return true
	case rules.RepeatNever:
		return false
	default:
		return relay.Idempotent(q.r.Method, q.route.Idempotent)
	}
}
