// Package peer carries requests between nodes over HTTP/2 without TLS.
package peer

import (
	"context"
	"net"
	"net/http"
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
	// connectTries bounds the connections that are opened for one call when
	// each has ended before the call could be sent.
	connectTries = 3
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

// sendAheadBytes is the largest body that is sent before the owner's node has
// admitted its call: four packets. Larger ones would fill the links of VMs where
// many calls wait, so that nothing else gets through in time.
const sendAheadBytes = 6 << 10

// Client sends calls to other nodes. It is safe for concurrent use.
type Client struct {
	clock clock.Clock
	view  *view.View
	log   zerolog.Logger
	// framed has the connections for calls with short bodies, shared those for
	// longer ones; fresh opens a connection for each question about a
	// lost call.
	framed framedClient
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
	p.shared = transport(func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return p.watched.add(nc, address, nil), nil
	})
	p.fresh = transport(dial)
	p.fresh.DisableKeepAlives = true
	p.framed = framedClient{watched: &p.watched, peers: map[string]*dialed{}}
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

func transport(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		Protocols: protocols,
		HTTP2: &http.HTTP2Config{
			MaxEncoderHeaderTableSize: headerTable, MaxReceiveBufferPerStream: streamWindow, MaxReceiveBufferPerConnection: connectionWindow,
		},
		DialContext:        dial,
		IdleConnTimeout:    idleTimeout,
		DisableCompression: true,
		// The transport must never send a body before the owner's node asks
		// for it, so it waits for longer than any deadline.
		ExpectContinueTimeout:  24 * time.Hour,
		MaxResponseHeaderBytes: maxHeaderBytes * 4,
	}
}

// dial opens a connection. The error is a dialError.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	nc, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, &dialError{err}
	}
	return nc, nil
}

// dialError marks failures before any byte was sent.
type dialError struct{ error }

// Unwrap returns the cause.
func (e *dialError) Unwrap() error { return e.error }

// Close closes the connections. No call may be running.
func (p *Client) Close() {
	p.framed.close()
	p.shared.CloseIdleConnections()
	p.fresh.CloseIdleConnections()
}

// Connections returns the number of open connections to other nodes that calls
// share.
func (p *Client) Connections() int { return p.watched.len() }

// Do runs a call at another node. If the connection is lost after the call was
// sent, Do asks on a new connection what became of it.
func (p *Client) Do(ctx context.Context, to *wirev1.Node, c *relay.Call) (*relay.Response, *outcome.Refusal) {
	left := c.Deadline.Sub(p.clock.Now())
	if left <= 0 {
		return nil, relay.NotRun(outcome.ReasonDeadline)
	}
	send := p.sendFramed
	if c.Body.Streamed() || len(c.Body.Buffered) > sendAheadBytes {
		send = p.sendStreamed
	}
	answer, refusal, err := send(ctx, to, c, left)
	if err == nil {
		return answer, refusal
	}
	if refusal.Outcome == outcome.OutcomeNotRun || ctx.Err() != nil {
		return nil, refusal
	}
	return p.settle(ctx, to, c, refusal)
}

// sendFramed makes one sending on the framed connection to a node. With an
// error the refusal says what is known without asking.
func (p *Client) sendFramed(ctx context.Context, to *wirev1.Node, c *relay.Call, left time.Duration) (*relay.Response, *outcome.Refusal, error) {
	expired := time.NewTimer(left + verdictGrace)
	defer expired.Stop()
	target := p.watched.call(framedTarget(to.GetPeerAddress()))
	end := sync.OnceFunc(func() { p.watched.end(target) })
	streamed := false
	defer func() {
		if !streamed {
			end()
		}
	}()
	var link *clientLink
	var s *stream
	var id uint32
	for try := 0; s == nil; try++ {
		if try == connectTries {
			return nil, relay.NotRun(outcome.ReasonUnreachable), errLinkClosed
		}
		var err error
		if link, err = p.framed.connect(ctx, expired.C, to.GetPeerAddress()); err != nil {
			return nil, relay.NotRun(outcome.ReasonUnreachable), err
		}
		s, id, err = link.begin(p.view.Identity(), c, left)
		switch {
		case errors.Is(err, errLinkClosed):
			// The connection has ended or takes no more calls.
			link.left()
		case err != nil:
			return nil, relay.NotRun(outcome.ReasonBadRequest), err
		}
	}
	unknown := relay.Unknown(outcome.ReasonCancelled)
	select {
	case r := <-s.replied:
		switch {
		case r.err != nil && r.refusal == nil:
			return nil, relay.Unknown(outcome.ReasonConnectionLost), r.err
		case r.answer != nil:
			streamed = watchBody(ctx, r.answer, left+verdictGrace, end)
		}
		return r.answer, r.refusal, r.err
	case <-ctx.Done():
	case <-expired.C:
		unknown.Reason = outcome.ReasonDeadline
	}
	link.cancel(id)
	select {
	case r := <-s.replied:
		if r.answer != nil {
			_ = r.answer.Body.Close()
		}
	default:
	}
	return nil, unknown, errCancelled
}

// watchBody ends a streamed body with the context, or when its time is over, and
// calls closed when it is closed. It reports whether the body is a streamed one.
func watchBody(ctx context.Context, a *relay.Response, left time.Duration, closed func()) bool {
	b, ok := a.Body.(*incoming)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	stop := context.AfterFunc(ctx, func() { b.end(ctx.Err(), nil) })
	b.watched(func() {
		stop()
		cancel()
		closed()
	})
	return true
}

func (p *Client) present(h http.Header) {
	i := p.view.Identity()
	h[headers.PeerIncarnation] = []string{strconv.FormatUint(i.Incarnation, 10)}
	h[headers.PeerSecret] = []string{i.Secret}
}
