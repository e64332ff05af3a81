// Package conns bounds the connections of HTTP servers to which others may connect than
// those that they serve. Each server keeps serving new connections, such as readiness
// probes, while crowds hold connections open without a whole request.
package conns

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// Defaults of Config.
const (
	DefaultMax          = 512
	DefaultMaxReceiving = 32
)

// Config has the bounds of a server. The zero value of a field means its default.
type Config struct {
	// Max is the highest number of connections. Beyond it, the one that has sent nothing
	// for the longest time is closed, or else sends a header, or else is idle between
	// requests.
	Max int
	// MaxReceiving is the highest number of HTTP/1.1 connections on which the header of a
	// request has arrived in part. Beyond it, the one that has been so for the longest
	// time is closed.
	MaxReceiving int
	// MaxReceivingHTTP2 is the same for HTTP/2 connections without a whole request so
	// far. Their headers take far less memory. The default is Max.
	MaxReceivingHTTP2 int
}

// state is what a connection waits for.
type state uint8

const (
	// stateSilent means that nothing was received yet.
	stateSilent state = iota
	stateReceiving
	stateReceivingHTTP2
	stateServed
	stateIdle
)

// http2Start begins the preface of HTTP/2 and no request of HTTP/1.1.
const http2Start = "PRI "

// conn is a connection of a Server. The mutex of the server guards its state.
type conn struct {
	net.Conn
	server *Server
	state  state
	since  time.Time
	// http2 is true if HTTP/2 was received, requested once a request has arrived whole.
	http2, requested bool
}

// Server is an HTTP server with bounded connections. Use Bound.
type Server struct {
	*http.Server
	cfg Config

	mu    sync.Mutex
	conns map[*conn]struct{}
}

type contextKey struct{}

// Bound returns a server that bounds its connections, also those of earlier calls of
// Serve. It sets ConnState and ConnContext of s, which must not be set, and wraps the
// handler.
func Bound(s *http.Server, cfg Config) *Server {
	b := &Server{Server: s, cfg: cfg, conns: map[*conn]struct{}{}}
	b.cfg.Max = cmp.Or(cfg.Max, DefaultMax)
	b.cfg.MaxReceiving = cmp.Or(cfg.MaxReceiving, DefaultMaxReceiving)
	b.cfg.MaxReceivingHTTP2 = cmp.Or(cfg.MaxReceivingHTTP2, b.cfg.Max)
	s.ConnState = func(nc net.Conn, to http.ConnState) {
		if c, ok := nc.(*conn); ok && to == http.StateIdle {
			b.requestsEnded(c)
		}
	}
	s.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		return context.WithValue(ctx, contextKey{}, nc)
	}
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(contextKey{}).(*conn); ok {
			b.requestArrived(c)
		}
		next.ServeHTTP(w, r)
	})
	return b
}

// Serve accepts connections like http.Server.
func (s *Server) Serve(l net.Listener) error { return s.Server.Serve(&listener{l, s}) }

type listener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection after it has made a place for it.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		// The error is not wrapped, since http.Server.Serve checks its type.
		return nil, err
	}
	return l.server.add(nc), nil
}

func (s *Server) add(nc net.Conn) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.conns) >= s.cfg.Max && (s.closeOldest(stateSilent) || s.closeOldest(stateReceiving) || s.closeOldest(stateReceivingHTTP2) || s.closeOldest(stateIdle)) {
		continue
	}
	c := &conn{Conn: nc, server: s, since: time.Now()}
	s.conns[c] = struct{}{}
	if len(s.conns) > s.cfg.Max {
		// All others have requests. Its first read fails.
		s.close(c)
	}
	return c
}

// Read reads from the connection and records that a header is being received.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.server.received(c, p[:n])
	}
	return n, err
}

// received records received bytes. Those of HTTP/2 after the first request belong to any
// frames, and are left out.
func (s *Server) received(c *conn, p []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.http2 = c.http2 || c.state == stateSilent && bytes.HasPrefix(p, []byte(http2Start))
	switch {
	case c.state != stateSilent && c.state != stateIdle, c.http2 && c.requested:
		return
	case c.http2:
		s.enter(c, stateReceivingHTTP2)
		s.limit(stateReceivingHTTP2, s.cfg.MaxReceivingHTTP2)
	default:
		s.enter(c, stateReceiving)
		s.limit(stateReceiving, s.cfg.MaxReceiving)
	}
}

// enter records the state of a connection. s.mu must be held.
func (s *Server) enter(c *conn, to state) { c.state, c.since = to, time.Now() }

// limit closes the oldest connections in a state beyond a number. s.mu must be held.
func (s *Server) limit(of state, highest int) {
	n := 0
	for c := range s.conns {
		if c.state == of {
			n++
		}
	}
	for ; n > highest; n-- {
		s.closeOldest(of)
	}
}

// closeOldest closes the connection that has been in a state for the longest time. It
// reports false if there is none. s.mu must be held.
func (s *Server) closeOldest(of state) bool {
	var oldest *conn
	for c := range s.conns {
		if c.state == of && (oldest == nil || c.since.Before(oldest.since)) {
			oldest = c
		}
	}
	if oldest != nil {
		s.close(oldest)
	}
	return oldest != nil
}

func (s *Server) close(c *conn) {
	delete(s.conns, c)
	_ = c.Conn.Close()
}

// requestArrived records that a request has arrived whole, and requestsEnded that none is
// left.
func (s *Server) requestArrived(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enter(c, stateServed)
	c.requested = true
}

func (s *Server) requestsEnded(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.requested {
		s.enter(c, stateIdle)
	}
}

// Close closes the connection.
func (c *conn) Close() error {
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite closes the connection for writing, so that the caller can read the rest.
func (c *conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return half.CloseWrite()
}
