package pipeline

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jujubeknot/jujubeknot/core/intake"
	"github.com/jujubeknot/jujubeknot/node/internal/ledger"
)

// tlsConnectionCost is the memory of the buffers and keys of a TLS connection.
const tlsConnectionCost = 32 << 10

// conn is one connection of a caller. Its goroutine reads requests. Each
// request runs in a goroutine of its own.
type conn struct {
	server      *Server
	nc          net.Conn
	entry       *ledger.Entry
	limitReader headerLimitReader
	br          *bufio.Reader
	// limitedToArrived is true once limitReader is limited for the rest of a
	// shutdown. Only the reader uses it.
	limitedToArrived bool
	ctx              context.Context
	cancel           context.CancelFunc
	// requestCtx is the context of the requests. It ends with ctx or before.
	requestCtx     context.Context
	cancelRequests context.CancelFunc

	// requestCost is what the entry holds for the request that was read last.
	requestCost int64

	mu sync.Mutex
	// fresh is true until the first header has arrived whole.
	fresh bool
	// handlers is the number of handlers that run.
	handlers int
	// inFlight is the number of requests whose header was read and whose
	// response is not complete.
	inFlight int
	// awaiting is true while the reader waits for the first byte of a request, and
	// readingHeader from there to the end of its header. Both are false for requests
	// that are read after the begin of a shutdown.
	awaiting, readingHeader bool
	// shuttingDown is set by a shutdown. readsStopped is set once no further
	// request is read. finalSent is set once the last response was sent, which
	// has "Connection: close".
	shuttingDown, readsStopped, finalSent bool
	// lastResponse is the time at which the latest response was sent.
	lastResponse time.Time
	// readerEnded is set once the reader accepts no further request.
	readerEnded bool
	// readerDecided signals that a request was accepted, or that none will be.
	readerDecided *sync.Cond
	// passed is true if the connection was passed to the HTTP/2 server.
	passed bool
}

// openMemory opens the entry of the connection at the ledger. It reports false if there is
// no room.
func (c *conn) openMemory() bool {
	l := c.server.Ledger
	if l == nil {
		return true
	}
	c.entry = l.OpenConnection(c.nc.RemoteAddr(), c.dropped)
	c.limitReader.entry = c.entry
	return c.entry != nil
}

// handshake completes the handshake of a TLS connection within the header timeout.
func (c *conn) handshake() bool {
	encrypted, ok := c.nc.(*tls.Conn)
	if !ok {
		return true
	}
	if !c.entry.Hold(tlsConnectionCost) {
		return false
	}
	ctx, cancel := c.ctx, context.CancelFunc(func() {})
	if t := c.server.HeaderTimeout; t > 0 {
		ctx, cancel = context.WithTimeout(ctx, t)
	}
	defer cancel()
	return encrypted.HandshakeContext(ctx) == nil
}

// serve reads requests until the connection is closed or its last request was
// read, and waits for their responses.
func (c *conn) serve() {
	var requests sync.WaitGroup
	defer func() {
		// The caller has disconnected, or has sent its last request and still
		// receives the responses.
		requests.Wait()
		if c.ctx.Err() == nil {
			c.linger()
		}
		c.cancel()
		_ = c.nc.Close()
		c.entry.Close()
	}()
	if !c.handshake() || c.passHTTP2() {
		return
	}
	if previous, err := c.readRequests(&requests); err != nil {
		c.endReading(err, previous)
	}
}

// readRequests reads and starts requests. It returns a channel that is closed when
// all responses were sent, and the failure that ended the reading, nil if it was the
// end of a request.
func (c *conn) readRequests(requests *sync.WaitGroup) (<-chan struct{}, error) {
	defer c.endReader()
	previous := make(chan struct{})
	close(previous)
	// barrier is true while the latest request must not run concurrently with
	// others.
	barrier := false
	slots := make(chan struct{}, c.server.maxPipelined())
	for {
		if !c.server.Ledger.IsRoomy() && !c.awaitRoom(previous) {
			// While memory is scarce, requests that were sent ahead are not read.
			return previous, nil
		}
		r, err := c.readRequest()
		if err != nil {
			return previous, err
		}
		exclusive := !isConcurrent(r)
		if (exclusive || barrier) && !c.waitFor(previous) {
			c.requestEnded(false)
			return previous, nil
		}
		barrier = exclusive
		if r.Body != http.NoBody && !c.entry.Enter(intake.StageBody) {
			// The ledger has dropped the connection.
			return previous, nil
		}
		select {
		case slots <- struct{}{}:
		case <-c.ctx.Done():
			c.requestEnded(false)
			return previous, nil
		}
		w := newWriter(c, r, previous)
		w.cost = c.requestCost
		previous = w.done
		c.trackBody(w, r)
		requests.Go(func() {
			defer func() { <-slots }()
			w.run(c.server.Handler, r)
		})
		if !c.waitForBody(w) {
			return previous, nil
		}
	}
}

