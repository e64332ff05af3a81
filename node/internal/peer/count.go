package peer

import (
	"net"
	"sync"
	"sync/atomic"
)

// openConnections counts connections.
type openConnections struct {
	count atomic.Int64
}

func (o *openConnections) add(nc net.Conn) net.Conn {
	o.count.Add(1)
	return &countedConn{Conn: nc, open: o}
}

type countedConn struct {
	net.Conn
	open *openConnections
	once sync.Once
}

// Close closes the connection and counts it once.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.count.Add(-1) })
	return c.Conn.Close()
}
