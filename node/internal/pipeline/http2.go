package pipeline

import (
	"bufio"
	"net"
	"sync"
)

// http2Preface is the start of the connection preface of HTTP/2.
const http2Preface = "PRI * HTTP/2.0"

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
	c.mu.Lock()
	c.passed = true
	c.deadline(0)
	c.mu.Unlock()
	closed := make(chan struct{})
	if !c.server.http2Conns.pass(&passedConn{bufferedConn{c.nc, c.br}, closed, sync.Once{}}) {
		return true
	}
	<-closed
	return true
}

// passedConn is a connection that was passed to the HTTP/2 server. Its
// field closed is a channel that is closed together with the connection.
type passedConn struct {
	bufferedConn
	closed chan struct{}
	once   sync.Once
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
