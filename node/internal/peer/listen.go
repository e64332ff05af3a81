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

// acceptPause is the time after a failure to accept that may pass, such as too
// many open files.
const acceptRetryInterval = 10 * time.Millisecond

// goAwayTimeout is the time within which another node says that no call follows.
// One that has not is taken for lost, as on a connection that is pinged.
const goAwayTimeout = PingAfter + PingTimeout

// Server serves framed connections and HTTP/2 on one listener. The first bytes
// of a connection tell them apart.
type Server struct {
	h       *Handler
	http    *http.Server
	workers *workers

	mu sync.Mutex
	// links are the framed connections, opening those that have not shown yet
	// what they are.
	framedConns  map[*serverConn]struct{}
	unidentified map[net.Conn]struct{}
	listener     net.Listener
	stopping     bool
	running      sync.WaitGroup
}

// NewServer returns a server for the handler with the bounds and pings of
// connections between nodes. Failures of single connections go to the log.
func NewServer(h *Handler, errorLog *log.Logger) *Server {
	if h.Pressure == nil {
		h.Pressure = pressure.New()
	}
	s := &Server{h: h, http: h.httpServer(), workers: newWorkers(), framedConns: map[*serverConn]struct{}{}, unidentified: map[net.Conn]struct{}{}}
	s.http.ErrorLog = errorLog
	return s
}

// Serve accepts connections until Shutdown or Close, and returns
// http.ErrServerClosed then. It must be called once.
func (s *Server) Serve(l net.Listener) error {
	l = &monitoredListener{Listener: l, connections: &s.h.connections}
	others := &handoffListener{Listener: l, conns: make(chan net.Conn), closed: make(chan struct{})}
	s.mu.Lock()
	s.listener = l
	stopping := s.stopping
	s.mu.Unlock()
	if stopping {
		return http.ErrServerClosed
	}
	end := make(chan error, 1)
	go func() { end <- s.http.Serve(others) }()
	err := s.accept(l, others)
	_ = others.Close()
	<-end
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return http.ErrServerClosed
	}
	return err
}

func (s *Server) accept(l net.Listener, others *handoffListener) error {
	for {
		nc, err := l.Accept()
		switch {
		case err == nil:
			s.running.Go(func() { s.dispatch(nc, others) })
		case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE), errors.Is(err, syscall.ECONNABORTED):
			time.Sleep(acceptRetryInterval)
		default:
			return fmt.Errorf("accepting nodes: %w", err)
		}
	}
}

// sort reads the first bytes of a connection and serves it, or passes it on.
func (s *Server) dispatch(nc net.Conn, others *handoffListener) {
	s.mu.Lock()
	if s.stopping {
		s.mu.Unlock()
		_ = nc.Close()
		return
	}
	s.unidentified[nc] = struct{}{}
	s.mu.Unlock()
	first := make([]byte, len(preface))
	_ = nc.SetReadDeadline(time.Now().Add(headerTimeout))
	_, err := io.ReadFull(nc, first)
	_ = nc.SetReadDeadline(time.Time{})
	framed := err == nil && string(first) == preface
	s.mu.Lock()
	delete(s.unidentified, nc)
	var l *serverConn
	if framed && !s.stopping {
		l = newServerConn(s.h, s.workers, nc)
		s.framedConns[l] = struct{}{}
	}
	s.mu.Unlock()
	switch {
	case l != nil:
		l.run()
		s.mu.Lock()
		delete(s.framedConns, l)
		s.mu.Unlock()
	case err == nil && !framed:
		others.deliver(&replayConn{nc, io.MultiReader(bytes.NewReader(first), nc)})
	default:
		_ = nc.Close()
	}
}

// stop keeps new connections away and ends those that have not begun. It
// returns the framed ones.
func (s *Server) beginStop() []*serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for nc := range s.unidentified {
		_ = nc.Close()
	}
	conns := make([]*serverConn, 0, len(s.framedConns))
	for l := range s.framedConns {
		conns = append(conns, l)
	}
	return conns
}

// Shutdown tells the other nodes to send no more calls, and returns when the
// calls that they have sent are answered or the context ends. It does not wait
// for nodes that are silent: a node that was lost would keep the keys of this one
// without an owner until the context ends.
func (s *Server) Shutdown(ctx context.Context) error {
	conns := s.beginStop()
	for _, l := range conns {
		l.send(frameGoAway, 0)
	}
	unresponsive := time.AfterFunc(goAwayTimeout, func() {
		for _, l := range conns {
			l.closeWhenIdle()
		}
	})
	defer unresponsive.Stop()
	err := s.http.Shutdown(ctx)
	ended := make(chan struct{})
	go func() {
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

// Close ends all connections at once.
func (s *Server) Close() error {
	for _, l := range s.beginStop() {
		l.close()
	}
	s.workers.close()
	return s.http.Close()
}

// passedOn is a listener for connections that another one has accepted.
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

// Accept returns the next connection.
func (p *handoffListener) Accept() (net.Conn, error) {
	select {
	case nc := <-p.conns:
		return nc, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept. The listener below stays as it is: its owner closes it.
func (p *handoffListener) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

// begunConn is a connection of which the first bytes have been read.
type replayConn struct {
	net.Conn
	r io.Reader
}

// Read reads the first bytes again and then the connection.
func (c *replayConn) Read(p []byte) (int, error) { return c.r.Read(p) }
