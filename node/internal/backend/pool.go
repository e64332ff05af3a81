package backend

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

var (
	errNoConnection = errors.New("all connections to the backend server are in use")
	errNoServer     = errors.New("no backend server is announced, or it is lost")
)

// pool keeps idle connections to the backend server open, because opening a
// connection takes about 1 ms, and limits the number of open connections. It is
// safe for concurrent use.
type pool struct {
	timeout time.Duration

	mu      sync.Mutex
	address string
	maxOpen int
	// idle has the idle connections, the most recently used last.
	idle       []*conn
	open       int
	generation uint64
	// heartbeats is the number of heartbeats of the backend server, and ended that of
	// the idle connections which it has closed or reset since the latest one.
	heartbeats uint64
	ended      int
	// idleLimit is the idle time from which a connection is no longer used, 0
	// for no limit.
	idleLimit time.Duration
}

// defaultIdleLimit is used if the backend server does not report after which
// time it closes idle connections.
const defaultIdleLimit = 4 * time.Second

// limitIdle sets idleLimit to half of timeout, the time after which the backend
// server closes idle connections. 0 means unknown. A request that is sent while
// the backend server closes the connection may have run, so the use of an idle
// connection ends well before timeout.
func (p *pool) limitIdle(timeout time.Duration) {
	limit := defaultIdleLimit
	if timeout > 0 {
		limit = timeout / 2
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleLimit = limit
}

// closeIdle closes connections that have been idle for idleLimit.
func (p *pool) closeIdle() {
	now := time.Now()
	var expired []*conn
	p.mu.Lock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if p.idleLimit > 0 && now.Sub(c.idleSince) >= p.idleLimit {
			expired = append(expired, c)
			continue
		}
		kept = append(kept, c)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	p.open -= len(expired)
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.nc.Close()
	}
}

// configure sets the address and the maximum number of open connections. A new
// address or a restart of the backend server makes all connections stale: idle
// ones are closed at once, those in use when they are returned.
func (p *pool) configure(address string, maxOpen int, restarted bool) {
	p.mu.Lock()
	p.maxOpen = maxOpen
	var stale []*conn
	if address != p.address || restarted {
		p.address = address
		p.generation++
		stale, p.idle = p.idle, nil
		p.open -= len(stale)
	}
	p.mu.Unlock()
	for _, c := range stale {
		_ = c.nc.Close()
	}
}

// get returns an idle connection that has not carried the request id, or opens
// one. The error means that no byte was sent.
func (p *pool) get(ctx context.Context, id string) (*conn, error) {
	for {
		c, address, generation, err := p.take(id)
		if err != nil {
			return nil, err
		}
		if c == nil {
			if c, err = p.dial(ctx, address, generation); err == nil {
				c.sent.add(id)
			}
			return c, err
		}
		if c.usable() && !p.expired(c) {
			c.sent.add(id)
			return c, nil
		}
		p.countEnded(c)
		p.put(c, false)
	}
}

// countHeartbeat counts a heartbeat of the backend server.
func (p *pool) countHeartbeat() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heartbeats++
	p.ended = 0
}

// countEnded counts an idle connection that the backend server has closed.
func (p *pool) countEnded(c *conn) {
	if !c.endedByPeer() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.heartbeats < p.heartbeats {
		p.ended++
	}
}

// allEnded reports whether there were idle connections that were opened before the
// latest heartbeat of the backend server, and it has closed or reset all of them. Later
// connections may be those of its successor at the same address.
func (p *pool) allEnded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	ended := p.ended > 0
	for _, c := range p.idle {
		switch {
		case c.heartbeats >= p.heartbeats:
		case c.endedByPeer():
			ended = true
		default:
			return false
		}
	}
	return ended
}

func (p *pool) expired(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.idleLimit > 0 && time.Since(c.idleSince) >= p.idleLimit
}

// take removes and returns the most recently used idle connection that has not
// carried the request id. If there is none, it returns nil and what is needed to
// open a connection, and closes an idle one where no more may be open.
func (p *pool) take(id string) (*conn, string, uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		if c := p.idle[i]; !c.sent.has(id) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c, "", 0, nil
		}
	}
	if p.address == "" || p.maxOpen == 0 {
		return nil, "", 0, errNoServer
	}
	if p.open >= p.maxOpen {
		if len(p.idle) == 0 {
			return nil, "", 0, errNoConnection
		}
		_ = p.idle[0].nc.Close()
		p.idle = slices.Delete(p.idle, 0, 1)
		p.open--
	}
	p.open++
	return nil, p.address, p.generation, nil
}

func (p *pool) dial(ctx context.Context, address string, generation uint64) (*conn, error) {
	d := net.Dialer{Timeout: p.timeout}
	p.mu.Lock()
	heartbeats := p.heartbeats
	p.mu.Unlock()
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	c := newConn(nc, generation)
	c.heartbeats = heartbeats
	return c, nil
}

// put returns a connection to the pool. It closes the connection unless it is
// reusable and belongs to the current generation. Reusable means that its last
// response was complete and nothing else was read.
func (p *pool) put(c *conn, reusable bool) {
	p.mu.Lock()
	if reusable && c.generation == p.generation && p.open <= p.maxOpen {
		c.idleSince = time.Now()
		p.idle = append(p.idle, c)
		p.mu.Unlock()
		return
	}
	p.open--
	p.mu.Unlock()
	_ = c.nc.Close()
}

// isCurrent reports whether a connection belongs to the current generation.
func (p *pool) isCurrent(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.generation == p.generation
}

// warm closes idle connections that the backend server has closed and opens new
// ones until want connections are open.
func (p *pool) warm(ctx context.Context, want int) {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		p.put(c, c.usable())
	}
	for {
		p.mu.Lock()
		if p.address == "" || p.open >= min(want, p.maxOpen) {
			p.mu.Unlock()
			return
		}
		p.open++
		address, generation := p.address, p.generation
		p.mu.Unlock()
		c, err := p.dial(ctx, address, generation)
		if err != nil {
			return
		}
		p.put(c, true)
	}
}

// counts returns the number of open connections and how many are in use.
func (p *pool) counts() (open, used int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, p.open - len(p.idle)
}

func (p *pool) close() {
	p.configure("", 0, true)
}
