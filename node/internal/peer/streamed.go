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

// sendStreamed makes one sending over HTTP/2, which waits for admission before
// the body.
func (p *Client) sendStreamed(ctx context.Context, to *wirev1.Node, c *relay.Call, left time.Duration) (*relay.Response, *outcome.Refusal, error) {
	ctx, cancelSend := context.WithTimeout(ctx, left+verdictGrace)
	target := p.watched.call(to.GetPeerAddress())
	cancel := sync.OnceFunc(func() {
		cancelSend()
		p.watched.end(target)
	})
	answer, refusal, err := p.send(ctx, to, c, left)
	if answer == nil {
		cancel()
		return nil, refusal, err
	}
	answer.OnClose(cancel)
	return answer, refusal, err
}

// send makes one sending. With an error the refusal says what is known without
// asking.
func (p *Client) send(ctx context.Context, to *wirev1.Node, c *relay.Call, left time.Duration) (*relay.Response, *outcome.Refusal, error) {
	q, err := p.request(ctx, to, c, left)
	if err != nil {
		return nil, relay.NotRun(outcome.ReasonBadRequest), err
	}
	response, err := p.shared.RoundTrip(q)
	if err != nil {
		return nil, classify(ctx, err), err
	}
	if r := relay.ReadRefusal(response.Header, response.Body); r != nil {
		_ = response.Body.Close()
		return nil, r, nil
	}
	if id := response.Header.Get(headers.RequestID); id != c.Sending {
		_ = response.Body.Close()
		return nil, relay.Unknown(outcome.ReasonAnswerIncomplete), errors.Errorf("answer to %q on the request %q", id, c.Sending)
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

func classify(ctx context.Context, err error) *outcome.Refusal {
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

func (p *Client) request(ctx context.Context, to *wirev1.Node, c *relay.Call, left time.Duration) (*http.Request, error) {
	u, err := url.ParseRequestURI(c.URI)
	if err != nil {
		return nil, fmt.Errorf("path for peer: %w", err)
	}
	u.Scheme, u.Host = "http", to.GetPeerAddress()
	h := make(http.Header, len(c.Header)+4)
	for name, values := range c.Header {
		h[name] = values
	}
	q := (&http.Request{Method: c.Method, URL: u, Host: c.Host, Header: h, ProtoMajor: 2}).WithContext(ctx)
	p.present(h)
	h[headers.PeerCall] = []string{EncodeCall(c, left)}
	attachBody(q, c.Body)
	return q, nil
}

func attachBody(q *http.Request, b *relay.Body) {
	q.ContentLength = b.Size()
	q.Header["Expect"] = []string{"100-continue"}
	abort := b.Abort
	if abort == nil {
		// A body in memory has no sender to wait for.
		abort = func() {}
	}
	q.Body = &streamBody{Reader: b.Reader(), abort: abort}
}

// streamBody makes the transport's Close end a read that waits for the caller.
type streamBody struct {
	io.Reader
	abort func()
	once  sync.Once
	done  bool
}

// Read notes the end of the body, after which nothing needs to be ended.
func (b *streamBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil {
		b.once.Do(func() {})
	}
	return n, err
}

// Close ends a read that waits.
func (b *streamBody) Close() error {
	b.once.Do(b.abort)
	return nil
}
