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

// refusedBackoff is the time after a refused connection for which calls are
// refused at once. After each back-off the next call finds out whether the
// backend server is reachable again.
const refusedBackoff = 25 * time.Millisecond

// Permit is the permission to run a call. For keyed calls it is bounded by the
// lease.
type Permit struct {
	// Context ends with the lease. It is nil for calls without a key.
	Context context.Context
	// Until caps the deadline that is sent to the backend server, zero for no
	// cap.
	Until time.Time
}

// Gate decides whether a call may still run.
type Gate struct {
	// Halt is closed when calls in the queue must leave it, with HaltReason.
	// It may be nil.
	Halt       <-chan struct{}
	HaltReason outcome.Reason
	// BeforeSend is called right before the first byte of a call is written. It
	// returns the permit, or a refusal that keeps the call from being written.
	BeforeSend func() (Permit, *outcome.Refusal)
}

// Do runs one call: it waits for a slot, takes a connection, checks the gate,
// and sends the call. A refusal with outcome notRun means that no byte was
// written or that the backend server reported that it did not run the call.
func (s *Server) Do(ctx context.Context, call *relay.Call, gate Gate) (*relay.Response, *outcome.Refusal) {
	if s.cfg.RequestClock.Now().UnixNano() < s.refusedUntil.Load() {
		return nil, relay.NotRun(outcome.ReasonUnreachable)
	}
	if s.drained() {
		return nil, relay.NotRun(outcome.ReasonStopping)
	}
	if refusal := s.bodies.receive(ctx, call, s.admission.expectedService); refusal != nil {
		return nil, refusal
	}
	ticket, refusal := s.admission.acquire(ctx, call, gate.Halt, gate.HaltReason)
	if refusal != nil {
		if (refusal.Reason == outcome.ReasonQueueFull || refusal.Reason == outcome.ReasonCold) && s.unreachable.Load() {
			// The queue is full because the backend server does not respond.
			// With this reason, entry nodes hold the call until the partition
			// has another owner.
			refusal.Reason = outcome.ReasonUnreachable
		}
		return nil, refusal
	}
	a := &attempt{s: s, call: call, ticket: ticket, started: s.cfg.RequestClock.Now(), server: s.Announced().GetName()}
	c, err := s.pool.get(ctx, s.receivedID(call))
	if err != nil {
		return nil, a.notConnected(ctx, err)
	}
	if c.isNew() {
		s.unreachable.Store(false)
	}
	a.prepare(c)
	if s.drained() {
		a.finish(admission.ResultCancelled, true)
		return nil, relay.NotRun(outcome.ReasonStopping)
	}
	if a.permit, refusal = gate.BeforeSend(); refusal != nil {
		a.finish(admission.ResultCancelled, true)
		return nil, refusal
	}
	if s.hedges.applies(call) {
		return s.runHedged(ctx, a, gate)
	}
	return a.run(ctx)
}

// attempt is a call that holds a slot and a connection. It is also the body of
// the response, so that reading or closing the body frees both.
type attempt struct {
	s       *Server
	call    *relay.Call
	ticket  uint64
	started time.Time
	permit  Permit
	x       exchange
	once    sync.Once
	body    io.ReadCloser
	// server is the name of the backend server that the call is sent to.
	server string
	// counted is true if the call counts as running.
	counted bool
	// onEnd is called when the attempt has ended. Nil means nothing.
	onEnd func()
}

// prepare sets the connection on which the call is sent.
func (a *attempt) prepare(c *conn) {
	a.x.c, a.x.method = c, a.call.Method
	if d := a.s.cfg.Dialect; d != nil {
		a.x.renameField, a.x.allowUnframed = d.Backend.RequestFieldName, true
	}
}

func (a *attempt) notConnected(ctx context.Context, err error) *outcome.Refusal {
	switch {
	case ctx.Err() != nil:
		a.s.admission.release(a.ticket, admission.ResultCancelled, 0)
		return relay.NotRun(outcome.ReasonCancelled)
	case errors.Is(err, errNoConnection):
		a.s.admission.release(a.ticket, admission.ResultCancelled, 0)
		return relay.NotRun(outcome.ReasonQueueFull)
	}
	// During the back-off, further calls would only queue up for a backend
	// server that does not listen.
	a.s.unreachable.Store(true)
	a.s.refusedUntil.Store(a.s.cfg.RequestClock.Now().Add(refusedBackoff).UnixNano())
	a.s.admission.release(a.ticket, admission.ResultRefused, 0)
	a.s.log.Debug().Err(err).Msg("backend server refused a connection")
	a.s.confirmRefusal(err)
	return relay.NotRun(outcome.ReasonUnreachable)
}

