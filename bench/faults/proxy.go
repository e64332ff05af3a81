// Package faults has a TCP proxy that does to connections what networks do:
// cut, silence, delay, throttle, truncate and refuse them.
package faults

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Direction is the way that bytes take through the proxy.
type Direction int

// Directions.
const (
	// DirectionUp is from the client to the target.
	DirectionUp Direction = iota
	// DirectionDown is from the target to the client.
	DirectionDown
	directions
)

// String returns the direction for logs.
func (d Direction) String() string {
	if d == DirectionUp {
		return "up"
	}
	return "down"
}

const (
	dialTimeout = 2 * time.Second
	chunkBytes  = 32 << 10
	// queueChunks bounds the bytes under way in one direction of a connection
	// to 2 MB; beyond that the sender has to wait, as with a full window.
	queueChunks = 64
)

// Shape is what happens to the bytes of one direction.
type Shape struct {
	// Silent holds the bytes back. They arrive once the shape is lifted, as
	// resent TCP segments do, unless the connection is cut.
	Silent bool
	// Delay is added to each byte.
	Delay time.Duration
	// BytesPerSecond bounds the throughput of each connection. 0 means none.
	BytesPerSecond int
}

// Proxy forwards connections to a target. It is safe for concurrent use.
type Proxy struct {
	target   string
	address  string
	ctx      context.Context
	cancel   context.CancelFunc
	ended    sync.WaitGroup
	mu       sync.Mutex
	listener net.Listener
	pairs    map[*pair]bool
	shapes   [directions]Shape
	// truncate is the number of bytes that new connections pass on in the
	// direction before they are cut, -1 for no bound.
	truncate [directions]int64
	total    int
}

// New returns a proxy that listens on a free loopback port and forwards to the
// target.
func New(target string) (*Proxy, error) {
	p := &Proxy{target: target, pairs: make(map[*pair]bool), truncate: [directions]int64{-1, -1}}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	if err := p.listen("127.0.0.1:0"); err != nil {
		p.cancel()
		return nil, err
	}
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.address }

// Connections returns the number of open connections and of those so far.
func (p *Proxy) Connections() (open, total int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.pairs), p.total
}

func (p *Proxy) listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("fault proxy: %w", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener, p.address = l, l.Addr().String()
	p.ended.Go(func() { p.accept(l) })
	return nil
}

func (p *Proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		p.ended.Go(func() { p.serve(c) })
	}
}

func (p *Proxy) serve(client net.Conn) {
	d := net.Dialer{Timeout: dialTimeout}
	target, err := d.DialContext(p.ctx, "tcp", p.target)
	if err != nil {
		// The client sees its connection end, as with a target that is gone.
		_ = client.Close()
		return
	}
	p.Forward(client, target)
}

// Forward passes bytes between two connections until both directions have ended
// or the proxy cuts or closes them. Use it for connections that the proxy's
// listener did not accept.
func (p *Proxy) Forward(client, target net.Conn) {
	c := newPair(client, target)
	p.mu.Lock()
	c.shapes, c.left = p.shapes, p.truncate
	p.pairs[c] = true
	p.total++
	if p.ctx.Err() != nil {
		c.cut()
	}
	p.mu.Unlock()
	c.run()
	p.mu.Lock()
	delete(p.pairs, c)
	p.mu.Unlock()
}

// Refuse closes the listener, so that new connections are refused, or opens it
// again on the same port.
func (p *Proxy) Refuse(refuse bool) error {
	p.mu.Lock()
	l := p.listener
	if refuse {
		p.listener = nil
	}
	p.mu.Unlock()
	switch {
	case refuse && l != nil:
		if err := l.Close(); err != nil {
			return fmt.Errorf("fault proxy: %w", err)
		}
		return nil
	case !refuse && l == nil:
		if p.ctx.Err() != nil {
			return errors.New("fault proxy: closed")
		}
		return p.listen(p.address)
	}
	return nil
}

// Cut closes all open connections. New ones work.
func (p *Proxy) Cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		c.cut()
	}
}

// Set changes the shape of a direction for open and new connections.
func (p *Proxy) Set(d Direction, s Shape) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shapes[d] = s
	for c := range p.pairs {
		c.set(d, s)
	}
}

// SilenceOpen makes the open connections half-open for good: nothing passes in
// the direction any more. New ones work.
func (p *Proxy) SilenceOpen(d Direction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		c.set(d, Shape{Silent: true})
		c.fix(d)
	}
}

// Truncate cuts each new connection after a number of bytes in the direction. A
// negative number lifts it.
func (p *Proxy) Truncate(d Direction, bytes int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.truncate[d] = max(bytes, -1)
}

// Heal lifts shapes and truncation. Connections that SilenceOpen made half-open
// stay so.
func (p *Proxy) Heal() {
	for d := range directions {
		p.Set(d, Shape{})
		p.Truncate(d, -1)
	}
}

// Close ends the proxy with its connections and waits for its goroutines. The
// error is that of the listener.
func (p *Proxy) Close() error {
	p.cancel()
	err := p.Refuse(true)
	p.Cut()
	p.ended.Wait()
	return err
}
