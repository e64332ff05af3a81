package caller

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/jujubeknot/jujubeknot/core/clock"
	"github.com/jujubeknot/jujubeknot/node/internal/metrics"
)

const (
	// DefaultMaxConnections bounds the connections of callers. An idle one takes
	// 25 KiB and a busy one up to 135 KiB: 9,000 busy ones raised a node to 806
	// MiB. The backend server's own connections get as many again, so that
	// nested calls are not refused together with the requests above them.
	DefaultMaxConnections = 4096
	// DefaultIdleTimeout is the time after which a connection without a request
	// is closed.
	DefaultIdleTimeout = 2 * time.Minute
	// warnEvery is the least time between two log lines about closed
	// connections.
	warnEvery = time.Second
)

// limitListener closes connections beyond a bound as soon as they are accepted,
// before anything is read from them. Accept must be called by one goroutine.
type limitListener struct {
	net.Listener
	bound   int64
	nested  func(net.Addr) bool
	clock   clock.Clock
	log     zerolog.Logger
	metrics *metrics.Set
	// warned is the time of the last log line, and closed counts the
	// connections that were closed since.
	warned time.Time
	closed int
}

// LimitListener returns a listener that accepts at most Config.MaxConnections of the
// connections of l at a time.
func (h *Handler) LimitListener(l net.Listener) net.Listener {
	return &limitListener{
		Listener: l, bound: int64(h.cfg.MaxConnections), nested: h.nestedAddress, clock: h.cfg.Clock, log: h.cfg.Log,
		metrics: h.cfg.Metrics,
	}
}

// Accept returns the next connection that is within the bound.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		open := l.metrics.Connections.Add(1)
		if open <= l.bound || open <= 2*l.bound && l.nested(nc.RemoteAddr()) {
			return &countedConn{Conn: nc, open: &l.metrics.Connections}, nil
		}
		l.metrics.Connections.Add(-1)
		l.metrics.ConnectionsClosed.Add(1)
		_ = nc.Close()
		l.warn(nc.RemoteAddr())
	}
}

func (l *limitListener) warn(remote net.Addr) {
	l.closed++
	now := l.clock.Now()
	if !l.warned.IsZero() && now.Sub(l.warned) < warnEvery {
		return
	}
	l.log.Warn().Int("closed", l.closed).Int64("maxConnections", l.bound).Str("remote", remote.String()).
		Msg("connections of callers above the bound are closed")
	l.warned, l.closed = now, 0
}

// countedConn leaves the count when it is closed.
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

// nestedAddress reports whether an address may be the backend server's.
func (h *Handler) nestedAddress(remote net.Addr) bool {
	return h.mayNest(remote.String())
}

// mayNest reports whether a request from host and port may be a nested call.
func (h *Handler) mayNest(remote string) bool {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return false
	}
	a, err := netip.ParseAddr(host)
	return err == nil && (a.IsLoopback() || h.cfg.IsBackendServer(a.Unmap()))
}
