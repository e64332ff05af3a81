package peer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
	"github.com/jujubeknot/jujubeknot/wire/headers"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// sendStreamed sends a call once over HTTP/2. The body is sent only after the
// call is admitted.
func (p *Client) sendStreamed(ctx context.Context, to *wirev1.Node, c *relay.Call, remaining time.Duration) (*relay.Response, *outcome.Refusal, error) {
	ctx, cancelSend := context.WithTimeout(ctx, remaining+refusalGrace)
	target := p.connections.beginCallTo(to.GetPeerAddress())
	cancel := sync.OnceFunc(func() {
		cancelSend()
		p.connections.endCall(target)
	})
	answer, refusal, err := p.send(ctx, to, c, remaining)
	if answer == nil {
		cancel()
		return nil, refusal, err
	}
	answer.OnClose(cancel)
	return answer, refusal, err
}

// send sends a call once over HTTP/2. If it returns an error, the refusal
// states what is known of the outcome without a settle request.
func (p *Client) send(ctx context.Context, to *wirev1.Node, c *relay.Call, remaining time.Duration) (*relay.Response, *outcome.Refusal, error) {
	q, err := p.newRequest(ctx, to, c, remaining)
	if err != nil {
		return nil, relay.NotRun(outcome.ReasonBadRequest), err
	}
	response, err := p.pooled.RoundTrip(q)
	if err != nil {
		refusal := classifyError(ctx, err)
		if q.Body.(*abortableBody).stop() {
			// The owner runs no call before it has received these bytes.
			refusal.Outcome = outcome.OutcomeNotRun
		}
		return nil, refusal, err
	}
	if r := relay.ReadRefusal(response.Header, response.Body); r != nil {
		_ = response.Body.Close()
		return nil, r, nil
	}
	if id := response.Header.Get(headers.RequestID); id != c.Sending {
		_ = response.Body.Close()
		return nil, relay.Unknown(outcome.ReasonAnswerIncomplete), errors.Errorf("response has request id %q, expected %q", id, c.Sending)
	}
	relay.RemoveReserved(response.Header)
	answer := &relay.Response{
		Status: response.StatusCode, Header: response.Header, Length: response.ContentLength,
		Body: response.Body, Trailer: func() http.Header { return response.Trailer },
	}
	if c.Method == http.MethodHead {
		_ = response.Body.Close()
		answer.Body = http.NoBody
		return answer, nil, nil
	}
	if err := answer.Buffer(); err != nil {
		return nil, relay.Unknown(outcome.ReasonAnswerIncomplete), err
	}
	return answer, nil, nil
}

// classifyError returns the refusal for a failed round trip.
func classifyError(ctx context.Context, err error) *outcome.Refusal {
	var dial *dialError
	switch {
	case errors.As(err, &dial):
		return relay.NotRun(outcome.ReasonUnreachable)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return relay.Unknown(outcome.ReasonDeadline)
	case ctx.Err() != nil:
		return relay.Unknown(outcome.ReasonCancelled)
	}
	return relay.Unknown(outcome.ReasonConnectionLost)
}

func (p *Client) newRequest(ctx context.Context, to *wirev1.Node, c *relay.Call, remaining time.Duration) (*http.Request, error) {
	u, err := url.ParseRequestURI(c.URI)
	if err != nil {
		return nil, fmt.Errorf("parse path of call: %w", err)
	}
	u.Scheme, u.Host = "http", to.GetPeerAddress()
	h := make(http.Header, len(c.Header)+5)
	for name, values := range c.Header {
		h[name] = values
	}
	q := (&http.Request{Method: c.Method, URL: u, Host: c.Host, Header: h, ProtoMajor: 2}).WithContext(ctx)
	p.setCredentials(h)
	h[headers.PeerCall] = []string{EncodeCall(c, remaining)}
	h[headers.PeerClass] = []string{encodeClass(c)}
	if c.Organisation != "" {
		h[headers.PeerOrganisation] = []string{c.Organisation}
	}
	if u.RequestURI() != c.URI {
		h[headers.PeerTarget] = []string{c.URI}
	}
	attachBody(q, c.Body)
	return q, nil
}

func attachBody(q *http.Request, b *relay.Body) {
	q.ContentLength = b.Size()
	q.Header["Expect"] = []string{"100-continue"}
	abort := b.Abort
	if abort == nil {
		// A body in memory has no blocking reads to abort.
		abort = func() {}
	}
	q.Body = &abortableBody{Reader: b.Reader(), abort: abort, needed: b.BytesBeforeRun()}
}

var errBodyStopped = errors.New("request body was stopped")

// abortableBody is a request body whose Close aborts a Read that waits for the
// caller.
type abortableBody struct {
	io.Reader
	abort func()
	once  sync.Once
	// needed is the number of bytes without which the owner runs no call.
	needed int64

	mu   sync.Mutex
	read int64
	// ended is true once the end of the body was read, stopped once no more of it
	// may be read.
	ended, stopped bool
}

// Read reads from the body. After an error or the end of the body, Close does
// not abort any more.
func (b *abortableBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil {
		b.once.Do(func() {})
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return 0, errBodyStopped
	}
	b.read += int64(n)
	b.ended = b.ended || err == io.EOF
	return n, err
}

// stop ends the body. It reports whether less of it was read than the owner
// needs to run the call. No later Read returns any of it.
func (b *abortableBody) stop() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	return !b.ended && b.read < b.needed
}

// Close aborts a Read that waits.
func (b *abortableBody) Close() error {
	b.once.Do(b.abort)
	return nil
}
