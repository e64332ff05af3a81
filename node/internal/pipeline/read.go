package pipeline

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/core/intake"
	"github.com/jujubeknot/jujubeknot/node/internal/ledger"
)

const (
	readBufferBytes = 4 << 10
	// lingerTimeout and lingerBytes bound what is read and discarded after the
	// latest response. Closing a socket with unread data makes the kernel send a
	// reset, which could destroy the response before the caller has read it.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 256 << 10
	// shutdownLinger bounds the same in a shutdown, which waits for it. Callers close
	// the connection when they see its end.
	shutdownLinger = 100 * time.Millisecond
	// arrivedTimeout bounds the time to receive, after the begin of a shutdown, what
	// has arrived before.
	arrivedTimeout = 5 * time.Millisecond
)

var (
	errHeaderTooLarge = errors.New("header is too large")
	// errNoMemory is returned in place of a request for which the ledger has no room.
	errNoMemory = errors.New("callers hold too much memory")
	// errReadsStopped is returned in place of a request once no further one is
	// read.
	errReadsStopped = errors.New("no further request is read")
	pastDeadline    = time.Unix(1, 0)
	lineFeed        = []byte{'\n'}
)

// headerLimitReader reads from a connection, and bounds and counts the bytes and lines
// that are read for one request header.
type headerLimitReader struct {
	nc    net.Conn
	entry *ledger.Entry
	// remaining is the number of bytes that may still be read, -1 for no bound.
	remaining int
	// lines is the number of lines that may still be read while remaining is not -1.
	lines int
	// bytes is the number of bytes that were read, and cost is what the entry holds for
	// them.
	bytes int
	cost  int64
	// err is the error of the latest read.
	err error
}

// Read returns errHeaderTooLarge when the bound is reached.
func (h *headerLimitReader) Read(p []byte) (int, error) {
	if h.remaining == 0 {
		h.err = errHeaderTooLarge
		return 0, h.err
	}
	if h.remaining > 0 && len(p) > h.remaining {
		p = p[:h.remaining]
	}
	n, err := h.nc.Read(p)
	if h.remaining > 0 {
		h.remaining -= n
		if failure := h.count(p[:n]); failure != nil {
			n, err = 0, failure
		}
	}
	h.err = err
	return n, err
}

// begin starts the count of a header of which some bytes have arrived.
func (h *headerLimitReader) begin(arrived []byte, maxBytes, maxLines int) error {
	h.remaining, h.lines, h.bytes, h.cost, h.err = maxBytes, maxLines, 0, intake.RequestCost, nil
	if !h.entry.Hold(h.cost) {
		h.cost, h.err = 0, errNoMemory
		return h.err
	}
	h.err = h.count(arrived)
	return h.err
}

// count counts bytes of a header and holds what they cost in memory.
func (h *headerLimitReader) count(p []byte) error {
	lines := bytes.Count(p, lineFeed)
	if h.lines -= lines; h.lines < 0 {
		return errHeaderTooLarge
	}
	cost := intake.HeaderCost(len(p), lines)
	if !h.entry.Hold(cost) {
		return errNoMemory
	}
	h.bytes += len(p)
	h.cost += cost
	return nil
}

// end ends the count and returns what the entry holds for the request from now on. The
// last unread bytes belong to later requests.
func (h *headerLimitReader) end(r *http.Request, unread int) int64 {
	h.remaining = -1
	cost := h.cost
	if r != nil {
		fields := 1
		for _, values := range r.Header {
			fields += len(values)
		}
		cost = min(cost, intake.RequestCost+intake.HeaderCost(h.bytes-unread, fields))
	}
	h.entry.Release(h.cost - cost)
	return cost
}

// cause returns the reason why a header could not be parsed, whose parser returned
// err. It is io.EOF if the caller has disconnected. The parser takes the part of a
// line before a failed read for a whole line, and its error then hides the failure.
func (h *headerLimitReader) cause(err error) error {
	var timeout net.Error
	switch {
	case h.err == nil:
		return err
	case h.err == errHeaderTooLarge, h.err == errNoMemory, errors.As(h.err, &timeout) && timeout.Timeout():
		return h.err
	}
	return io.EOF
}

func (c *conn) deadline(timeout time.Duration) {
	at := time.Time{}
	if timeout > 0 {
		at = time.Now().Add(timeout)
	}
	_ = c.nc.SetReadDeadline(at)
}

// await waits until n bytes are buffered, within the timeout if no request is in
// flight. It fails at once if a shutdown has begun, and when one begins.
func (c *conn) await(n int, timeout time.Duration) ([]byte, error) {
	c.mu.Lock()
	if c.shuttingDown {
		c.mu.Unlock()
		return nil, errReadsStopped
	}
	if c.inFlight > 0 {
		timeout = 0
	}
	c.awaiting = true
	c.deadline(timeout)
	c.mu.Unlock()
	b, err := c.br.Peek(n)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaiting = false
	if err == nil && c.shuttingDown {
		err = errReadsStopped
	}
	return b, err
}

