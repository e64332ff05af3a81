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
	quietPing = time.Second
	// maxQuietPings ends the pings of a connection without calls, so that the
	// transport can close it as idle.
	maxQuietPings = 5

	// silentAfter is the time after which a server closes a connection that has
	// calls under way and on which nothing arrives. The other node pings such a
	// connection each PingAfter.
	silentAfter = 2 * (PingAfter + PingTimeout)
	// watchInterval is the time between two looks at the connections. A longer
	// gap than maxWatchGap means that this process was paused: what arrived
	// meanwhile has not been read, so that silence says nothing.
	watchInterval = 50 * time.Millisecond
	maxWatchGap   = 4 * watchInterval
	// maxPings bounds the pings under way.
	maxPings = 256
)

// watchedConn counts what moves on a connection.
type watchedConn struct {
	net.Conn
	set    *connections
	target *target
	// link is nil for connections of net/http: these are pinged by the watcher,
	// which picks one by the address, and closed as idle by their transport.
	link   watchedLink
	reads  atomic.Uint64
	writes atomic.Uint64
	once   sync.Once
	pulse  pulse
}

// Read reads and counts.
func (c *watchedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.reads.Add(1)
	return n, err
}

// Write writes and counts.
func (c *watchedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.writes.Add(1)
	return n, err
}

// Close closes the connection and forgets it.
func (c *watchedConn) Close() error {
	c.once.Do(func() { c.set.remove(c) })
	return c.Conn.Close()
}

// watchedLink is what the watcher asks of a framed connection.
type watchedLink interface {
	ping()
	closeIdle()
}

// target counts the calls under way to one address, or on one connection at a
// server. The lock of the connections guards it.
type target struct {
	address string
	open    int
	calls   int
	// begun counts the calls that were ever begun.
	begun uint64
}

// action is what a look at a connection asks for.
type action int

// Actions.
const (
	actionNone action = iota
	actionPing
	actionClose
	// actionIdle closes the connection if no call begins meanwhile.
	actionIdle
)

// sample is what a look at a connection sees.
type sample struct {
	reads, writes uint64
	calls         int
	begun         uint64
}

// pulse decides from samples whether a connection is half-open. It belongs to
// the goroutine that watches. The zero value has seen nothing.
type pulse struct {
	last            sample
	looked          time.Time
	readAt, writeAt time.Time
	// busyAt is when the calls under way began, calledAt when the last ended.
	busyAt, calledAt time.Time
	pingedAt         time.Time
	waiting          bool
	quietPings       int
}

// look takes a sample of a connection that the watcher pings.
func (p *pulse) look(now time.Time, s sample) action {
	p.note(now, s)
	if p.waiting && now.Sub(p.pingedAt) >= PingTimeout {
		return actionClose
	}
	if s.calls == 0 && now.Sub(p.calledAt) >= idleTimeout {
		return actionIdle
	}
	if p.waiting || !p.due(now, s) {
		return actionNone
	}
	p.waiting, p.pingedAt = true, now
	if s.calls == 0 {
		p.quietPings++
	}
	return actionPing
}

// due reports whether it is time for a ping.
func (p *pulse) due(now time.Time, s sample) bool {
	if s.calls > 0 {
		// The other side hears only what is written, and relies on pings too.
		return min(now.Sub(p.pingedAt), max(p.unread(now), now.Sub(p.writeAt))) >= PingAfter
	}
	return p.quietPings < maxQuietPings && now.Sub(p.calledAt) >= quietPing*(1<<(p.quietPings+1)-1)
}

// listen takes a sample of a connection that the other side pings.
func (p *pulse) listen(now time.Time, s sample) action {
	p.note(now, s)
	if s.calls > 0 && p.unread(now) >= silentAfter {
		return actionClose
	}
	return actionNone
}

// unread returns how long the calls under way have waited for a byte.
func (p *pulse) unread(now time.Time) time.Duration {
	return min(now.Sub(p.readAt), now.Sub(p.busyAt))
}

// note takes over what has changed since the last sample.
func (p *pulse) note(now time.Time, s sample) {
	paused := now.Sub(p.looked) > maxWatchGap
	if s.reads != p.last.reads || paused {
		p.readAt, p.waiting = now, false
	}
	if s.writes != p.last.writes || paused {
		p.writeAt = now
	}
	if s.calls > 0 && p.last.calls == 0 {
		p.busyAt = now
	}
	if s.calls > 0 || s.begun != p.last.begun || p.looked.IsZero() {
		p.calledAt, p.quietPings = now, 0
	}
	p.last, p.looked = s, now
}

// connections are the open connections of one side and their targets. The zero
// value is empty. It is safe for concurrent use.
type connections struct {
	mu      sync.Mutex
	open    map[*watchedConn]struct{}
	targets map[string]*target
}

// add watches a connection. An empty address gives it a target of its own.
func (s *connections) add(nc net.Conn, address string, l watchedLink) *watchedConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := &target{}
	if address != "" {
		t = s.find(address)
	}
	t.open++
	c := &watchedConn{Conn: nc, set: s, target: t, link: l}
	if s.open == nil {
		s.open = make(map[*watchedConn]struct{})
	}
	s.open[c] = struct{}{}
	return c
}

func (s *connections) remove(c *watchedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
	c.target.open--
	s.forget(c.target)
}

// call begins a call to an address. The caller ends it with end.
func (s *connections) call(address string) *target {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.find(address)
	t.begin()
	return t
}

// on begins a call on a connection. The caller ends it with end.
func (s *connections) on(c *watchedConn) *target {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.target.begin()
	return c.target
}

func (s *connections) end(t *target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.calls--
	s.forget(t)
}

func (t *target) begin() {
	t.calls++
	t.begun++
}

func (s *connections) find(address string) *target {
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
func (s *connections) forget(t *target) {
	if t.open == 0 && t.calls == 0 && s.targets[t.address] == t {
		delete(s.targets, t.address)
	}
}

func (s *connections) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// seen is a connection with what a look at it sees.
type seen struct {
	conn   *watchedConn
	sample sample
}

// samples appends a sample of each open connection.
func (s *connections) samples(all []seen) []seen {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		all = append(all, seen{c, sample{reads: c.reads.Load(), writes: c.writes.Load(), calls: c.target.calls, begun: c.target.begun}})
	}
	return all
}

// watcher closes half-open connections. All fields are required, ping only
// where look asks for pings.
type watcher struct {
	clock clock.Clock
	log   zerolog.Logger
	set   *connections
	look  func(*pulse, time.Time, sample) action
	ping  func(ctx context.Context, address string)
}

// run watches until the context ends.
func (w *watcher) run(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	pings := tasks.New(maxPings)
	running := 0
	var all []seen
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
			all = w.set.samples(all[:0])
			for _, c := range all {
				switch {
				case !w.step(c):
				case c.conn.link != nil:
					c.conn.link.ping()
				case running < maxPings:
					running++
					pings.Go(ctx, "ping", tasks.WithoutError(func(ctx context.Context) { w.ping(ctx, c.conn.target.address) }))
				}
			}
		}
	}
}

// step looks at a connection, closes it where it is half-open and reports
// whether it is to be pinged.
func (w *watcher) step(c seen) bool {
	switch w.look(&c.conn.pulse, w.clock.Now(), c.sample) {
	case actionPing:
		return true
	case actionClose:
		w.log.Info().Str("peer", c.conn.RemoteAddr().String()).Int("calls", c.sample.calls).Msg("connection between nodes is half-open and is closed")
		_ = c.conn.Close()
	case actionIdle:
		if c.conn.link != nil {
			c.conn.link.closeIdle()
		}
	}
	return false
}
