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
	readBytes = 4 << 10
	// lingerTime and lingerBytes bound what is read after the last answer, so
	// that unread bytes do not make the system reset the connection before the
	// caller has the answer.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
	// http2Preface starts each HTTP/2 connection.
	http2Preface = "PRI * HTTP/2.0"
)

var (
	errHeaderTooLarge = errors.New("header is too large")
	past              = time.Unix(1, 0)
)

// conn is one connection. Its goroutine reads requests; each request runs in a
// goroutine of its own.
type conn struct {
	server *Server
	nc     net.Conn
	source headerSource
	br     *bufio.Reader
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// running is the number of requests that were read and have not ended.
	running int
	// reading is true from the first byte of a request to the end of its header.
	reading bool
	// stopping is set by a shutdown, last once no request is read any more, and
	// closed once an answer has told the caller so: none follows it.
	stopping, last, closed bool
}

// headerSource bounds the bytes that are read while a header is expected.
type headerSource struct {
	nc net.Conn
	// left is -1 for no bound.
	left int
}

// Read reads from the connection.
func (h *headerSource) Read(p []byte) (int, error) {
	if h.left == 0 {
		return 0, errHeaderTooLarge
	}
	if h.left > 0 && len(p) > h.left {
		p = p[:h.left]
	}
	n, err := h.nc.Read(p)
	if h.left > 0 {
		h.left -= n
	}
	return n, err
}

// serve reads requests until the connection or its last request ends.
func (c *conn) serve() {
	var requests sync.WaitGroup
	defer func() {
		// The caller has gone, or sent its last request and gets its answers.
		requests.Wait()
		c.cancel()
		if c.closes() {
			c.drain()
		}
		_ = c.nc.Close()
	}()
	if c.handOver() {
		return
	}
	turn := make(chan struct{})
	close(turn)
	// barrier is set while what runs may change something.
	barrier := false
	ahead := make(chan struct{}, c.server.maxAhead())
	for {
		r, err := c.next()
		if err != nil {
			c.refuse(err, turn)
			return
		}
		alone := !beside(r)
		if (alone || barrier) && !c.wait(turn) {
			c.ended()
			return
		}
		barrier = alone
		select {
		case ahead <- struct{}{}:
		case <-c.ctx.Done():
			c.ended()
			return
		}
		w := newWriter(c, r, turn)
		turn = w.done
		c.watchBody(w, r)
		requests.Go(func() {
			defer func() { <-ahead }()
			w.run(c.server.Handler, r)
		})
		if !c.bodyRead(w) {
			return
		}
	}
}

// beside reports whether a request may run beside earlier ones.
func beside(r *http.Request) bool {
	return (r.Method == http.MethodGet || r.Method == http.MethodHead) && r.Body == http.NoBody && r.Header.Get("Expect") == ""
}