// awaitRequest waits for the first byte of the next request. It returns io.EOF if the
// caller sends no further request, and errReadsStopped if none is to be read. It
// reports true, without a wait, if only what has arrived is to be read.
func (c *conn) awaitRequest() (arrivedOnly bool, err error) {
	if c.hasStoppedReading() {
		return false, errReadsStopped
	}
	_, err = c.await(1, c.server.IdleTimeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.readsStopped:
		return false, errReadsStopped
	case c.shuttingDown:
		return true, nil
	case err != nil:
		return false, io.EOF
	}
	c.readingHeader = true
	c.enterStage()
	c.deadline(c.server.HeaderTimeout)
	return false, nil
}

// readRequest reads the header of the next request. It returns io.EOF if the
// caller sends no further request, and errReadsStopped if none is to be read.
func (c *conn) readRequest() (*http.Request, error) {
	arrivedOnly, err := c.awaitRequest()
	if err != nil {
		return nil, err
	}
	if arrivedOnly {
		return c.readArrived()
	}
	r, err := c.parseHeader()
	if err != nil {
		c.headerFailed()
		return nil, c.limitReader.cause(err)
	}
	if !c.accept(r) {
		c.entry.Release(c.requestCost)
		return nil, errReadsStopped
	}
	r.RemoteAddr = c.nc.RemoteAddr().String()
	return r, nil
}

// parseHeader reads the header of a request whose first byte has arrived, and counts its
// memory.
func (c *conn) parseHeader() (*http.Request, error) {
	// The buffered bytes are always available.
	arrived, _ := c.br.Peek(c.br.Buffered())
	err := c.limitReader.begin(arrived, c.server.maxHeaderBytes(), c.server.maxHeaderFields())
	var r *http.Request
	if err == nil {
		r, err = http.ReadRequest(c.br)
	}
	c.requestCost = c.limitReader.end(r, c.br.Buffered())
	if err == nil {
		err = validateRequest(r)
	}
	return r, err
}

// endReading ends the reading of requests after a failure. It responds to a request
// that cannot be parsed, after the responses to the requests before it. If the
// caller has disconnected, it cancels the requests in flight instead.
func (c *conn) endReading(err error, previous <-chan struct{}) {
	status, more := http.StatusBadRequest, ""
	var timeout net.Error
	switch {
	case c.hasStoppedReading():
		c.awaitLeaving()
		return
	case errors.Is(err, errHeaderTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errNoMemory):
		status, more = http.StatusServiceUnavailable, c.server.BusyHeader
	case errors.As(err, &timeout) && timeout.Timeout():
		status = http.StatusRequestTimeout
	case errors.Is(err, io.EOF):
		// The caller has disconnected, so nobody waits for the requests in
		// flight.
		c.cancel()
		return
	}
	c.awaitLeaving()
	if !c.waitFor(previous) || c.hasSentFinal() {
		return
	}
	_ = c.nc.SetWriteDeadline(time.Now().Add(lingerTimeout))
	_, _ = fmt.Fprintf(c.nc, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\nConnection: close\r\n%s\r\n", status, http.StatusText(status), more)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finalSent, c.lastResponse = true, time.Now()
}

// awaitLeaving discards what the caller still sends until the requests in flight have
// ended. It cancels them if the caller disconnects. Beyond lingerBytes, it does not
// wait.
func (c *conn) awaitLeaving() {
	c.mu.Lock()
	if c.inFlight == 0 {
		c.mu.Unlock()
		return
	}
	c.deadline(0)
	c.mu.Unlock()
	c.limitReader.remaining = -1
	_, err := io.CopyN(io.Discard, c.br, lingerBytes)
	var timeout net.Error
	if err != nil && !(errors.As(err, &timeout) && timeout.Timeout()) {
		c.cancel()
	}
}

// linger closes the connection for writing and discards what the caller still sends,
// until lingerTimeout after the latest response, within lingerBytes, and in a shutdown
// for no longer than shutdownLinger. It returns at once if the caller cannot notice
// the end.
func (c *conn) linger() {
	c.mu.Lock()
	until, final := c.lastResponse.Add(lingerTimeout), c.finalSent
	shuttingDown := c.shuttingDown
	c.mu.Unlock()
	now := time.Now()
	if !now.Before(until) {
		return
	}
	if end := now.Add(shutdownLinger); shuttingDown && end.Before(until) {
		until = end
	}
	tcp, ok := c.nc.(interface{ CloseWrite() error })
	if !ok && !final {
		return
	}
	if ok {
		_ = tcp.CloseWrite()
	}
	_ = c.nc.SetReadDeadline(until)
	c.limitReader.remaining = -1
	// The data is discarded and the connection is closed next, so an error does
	// not matter.
	_, _ = io.CopyN(io.Discard, c.br, lingerBytes)
}
