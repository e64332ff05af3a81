// Package relay has the types that packages caller, peer and backend share to
// forward a request: the call, its response, and the rules for headers, bodies
// and refusals at each hop.
package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/jujubeknot/jujubeknot/core/outcome"
)

// MaxBufferedBytes is the size of the largest body that is kept in memory, so
// that a refused request can be sent again and a response can be replayed.
const MaxBufferedBytes = 64 << 10

// Call is one request after routing.
type Call struct {
	// ID is the request id. It is the same for all attempts.
	ID string
	// Sending identifies this attempt. Attempts are settled or barred by it.
	Sending string
	// Upstream is the upstream that may run the call. If Keyed is true, only
	// the owner of Partition at Epoch may run it.
	Upstream  string
	Keyed     bool
	Partition uint32
	Epoch     uint64
	// KeyHash is the hash of the key, 0 if the request has none.
	KeyHash uint64
	// Organisation is the name of the organisation whose API key the request has,
	// or for which the call is made that the request is nested in. Empty means
	// none.
	Organisation string
	// Kind is the same for calls of one route, 0 if unknown.
	Kind     uint32
	Priority int
	// Nested is true if the backend server beside the entry node makes the call
	// while it runs a call of priority ParentPriority.
	Nested         bool
	ParentPriority int
	Depth          int
	Idempotent     bool
	// IDFromCaller is true if ID comes from the caller's Idempotency-Key, so
	// that earlier attempts may exist.
	IDFromCaller bool
	// Attempt is 1 if the caller reports that it never sent the request before,
	// and 0 if it reports nothing.
	Attempt int
	// Revision is the revision of the rules in force at the entry node when it
	// sent the call.
	Revision uint64
	// Deadline and TargetTime are by the node's clock. A response after
	// TargetTime counts as late. The zero time means that there is no target.
	Deadline, TargetTime time.Time

	Method string
	// URI is the path and the query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   *Body
}

// NestingDepth returns the depth that limits for nested calls apply to. It is 1
// or more for a nested call that states no depth.
func (c *Call) NestingDepth() int {
	if c.Nested {
		return max(c.Depth, 1)
	}
	return c.Depth
}

// Urgency returns the higher one of the priorities of the call and of the call
// that it is made for.
func (c *Call) Urgency() int {
	if c.Nested {
		return max(c.Priority, c.ParentPriority)
	}
	return c.Priority
}

// Parent is what a nested call takes over from the call that its backend server runs.
type Parent struct {
	// Urgency is that of Call.Urgency.
	Urgency int
	// Organisation is empty if the call is made for none.
	Organisation string
}

// AsParent returns what nested calls of this call take over.
func (c *Call) AsParent() Parent { return Parent{Urgency: c.Urgency(), Organisation: c.Organisation} }

// BackendRequestID returns the request id that is sent to the backend server.
// Attempts of an idempotent request have different ids, because one attempt may
// be cancelled while another runs.
func (c *Call) BackendRequestID() string {
	if c.Idempotent {
		return c.Sending
	}
	return c.ID
}

// Response is the response of a backend server on its way to the caller.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, -1 if unknown. A response to
	// HEAD has the announced length and the body http.NoBody.
	Length int64
	// Body returns io.EOF only after the complete body. A truncated body ends
	// with another error. Body must be closed.
	Body io.ReadCloser
	// Trailer returns the trailer after Body has returned io.EOF. It may be
	// nil.
	Trailer func() http.Header
}

// FinalStatus reports whether a status may end a response: 200 to 599. http.ReadResponse
// accepts any three digits.
func FinalStatus(status int) bool {
	return status >= http.StatusOK && status <= 599
}

// Target runs calls. Do returns either a response or a refusal: exactly one of
// them is not nil. Implementations must be safe for concurrent use.
type Target interface {
	Do(ctx context.Context, c *Call) (*Response, *outcome.Refusal)
}

// NotRun returns a refusal that states that no backend server ran the request.
func NotRun(reason outcome.Reason) *outcome.Refusal {
	return &outcome.Refusal{Outcome: outcome.OutcomeNotRun, Reason: reason}
}

// Unknown returns a refusal that leaves open whether a backend server ran the
// request.
func Unknown(reason outcome.Reason) *outcome.Refusal {
	return &outcome.Refusal{Outcome: outcome.OutcomeUnknown, Reason: reason}
}

// Buffer reads a body of up to MaxBufferedBytes into memory, so that a
// connection that breaks in the middle of the body is detected before the
// response is sent to the next hop. Longer bodies and bodies of unknown length
// stay streamed.
func (r *Response) Buffer() error {
	if r.Length < 0 || r.Length > MaxBufferedBytes || r.Body == http.NoBody {
		return nil
	}
	buffered := make([]byte, r.Length)
	if _, err := io.ReadFull(r.Body, buffered); err != nil {
		_ = r.Body.Close()
		return err
	}
	// Reads the end of the body, so that its connection becomes free.
	var rest [1]byte
	n, err := r.Body.Read(rest[:])
	_ = r.Body.Close()
	if n > 0 || err != io.EOF {
		return errBodyLength
	}
	r.Body = &bufferedBody{Reader: *bytes.NewReader(buffered), buffered: buffered}
	return nil
}

// BufferedBody returns the body and true if the body is in memory.
func (r *Response) BufferedBody() ([]byte, bool) {
	b, ok := r.Body.(*bufferedBody)
	if !ok {
		return nil, false
	}
	return b.buffered, true
}

// NewBufferedResponse returns a response with a body in memory.
func NewBufferedResponse(status int, header http.Header, body []byte) *Response {
	return &Response{
		Status: status, Header: header, Length: int64(len(body)),
		Body: &bufferedBody{Reader: *bytes.NewReader(body), buffered: body},
	}
}

// ForMethod returns the response as the method of its request requires it: a
// response to HEAD has no body. It changes the response in place.
func (r *Response) ForMethod(method string) *Response {
	if method == http.MethodHead {
		r.Body = http.NoBody
	}
	return r
}

type bufferedBody struct {
	bytes.Reader
	buffered []byte
}

// Close does nothing: the body is in memory.
func (*bufferedBody) Close() error { return nil }

// OnClose calls f when the body is closed, or immediately if the body is in
// memory.
func (r *Response) OnClose(f func()) {
	if _, ok := r.BufferedBody(); ok || r.Body == http.NoBody {
		f()
		return
	}
	r.Body = &callbackBody{r.Body, f}
}

type callbackBody struct {
	io.ReadCloser
	f func()
}

// Close closes the body and calls the function of OnClose.
func (b *callbackBody) Close() error {
	err := b.ReadCloser.Close()
	b.f()
	return err
}
