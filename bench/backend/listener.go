package backend

import (
	"net"
	"sync"
	"time"
)

// listener bounds the number of connections and gives each new one its cost.
type listener struct {
	net.Listener
	max    int
	cost   time.Duration
	refuse func()
	mu     sync.Mutex
	open   int
}

func newListener(l net.Listener, bound int, cost time.Duration, refuse func()) *listener {
	return &listener{Listener: l, max: bound, cost: cost, refuse: refuse}
}

// Accept closes connections above the bound at once.
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
		l.refuse()
		// The caller sees the end of the connection, which is what is meant.
		_ = c.Close()
	}
}

// conn is a connection whose first read waits for the cost of a new connection.
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
