package backend

import (
	"context"
	"io"
	"time"

	"github.com/jujubeknot/jujubeknot/core/admission"
	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/node/dialect"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
)

// maxCrossed bounds the answers of other calls that are passed over on one
// connection.
const maxCrossed = 4

func (a *attempt) dialectCall(left time.Duration) dialect.Call {
	return dialect.Call{ID: a.call.ID, Header: a.call.Header, Server: a.server, Remaining: left}
}

// dialectFields returns the fields that another protocol adds to a call.
func (a *attempt) dialectFields(left time.Duration) []field {
	fields := a.s.cfg.Dialect.Backend.RequestFields(a.dialectCall(left))
	list := make([]field, 0, len(fields))
	for _, f := range fields {
		list = append(list, field{f.Name, f.Value})
	}
	return list
}

// runDialect reads the answer in another protocol. The header of the first
// response has been read.
func (a *attempt) runDialect(ctx context.Context) (*relay.Response, *outcome.Refusal) {
	x, d := &a.x, a.s.cfg.Dialect
	call := a.dialectCall(0)
	expected := d.Backend.ExpectedResponseID(call)
	var read dialect.Response
	for crossed := 0; ; crossed++ {
		read = d.Backend.ParseResponse(call, x.response.StatusCode, x.response.Header)
		if read.ID == "" || expected == "" || read.ID == expected {
			break
		}
		// A second answer to an earlier call: the one to this call follows.
		if crossed >= maxCrossed || x.response.Close {
			return nil, a.failed(ctx, errCrossed)
		}
		if _, err := relay.Copy(io.Discard, io.LimitReader(x.response.Body, relay.MaxBufferedBytes), nil); err != nil {
			return nil, a.failed(ctx, err)
		}
		if err := x.readResponse(); err != nil {
			return nil, a.failed(ctx, err)
		}
	}
	a.s.answered()
	a.s.pool.limitIdle(read.IdleTimeout)
	if !read.NotRun && !read.NotHeld && !read.WrongServer {
		return a.answer(ctx)
	}
	_, err := relay.Copy(io.Discard, io.LimitReader(x.response.Body, relay.MaxBufferedBytes), nil)
	refusal, kind := relay.NotRun(outcome.ReasonShed), admission.ResultShed
	switch {
	case read.WrongServer:
		// The address has another server now, so the one that was called is gone.
		refusal, kind = relay.NotRun(outcome.ReasonUnreachable), admission.ResultCancelled
		a.s.replaced(a.server)
	case read.NotHeld:
		refusal, kind = relay.NotRun(outcome.ReasonNotHeld), admission.ResultCancelled
	}
	a.end(kind, err == nil)
	refusal.RetryAfter = read.RetryAfter
	return nil, refusal
}

// answered notes an answer as a sign of life.
func (s *Server) answered() {
	now := s.cfg.Clock.Now()
	s.unreachable.Store(false)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lost && now.After(s.alive) {
		s.alive = now
	}
}
