package backend

import (
	"context"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/core/admission"
	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
	"github.com/jujubeknot/jujubeknot/wire/headers"
)

// refusedPause is the time after a refused connection for which calls are
// refused at once. One call in each pause finds out whether the backend server
// is back.
const refusedPause = 25 * time.Millisecond

// Term is the right to run keyed calls.
type Term struct {
	// Context ends with the lease. It is nil for calls without a key.
	Context context.Context
	// Until caps the deadline that the backend server is told, zero for no cap.
	Until time.Time
}

// Gate decides whether a call may still run.
type Gate struct {
	// Halt is closed when calls in the queue must leave it, with HaltReason.
	// It may be nil.
	Halt       <-chan struct{}
	HaltReason outcome.Reason
	// Before is asked right before the first byte of a call is written. It
	// returns the term, or a refusal that keeps the call from being written.
	Before func() (Term, *outcome.Refusal)
}

// Do runs one call: it waits for a slot, takes a connection, asks the gate, and
// sends the call. A refusal with outcome notRun means that no byte was written
// or that the backend server said that it ran nothing.
func (s *Server) Do(ctx context.Context, call *relay.Call, gate Gate) (*relay.Response, *outcome.Refusal) {
	if s.cfg.Clock.Now().UnixNano() < s.refusedUntil.Load() {
		return nil, relay.NotRun(outcome.ReasonUnreachable)
	}
	if s.drained() {
		return nil, relay.NotRun(outcome.ReasonStopping)
	}
	if refusal := s.intake.receive(ctx, call); refusal != nil {
		return nil, refusal
	}
	ticket, refusal := s.guard.enter(ctx, call, gate.Halt, gate.HaltReason)
	if refusal != nil {
		if refusal.Reason == outcome.ReasonQueueFull && s.unreachable.Load() {
			// The queue is full because nothing answers: entry nodes hold such
			// calls until the partition has another owner.
			refusal.Reason = outcome.ReasonUnreachable
		}
		return nil, refusal
	}
	a := &attempt{s: s, call: call, ticket: ticket, started: s.cfg.Clock.Now(), server: s.Announced().GetName()}
	c, err := s.pool.get(ctx)
	if err != nil {
		return nil, a.notConnected(ctx, err)
	}
	a.x.c, a.x.method = c, call.Method
	if d := s.cfg.Dialect; d != nil {
		a.x.rename, a.x.unframed = d.Backend.RequestFieldName, true
	}
	if s.drained() {
		a.end(admission.ResultCancelled, true)
		return nil, relay.NotRun(outcome.ReasonStopping)
	}
	if a.term, refusal = gate.Before(); refusal != nil {
		a.end(admission.ResultCancelled, true)
		return nil, refusal
	}
	return a.run(ctx)
}

// attempt is a call that holds a slot and a connection.
type attempt struct {
	s       *Server
	call    *relay.Call
	ticket  uint64
	started time.Time
	term    Term
	x       exchange
	once    sync.Once
	body    io.ReadCloser
	// server is the name of the backend server that the call is sent to.
	server string
}

func (a *attempt) notConnected(ctx context.Context, err error) *outcome.Refusal {
	switch {
	case ctx.Err() != nil:
		a.s.guard.leave(a.ticket, admission.ResultCancelled, 0)
		return relay.NotRun(outcome.ReasonCancelled)
	case errors.Is(err, errNoConnection):
		a.s.guard.leave(a.ticket, admission.ResultCancelled, 0)
		return relay.NotRun(outcome.ReasonQueueFull)
	}
	// Calls that come meanwhile would only queue up for a server that is not
	// there.
	a.s.unreachable.Store(true)
	a.s.refusedUntil.Store(a.s.cfg.Clock.Now().Add(refusedPause).UnixNano())
	a.s.guard.leave(a.ticket, admission.ResultRefused, 0)
	a.s.log.Debug().Err(err).Msg("backend server refused a connection")
	a.s.refused(err)
	return relay.NotRun(outcome.ReasonUnreachable)
}

func (a *attempt) run(ctx context.Context) (*relay.Response, *outcome.Refusal) {
	left := a.call.Deadline.Sub(a.s.cfg.Clock.Now())
	if left <= 0 {
		a.end(admission.ResultCancelled, true)
		return nil, relay.NotRun(outcome.ReasonDeadline)
	}
	if ctx.Err() != nil {
		a.end(admission.ResultCancelled, true)
		return nil, relay.NotRun(outcome.ReasonCancelled)
	}
	if !a.call.Idempotent {
		// The answer of a request that must not run twice is wanted even if the
		// connection that it came on is lost: it is kept for resends.
		ctx = context.WithoutCancel(ctx)
	}
	x := &a.x
	_ = x.c.nc.SetDeadline(time.Now().Add(left))
	x.watch(ctx)
	x.watch(a.term.Context)
	x.c.wrote = 0
	if err := x.writeRequest(a.call, a.fields(left)); err != nil {
		if x.c.wrote == 0 {
			a.end(admission.ResultRefused, false)
			return nil, relay.NotRun(outcome.ReasonUnreachable)
		}
		return nil, a.failed(ctx, err)
	}
	if err := x.readResponse(); err != nil {
		return nil, a.failed(ctx, err)
	}
	if a.s.cfg.Dialect != nil {
		return a.runDialect(ctx)
	}
	a.s.heard(x.response.Header.Get(headers.BootID))
	a.s.unreachable.Store(false)
	if id := x.response.Header.Get(headers.RequestID); id != "" && id != a.call.BackendRequestID() {
		return nil, a.failed(ctx, errCrossed)
	}
	if shed(x.response) {
		_, err := relay.Copy(io.Discard, io.LimitReader(x.response.Body, relay.MaxBufferedBytes), nil)
		a.end(admission.ResultShed, err == nil)
		return nil, a.retryAfter(relay.NotRun(outcome.ReasonShed))
	}
	return a.answer(ctx)
}

