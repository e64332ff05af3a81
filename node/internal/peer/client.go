// Package peer sends calls between nodes and serves them: on framed
// connections, or over HTTP/2 without TLS where the request body is long.
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

// Timeouts and limits of connections and calls between nodes.
const (
	dialTimeout = 500 * time.Millisecond
	idleTimeout = time.Minute
	// maxConnectAttempts limits the connections that are tried for one call.
	// Another connection is tried if one has closed before the call was sent.
	maxConnectAttempts = 3
	// refusalGrace is the time after the deadline in which a refusal from the
	// owner's node may still arrive. Such a refusal is more specific than an
	// expired deadline.
	refusalGrace = 50 * time.Millisecond
	// settleTimeout limits one settle request. settleInterval is the pause
	// between two settle requests for a call.
	settleTimeout  = 500 * time.Millisecond
	settleInterval = 50 * time.Millisecond
)

// Flow control windows. They limit the memory for a body that one side sends
// faster than the other side reads it. 256 KiB per stream allow 80 MB/s at a
// round-trip time of 3 ms.
const (
	streamWindow     = 256 << 10
	connectionWindow = 4 << 20
	maxStreams       = 4096
	// headerTableBytes is the size of the HPACK dynamic table. It is too small
	// for any entry. Most headers differ in each request, so that an entry
	// costs more than it saves.
	headerTableBytes = 1
	maxHeaderBytes   = 128 << 10
)

// maxUnadmittedBodyBytes is the largest body that is sent before the owner's
// node has admitted the call. It fills four packets. Larger bodies would
// saturate the network links of VMs where many calls wait, and delay all other
// traffic.
const maxUnadmittedBodyBytes = 6 << 10

// Client sends calls to other nodes. It is safe for concurrent use.
type Client struct {
	clock clock.Clock
	view  *view.View
	log   zerolog.Logger
	// framed has the connections for calls with short bodies, pooled those for
	// longer ones. unpooled opens a connection for each settle request for a
	// call that is not idempotent.
	framed   *framedClient
	pooled   *http.Transport
	unpooled *http.Transport
	// connections are the framed and pooled connections, which Run monitors.
	connections connectionSet
}

// ClientConfig sets up a Client. All fields but Log are required.
type ClientConfig struct {
	Clock clock.Clock
	Log   zerolog.Logger
	// View has the registration with which the client authenticates.
	View *view.View
}

// NewClient returns a client. Half-open connections are detected only while Run
// runs.
func NewClient(cfg ClientConfig) *Client {
	p := &Client{clock: cfg.Clock, view: cfg.View, log: cfg.Log}
	p.pooled = newTransport(func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return p.connections.add(nc, address, nil), nil
	})
	p.unpooled = newTransport(dial)
	p.unpooled.DisableKeepAlives = true
	p.framed = newFramedClient(&p.connections)
	return p
}

// Run pings connections and closes those that are half-open, until the context
// ends.
func (p *Client) Run(ctx context.Context) {
	monitor := &connMonitor{clock: p.clock, log: p.log, connections: &p.connections, observe: (*halfOpenDetector).observeDialed, ping: p.ping}
	monitor.run(ctx)
}

// ping sends a request so that bytes of the response arrive. The connection
// counts its reads, so the response itself is not used.
func (p *Client) ping(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, PingTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+pingPath, nil)
	if err != nil {
		p.log.Warn().Err(err).Str("peer", address).Msg("ping request to a node cannot be built")
		return
	}
	response, err := p.pooled.RoundTrip(q)
	if err != nil {
		p.log.Debug().Err(err).Str("peer", address).Msg("ping of a node failed")
		return
	}
	_ = response.Body.Close()
}

func newTransport(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		Protocols: protocols,
		HTTP2: &http.HTTP2Config{
			MaxEncoderHeaderTableSize: headerTableBytes, MaxReceiveBufferPerStream: streamWindow, MaxReceiveBufferPerConnection: connectionWindow,
		},
		DialContext:        dial,
		IdleConnTimeout:    idleTimeout,
		DisableCompression: true,
		// The transport must not send a body before the owner's node requests
		// it with status 100, so this time-out is longer than any deadline.
		ExpectContinueTimeout:  24 * time.Hour,
		MaxResponseHeaderBytes: maxHeaderBytes * 4,
	}
}

