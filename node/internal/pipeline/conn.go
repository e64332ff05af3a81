package pipeline

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	readBufferBytes = 4 << 10
	// lingerTimeout and lingerBytes bound what is read and discarded after the
	// last response. Closing a socket with unread data makes the kernel send a
	// reset, which could destroy the response before the caller has read it.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 256 << 10
	// http2Preface is the start of the connection preface of HTTP/2.
	http2Preface = "PRI * HTTP/2.0"
)

var (
	errHeaderTooLarge = errors.New("header is too large")
	pastDeadline      = time.Unix(1, 0)
)

// conn is one connection of a caller. Its goroutine reads requests. Each
// request runs in a goroutine of its own.
type conn struct {
	server      *Server
	nc          net.Conn
	limitReader headerLimitReader
	br          *bufio.Reader
	ctx         context.Context
	cancel      context.CancelFunc
	// requestCtx is the context of the requests. It ends with ctx or before.
	requestCtx     context.Context
	cancelRequests context.CancelFunc

	mu sync.Mutex
	// inFlight is the number of requests whose header was read and whose
	// response is not complete.
	inFlight int
	// readingHeader is true from the first byte of a request to the end of its
	// header.
	readingHeader bool
	// shuttingDown is set by a shutdown. readsStopped is set once no further
	// request is read. finalSent is set once the last response was sent, which
	// has "Connection: close".
	shuttingDown, readsStopped, finalSent bool
}

// headerLimitReader reads from a connection and bounds the bytes that are read
// for one request header.
type headerLimitReader struct {
	nc net.Conn
	// remaining is the number of bytes that may still be read, -1 for no bound.
	remaining int
}

// Read returns errHeaderTooLarge when the bound is reached.
func (h *headerLimitReader) Read(p []byte) (int, error) {
	if h.remaining == 0 {
		return 0, errHeaderTooLarge
	}
	if h.remaining > 0 && len(p) > h.remaining {
		p = p[:h.remaining]
	}
	n, err := h.nc.Read(p)
	if h.remaining > 0 {
		h.remaining -= n
	}
	return n, err
}

// serve reads requests until the connection is closed or its last request was
// read, and waits for their responses.
func (c *conn) serve() {
	var requests sync.WaitGroup
	defer func() {
		// The caller has disconnected, or has sent its last request and still
		// receives the responses.
		requests.Wait()
		c.cancel()
		if c.hasSentFinal() {
			c.linger()
		}
		_ = c.nc.Close()
	}()
	if c.passHTTP2() {
		return
	}
	previous := make(chan struct{})
	close(previous)
	// barrier is true while the latest request must not run concurrently with
	// others.
	barrier := false
	slots := make(chan struct{}, c.server.maxPipelined())
	for {
		r, err := c.readRequest()
		if err != nil {
			c.writeParseError(err, previous)
			return
		}
		exclusive := !isConcurrent(r)
		if (exclusive || barrier) && !c.waitFor(previous) {
			c.requestEnded()
			return
		}
		barrier = exclusive
		select {
		case slots <- struct{}{}:
		case <-c.ctx.Done():
			c.requestEnded()
			return
		}
		w := newWriter(c, r, previous)
		previous = w.done
		c.trackBody(w, r)
		requests.Go(func() {
			defer func() { <-slots }()
			w.run(c.server.Handler, r)
		})
		if !c.waitForBody(w) {
			return
		}
	}
}

// isConcurrent reports whether a request may run concurrently with earlier ones
// of its connection: GET and HEAD without a body or an Expect header.
func isConcurrent(r *http.Request) bool {
	return (r.Method == http.MethodGet || r.Method == http.MethodHead) && r.Body == http.NoBody && r.Header.Get("Expect") == ""
}