// shed reports whether the backend server says that it ran nothing.
func shed(r *http.Response) bool {
	return r.StatusCode == http.StatusServiceUnavailable && r.Header.Get(headers.Outcome) == outcome.OutcomeNotRun.String()
}

func (a *attempt) retryAfter(r *outcome.Refusal) *outcome.Refusal {
	if s, err := strconv.Atoi(a.x.response.Header.Get("Retry-After")); err == nil && s > 0 && s < 3600 {
		r.RetryAfter = time.Duration(s) * time.Second
	}
	return r
}

// answer hands the response on. Short answers are read whole first, so that
// the connection and the slot are free before the next hop gets the answer.
func (a *attempt) answer(ctx context.Context) (*relay.Response, *outcome.Refusal) {
	r := a.x.response
	relay.RemoveReserved(r.Header)
	answer := &relay.Response{
		Status: r.StatusCode, Header: r.Header, Length: r.ContentLength,
		Trailer: func() http.Header { return r.Trailer },
	}
	if a.call.Method == http.MethodHead || r.Body == http.NoBody {
		answer.Body = http.NoBody
		a.end(admission.ResultOK, true)
		return answer, nil
	}
	a.body, answer.Body = r.Body, a
	if err := answer.Buffer(); err != nil {
		return nil, a.failed(ctx, err)
	}
	return answer, nil
}

// fields returns the headers that tell the backend server about the call.
func (a *attempt) fields(left time.Duration) []field {
	if !a.term.Until.IsZero() && !a.call.Body.Streamed() {
		left = min(left, a.term.Until.Sub(a.s.cfg.Clock.Now()))
	}
	if a.s.cfg.Dialect != nil {
		return a.dialectFields(left)
	}
	list := make([]field, 0, 5)
	list = append(list,
		field{headers.RequestID, a.call.BackendRequestID()},
		field{headers.Deadline, strconv.FormatInt(max(left.Milliseconds(), 1), 10)},
		field{headers.Depth, strconv.Itoa(a.call.Depth)})
	if a.call.Keyed {
		list = append(list,
			field{headers.Fence, strconv.FormatUint(a.call.Epoch, 10)},
			field{headers.Partition, strconv.FormatUint(uint64(a.call.Partition), 10)})
	}
	return list
}

// failed ends an attempt of which at least one byte was written. The backend
// server is told to cancel it.
func (a *attempt) failed(ctx context.Context, err error) *outcome.Refusal {
	kind, refusal := admission.ResultFailed, relay.Unknown(outcome.ReasonConnectionLost)
	switch {
	case a.term.Context != nil && a.term.Context.Err() != nil:
		kind, refusal.Reason = admission.ResultCancelled, outcome.ReasonNoLease
	case ctx.Err() != nil:
		kind, refusal.Reason = admission.ResultCancelled, outcome.ReasonCancelled
	case errors.Is(err, os.ErrDeadlineExceeded) && !a.x.aborted.Load():
		kind, refusal.Reason = admission.ResultTimeout, outcome.ReasonDeadline
	case a.x.response != nil, errors.Is(err, errFraming), errors.Is(err, errHeaderTooLarge), errors.Is(err, io.ErrUnexpectedEOF):
		refusal.Reason = outcome.ReasonAnswerIncomplete
	}
	if a.cancel(kind) && a.x.sendErr != nil {
		refusal.Reason = outcome.ReasonCancelled
	}
	a.s.log.Debug().Err(err).Str("requestId", a.call.BackendRequestID()).Str("reason", string(refusal.Reason)).Msg("request to backend server failed")
	return refusal
}

// end gives slot and connection back, once. Complete means that the response
// was read to its end. It reports whether this call ended the attempt.
func (a *attempt) end(kind admission.ResultKind, complete bool) (ended bool) {
	a.once.Do(func() {
		ended = true
		a.release(complete)
		a.s.guard.leave(a.ticket, kind, a.s.cfg.Clock.Now().Sub(a.started))
	})
	return ended
}

// cancel ends an attempt that the backend server may still be working on, and
// tells it to stop. The slot is given back once the backend server has heard
// it: before, the next request could meet a server that was still full. It
// reports whether this call ended the attempt.
func (a *attempt) cancel(kind admission.ResultKind) (ended bool) {
	a.once.Do(func() {
		ended = true
		a.release(false)
		took := a.s.cfg.Clock.Now().Sub(a.started)
		if a.s.cfg.Dialect != nil {
			// The closed connection is what such a backend server is told by.
			a.s.guard.leave(a.ticket, kind, took)
			return
		}
		a.s.cancelLater(a.call.BackendRequestID(), func() { a.s.guard.leave(a.ticket, kind, took) })
	})
	return ended
}

// release gives the connection back.
func (a *attempt) release(complete bool) {
	x := &a.x
	early := x.finishBody()
	untouched := x.release()
	reusable := complete && untouched && !early && x.c.br.Buffered() == 0 && (x.response == nil || !x.response.Close)
	if reusable {
		_ = x.c.nc.SetDeadline(time.Time{})
	}
	a.s.pool.put(x.c, reusable)
}

// Read reads the body of the response. The end of the body frees slot and
// connection.
func (a *attempt) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if err == io.EOF {
		a.end(admission.ResultOK, true)
	} else if err != nil {
		a.cancel(admission.ResultFailed)
	}
	return n, err
}

// Close ends the attempt. If the body was not read to its end, the backend
// server is told to cancel the request.
func (a *attempt) Close() error {
	a.cancel(admission.ResultCancelled)
	return nil
}
