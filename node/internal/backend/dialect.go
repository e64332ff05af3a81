package backend

import (
	"context"
	"time"

	"github.com/jujubeknot/jujubeknot/core/admission"
	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/node/dialect"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
)

// maxMismatched is the number of responses to other calls that are skipped on a
// connection before the call fails.
const maxMismatched = 4

func (a *attempt) dialectCall(remaining time.Duration) dialect.Call {
	return dialect.Call{ID: a.call.ID, Organisation: a.call.Organisation, Header: a.call.Header, Server: a.server, Remaining: remaining}
}

// dialectFields returns the header fields that the dialect adds to a call.
func (a *attempt) dialectFields(remaining time.Duration) []field {
	fields := a.s.cfg.Dialect.Backend.RequestFields(a.dialectCall(remaining))
	list := make([]field, 0, len(fields))
	for _, f := range fields {
		list = append(list, field{f.Name, f.Value})
	}
	return list
}

// runDialect handles the response in a dialect. The header of the first
// response has already been read.
func (a *attempt) runDialect(ctx context.Context) (*relay.Response, *outcome.Refusal) {
	x, d := &a.x, a.s.cfg.Dialect
	call := a.dialectCall(0)
	expected := d.Backend.ExpectedResponseID(call)
	var read dialect.Response
	for mismatched := 0; ; mismatched++ {
		read = d.Backend.ParseResponse(call, x.response.StatusCode, x.response.Header)
		if read.ID == expected {
			break
		}
		// Without the id of this call, the response may be a late copy of that to an
		// earlier call, and proves nothing. The one to this call follows.
		if mismatched >= maxMismatched || x.response.Close {
			return nil, a.fail(ctx, errMismatchedID)
		}
		if err := discardBody(x.response.Body); err != nil {
			return nil, a.fail(ctx, err)
		}
		if err := x.readResponse(); err != nil {
			return nil, a.fail(ctx, err)
		}
	}
	if read.Invalid {
		return nil, a.fail(ctx, errInvalid)
	}
	a.s.recordDialectResponse()
	a.s.pool.limitIdle(read.IdleTimeout)
	if !read.NotRun && !read.NotHeld && !read.WrongServer {
		return a.answer(ctx)
	}
	err := discardBody(x.response.Body)
	refusal, kind := relay.NotRun(outcome.ReasonShed), admission.ResultShed
	switch {
	case read.WrongServer:
		// Another server now has the address, so the one that was called has
		// ended.
		refusal, kind = relay.NotRun(outcome.ReasonUnreachable), admission.ResultCancelled
	case read.NotHeld:
		refusal, kind = relay.NotRun(outcome.ReasonNotHeld), admission.ResultCancelled
	}
	a.finish(kind, err == nil)
	if read.WrongServer {
		a.s.confirmReplaced(ctx, a.server)
	}
	refusal.RetryAfter = read.RetryAfter
	return nil, refusal
}

// recordDialectResponse records contact with the backend server.
func (s *Server) recordDialectResponse() {
	now := s.cfg.RequestClock.Now()
	s.unreachable.Store(false)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lost && now.After(s.lastContact) {
		s.lastContact = now
	}
}
