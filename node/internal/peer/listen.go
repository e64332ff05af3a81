package peer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/node/internal/pressure"
)

// maxConnections is several times the number of nodes of the largest deployment.
const maxConnections = 4096

// acceptRetryInterval is the pause after a temporary failure to accept, such as
// too many open files.
const acceptRetryInterval = 10 * time.Millisecond

// goAwayTimeout is the time after a goAway frame within which the other node
// must confirm that no call follows. A node that has not confirmed it is
// treated as lost, like a node that does not respond to a ping.
const goAwayTimeout = PingAfter + PingTimeout

// backlogTimeout is the time for which a stopping server still accepts the
// connections that the kernel has established. Calls may have been sent on them.
const backlogTimeout = 50 * time.Millisecond

// http2CloseTimeout is the time for which a stopping server waits for HTTP/2
// connections without calls to be closed by the other node.
const http2CloseTimeout = 150 * time.Millisecond

// Server serves framed connections and HTTP/2 on one listener. It distinguishes
// them by the first bytes of a connection. Use NewServer.
type Server struct {
	h       *Handler
	http    *http.Server
	workers *workers

	mu sync.Mutex
	// framedConns are the framed connections, unidentified those whose first
	// bytes have not arrived yet.
	framedConns  map[*serverConn]struct{}
	unidentified map[net.Conn]struct{}
	listener     *monitoredListener
	// accepted is closed when no further connection is accepted. It is nil before
	// Serve.
	accepted chan struct{}
	// stopping means that connections get a goAway frame, closed that they are
	// closed.
	stopping, closed bool
	running          sync.WaitGroup
}

// NewServer returns a server for the handler with the limits of connections
// between nodes. Failures of single HTTP/2 connections go to errorLog.
func NewServer(h *Handler, errorLog *log.Logger) *Server {
	if h.Pressure == nil {
		h.Pressure = pressure.New()
	}
	s := &Server{h: h, http: h.httpServer(), workers: newWorkers(), framedConns: map[*serverConn]struct{}{}, unidentified: map[net.Conn]struct{}{}}
	s.http.ErrorLog = errorLog
	return s
}

// Serve accepts connections until Shutdown or Close, and then returns
// http.ErrServerClosed. It must be called only once.
func (s *Server) Serve(nl net.Listener) error {
	l := &monitoredListener{Listener: nl, connections: &s.h.connections}
	httpListener := &handoffListener{Listener: l, conns: make(chan net.Conn), closed: make(chan struct{})}
	s.mu.Lock()
	if s.stopping {
		s.mu.Unlock()
		return http.ErrServerClosed
	}
	s.listener, s.accepted = l, make(chan struct{})
	s.mu.Unlock()
	httpEnded := make(chan error, 1)
	go func() { httpEnded <- s.http.Serve(httpListener) }()
	err := s.accept(l, httpListener)
	// After acceptBacklog, the listener is still open.
	_ = l.Close()
	close(s.accepted)
	_ = httpListener.Close()
	<-httpEnded
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return http.ErrServerClosed
	}
	return err
}

func (s *Server) accept(l net.Listener, httpListener *handoffListener) error {
	for {
		nc, err := l.Accept()
		switch {
		case err == nil:
			s.running.Go(func() { s.dispatch(nc, httpListener) })
		case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE), errors.Is(err, syscall.ECONNABORTED):
			time.Sleep(acceptRetryInterval)
		default:
			return fmt.Errorf("accept connections of nodes: %w", err)
		}
	}
}

