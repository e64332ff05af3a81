package backend

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

var (
	errNoConnection = errors.New("all connections to the backend server are in use")
	errNoServer     = errors.New("no backend server is announced, or it is lost")
)

// pool keeps warm connections to the backend server, because a new one costs
// about 1 ms, and bounds how many are open. It is safe for concurrent use.
type pool struct {
	timeout time.Duration

	mu      sync.Mutex
	address string
	bound   int
	// idle connections, the latest used last.
	idle       []*conn
	open       int
	generation uint64
	// idleLimit is the age from which an idle connection is not used any more,
	// 0 for no limit.
	idleLimit time.Duration
}

// defaultIdleLimit is used where the backend server does not say when it closes
// idle connections.
const defaultIdleLimit = 4 * time.Second

// limitIdle sets the limit from the time after which the backend server closes
// idle connections: a request that crosses the close may have run.
func (p *pool) limitIdle(timeout time.Duration) {
	limit := defaultIdleLimit
	if timeout > 0 {
		limit = timeout / 2
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleLimit = limit
}

// closeIdle closes the connections that are over the limit.
func (p *pool) closeIdle() {
	now := time.Now()
	var old []*conn
	p.mu.Lock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if p.idleLimit > 0 && now.Sub(c.idleSince) >= p.idleLimit {
			old = append(old, c)
			continue
		}
		kept = append(kept, c)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	p.open -= len(old)
	p.mu.Unlock()
	for _, c := range old {
		_ = c.nc.Close()
	}
}

// configure sets address and bound. A new address or a restart of the backend
// server makes all connections doubtful: idle ones are closed at once, those
// in use when they come back.
func (p *pool) configure(address string, bound int, restarted bool) {
	p.mu.Lock()
	p.bound = bound
	var doubtful []*conn
	if address != p.address || restarted {
		p.address = address
		p.generation++
		doubtful, p.idle = p.idle, nil
		p.open -= len(doubtful)
	}
	p.mu.Unlock()
	for _, c := range doubtful {
		_ = c.nc.Close()
	}
}

// get returns an idle connection or opens one. The error means that no byte
// was sent.
func (p *pool) get(ctx context.Context) (*conn, error) {
	for {
		c, address, generation, err := p.take()
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.dial(ctx, address, generation)
		}
		if c.quiet() && !p.tooOld(c) {
			return c, nil
		}
		p.put(c, false)
	}
}

func (p *pool) tooOld(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.idleLimit > 0 && time.Since(c.idleSince) >= p.idleLimit
}

func (p *pool) take() (*conn, string, uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle[n-1] = nil
		p.idle = p.idle[:n-1]
		return c, "", 0, nil
	}
	if p.address == "" || p.bound == 0 {
		return nil, "", 0, errNoServer
	}
	if p.open >= p.bound {
		return nil, "", 0, errNoConnection
	}
	p.open++
	return nil, p.address, p.generation, nil
}

func (p *pool) dial(ctx context.Context, address string, generation uint64) (*conn, error) {
	d := net.Dialer{Timeout: p.timeout}
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	return newConn(nc, generation), nil
}

// put gives a connection back. It is kept only if its last response was
// complete and nothing else was read.
func (p *pool) put(c *conn, reusable bool) {
	p.mu.Lock()
	if reusable && c.generation == p.generation && p.open <= p.bound {
		c.idleSince = time.Now()
		p.idle = append(p.idle, c)
		p.mu.Unlock()
		return
	}
	p.open--
	p.mu.Unlock()
	_ = c.nc.Close()
}

// warm closes idle connections that the backend server has closed and opens
// new ones until want are open.
func (p *pool) warm(ctx context.Context, want int) {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		p.put(c, c.quiet())
	}
	for {
		p.mu.Lock()
		if p.address == "" || p.open >= min(want, p.bound) {
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

// counts returns the connections that are open and those of them in use.
func (p *pool) counts() (open, used int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, p.open - len(p.idle)
}

func (p *pool) close() {
	p.configure("", 0, true)
}
