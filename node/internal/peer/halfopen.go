package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/jujubeknot/jujubeknot/core/clock"
	"github.com/jujubeknot/jujubeknot/wire/tasks"
)

// Time-outs and intervals for the detection of half-open connections between
// nodes.
const (
	// PingAfter is the time without a read, or without a write, after which a
	// connection with calls in flight is pinged. The connection is closed if
	// nothing is read for PingTimeout after the ping. The sum of both stays
	// under a second, so that a half-open connection is replaced well within
	// the 3 s in which a key must be served again.
	PingAfter   = 250 * time.Millisecond
	PingTimeout = 500 * time.Millisecond

	// firstIdlePingDelay is the time from the last call to the first ping of an
	// idle connection. The delay doubles with each further ping. Pinging 609
	// idle connections every PingAfter used 31% of a core.
	firstIdlePingDelay = time.Second
	// maxIdlePings is the number of pings of an idle connection. No further
	// pings are sent, so that the transport can close the connection as idle.
	maxIdlePings = 5

	// unresponsiveAfter is the time without a byte read after which a server
	// closes a connection with calls in flight. The client pings such a
	// connection each PingAfter.
	unresponsiveAfter = 2 * (PingAfter + PingTimeout)
	// sampleInterval is the time between two samples of the connections. A gap
	// longer than maxSampleGap means that this process was paused. Bytes that
	// arrived in the meantime have not been read, so the time since the last
	// read does not show whether the other node responds.
	sampleInterval = 100 * time.Millisecond
	maxSampleGap   = 4 * sampleInterval
	// maxConcurrentPings limits the HTTP/2 pings in flight.
	maxConcurrentPings = 256
)

// monitoredConn is a connection that counts its reads and writes.
type monitoredConn struct {
	net.Conn
	set    *connectionSet
	target *target
	// pinger is nil for connections of net/http. The connMonitor pings these by
	// address, and their transport closes them when idle.
	pinger   pinger
	reads    atomic.Uint64
	writes   atomic.Uint64
	once     sync.Once
	detector halfOpenDetector
}

// Read reads from the connection and counts the read.
func (c *monitoredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.reads.Add(1)
	return n, err
}

// Write writes to the connection and counts the write.
func (c *monitoredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.writes.Add(1)
	return n, err
}

// Close closes the connection and removes it from its set.
func (c *monitoredConn) Close() error {
	c.once.Do(func() { c.set.remove(c) })
	return c.Conn.Close()
}

// pinger is a framed connection as seen by a connMonitor.
type pinger interface {
	ping()
	closeIdle()
}

// target counts the calls in flight to one address, or on one connection at a
// server. It is protected by the mutex of its connectionSet.
type target struct {
	address     string
	connections int
	calls       int
	// started is the total number of calls, including those that have ended.
	started uint64
}

// action is what to do with a connection after a sample.
type action int

// Actions.
const (
	actionNone action = iota
	actionPing
	actionClose
	// actionCloseIdle closes the connection unless a call begins first.
	actionCloseIdle
)

// sample has the counters of a connection at one time.
type sample struct {
	reads, writes uint64
	calls         int
	started       uint64
}

// halfOpenDetector decides from samples whether a connection is half-open. It
// is not safe for concurrent use: only the goroutine of the connMonitor uses
// it. The zero value has no samples.
type halfOpenDetector struct {
	lastSample          sample
	sampledAt           time.Time
	lastRead, lastWrite time.Time
	// busySince is the time since which calls have been in flight without a
	// break. lastCall is the last time at which a call was in flight or began.
	busySince, lastCall time.Time
	lastPing            time.Time
	pingPending         bool
	idlePings           int
}

// observeDialed takes a sample of a connection that this node has opened and
// pings.
func (d *halfOpenDetector) observeDialed(now time.Time, s sample) action {
	d.update(now, s)
	if d.pingPending && now.Sub(d.lastPing) >= PingTimeout {
		return actionClose
	}
	if s.calls == 0 && now.Sub(d.lastCall) >= idleTimeout {
		return actionCloseIdle
	}
	if d.pingPending || !d.pingDue(now, s) {
		return actionNone
	}
	d.pingPending, d.lastPing = true, now
	if s.calls == 0 {
		d.idlePings++
	}
	return actionPing
}

// pingDue reports whether it is time for a ping.
func (d *halfOpenDetector) pingDue(now time.Time, s sample) bool {
	if s.calls > 0 {
		// The other node detects a half-open connection by the lack of bytes
		// from this node, so a ping is also due after a lack of writes.
		return min(now.Sub(d.lastPing), max(d.sinceLastRead(now), now.Sub(d.lastWrite))) >= PingAfter
	}
	return d.idlePings < maxIdlePings && now.Sub(d.lastCall) >= firstIdlePingDelay*(1<<(d.idlePings+1)-1)
}

// observeAccepted takes a sample of a connection that the other node has opened
// and pings.
func (d *halfOpenDetector) observeAccepted(now time.Time, s sample) action {
	d.update(now, s)
	if s.calls > 0 && d.sinceLastRead(now) >= unresponsiveAfter {
		return actionClose
	}
	return actionNone
}

// sinceLastRead returns how long the calls in flight have waited for a byte.
func (d *halfOpenDetector) sinceLastRead(now time.Time) time.Duration {
	return min(now.Sub(d.lastRead), now.Sub(d.busySince))
}