// dispatch reads the first bytes of a connection. It serves framed connections
// and passes others to the HTTP/2 server.
func (s *Server) dispatch(nc net.Conn, httpListener *handoffListener) {
	s.mu.Lock()
	if s.closed || len(s.unidentified)+len(s.framedConns) >= maxConnections {
		s.mu.Unlock()
		_ = nc.Close()
		return
	}
	timeout := headerTimeout
	if s.stopping {
		timeout = goAwayTimeout
	}
	_ = nc.SetReadDeadline(time.Now().Add(timeout))
	s.unidentified[nc] = struct{}{}
	s.mu.Unlock()
	first := make([]byte, len(preface))
	_, err := io.ReadFull(nc, first)
	framed := err == nil && string(first) == preface
	s.mu.Lock()
	delete(s.unidentified, nc)
	_ = nc.SetReadDeadline(time.Time{})
	var l *serverConn
	if framed && !s.closed {
		l = newServerConn(s.h, s.workers, nc)
		s.framedConns[l] = struct{}{}
		if s.stopping {
			l.goAway()
		}
	}
	s.mu.Unlock()
	switch {
	case l != nil:
		l.run()
		s.mu.Lock()
		delete(s.framedConns, l)
		s.mu.Unlock()
	case err == nil && !framed:
		httpListener.deliver(&replayConn{nc, io.MultiReader(bytes.NewReader(first), nc)})
	default:
		_ = nc.Close()
	}
}

// beginStop stops the listener and sends goAway frames on the framed connections.
// Calls may have been sent on connections that are not accepted or not identified
// yet: were they closed, the calling nodes could not learn that these calls have
// not run. They are identified first.
func (s *Server) beginStop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	if s.listener != nil {
		s.listener.acceptBacklog()
	}
	for nc := range s.unidentified {
		_ = nc.SetReadDeadline(time.Now().Add(goAwayTimeout))
	}
	for l := range s.framedConns {
		l.goAway()
	}
}

// Shutdown notifies the other nodes to send no more calls. It returns when the
// calls in flight have ended or the context ends. It does not wait for
// unresponsive nodes: otherwise a lost node would leave the keys of this node
// without an owner until the context ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.beginStop()
	// After a GOAWAY the calling node cannot ping an HTTP/2 connection any more, and
	// both sides would take it for half-open while calls run on it. The GOAWAY is
	// therefore sent only once they have ended.
	select {
	case <-s.h.http2Calls.close():
	case <-ctx.Done():
	}
	err := s.shutDownHTTP2(ctx)
	ended := make(chan struct{})
	go func() {
		s.waitAccepted()
		s.running.Wait()
		s.workers.close()
		s.workers.running.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// shutDownHTTP2 closes the HTTP/2 connections, on which no calls run any more. Their
// last responses have http2CloseTimeout to leave. Left to itself, the HTTP/2 server
// waits a second for the other node to close.
func (s *Server) shutDownHTTP2(ctx context.Context) error {
	closing, cancel := context.WithTimeout(ctx, http2CloseTimeout)
	defer cancel()
	err := s.http.Shutdown(closing)
	if err == nil || ctx.Err() != nil {
		return err
	}
	return s.http.Close()
}

// waitAccepted waits until no further connection is accepted.
func (s *Server) waitAccepted() {
	s.mu.Lock()
	accepted := s.accepted
	s.mu.Unlock()
	if accepted != nil {
		<-accepted
	}
}

// Close closes all connections immediately.
func (s *Server) Close() error {
	s.mu.Lock()
	s.stopping, s.closed = true, true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for nc := range s.unidentified {
		_ = nc.Close()
	}
	for l := range s.framedConns {
		l.close()
	}
	s.mu.Unlock()
	s.workers.close()
	return s.http.Close()
}

// handoffListener is a listener that returns connections which another listener
// has accepted.
type handoffListener struct {
	net.Listener
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (p *handoffListener) deliver(nc net.Conn) {
	select {
	case p.conns <- nc:
	case <-p.closed:
		_ = nc.Close()
	}
}

// Accept waits for the next connection.
func (p *handoffListener) Accept() (net.Conn, error) {
	select {
	case nc := <-p.conns:
		return nc, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

// Close makes Accept return net.ErrClosed. It does not close the underlying
// listener, which the Server closes.
func (p *handoffListener) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

// replayConn is a connection whose first bytes were read and are returned
// again.
type replayConn struct {
	net.Conn
	r io.Reader
}

// Read returns the first bytes again and then reads from the connection.
func (c *replayConn) Read(p []byte) (int, error) { return c.r.Read(p) }