func (a *attempt) run(ctx context.Context) (*relay.Response, *outcome.Refusal) {
	remaining := a.call.Deadline.Sub(a.s.cfg.RequestClock.Now())
	if remaining <= 0 {
		a.finish(admission.ResultCancelled, true)
		return nil, relay.NotRun(outcome.ReasonDeadline)
	}
	if ctx.Err() != nil {
		a.finish(admission.ResultCancelled, true)
		return nil, relay.NotRun(outcome.ReasonCancelled)
	}
	if !a.call.Idempotent {
		// The response to a request that must not run twice is read even if the
		// caller's connection is lost, because the response is kept for
		// resends.
		ctx = context.WithoutCancel(ctx)
	}
	x := &a.x
	_ = x.c.nc.SetDeadline(time.Now().Add(remaining))
	x.watch(ctx)
	x.watch(a.permit.Context)
	x.c.written.Store(0)
	a.counted = true
	a.s.running.add(a.s.receivedID(a.call), a.call.AsParent())
	if err := x.writeRequest(a.call, a.fields(remaining)); err != nil {
		if x.c.written.Load() == 0 {
			a.finish(admission.ResultRefused, false)
			return nil, relay.NotRun(outcome.ReasonUnreachable)
		}
		return nil, a.fail(ctx, err)
	}
	if err := x.readResponse(); err != nil {
		return nil, a.fail(ctx, err)
	}
	if x.c.written.Load() == 0 {
		// The first part of a streamed body has not arrived, so nothing was sent that
		// this could be the response to.
		return nil, a.fail(ctx, errEarlyResponse)
	}
	if a.s.cfg.Dialect != nil {
		return a.runDialect(ctx)
	}
	if a.s.pool.isCurrent(x.c) {
		// A response of a process that has been replaced says nothing about the
		// announced one.
		a.s.recordResponse(x.response.Header.Get(headers.BootID))
	}
	a.s.unreachable.Store(false)
	if id := x.response.Header.Get(headers.RequestID); id != "" && id != a.call.BackendRequestID() {
		return nil, a.fail(ctx, errMismatchedID)
	}
	if isShed(x.response) {
		// Without an id, a late copy of the refusal could be taken for the response to
		// another request, so the connection is not used again.
		identified := x.response.Header.Get(headers.RequestID) != ""
		a.finish(admission.ResultShed, discardBody(x.response.Body) == nil && identified)
		return nil, a.retryAfter(relay.NotRun(outcome.ReasonShed))
	}
	return a.answer(ctx)
}

// discardBody reads a body of up to relay.MaxBufferedBytes to its end. It returns
// an error if the body is longer: the connection must then not be used again,
// because the rest would be taken for the next response.
func discardBody(body io.Reader) error {
	n, err := relay.Copy(io.Discard, io.LimitReader(body, relay.MaxBufferedBytes+1), nil)
	if err == nil && n > relay.MaxBufferedBytes {
		return errBodyTooLong
	}
	return err
}

// isShed reports whether the backend server reports that it did not run the
// request.
func isShed(r *http.Response) bool {
	return r.StatusCode == http.StatusServiceUnavailable && r.Header.Get(headers.Outcome) == outcome.OutcomeNotRun.String()
}

func (a *attempt) retryAfter(r *outcome.Refusal) *outcome.Refusal {
	if s, err := strconv.Atoi(a.x.response.Header.Get("Retry-After")); err == nil && s > 0 && s < 3600 {
		r.RetryAfter = time.Duration(s) * time.Second
	}
	return r
}

// answer returns the response. Short responses are read completely first, so
// that connection and slot are free before the next hop gets the response.
func (a *attempt) answer(ctx context.Context) (*relay.Response, *outcome.Refusal) {
	r := a.x.response
	relay.RemoveReserved(r.Header)
	answer := &relay.Response{
		Status: r.StatusCode, Header: r.Header, Length: r.ContentLength,
		Trailer: func() http.Header { return r.Trailer },
	}
	if a.call.Method == http.MethodHead || r.Body == http.NoBody {
		answer.Body = http.NoBody
		a.finish(admission.ResultOK, true)
		return answer, nil
	}
	a.body, answer.Body = r.Body, a
	if err := answer.Buffer(); err != nil {
		return nil, a.fail(ctx, err)
	}
	return answer, nil
}

// fields returns the header fields that describe the call to the backend
// server.
func (a *attempt) fields(remaining time.Duration) []field {
	if !a.permit.Until.IsZero() && !a.call.Body.Streamed() {
		remaining = min(remaining, a.permit.Until.Sub(a.s.cfg.Clock.Now()))
	}
	if a.s.cfg.Dialect != nil {
		return a.dialectFields(remaining)
	}
	list := make([]field, 0, 6)
	list = append(list,
		field{headers.RequestID, a.call.BackendRequestID()},
		field{headers.Deadline, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10)},
		field{headers.Depth, strconv.Itoa(a.call.Depth)})
	if a.call.Organisation != "" {
		list = append(list, field{headers.Organisation, a.call.Organisation})
	}
	if a.call.Keyed {
		list = append(list,
			field{headers.Fence, strconv.FormatUint(a.call.Epoch, 10)},
			field{headers.Partition, strconv.FormatUint(uint64(a.call.Partition), 10)})
	}
	return list
}