// dial opens a connection. Its error is a dialError.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	nc, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, &dialError{err}
	}
	return nc, nil
}

// dialError marks a failure that occurred before any byte was sent.
type dialError struct{ error }

// Unwrap returns the underlying error.
func (e *dialError) Unwrap() error { return e.error }

// Close closes the connections. It must not be called during a call.
func (p *Client) Close() {
	p.framed.close()
	p.pooled.CloseIdleConnections()
	p.unpooled.CloseIdleConnections()
}

// Connections returns the number of open connections to other nodes, without
// the single-use ones of settle requests.
func (p *Client) Connections() int { return p.connections.len() }

// Do runs a call on another node. If the connection is lost after the call was
// sent, Do sends a settle request to learn the outcome.
func (p *Client) Do(ctx context.Context, to *wirev1.Node, c *relay.Call) (*relay.Response, *outcome.Refusal) {
	remaining := c.Deadline.Sub(p.clock.Now())
	if remaining <= 0 {
		return nil, relay.NotRun(outcome.ReasonDeadline)
	}
	send := p.sendFramed
	if c.Body.Streamed() || len(c.Body.Buffered) > maxUnadmittedBodyBytes {
		send = p.sendStreamed
	}
	answer, refusal, err := send(ctx, to, c, remaining)
	if err == nil {
		return answer, refusal
	}
	if refusal.Outcome == outcome.OutcomeNotRun || ctx.Err() != nil {
		return nil, refusal
	}
	return p.settle(ctx, to, c, refusal)
}

// sendFramed sends a call once on the framed connection to a node. If it
// returns an error, the refusal states what is known of the outcome without a
// settle request.
func (p *Client) sendFramed(ctx context.Context, to *wirev1.Node, c *relay.Call, remaining time.Duration) (*relay.Response, *outcome.Refusal, error) {
	expired := time.NewTimer(remaining + refusalGrace)
	defer expired.Stop()
	target := p.connections.beginCallTo(framedTarget(to.GetPeerAddress()))
	end := sync.OnceFunc(func() { p.connections.endCall(target) })
	streamed := false
	defer func() {
		if !streamed {
			end()
		}
	}()
	var conn *clientConn
	var s *stream
	var id uint32
	for attempt := 0; s == nil; attempt++ {
		if attempt == maxConnectAttempts {
			return nil, relay.NotRun(outcome.ReasonUnreachable), errConnClosed
		}
		var err error
		if conn, err = p.framed.connect(ctx, expired.C, to.GetPeerAddress()); err != nil {
			return nil, relay.NotRun(outcome.ReasonUnreachable), err
		}
		s, id, err = conn.begin(ctx, p.view.Identity(), c, remaining)
		switch {
		case errors.Is(err, errConnClosed):
			// The connection is closed or takes no new calls.
			conn.unregister()
		case errors.Is(err, context.Canceled):
			return nil, relay.NotRun(outcome.ReasonCancelled), err
		case errors.Is(err, context.DeadlineExceeded):
			return nil, relay.NotRun(outcome.ReasonDeadline), err
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
			streamed = bindBody(ctx, r.answer, remaining+refusalGrace, end)
		}
		return r.answer, r.refusal, r.err
	case <-ctx.Done():
	case <-expired.C:
		unknown.Reason = outcome.ReasonDeadline
	}
	conn.cancel(id)
	select {
	case r := <-s.replied:
		if r.answer != nil {
			_ = r.answer.Body.Close()
		}
	default:
	}
	return nil, unknown, errCancelled
}

// bindBody fails a streamed body when the context ends or the remaining time
// has passed, and calls onClose when the body is closed. It reports whether the
// body is streamed.
func bindBody(ctx context.Context, a *relay.Response, remaining time.Duration, onClose func()) bool {
	b, ok := a.Body.(*streamedBody)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	stop := context.AfterFunc(ctx, func() { b.end(ctx.Err(), nil) })
	b.setOnClose(func() {
		stop()
		cancel()
		onClose()
	})
	return true
}

// setCredentials sets the headers that authenticate this node.
func (p *Client) setCredentials(h http.Header) {
	i := p.view.Identity()
	h[headers.PeerIncarnation] = []string{strconv.FormatUint(i.Incarnation, 10)}
	h[headers.PeerSecret] = []string{i.Secret}
}
