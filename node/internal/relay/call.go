// Package relay has what caller, peer and backend share about one request on
// its way: the call, its answer, and the rules for headers, bodies and
// refusals at each hop.
package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/jujubeknot/jujubeknot/core/outcome"
)

// MaxBufferedBytes is the largest body that is kept in memory, so that a refused
// request can be sent again and an answer be given again. Unit: bytes.
const MaxBufferedBytes = 64 << 10

// Call is one request after routing.
type Call struct {
	// ID is the same for each sending of the request.
	ID string
	// Sending identifies this sending and is what is settled or barred.
	Sending string
	// Upstream and, if Keyed, Partition and Epoch say who may run it.
	Upstream  string
	Keyed     bool
	Partition uint32
	Epoch     uint64
	// KeyHash is 0 if the request has no key.
	KeyHash    uint64
	Priority   int
	Depth      int
	Idempotent bool
	// IDFromCaller is true if ID comes from the caller's Idempotency-Key, so that
	// earlier sendings may exist.
	IDFromCaller bool
	// Attempt is 1 if the caller says that it never sent the request before,
	// 0 if it says nothing.
	Attempt int
	// Revision is that of the rules in force at the entry node when it sent the
	// call.
	Revision uint64
	// Deadline is by the node's clock, and so is TargetTime, after which the answer
	// is late. The zero time means that there is no target.
	Deadline, TargetTime time.Time

	Method string
	// URI is path and query as sent.
	URI    string
	Host   string
	Header http.Header
	Body   *Body
}

// BackendRequestID returns the request id that the backend server is told. Sendings of an
// idempotent request have different ones, because one may be cancelled while
// another runs.
func (c *Call) BackendRequestID() string {
	if c.Idempotent {
		return c.Sending
	}
	return c.ID
}

// Response is the response of a backend server on its way back.
type Response struct {
	Status int
	Header http.Header
	// Length of the body in bytes, -1 if unknown. An answer to HEAD has the
	// announced length and the body http.NoBody.
	Length int64
	// Body returns io.EOF only after the complete body; any other end is an
	// error. It must be closed.
	Body io.ReadCloser
	// Trailer returns the trailer after io.EOF. It may be nil.
	Trailer func() http.Header
}

// Target runs calls. A refusal is returned in place of an answer; exactly one
// of the two is not nil. Implementations are safe for concurrent use.
type Target interface {
	Do(ctx context.Context, c *Call) (*Response, *outcome.Refusal)
}

// NotRun returns a refusal which says that no backend server ran the request.
func NotRun(reason outcome.Reason) *outcome.Refusal {
	return &outcome.Refusal{Outcome: outcome.OutcomeNotRun, Reason: reason}
}

// Unknown returns a refusal which leaves open whether the request ran.
func Unknown(reason outcome.Reason) *outcome.Refusal {
	return &outcome.Refusal{Outcome: outcome.OutcomeUnknown, Reason: reason}
}

// Buffer reads a short answer whole, so that a connection which breaks in the
// middle shows before the next hop was told of the answer. Answers that are
// long or of unknown length stay streamed.
func (a *Response) Buffer() error {
	if a.Length < 0 || a.Length > MaxBufferedBytes || a.Body == http.NoBody {
		return nil
	}
	kept := make([]byte, a.Length)
	if _, err := io.ReadFull(a.Body, kept); err != nil {
		_ = a.Body.Close()
		return err
	}
	// Reads the end of the body, which frees the connection behind it.
	var rest [1]byte
	n, err := a.Body.Read(rest[:])
	_ = a.Body.Close()
	if n > 0 || err != io.EOF {
		return errBodyLength
	}
	a.Body = &keptBody{Reader: *bytes.NewReader(kept), kept: kept}
	return nil
}

// BufferedBody returns the body if Buffer has read it.
func (a *Response) BufferedBody() ([]byte, bool) {
	b, ok := a.Body.(*keptBody)
	if !ok {
		return nil, false
	}
	return b.kept, true
}

// NewBufferedResponse returns an answer with a body in memory.
func NewBufferedResponse(status int, header http.Header, body []byte) *Response {
	return &Response{
		Status: status, Header: header, Length: int64(len(body)),
		Body: &keptBody{Reader: *bytes.NewReader(body), kept: body},
	}
}

// ForMethod returns the answer as its request's method wants it: an answer to
// HEAD has no body.
func (a *Response) ForMethod(method string) *Response {
	if method == http.MethodHead {
		a.Body = http.NoBody
	}
	return a
}

type keptBody struct {
	bytes.Reader
	kept []byte
}

// Close does nothing: the body is in memory.
func (*keptBody) Close() error { return nil }

// OnClose calls f when the body is closed, or now if it is in memory.
func (a *Response) OnClose(f func()) {
	if _, ok := a.BufferedBody(); ok || a.Body == http.NoBody {
		f()
		return
	}
	a.Body = &closeBody{a.Body, f}
}

type closeBody struct {
	io.ReadCloser
	f func()
}

// Close closes the body and calls the function.
func (b *closeBody) Close() error {
	err := b.ReadCloser.Close()
	b.f()
	return err
}
