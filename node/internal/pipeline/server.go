// Package pipeline serves callers over HTTP/1.1 as net/http does, but reads a
// request while earlier ones on the same connection still run, so that callers
// who send several requests at once do not wait for each in turn. Answers go
// out in the order of the requests.
package pipeline

import (
	"bufio"
	"cmp"
	"context"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Defaults of Server.
const (
	// DefaultMaxPipelined is enough for callers that send what a page needs at once.
	DefaultMaxPipelined = 32
	// DefaultMaxHeaderBytes is that of net/http's neighbours in this project.
	DefaultMaxHeaderBytes = 64 << 10
)

// shutdownPoll is the time between two looks at whether connections are idle.
const shutdownPoll = 5 * time.Millisecond

// Server serves a listener. The fields must not be changed once it serves. It
// is safe for concurrent use.
type Server struct {
	Handler http.Handler
	// HTTP2 serves connections that begin with HTTP/2. Nil refuses them.
	HTTP2 *http.Server
	// HeaderTimeout bounds the time for a header to arrive, IdleTimeout that
	// without a request. 0 means no bound.
	HeaderTimeout, IdleTimeout time.Duration
	// MaxHeaderBytes bounds a header, together with a read buffer of 4 KiB. 0
	// means DefaultMaxHeaderBytes.
	MaxHeaderBytes int
	// MaxPipelined bounds the requests of one connection that run at a time. 0 means
	// DefaultMaxAhead.
	MaxPipelined int
	// ErrorLog gets the panics of handlers. Nil drops them.
	ErrorLog *log.Logger

	mu        sync.Mutex
	conns     map[*conn]bool
	listeners map[net.Listener]bool
	closing   bool
	running   sync.WaitGroup
	handed    *handover
}

// Serve accepts connections until Shutdown or Close, and then returns
// http.ErrServerClosed.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	if s.closing {
		s.mu.Unlock()
		return http.ErrServerClosed
	}
	if s.listeners == nil {
		s.listeners, s.conns = map[net.Listener]bool{}, map[*conn]bool{}
	}
	s.listeners[l] = true
	if s.HTTP2 != nil && s.handed == nil {
		s.handed = newHandover(l.Addr())
		s.running.Go(func() {
			// It ends with the handover, whose error says nothing more.
			_ = s.HTTP2.Serve(s.handed)
		})
	}
	s.mu.Unlock()
	for {
		nc, err := l.Accept()
		if err != nil {
			if s.isClosing() {
				return http.ErrServerClosed
			}
			var temporary interface{ Temporary() bool }
			if errors.As(err, &temporary) && temporary.Temporary() {
				// Descriptors are short for a moment.
				time.Sleep(shutdownPoll)
				continue
			}
			return err
		}
		s.start(nc)
	}
}

func (s *Server) start(nc net.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &conn{server: s, nc: nc, ctx: ctx, cancel: cancel}
	c.source = headerSource{nc: nc, left: -1}
	c.br = bufio.NewReaderSize(&c.source, readBytes)
	s.mu.Lock()
	if s.closing {
		s.mu.Unlock()
		cancel()
		_ = nc.Close()
		return
	}
	s.conns[c] = true
	s.mu.Unlock()
	s.running.Go(func() {
		defer s.ended(c)
		c.serve()
	})
}

func (s *Server) ended(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *Server) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

// stop closes the listeners and returns the connections.
func (s *Server) stop() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	for l := range s.listeners {
		_ = l.Close()
	}
	list := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		list = append(list, c)
	}
	return list
}

// Shutdown closes the listeners and idle connections, lets requests that have
// been read end, and returns when there are no connections, or when the context
// ends.
func (s *Server) Shutdown(ctx context.Context) error {
	var others error
	if s.HTTP2 != nil {
		others = s.HTTP2.Shutdown(ctx)
	}
	ticker := time.NewTicker(shutdownPoll)
	defer ticker.Stop()
	for {
		list := s.stop()
		// All of them first: closing one may take a while, and answers that are
		// sent meanwhile tell that they are the last.
		for _, c := range list {
			c.stopReading()
		}
		for _, c := range list {
			c.closeIdle()
		}
		if len(list) == 0 {
			s.finish()
			return others
		}
		select {
		case <-ctx.Done():
			return cmp.Or(others, ctx.Err())
		case <-ticker.C:
		}
	}
}

// Close closes listeners and connections at once.
func (s *Server) Close() error {
	for _, c := range s.stop() {
		c.abort()
	}
	var err error
	if s.HTTP2 != nil {
		err = s.HTTP2.Close()
	}
	s.finish()
	return err
}

func (s *Server) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.handed != nil {
		_ = s.handed.Close()
	}
}

func (s *Server) maxHeaderBytes() int { return cmp.Or(s.MaxHeaderBytes, DefaultMaxHeaderBytes) }

func (s *Server) maxAhead() int { return cmp.Or(s.MaxPipelined, DefaultMaxPipelined) }

// handover is a listener whose connections were accepted elsewhere.
type handover struct {
	address net.Addr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func newHandover(address net.Addr) *handover {
	return &handover{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Accept waits for a connection.
func (h *handover) Accept() (net.Conn, error) {
	select {
	case c := <-h.conns:
		return c, nil
	case <-h.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (h *handover) Close() error {
	h.once.Do(func() { close(h.closed) })
	return nil
}

// Addr returns the address of the listener that accepts the connections.
func (h *handover) Addr() net.Addr { return h.address }

// pass hands a connection over and reports whether it was taken.
func (h *handover) pass(c net.Conn) bool {
	select {
	case h.conns <- c:
		return true
	case <-h.closed:
		return false
	}
}

// buffered is a connection of which some bytes have been read.
type buffered struct {
	net.Conn
	br *bufio.Reader
}

// Read reads what was read before first.
func (b *buffered) Read(p []byte) (int, error) { return b.br.Read(p) }
