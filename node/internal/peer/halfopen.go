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

// Bounds of half-open connections between nodes.
const (
	// PingAfter is the time without a byte from the other node, or to it, after
	// which a connection with calls under way is pinged, and PingTimeout the
	// time without an answer after which it is closed. Together they stay under
	// a second, so that a half-open connection is replaced well within the 3 s
	// in which a key must be served again.
	PingAfter   = 250 * time.Millisecond
	PingTimeout = 500 * time.Millisecond

	// quietPing is the time after the last call at which a connection without
	// calls is pinged first; each further ping waits twice as long as the one
	// before. With a ping each PingAfter, 609 quiet connections took 31% of a
	// core.
	firstIdlePingDelay = time.Second
	// maxQuietPings ends the pings of a connection without calls, so that the
	// transport can close it as idle.
	maxIdlePings = 5

	// silentAfter is the time after which a server closes a connection that has
	// calls under way and on which nothing arrives. The other node pings such a
	// connection each PingAfter.
	unresponsiveAfter = 2 * (PingAfter + PingTimeout)
	// watchInterval is the time between two looks at the connections. A longer
	// gap than maxWatchGap means that this process was paused: what arrived
	// meanwhile has not been read, so that silence says nothing.
	sampleInterval = 50 * time.Millisecond
	maxSampleGap   = 4 * sampleInterval
	// maxPings bounds the pings under way.
	maxConcurrentPings = 256
)

// watchedConn counts what moves on a connection.
type monitoredConn struct {
	net.Conn
	set    *connectionSet
	target *target
	// link is nil for connections of net/http: these are pinged by the watcher,
	// which picks one by the address, and closed as idle by their transport.
	pinger   pinger
	reads    atomic.Uint64
	writes   atomic.Uint64
	once     sync.Once
	detector halfOpenDetector
}

// Read reads and counts.
func (c *monitoredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.reads.Add(1)
	return n, err
}

// Write writes and counts.
func (c *monitoredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.writes.Add(1)
	return n, err
}

// Close closes the connection and forgets it.
func (c *monitoredConn) Close() error {
	c.once.Do(func() { c.set.remove(c) })
	return c.Conn.Close()
}

// watchedLink is what the watcher asks of a framed connection.
type pinger interface {
	ping()
	closeIdle()
}

// target counts the calls under way to one address, or on one connection at a
// server. The lock of the connections guards it.
type target struct {
	address     string
	connections int
	calls       int
	// begun counts the calls that were ever begun.
	started uint64
}

// action is what a look at a connection asks for.
type action int

// Actions.
const (
	actionNone action = iota
	actionPing
	actionClose
	// actionIdle closes the connection if no call begins meanwhile.
	actionCloseIdle
)

// sample is what a look at a connection sees.
type sample struct {
	reads, writes uint64
	calls         int
	started       uint64
}

// pulse decides from samples whether a connection is half-open. It belongs to
// the goroutine that watches. The zero value has seen nothing.
type halfOpenDetector struct {
	lastSample          sample
	sampledAt           time.Time
	lastRead, lastWrite time.Time
	// busyAt is when the calls under way began, calledAt when the last ended.
	busySince, lastCall time.Time
	lastPing            time.Time
	pingPending         bool
	idlePings           int
}

// look takes a sample of a connection that the watcher pings.
func (p *halfOpenDetector) observeDialed(now time.Time, s sample) action {
	p.update(now, s)
	if p.pingPending && now.Sub(p.lastPing) >= PingTimeout {
		return actionClose
	}
	if s.calls == 0 && now.Sub(p.lastCall) >= idleTimeout {
		return actionCloseIdle
	}
	if p.pingPending || !p.pingDue(now, s) {
		return actionNone
	}
	p.pingPending, p.lastPing = true, now
	if s.calls == 0 {
		p.idlePings++
	}
	return actionPing
}

