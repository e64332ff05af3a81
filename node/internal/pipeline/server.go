// Package pipeline is an HTTP/1.1 server that runs pipelined requests
// concurrently. Unlike net/http, it reads a request while earlier ones of the
// same connection still run, so that callers who pipeline requests do not wait
// for each in turn. Responses are sent in the order of the requests.
package pipeline

import (
	"bufio"
	"cmp"
	"context"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/node/internal/ledger"
)

// Defaults of Server.
const (
	// DefaultMaxPipelined is enough for callers that request all resources of a
	// page at once.
	DefaultMaxPipelined = 32
	// DefaultMaxHeaderBytes is the same bound as that of the net/http servers
	// in this project.
	DefaultMaxHeaderBytes = 64 << 10
	// DefaultMaxHeaderFields is more than the shortest fields, of 3 bytes, in a header
	// of 16 KiB and a read buffer.
	DefaultMaxHeaderFields = 8192
)

// maxTotalBuffered bounds the response bodies that wait for earlier responses, over
// all connections. Beyond it, handlers wait.
const maxTotalBuffered = 16 << 20

// shutdownPoll is the interval at which Shutdown checks for idle connections.
const shutdownPoll = 5 * time.Millisecond

// Server is an HTTP/1.1 server. The exported fields must not be changed after
// the call of Serve. Its methods are safe for concurrent use.
type Server struct {
	Handler http.Handler
	// HTTP2 serves connections that begin with the HTTP/2 preface. If it is
	// nil, such connections are refused. Serve sets its ConnState and ConnContext.
	HTTP2 *http.Server
	// HeaderTimeout bounds the time to receive a request header. IdleTimeout
	// bounds the time without a request. 0 means no bound.
	HeaderTimeout, IdleTimeout time.Duration
	// MaxHeaderBytes bounds the size of a header. Up to 4 KiB more, the size of
	// the read buffer, can be accepted. 0 means DefaultMaxHeaderBytes.
	MaxHeaderBytes int
	// MaxHeaderFields bounds the number of lines of a header. Those of later requests
	// that arrive together with its end count too. 0 means DefaultMaxHeaderFields.
	MaxHeaderFields int
	// Ledger counts the memory that callers hold. Nil means that it is not counted.
	Ledger *ledger.Ledger
	// BusyHeader has header lines, each with its line break, of the response with status
	// 503 to a request for which there is no memory.
	BusyHeader string
	// MaxPipelined bounds the number of requests of one connection that run
	// concurrently. 0 means DefaultMaxPipelined.
	MaxPipelined int
	// ErrorLog receives the panics of handlers. If it is nil, they are not
	// logged.
	ErrorLog *log.Logger

	mu         sync.Mutex
	conns      map[*conn]bool
	listeners  map[net.Listener]bool
	closing    bool
	running    sync.WaitGroup
	http2Conns *passedListener
	// buffered is the number of bytes of response bodies that wait for earlier
	// responses.
	buffered atomic.Int64
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
	if s.HTTP2 != nil && s.http2Conns == nil {
		s.http2Conns = newPassedListener(l.Addr())
		s.HTTP2.ConnState, s.HTTP2.ConnContext = trackHTTP2, withPassedConn
		s.running.Go(func() {
			// Serve returns when the listener is closed, and its error has no
			// further information.
			_ = s.HTTP2.Serve(s.http2Conns)
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
				// For example, no file descriptor is free at the moment.
				time.Sleep(shutdownPoll)
				continue
			}
			return err
		}
		s.startConn(nc)
	}
}

func (s *Server) startConn(nc net.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &conn{server: s, nc: nc, ctx: ctx, cancel: cancel, fresh: true}
	c.readerDecided = sync.NewCond(&c.mu)
	c.requestCtx, c.cancelRequests = context.WithCancel(ctx)
	c.limitReader = headerLimitReader{nc: nc, remaining: -1}
	c.br = bufio.NewReaderSize(&c.limitReader, readBufferBytes)
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
		defer s.remove(c)
		if !c.openMemory() {
			c.abort()
			return
		}
		c.serve()
	})
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// reserve counts bytes that a response on a connection buffers. It reports false, and
// counts nothing, if too many bytes are buffered.
func (s *Server) reserve(e *ledger.Entry, n int) bool {
	if s.buffered.Add(int64(n)) <= maxTotalBuffered && e.TryHold(int64(n)) {
		return true
	}
	s.buffered.Add(-int64(n))
	return false
}

func (s *Server) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

// stopAccepting closes the listeners and returns the open connections.
func (s *Server) stopAccepting() []*conn {
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

// Shutdown closes the listeners and idle connections, and lets requests that
// have arrived whole complete. It returns when no connection is open or the context
// ends.
func (s *Server) Shutdown(ctx context.Context) error {
	http2Ended := s.shutdownHTTP2(ctx)
	var http2Err error
	ticker := time.NewTicker(shutdownPoll)
	defer ticker.Stop()
	for {
		list := s.stopAccepting()
		// All connections are marked before the first is closed. Closing may
		// take a while, and responses that are sent meanwhile must already
		// state that they are the last.
		endReads(list)
		if http2Ended == nil {
			for _, c := range list {
				c.closePassed()
			}
			if len(list) == 0 {
				s.closeHTTP2()
				return http2Err
			}
		}
		select {
		case <-ctx.Done():
			return cmp.Or(http2Err, ctx.Err())
		case http2Err = <-http2Ended:
			http2Ended = nil
		case <-ticker.C:
		}
	}
}

// shutdownHTTP2 begins the shutdown of the HTTP/2 server. The returned channel
// receives its result. It is nil if there is no such server.
func (s *Server) shutdownHTTP2(ctx context.Context) <-chan error {
	if s.HTTP2 == nil {
		return nil
	}
	ended := make(chan error, 1)
	go func() { ended <- s.HTTP2.Shutdown(ctx) }()
	return ended
}

// endReads makes the requests that have arrived whole the last ones of their
// connections.
func endReads(list []*conn) {
	for _, c := range list {
		c.markShutdown()
	}
	for _, c := range list {
		c.wakeReader()
	}
}

// EndRequests closes the listeners, reads no further requests than those that
// have arrived whole, and cancels their contexts, so that their handlers respond at once. The
// connections stay open until the responses are sent.
func (s *Server) EndRequests() {
	list := s.stopAccepting()
	endReads(list)
	for _, c := range list {
		c.cancelRequests()
	}
}

// Close closes the listeners and connections without waiting for requests.
func (s *Server) Close() error {
	for _, c := range s.stopAccepting() {
		c.abort()
	}
	var err error
	if s.HTTP2 != nil {
		err = s.HTTP2.Close()
	}
	s.closeHTTP2()
	return err
}

func (s *Server) closeHTTP2() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http2Conns != nil {
		_ = s.http2Conns.Close()
	}
}

func (s *Server) maxHeaderBytes() int { return cmp.Or(s.MaxHeaderBytes, DefaultMaxHeaderBytes) }

func (s *Server) maxHeaderFields() int {
	return cmp.Or(s.MaxHeaderFields, DefaultMaxHeaderFields)
}

func (s *Server) maxPipelined() int { return cmp.Or(s.MaxPipelined, DefaultMaxPipelined) }