// isConcurrent reports whether a request may run concurrently with earlier ones
// of its connection: GET and HEAD without a body or an Expect header.
func isConcurrent(r *http.Request) bool {
	return (r.Method == http.MethodGet || r.Method == http.MethodHead) && r.Body == http.NoBody && r.Header.Get("Expect") == ""
}

// endsConnection reports whether the caller expects the connection to be closed after
// the response to a request.
func endsConnection(r *http.Request) bool { return !r.ProtoAtLeast(1, 1) || r.Close }

func (c *conn) waitFor(previous <-chan struct{}) bool {
	select {
	case <-previous:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// awaitRoom waits until earlier requests have ended, once a further one arrives. Until then
// it sees the end of the connection, so that the requests in flight can be cancelled.
func (c *conn) awaitRoom(previous <-chan struct{}) bool {
	if _, err := c.await(1, c.server.IdleTimeout); err != nil {
		// The next read fails too, and says why.
		return true
	}
	return c.waitFor(previous)
}

// accept ends the reading of a header and counts the request. It reports false if
// the request must not be run, because no further request is read.
func (c *conn) accept(r *http.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readingHeader = false
	if c.readsStopped {
		return false
	}
	// A request with a body enters StageBody once earlier ones have ended, and its
	// handler StageRunning once it has read what it needs of the body.
	if !c.entry.Enter(intake.StageRunning) {
		return false
	}
	c.fresh = false
	c.inFlight++
	c.handlers++
	c.readsStopped = endsConnection(r)
	c.deadline(0)
	c.readerDecided.Broadcast()
	return true
}

// headerFailed ends the reading of a header that cannot be parsed.
func (c *conn) headerFailed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readingHeader = false
	c.entry.Release(c.requestCost)
}

// handlerEnded records that the handler of a request has returned.
func (c *conn) handlerEnded(w *writer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w.handlerEnded {
		return
	}
	w.handlerEnded = true
	c.handlers--
	c.enterStage()
}

// enterStage tells the ledger for what the connection waits while no handler runs. c.mu
// must be held. An entry that was dropped is about to be closed, so the result does not
// matter.
func (c *conn) enterStage() {
	switch {
	case c.handlers > 0:
	case c.inFlight > 0:
		c.entry.Enter(intake.StageAnswer)
	case c.readingHeader || c.fresh:
		c.entry.Enter(intake.StageHeader)
	default:
		c.entry.Enter(intake.StageIdle)
	}
}

// dropped closes the connection of an entry that the ledger has dropped. What was not
// sent yet is discarded.
func (c *conn) dropped() {
	nc := c.nc
	if encrypted, ok := nc.(*tls.Conn); ok {
		// Closing it would wait for the caller to read an alert.
		nc = encrypted.NetConn()
	}
	if l, ok := nc.(interface{ SetLinger(int) error }); ok {
		_ = l.SetLinger(0)
	}
	c.cancel()
	_ = nc.Close()
}

// beginResponse reports whether the response whose header is sent next is the last
// of the connection. If wantsClose is true, no further request is read, and the
// response to the latest request is the last one. If mustClose is true, it is this
// one. In a shutdown, beginResponse waits until it is known whether another request has
// arrived.
func (c *conn) beginResponse(wantsClose, mustClose bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readsStopped = c.readsStopped || wantsClose || mustClose
	for c.shuttingDown && !c.readsStopped && !c.readerEnded && !c.readingHeader && c.inFlight == 1 {
		c.readerDecided.Wait()
	}
	return mustClose || c.readsStopped && c.inFlight == 1
}

// requestEnded undoes the count of accept and starts the idle timeout if no other
// request is in flight. The argument final is true if the last response was sent.
func (c *conn) requestEnded(final bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	c.enterStage()
	c.lastResponse = time.Now()
	c.finalSent = c.finalSent || final
	c.readsStopped = c.readsStopped || final
	switch {
	case c.inFlight > 0:
	case c.readsStopped, c.readerEnded:
		// Wakes the reader: it waits for a request that must not be read, or for the
		// caller to leave.
		_ = c.nc.SetReadDeadline(pastDeadline)
	case !c.readingHeader && !c.shuttingDown:
		c.deadline(c.server.IdleTimeout)
	}
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

// abort cancels the requests in flight and closes the connection.
func (c *conn) abort() {
	c.cancel()
	_ = c.nc.Close()
}
