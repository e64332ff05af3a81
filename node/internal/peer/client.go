// Package peer carries requests between nodes over HTTP/2 without TLS.
package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/jujubeknot/jujubeknot/core/clock"
	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
	"github.com/jujubeknot/jujubeknot/node/internal/view"
	"github.com/jujubeknot/jujubeknot/wire/headers"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// Timeouts of connections between nodes.
const (
	dialTimeout = 500 * time.Millisecond
	idleTimeout = time.Minute
	// verdictGrace lets a refusal of the owner's node, which says more than the
	// passing of the deadline, still arrive.
	verdictGrace = 50 * time.Millisecond
	// settleTimeout bounds one question, settlePause is the time between two.
	settleTimeout = 500 * time.Millisecond
	settlePause   = 50 * time.Millisecond
)

// Flow control windows. They bound the memory for a body that one side sends
// faster than the other side takes it. 256 KiB per stream allow 80 MB/s at a
// round trip of 3 ms.
const (
	streamWindow     = 256 << 10
	connectionWindow = 4 << 20
	maxStreams       = 4096
	// headerTable keeps the encoder from entering headers into the dynamic
	// table. Most of them differ with each request, so that each entry costs
	// more than it saves.
	headerTable    = 1
	maxHeaderBytes = 128 << 10
)

// Client sends calls to other nodes. It is safe for concurrent use.
type Client struct {
	clock clock.Clock
	view  *view.View
	log   zerolog.Logger
	// shared has the connections that requests are multiplexed on; fresh opens
	// a connection for each question about a lost one.
	shared *http.Transport
	fresh  *http.Transport
	// watched are the shared connections.
	watched connections
}

// ClientConfig sets up a Client. All fields but Log are required.
type ClientConfig struct {
	Clock clock.Clock
	Log   zerolog.Logger
	// View has the registration that the client presents.
	View *view.View
}

// NewClient returns a client. Half-open connections are found while Run runs.
func NewClient(cfg ClientConfig) *Client {
	p := &Client{clock: cfg.Clock, view: cfg.View, log: cfg.Log}
	p.shared = transport(func(nc net.Conn, address string) net.Conn { return p.watched.add(nc, address) })
	p.fresh = transport(func(nc net.Conn, _ string) net.Conn { return nc })
	p.fresh.DisableKeepAlives = true
	return p
}

// Run pings connections and closes those that are half-open, until the context
// ends.
func (p *Client) Run(ctx context.Context) {
	w := &watcher{clock: p.clock, log: p.log, set: &p.watched, look: (*pulse).look, ping: p.ping}
	w.run(ctx)
}

// ping makes the other node answer. What was heard of it is noted by the
// connection, so that the answer itself says nothing more.
func (p *Client) ping(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, PingTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+pingPath, nil)
	if err != nil {
		p.log.Warn().Err(err).Str("peer", address).Msg("ping between nodes")
		return
	}
	response, err := p.shared.RoundTrip(q)
	if err != nil {
		p.log.Debug().Err(err).Str("peer", address).Msg("ping between nodes")
		return
	}
	_ = response.Body.Close()
}

func transport(opened func(nc net.Conn, address string) net.Conn) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		Protocols: protocols,
		HTTP2: &http.HTTP2Config{
			MaxEncoderHeaderTableSize: headerTable, MaxReceiveBufferPerStream: streamWindow, MaxReceiveBufferPerConnection: connectionWindow,
		},
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			nc, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, &dialError{err}
			}
			return opened(nc, address), nil
		},
		IdleConnTimeout:    idleTimeout,
		DisableCompression: true,
		// The transport must never send a body before the owner's node asks
		// for it, so it waits for longer than any deadline.
		ExpectContinueTimeout:  24 * time.Hour,
		MaxResponseHeaderBytes: maxHeaderBytes * 4,
	}
}

// dialError marks failures before any byte was sent.
type dialError struct{ error }

// Unwrap returns the cause.
func (e *dialError) Unwrap() error { return e.error }

// Close closes idle connections.
func (p *Client) Close() {
	p.shared.CloseIdleConnections()
	p.fresh.CloseIdleConnections()
}

// Connections returns the number of open connections to other nodes that calls
// share.
func (p *Client) Connections() int { return p.watched.len() }

