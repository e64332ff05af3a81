package caller

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/jujubeknot/jujubeknot/core/clock"
	"github.com/jujubeknot/jujubeknot/node/internal/ledger"
	"github.com/jujubeknot/jujubeknot/node/internal/metrics"
)

const (
	// DefaultMaxConnections bounds the connections of callers. An idle connection
	// takes 25 KiB of memory and a busy one up to 135 KiB. 9,000 busy
	// connections raised the memory of a node to 806 MiB. Connections of the
	// backend server may use as many again, so that nested calls are not refused
	// together with the requests that wait for them.
	DefaultMaxConnections = 4096
	// DefaultIdleTimeout is the time after which a connection without a request is
	// closed.
	DefaultIdleTimeout = 2 * time.Minute
	// minWarnInterval is the minimum time between two log lines about closed
	// connections.
	minWarnInterval = time.Second
	// maxLeaving bounds the connections that were dropped and are not closed yet.
	maxLeaving = 64
)

// limitListener bounds the number of connections. Above the limit, it drops the one that
// is the cheapest to lose, or closes the new one as soon as it is accepted, before
// anything is read from it. Accept must not be called concurrently.
type limitListener struct {
	net.Listener
	ledger   *ledger.Ledger
	limit    int64
	isNested func(net.Addr) bool
	clock    clock.Clock
	log      zerolog.Logger
	metrics  *metrics.Set
	// lastWarned is the time of the last log line. closedSinceWarned counts the
	// connections that were closed after it.
	lastWarned        time.Time
	closedSinceWarned int
}

// LimitListener returns a listener that keeps at most Config.MaxConnections
// connections of l open at a time. Connections that may come from the backend
// server are accepted up to twice that number. All listeners of a handler share
// one count.
func (h *Handler) LimitListener(l net.Listener) net.Listener {
	return &limitListener{
		Listener: l, ledger: h.cfg.Ledger, limit: int64(h.cfg.MaxConnections), isNested: h.mayBeNestedAddress, clock: h.cfg.Clock, log: h.cfg.Log,
		metrics: h.cfg.Metrics,
	}
}

// Accept returns the next connection that is within the limit.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		open := l.metrics.Connections.Add(1)
		limit := l.limit
		if open > limit && l.isNested(nc.RemoteAddr()) {
			limit *= 2
		}
		if open <= limit || open <= limit+maxLeaving && l.ledger != nil && l.ledger.DropConnection() {
			return &countedConn{Conn: nc, open: &l.metrics.Connections}, nil
		}
		l.metrics.Connections.Add(-1)
		l.metrics.ConnectionsClosed.Add(1)
		_ = nc.Close()
		l.warn(nc.RemoteAddr())
	}
}

func (l *limitListener) warn(remote net.Addr) {
	l.closedSinceWarned++
	now := l.clock.Now()
	if !l.lastWarned.IsZero() && now.Sub(l.lastWarned) < minWarnInterval {
		return
	}
	l.log.Warn().Int("closed", l.closedSinceWarned).Int64("maxConnections", l.limit).Str("remote", remote.String()).
		Msg("connections of callers above the bound are closed")
	l.lastWarned, l.closedSinceWarned = now, 0
}

// countedConn decrements the count of open connections when it is closed.
type countedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

// Close closes the connection.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

// SetLinger sets whether unsent data is sent after the connection is closed.
func (c *countedConn) SetLinger(seconds int) error {
	l, ok := c.Conn.(interface{ SetLinger(int) error })
	if !ok {
		return errors.ErrUnsupported
	}
	return l.SetLinger(seconds)
}

// CloseWrite closes the connection for writing, so that the caller sees the end and
// what it still sends can be discarded.
func (c *countedConn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return half.CloseWrite()
}

// mayBeNestedAddress reports whether a connection from an address may carry
// nested calls.
func (h *Handler) mayBeNestedAddress(remote net.Addr) bool {
	return h.mayBeNested(remote.String())
}

// mayBeNested reports whether a request from a remote address in the form
// host:port may be a nested call. Only the backend server and local processes
// make such calls.
func (h *Handler) mayBeNested(remote string) bool {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return false
	}
	a, err := netip.ParseAddr(host)
	return err == nil && (a.IsLoopback() || h.cfg.IsBackendServer(a.Unmap()))
}