func (c *conn) wait(turn <-chan struct{}) bool {
	select {
	case <-turn:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// handOver passes connections that begin with HTTP/2 on.
func (c *conn) handOver() bool {
	c.deadline(c.server.IdleTimeout)
	first, err := c.br.Peek(1)
	if err != nil || first[0] != http2Preface[0] {
		return false
	}
	c.deadline(c.server.HeaderTimeout)
	if begun, err := c.br.Peek(len(http2Preface)); err != nil || string(begun) != http2Preface || c.server.handed == nil {
		return false
	}
	_ = c.nc.SetReadDeadline(time.Time{})
	closed := make(chan struct{})
	if !c.server.handed.pass(&handed{buffered{c.nc, c.br}, closed, sync.Once{}}) {
		return true
	}
	<-closed
	return true
}

// handed tells when a connection that was passed on has been closed.
type handed struct {
	buffered
	closed chan struct{}
	once   sync.Once
}

// Close closes the connection.
func (h *handed) Close() error {
	h.once.Do(func() { close(h.closed) })
	return h.buffered.Close()
}

func (c *conn) deadline(timeout time.Duration) {
	at := time.Time{}
	if timeout > 0 {
		at = time.Now().Add(timeout)
	}
	_ = c.nc.SetReadDeadline(at)
}

// next reads the header of the next request. Its error is io.EOF where the
// caller sent nothing more.
func (c *conn) next() (*http.Request, error) {
	c.mu.Lock()
	switch {
	case c.last:
	case c.running == 0:
		c.deadline(c.server.IdleTimeout)
	default:
		c.deadline(0)
	}
	c.mu.Unlock()
	if _, err := c.br.Peek(1); err != nil {
		return nil, io.EOF
	}
	c.mu.Lock()
	stopped := c.last
	c.reading = !stopped
	c.mu.Unlock()
	if stopped {
		return nil, io.EOF
	}
	c.deadline(c.server.HeaderTimeout)
	c.source.left = c.server.maxHeaderBytes()
	r, err := http.ReadRequest(c.br)
	c.source.left = -1
	if err == nil {
		err = valid(r)
	}
	c.began(err == nil)
	if err != nil {
		return nil, err
	}
	if !c.isLast() {
		c.deadline(0)
	}
	r.RemoteAddr = c.nc.RemoteAddr().String()
	return r, nil
}

// refuse answers what is not a request, after the answers to the ones before.
func (c *conn) refuse(err error, turn <-chan struct{}) {
	status := http.StatusBadRequest
	var timeout net.Error
	switch {
	case errors.Is(err, errHeaderTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case c.isLast():
		return
	case errors.As(err, &timeout) && timeout.Timeout():
		status = http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		// Requests that still run have nobody who waits for them.
		c.cancel()
		return
	}
	if !c.wait(turn) || c.closes() {
		return
	}
	_ = c.nc.SetWriteDeadline(time.Now().Add(lingerTime))
	_, _ = fmt.Fprintf(c.nc, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status))
	c.drain()
}

// began counts a request whose header was read.
func (c *conn) began(read bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if read {
		c.running++
		c.last = c.last || c.stopping
	}
}

// ended ends what began counted, and lets an idle connection time out.
func (c *conn) ended() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running--
	switch {
	case c.running > 0 || c.reading:
	case c.last:
		// The reader waits for a request that must not be read.
		_ = c.nc.SetReadDeadline(past)
	default:
		c.deadline(c.server.IdleTimeout)
	}
}

// finish notes that an answer told the caller that it is the last one.
func (c *conn) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last, c.closed = true, true
	_ = c.nc.SetReadDeadline(past)
}

// endsWithOne reports whether no request is read any more and only one runs.
func (c *conn) endsWithOne() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last && c.running == 1
}

// closes reports whether the last answer has been sent.
func (c *conn) closes() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// isLast reports whether no request is read any more.
func (c *conn) isLast() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last
}

// stopReading makes the request whose header is being read, or the latest one,
// the last of the connection.
func (c *conn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping = true
	c.last = c.last || !c.reading
}

// closeIdle closes a connection that reads no more and has no requests.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last && c.running == 0 && !c.reading {
		_ = c.nc.Close()
	}
}

// abort closes the connection at once.
func (c *conn) abort() {
	c.cancel()
	_ = c.nc.Close()
}

// watchBody lets the body of a request tell when it has been read, and sends
// the interim answer that its sender may wait for.
func (c *conn) watchBody(w *writer, r *http.Request) {
	if r.Body == http.NoBody {
		close(w.bodyEnd)
		return
	}
	b := &body{ReadCloser: r.Body, w: w}
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") && r.ProtoAtLeast(1, 1) {
		b.expected = true
	}
	r.Body = b
}

// bodyRead waits until the body of a request has been read, and reports false
// if it never will be.
func (c *conn) bodyRead(w *writer) bool {
	select {
	case <-w.bodyEnd:
		return true
	default:
	}
	select {
	case <-w.bodyEnd:
		return true
	case <-w.done:
		select {
		case <-w.bodyEnd:
			return true
		default:
			return false
		}
	case <-c.ctx.Done():
		return false
	}
}

// drain ends the sending side and reads for a moment.
func (c *conn) drain() {
	if tcp, ok := c.nc.(interface{ CloseWrite() error }); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTime))
	// What is read has no meaning any more.
	_, _ = io.CopyN(io.Discard, c.br, lingerBytes)
}

// body is the body of a request.
type body struct {
	io.ReadCloser
	w        *writer
	expected bool
	once     sync.Once
}

// Read reads a part of the body.
func (b *body) Read(p []byte) (int, error) {
	if b.expected {
		b.expected = false
		if err := b.w.interim(); err != nil {
			return 0, err
		}
	}
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.once.Do(func() { close(b.w.bodyEnd) })
	}
	return n, err
}

// Close leaves the rest unread; the connection then ends with the answer.
func (b *body) Close() error { return nil }