// Do runs a call at another node. If the connection is lost after a
// non-idempotent call was sent, Do asks on a new connection what became of it.
func (p *Client) Do(ctx context.Context, to *wirev1.Node, c *relay.Call) (*relay.Answer, *outcome.Refusal) {
	left := c.Deadline.Sub(p.clock.Now())
	if left <= 0 {
		return nil, relay.NotRun(outcome.ReasonDeadline)
	}
	sendCtx, cancelSend := context.WithTimeout(ctx, left+verdictGrace)
	target := p.watched.call(to.GetPeerAddress())
	cancel := sync.OnceFunc(func() {
		cancelSend()
		p.watched.end(target)
	})
	answer, refusal, err := p.send(sendCtx, to, c, left)
	if err == nil {
		if refusal != nil || isKept(answer) {
			cancel()
			return answer, refusal
		}
		answer.Body = &cancelBody{answer.Body, cancel}
		return answer, nil
	}
	cancel()
	if refusal.Outcome == outcome.OutcomeNotRun || c.Idempotent || ctx.Err() != nil {
		return nil, refusal
	}
	return p.settle(ctx, to, c, refusal)
}

func isKept(a *relay.Answer) bool {
	_, ok := a.Kept()
	return ok || a.Body == http.NoBody
}

// send makes one sending. With an error the refusal says what is known without
// asking.
func (p *Client) send(ctx context.Context, to *wirev1.Node, c *relay.Call, left time.Duration) (*relay.Answer, *outcome.Refusal, error) {
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
	relay.Strip(response.Header)
	answer := &relay.Answer{
		Status: response.StatusCode, Header: response.Header, Length: response.ContentLength,
		Body: response.Body, Trailer: func() http.Header { return response.Trailer },
	}
	if c.Method == http.MethodHead {
		_ = response.Body.Close()
		answer.Body = http.NoBody
		return answer, nil, nil
	}
	if err := answer.Keep(); err != nil {
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
	switch {
	case b.Streamed():
		q.Header["Expect"] = []string{"100-continue"}
		q.Body = &streamBody{Reader: b.Reader(), abort: b.Abort}
	case len(b.Kept) > 0:
		q.Body = io.NopCloser(bytes.NewReader(b.Kept))
		q.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(b.Kept)), nil }
	}
}

func (p *Client) present(h http.Header) {
	i := p.view.Identity()
	h[headers.PeerIncarnation] = []string{strconv.FormatUint(i.Incarnation, 10)}
	h[headers.PeerSecret] = []string{i.Secret}
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

type cancelBody struct {
	io.ReadCloser
	cancel func()
}

// Close closes the body and ends the stream.
func (b *cancelBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}

// settle asks the node that a lost call was sent to what became of it, until
// it knows or the deadline passes.
func (p *Client) settle(ctx context.Context, to *wirev1.Node, c *relay.Call, lost *outcome.Refusal) (*relay.Answer, *outcome.Refusal) {
	for {
		left := c.Deadline.Sub(p.clock.Now())
		if left <= 0 {
			return nil, lost
		}
		s, err := p.ask(ctx, to, c.Sending, min(left, settleTimeout))
		if err == nil {
			switch s.State {
			case outcome.SettleBarred.String():
				return nil, relay.NotRun(outcome.ReasonBarred)
			case outcome.SettleResponse.String():
				return relay.KeptAnswer(s.Status, s.Header, s.Body).ReplyTo(c.Method), nil
			case outcome.SettleUnknown.String():
				return nil, lost
			}
		}
		pause := time.NewTimer(settlePause)
		select {
		case <-ctx.Done():
			pause.Stop()
			return nil, lost
		case <-pause.C:
		}
	}
}

// ask puts one question on a connection of its own.
func (p *Client) ask(ctx context.Context, to *wirev1.Node, sending string, timeout time.Duration) (*settlement, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := json.Marshal(settleQuestion{Sending: sending, Incarnation: to.GetIncarnation()})
	if err != nil {
		return nil, fmt.Errorf("settle: %w", err)
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.GetPeerAddress()+settlePath, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("settle: %w", err)
	}
	p.present(q.Header)
	response, err := p.fresh.RoundTrip(q)
	if err != nil {
		return nil, fmt.Errorf("settle: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("settle: status %d", response.StatusCode)
	}
	var s settlement
	if err := json.NewDecoder(io.LimitReader(response.Body, settleBytes)).Decode(&s); err != nil {
		return nil, fmt.Errorf("settle: %w", err)
	}
	return &s, nil
}