// update records what has changed since the last sample.
func (d *halfOpenDetector) update(now time.Time, s sample) {
	paused := now.Sub(d.sampledAt) > maxSampleGap
	if s.reads != d.lastSample.reads || paused {
		d.lastRead, d.pingPending = now, false
	}
	if s.writes != d.lastSample.writes || paused {
		d.lastWrite = now
	}
	if s.calls > 0 && d.lastSample.calls == 0 {
		d.busySince = now
	}
	if s.calls > 0 || s.started != d.lastSample.started || d.sampledAt.IsZero() {
		d.lastCall, d.idlePings = now, 0
	}
	d.lastSample, d.sampledAt = s, now
}

// connectionSet has the open connections of a client or server and their
// targets. The zero value is empty. It is safe for concurrent use.
type connectionSet struct {
	mu      sync.Mutex
	open    map[*monitoredConn]struct{}
	targets map[string]*target
}

// add adds a connection. Connections to the same address share a target. A
// connection with an empty address has a target of its own.
func (s *connectionSet) add(nc net.Conn, address string, framed pinger) *monitoredConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := &target{}
	if address != "" {
		t = s.findOrAdd(address)
	}
	t.connections++
	c := &monitoredConn{Conn: nc, set: s, target: t, pinger: framed}
	if s.open == nil {
		s.open = make(map[*monitoredConn]struct{})
	}
	s.open[c] = struct{}{}
	return c
}

func (s *connectionSet) remove(c *monitoredConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
	c.target.connections--
	s.removeUnused(c.target)
}

// beginCallTo counts a call to an address. endCall must be called when it has
// ended.
func (s *connectionSet) beginCallTo(address string) *target {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.findOrAdd(address)
	t.beginCall()
	return t
}

// beginCallOn counts a call on a connection. endCall must be called when it has
// ended.
func (s *connectionSet) beginCallOn(c *monitoredConn) *target {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.target.beginCall()
	return c.target
}

func (s *connectionSet) endCall(t *target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.calls--
	s.removeUnused(t)
}

func (t *target) beginCall() {
	t.calls++
	t.started++
}

func (s *connectionSet) findOrAdd(address string) *target {
	t := s.targets[address]
	if t == nil {
		t = &target{address: address}
		if s.targets == nil {
			s.targets = make(map[string]*target)
		}
		s.targets[address] = t
	}
	return t
}

// removeUnused removes a target without connections and calls, so that targets
// of former nodes do not accumulate.
func (s *connectionSet) removeUnused(t *target) {
	if t.connections == 0 && t.calls == 0 && s.targets[t.address] == t {
		delete(s.targets, t.address)
	}
}

func (s *connectionSet) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// connSample is a connection with a sample of it.
type connSample struct {
	conn   *monitoredConn
	sample sample
}

// samples appends a sample of each open connection.
func (s *connectionSet) samples(all []connSample) []connSample {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		all = append(all, connSample{c, sample{reads: c.reads.Load(), writes: c.writes.Load(), calls: c.target.calls, started: c.target.started}})
	}
	return all
}

// connMonitor pings connections and closes half-open ones. All fields are
// required, except that ping may be nil if observe never returns actionPing.
type connMonitor struct {
	clock       clock.Clock
	log         zerolog.Logger
	connections *connectionSet
	observe     func(*halfOpenDetector, time.Time, sample) action
	ping        func(ctx context.Context, address string)

	// samples is reused by observeAll.
	samples []connSample
}

// run samples the connections until the context ends.
func (m *connMonitor) run(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	pings := tasks.New(maxConcurrentPings)
	running := 0
	for {
		select {
		case <-ctx.Done():
			_ = pings.Wait()
			return
		case result := <-pings.Results():
			_ = pings.Ack(result)
			running--
		case <-ticker.C:
			for _, c := range m.observeAll() {
				switch {
				case c.pinger != nil:
					c.pinger.ping()
				case running < maxConcurrentPings:
					running++
					pings.Go(ctx, "ping", tasks.WithoutError(func(ctx context.Context) { m.ping(ctx, c.target.address) }))
				}
			}
		}
	}
}

// observeAll takes a sample of each connection, closes those that are half-open
// and returns those to ping. It reads the clock once, because each reading is a
// system call and a node has connections with hundreds of others.
func (m *connMonitor) observeAll() (toPing []*monitoredConn) {
	clear(m.samples)
	m.samples = m.connections.samples(m.samples[:0])
	now := m.clock.Now()
	for _, c := range m.samples {
		if m.check(now, c) {
			toPing = append(toPing, c.conn)
		}
	}
	return toPing
}

// check passes a sample to the detector of its connection. It closes the
// connection if it is half-open and reports whether to ping it.
func (m *connMonitor) check(now time.Time, c connSample) bool {
	switch m.observe(&c.conn.detector, now, c.sample) {
	case actionPing:
		return true
	case actionClose:
		m.log.Info().Str("peer", c.conn.RemoteAddr().String()).Int("calls", c.sample.calls).Msg("half-open connection between nodes closed")
		_ = c.conn.Close()
	case actionCloseIdle:
		if c.conn.pinger != nil {
			c.conn.pinger.closeIdle()
		}
	}
	return false
}
