package backend

import (
	"net"
	"sync"
	"time"
)

// listener limits the number of open connections and delays the first read of
// each new one by the cost of a connection.
type listener struct {
	net.Listener
	max  int
	cost time.Duration
	// onRefuse is called for each connection above max.
	onRefuse func()
	mu       sync.Mutex
	open     int
}

func newListener(l net.Listener, maxOpen int, cost time.Duration, onRefuse func()) *listener {
	return &listener{Listener: l, max: maxOpen, cost: cost, onRefuse: onRefuse}
}

// Accept returns the next connection within the limit. It closes those above
// the limit at once.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.mu.Lock()
		full := l.open >= l.max
		if !full {
			l.open++
		}
		l.mu.Unlock()
		if !full {
			return &conn{Conn: c, listener: l, readyAt: time.Now().Add(l.cost)}, nil
		}
		l.onRefuse()
		// The error does not matter: the peer sees the connection end in any case.
		_ = c.Close()
	}
}

// conn is a connection that cannot be read before readyAt, which is the time of
// accepting it plus the cost of a connection.
type conn struct {
	net.Conn
	listener *listener
	readyAt  time.Time
	once     sync.Once
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if wait := time.Until(c.readyAt); wait > 0 {
		time.Sleep(wait)
	}
	return c.Conn.Read(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.listener.mu.Lock()
		c.listener.open--
		c.listener.mu.Unlock()
	})
	return c.Conn.Close()
}