// fail ends an attempt of which a byte may have been written, and makes the backend
// server cancel it.
func (a *attempt) fail(ctx context.Context, err error) *outcome.Refusal {
	kind, refusal := admission.ResultFailed, relay.Unknown(outcome.ReasonConnectionLost)
	switch {
	case a.permit.Context != nil && a.permit.Context.Err() != nil:
		kind, refusal.Reason = admission.ResultCancelled, outcome.ReasonNoLease
	case ctx.Err() != nil:
		kind, refusal.Reason = admission.ResultCancelled, outcome.ReasonCancelled
	case errors.Is(err, os.ErrDeadlineExceeded) && !a.x.aborted.Load():
		kind, refusal.Reason = admission.ResultTimeout, outcome.ReasonDeadline
	case a.x.response != nil, errors.Is(err, errFraming), errors.Is(err, errStatus), errors.Is(err, errFieldName), errors.Is(err, errHeaderTooLarge), errors.Is(err, io.ErrUnexpectedEOF):
		refusal.Reason = outcome.ReasonAnswerIncomplete
	}
	if a.cancel(kind) && a.x.sendErr != nil {
		refusal.Reason = outcome.ReasonCancelled
	}
	if a.x.c.written.Load() == 0 {
		// cancel has ended the goroutine that streams the body.
		refusal.Outcome = outcome.OutcomeNotRun
	}
	a.s.log.Debug().Err(err).Str("requestId", a.call.BackendRequestID()).Str("reason", string(refusal.Reason)).Msg("request to backend server failed")
	return refusal
}

// finish releases slot and connection, once. Complete means that the connection
// may be reused: the response was read to its end, or nothing was sent. It
// reports whether this call ended the attempt.
func (a *attempt) finish(kind admission.ResultKind, complete bool) (ended bool) {
	a.once.Do(func() {
		ended = true
		a.releaseConn(complete)
		latency := a.s.cfg.RequestClock.Now().Sub(a.started)
		a.s.admission.release(a.ticket, kind, latency)
		if kind == admission.ResultOK {
			a.s.hedges.record(a.call, latency, kind)
		}
	})
	return ended
}

// cancel ends an attempt that the backend server may still be working on, and
// requests its cancellation from the backend server. The slot is released once
// the backend server has responded to the cancellation, or after
// Config.CancelHold. A slot that is released earlier would let the next request
// reach a backend server that is still full. It reports whether this call ended
// the attempt.
func (a *attempt) cancel(kind admission.ResultKind) (ended bool) {
	a.once.Do(func() {
		ended = true
		a.releaseConn(false)
		latency := a.s.cfg.RequestClock.Now().Sub(a.started)
		a.s.hedges.record(a.call, latency, kind)
		if a.s.cfg.Dialect != nil {
			// Dialects have no cancel call: the closed connection is the
			// signal.
			a.s.admission.release(a.ticket, kind, latency)
			return
		}
		a.s.enqueueCancel(a.call.BackendRequestID(), func() { a.s.admission.release(a.ticket, kind, latency) })
	})
	return ended
}

// releaseConn returns the connection to the pool, which closes it unless it may
// be reused.
func (a *attempt) releaseConn(complete bool) {
	if a.counted {
		a.s.running.remove(a.s.receivedID(a.call))
	}
	if a.onEnd != nil {
		defer a.onEnd()
	}
	x := &a.x
	early := x.finishBody()
	intact := x.stopWatching()
	reusable := complete && intact && !early && x.c.br.Buffered() == 0 && (x.response == nil || !x.response.Close)
	if reusable {
		_ = x.c.nc.SetDeadline(time.Time{})
	}
	a.s.pool.put(x.c, reusable)
}

// Read reads the body of the response. The end of the body releases slot and
// connection.
func (a *attempt) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if err == io.EOF && a.x.ambiguousEnd() {
		err = io.ErrUnexpectedEOF
	}
	if err == io.EOF {
		a.finish(admission.ResultOK, true)
	} else if err != nil {
		a.cancel(admission.ResultFailed)
	}
	return n, err
}

// Close ends the attempt. If the body was not read to its end, the backend
// server is made to cancel the request.
func (a *attempt) Close() error {
	a.cancel(admission.ResultCancelled)
	return nil
}