// due reports whether it is time for a ping.
func (p *halfOpenDetector) pingDue(now time.Time, s sample) bool {
	if s.calls > 0 {
		// The other side hears only what is written, and relies on pings too.
		return min(now.Sub(p.lastPing), max(p.sinceLastRead(now), now.Sub(p.lastWrite))) >= PingAfter
	}
	return p.idlePings < maxIdlePings && now.Sub(p.lastCall) >= firstIdlePingDelay*(1<<(p.idlePings+1)-1)
}

// listen takes a sample of a connection that the other side pings.
func (p *halfOpenDetector) observeAccepted(now time.Time, s sample) action {
	p.update(now, s)
	if s.calls > 0 && p.sinceLastRead(now) >= unresponsiveAfter {
		return actionClose
	}
	return actionNone
}

// unread returns how long the calls under way have waited for a byte.
func (p *halfOpenDetector) sinceLastRead(now time.Time) time.Duration {
	return min(now.Sub(p.lastRead), now.Sub(p.busySince))
}

// note takes over what has changed since the last sample.
func (p *halfOpenDetector) update(now time.Time, s sample) {
	paused := now.Sub(p.sampledAt) > maxSampleGap
	if s.reads != p.lastSample.reads || paused {
		p.lastRead, p.pingPending = now, false
	}
	if s.writes != p.lastSample.writes || paused {
		p.lastWrite = now
	}
	if s.calls > 0 && p.lastSample.calls == 0 {
		p.busySince = now
	}
	if s.calls > 0 || s.started != p.lastSample.started || p.sampledAt.IsZero() {
		p.lastCall, p.idlePings = now, 0
	}
	p.lastSample, p.sampledAt = s, now
}

// connections are the open connections of one side and their targets. The zero
// value is empty. It is safe for concurrent use.
type connectionSet struct {
	mu      sync.Mutex
	open    map[*monitoredConn]struct{}
	targets map[string]*target
}

// add watches a connection. An empty address gives it a target of its own.
func (s *connectionSet) add(nc net.Conn, address string, l pinger) *monitoredConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := &target{}
	if address != "" {
		t = s.findOrAdd(address)
	}
	t.connections++
	c := &monitoredConn{Conn: nc, set: s, target: t, pinger: l}
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

// call begins a call to an address. The caller ends it with end.
func (s *connectionSet) beginCallTo(address string) *target {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.findOrAdd(address)
	t.beginCall()
	return t
}

// on begins a call on a connection. The caller ends it with end.
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

// forget drops a target that nothing refers to, since addresses of other nodes
// come and go.
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

// seen is a connection with what a look at it sees.
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

// watcher closes half-open connections. All fields are required, ping only
// where look asks for pings.
type connMonitor struct {
	clock       clock.Clock
	log         zerolog.Logger
	connections *connectionSet
	observe     func(*halfOpenDetector, time.Time, sample) action
	ping        func(ctx context.Context, address string)
}

// run watches until the context ends.
func (w *connMonitor) run(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	pings := tasks.New(maxConcurrentPings)
	running := 0
	var all []connSample
	for {
		select {
		case <-ctx.Done():
			_ = pings.Wait()
			return
		case end := <-pings.Results():
			_ = pings.Ack(end)
			running--
		case <-ticker.C:
			clear(all)
			all = w.connections.samples(all[:0])
			for _, c := range all {
				switch {
				case !w.check(c):
				case c.conn.pinger != nil:
					c.conn.pinger.ping()
				case running < maxConcurrentPings:
					running++
					pings.Go(ctx, "ping", tasks.WithoutError(func(ctx context.Context) { w.ping(ctx, c.conn.target.address) }))
				}
			}
		}
	}
}

// step looks at a connection, closes it where it is half-open and reports
// whether it is to be pinged.
func (w *connMonitor) check(c connSample) bool {
	switch w.observe(&c.conn.detector, w.clock.Now(), c.sample) {
	case actionPing:
		return true
	case actionClose:
		w.log.Info().Str("peer", c.conn.RemoteAddr().String()).Int("calls", c.sample.calls).Msg("connection between nodes is half-open and is closed")
		_ = c.conn.Close()
	case actionCloseIdle:
		if c.conn.pinger != nil {
			c.conn.pinger.closeIdle()
		}
	}
	return false
}
