package pipeline

import (
	"bufio"
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/jujubeknot/jujubeknot/core/intake"
	"github.com/jujubeknot/jujubeknot/node/internal/ledger"
)

// http2Preface is the start of the connection preface of HTTP/2.
const http2Preface = "PRI * HTTP/2.0"

// http2ConnectionCost is the memory of a connection beside that over HTTP/1.1: its frames,
// header table, and a header that has arrived in part.
const http2ConnectionCost = 64 << 10

// passHTTP2 passes a connection that begins with the HTTP/2 preface to the
// HTTP/2 server, waits until it is closed, and reports whether it was passed.
func (c *conn) passHTTP2() bool {
	first, err := c.await(1, c.server.IdleTimeout)
	if err != nil || first[0] != http2Preface[0] {
		return false
	}
	if prefix, err := c.await(len(http2Preface), c.server.HeaderTimeout); err != nil || string(prefix) != http2Preface || c.server.http2Conns == nil {
		return false
	}
	if !c.entry.Hold(http2ConnectionCost) {
		return true
	}
	c.mu.Lock()
	c.passed = true
	c.deadline(0)
	c.mu.Unlock()
	closed := make(chan struct{})
	if !c.server.http2Conns.pass(&passedConn{bufferedConn: bufferedConn{c.nc, c.br}, entry: c.entry, frames: c.server.newFrameCounter(c.entry), closed: closed}) {
		return true
	}
	<-closed
	return true
}

// defaultHTTP2Window is the default of net/http for MaxReceiveBufferPerConnection.
const defaultHTTP2Window = 1 << 20

func (s *Server) newFrameCounter(e *ledger.Entry) frameCounter {
	window := 0
	if s.HTTP2.HTTP2 != nil {
		window = s.HTTP2.HTTP2.MaxReceiveBufferPerConnection
	}
	return frameCounter{entry: e, skip: http2PrefaceBytes, window: int64(cmp.Or(window, defaultHTTP2Window))}
}

// passedConn is a connection that was passed to the HTTP/2 server. Its
// field closed is a channel that is closed together with the connection.
type passedConn struct {
	bufferedConn
	entry  *ledger.Entry
	frames frameCounter
	// activations is how often the connection has become active. It does so once before
	// its first request.
	activations int
	closed      chan struct{}
	once        sync.Once
}

// trackHTTP2 tells the ledger whether a connection has requests.
func trackHTTP2(nc net.Conn, s http.ConnState) {
	p, ok := nc.(*passedConn)
	if !ok {
		return
	}
	stage := intake.StageRunning
	switch s {
	case http.StateActive:
		p.activations++
	case http.StateIdle:
		p.frames.idle()
		if stage = intake.StageIdle; p.activations < 2 {
			stage = intake.StageHeader
		}
	default:
		return
	}
	if !p.entry.Enter(stage) {
		_ = p.Close()
	}
}

type passedKey struct{}

// withPassedConn adds a connection to the context of its requests.
func withPassedConn(ctx context.Context, nc net.Conn) context.Context {
	if p, ok := nc.(*passedConn); ok {
		return context.WithValue(ctx, passedKey{}, p)
	}
	return ctx
}

// HTTP2RequestBegun tells that a handler has begun to count the memory of a request of an
// HTTP/2 connection, which ctx is the context of.
func HTTP2RequestBegun(ctx context.Context) {
	if p, ok := ctx.Value(passedKey{}).(*passedConn); ok {
		p.frames.requestBegun()
	}
}

// Read reads frames. It fails if there is no room for what they cost in memory.
func (p *passedConn) Read(b []byte) (int, error) {
	n, err := p.bufferedConn.Read(b)
	if n > 0 && !p.frames.count(b[:n]) {
		return 0, errNoMemory
	}
	return n, err
}

// Close closes the connection.
func (p *passedConn) Close() error {
	p.once.Do(func() { close(p.closed) })
	return p.bufferedConn.Close()
}

// passedListener is a listener for connections that another listener accepted.
type passedListener struct {
	address net.Addr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func newPassedListener(address net.Addr) *passedListener {
	return &passedListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Accept waits for the next connection.
func (l *passedListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close makes Accept return net.ErrClosed.
func (l *passedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns the address of the listener that accepts the connections.
func (l *passedListener) Addr() net.Addr { return l.address }

// pass makes Accept return a connection. It reports false if the listener is
// closed.
func (l *passedListener) pass(c net.Conn) bool {
	select {
	case l.conns <- c:
		return true
	case <-l.closed:
		return false
	}
}

// bufferedConn is a connection of which some bytes were already read into a
// buffer.
type bufferedConn struct {
	net.Conn
	br *bufio.Reader
}

// Read returns the buffered bytes first.
func (b *bufferedConn) Read(p []byte) (int, error) { return b.br.Read(p) }