func (c *conn) waitFor(previous <-chan struct{}) bool {
	select {
	case <-previous:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// passHTTP2 passes a connection that begins with the HTTP/2 preface to the
// HTTP/2 server, waits until it is closed, and reports whether it was passed.
func (c *conn) passHTTP2() bool {
	c.deadline(c.server.IdleTimeout)
	first, err := c.br.Peek(1)
	if err != nil || first[0] != http2Preface[0] {
		return false
	}
	c.deadline(c.server.HeaderTimeout)
	if prefix, err := c.br.Peek(len(http2Preface)); err != nil || string(prefix) != http2Preface || c.server.http2Conns == nil {
		return false
	}
	_ = c.nc.SetReadDeadline(time.Time{})
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

func (c *conn) deadline(timeout time.Duration) {
	at := time.Time{}
	if timeout > 0 {
		at = time.Now().Add(timeout)
	}
	_ = c.nc.SetReadDeadline(at)
}

// readRequest reads the header of the next request. It returns io.EOF if the
// caller sends no further request.
func (c *conn) readRequest() (*http.Request, error) {
	c.mu.Lock()
	switch {
	case c.readsStopped:
	case c.inFlight == 0:
		c.deadline(c.server.IdleTimeout)
	default:
		c.deadline(0)
	}
	c.mu.Unlock()
	if _, err := c.br.Peek(1); err != nil {
		return nil, io.EOF
	}
	c.mu.Lock()
	stopped := c.readsStopped
	c.readingHeader = !stopped
	c.mu.Unlock()
	if stopped {
		return nil, io.EOF
	}
	c.deadline(c.server.HeaderTimeout)
	c.limitReader.remaining = c.server.maxHeaderBytes()
	r, err := http.ReadRequest(c.br)
	c.limitReader.remaining = -1
	if err == nil {
		err = validateRequest(r)
	}
	c.headerRead(err == nil)
	if err != nil {
		return nil, err
	}
	if !c.hasStoppedReading() {
		c.deadline(0)
	}
	r.RemoteAddr = c.nc.RemoteAddr().String()
	return r, nil
}

// writeParseError responds to a request that cannot be parsed, after the
// responses to the requests before it, and closes the connection for writing.
// If the caller has disconnected, it cancels the requests in flight instead.
func (c *conn) writeParseError(err error, previous <-chan struct{}) {
	status := http.StatusBadRequest
	var timeout net.Error
	switch {
	case errors.Is(err, errHeaderTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case c.hasStoppedReading():
		return
	case errors.As(err, &timeout) && timeout.Timeout():
		status = http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		// The caller has disconnected, so nobody waits for the requests in
		// flight.
		c.cancel()
		return
	}
	if !c.waitFor(previous) || c.hasSentFinal() {
		return
	}
	_ = c.nc.SetWriteDeadline(time.Now().Add(lingerTimeout))
	_, _ = fmt.Fprintf(c.nc, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status))
	c.linger()
}

// headerRead ends the reading of a header and counts the request if it is
// valid.
func (c *conn) headerRead(valid bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readingHeader = false
	if valid {
		c.inFlight++
		c.readsStopped = c.readsStopped || c.shuttingDown
	}
}

// requestEnded undoes the count of headerRead and starts the idle timeout if no
// other request is in flight.
func (c *conn) requestEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	switch {
	case c.inFlight > 0 || c.readingHeader:
	case c.readsStopped:
		// Wakes the reader: it waits for a request that must not be read.
		_ = c.nc.SetReadDeadline(pastDeadline)
	default:
		c.deadline(c.server.IdleTimeout)
	}
}

// markFinalSent records that a response with "Connection: close" was sent.
func (c *conn) markFinalSent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readsStopped, c.finalSent = true, true
	_ = c.nc.SetReadDeadline(pastDeadline)
}

// isServingFinal reports whether no further request is read and exactly one is
// in flight.
func (c *conn) isServingFinal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readsStopped && c.inFlight == 1
}

// hasSentFinal reports whether the last response of the connection was sent.
func (c *conn) hasSentFinal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.finalSent
}

// hasStoppedReading reports whether no further request is read.
func (c *conn) hasStoppedReading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readsStopped
}

// stopReading makes the request whose header is being read, or else the latest
// one, the last of the connection.
func (c *conn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shuttingDown = true
	c.readsStopped = c.readsStopped || !c.readingHeader
}

// closeIdle closes the connection if it reads no further request and has none
// in flight.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readsStopped && c.inFlight == 0 && !c.readingHeader {
		_ = c.nc.Close()
	}
}

// abort cancels the requests in flight and closes the connection.
func (c *conn) abort() {
	c.cancel()
	_ = c.nc.Close()
}

// trackBody wraps the body of a request so that w.bodyRead is closed when it
// was read completely. The first read sends "100 Continue" if the caller waits
// for it.
func (c *conn) trackBody(w *writer, r *http.Request) {
	if r.Body == http.NoBody {
		close(w.bodyRead)
		return
	}
	b := &body{ReadCloser: r.Body, w: w}
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") && r.ProtoAtLeast(1, 1) {
		b.awaitsContinue = true
	}
	r.Body = b
}

// waitForBody waits until the body of a request was read completely. It reports
// false if the request ended before.
func (c *conn) waitForBody(w *writer) bool {
	select {
	case <-w.bodyRead:
		return true
	default:
	}
	select {
	case <-w.bodyRead:
		return true
	case <-w.done:
		select {
		case <-w.bodyRead:
			return true
		default:
			return false
		}
	case <-c.ctx.Done():
		return false
	}
}

// linger closes the connection for writing and discards what the caller still
// sends, within lingerTimeout and lingerBytes.
func (c *conn) linger() {
	if tcp, ok := c.nc.(interface{ CloseWrite() error }); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
	// The data is discarded and the connection is closed next, so an error does
	// not matter.
	_, _ = io.CopyN(io.Discard, c.br, lingerBytes)
}

// body is the body of a request. It reports when it was read completely.
type body struct {
	io.ReadCloser
	w              *writer
	awaitsContinue bool
	once           sync.Once
}

// Read sends "100 Continue" first if the caller waits for it.
func (b *body) Read(p []byte) (int, error) {
	if b.awaitsContinue {
		b.awaitsContinue = false
		if err := b.w.writeContinue(); err != nil {
			return 0, err
		}
	}
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.once.Do(func() { close(b.w.bodyRead) })
	}
	return n, err
}

// Close leaves the rest unread. The connection is then closed after the
// response.
func (b *body) Close() error { return nil }
