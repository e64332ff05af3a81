package pipeline

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httputil"
)

// markShutdown makes the requests that have arrived whole, or whose header is being
// read, the last ones of the connection. The call of wakeReader must follow.
func (c *conn) markShutdown() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shuttingDown = true
}

// wakeReader ends the reader's wait for a request after markShutdown.
func (c *conn) wakeReader() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaiting {
		_ = c.nc.SetReadDeadline(pastDeadline)
	}
}

// closePassed closes the connection if it was passed to the HTTP/2 server.
func (c *conn) closePassed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.passed {
		_ = c.nc.Close()
	}
}

// endReader records that no further request is accepted.
func (c *conn) endReader() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readerEnded = true
	c.readerDecided.Broadcast()
}

// readArrived returns the next request if it has arrived whole. Otherwise it stops the
// reading and returns errReadsStopped. At most readBufferBytes are received in all
// calls, so that a caller who sends requests without end does not hold up the
// shutdown.
func (c *conn) readArrived() (*http.Request, error) {
	if !c.limitedToArrived {
		c.limitedToArrived = true
		c.limitReader.remaining = readBufferBytes
	}
	c.deadline(arrivedTimeout)
	c.requestCost = 0
	r, err := http.ReadRequest(c.br)
	if err == nil {
		err = validateRequest(r)
	}
	if err != nil || !c.hasBodyArrived(r) || !c.accept(r) {
		c.stopReads()
		return nil, errReadsStopped
	}
	r.RemoteAddr = c.nc.RemoteAddr().String()
	return r, nil
}

// stopReads makes the latest request the last one.
func (c *conn) stopReads() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readsStopped = true
}

// hasBodyArrived reports whether the read buffer holds the whole body of the request
// whose header was read last.
func (c *conn) hasBodyArrived(r *http.Request) bool {
	if r.Body == http.NoBody {
		return true
	}
	// The buffered bytes are always available.
	buffered, _ := c.br.Peek(c.br.Buffered())
	if r.ContentLength >= 0 {
		return r.ContentLength <= int64(len(buffered))
	}
	_, err := io.Copy(io.Discard, httputil.NewChunkedReader(bytes.NewReader(buffered)))
	return err == nil
}
