// Package faults has a TCP proxy that injects network faults: it cuts,
// silences, delays, throttles, truncates and refuses connections.
package faults

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Direction is one of the two directions of a connection.
type Direction int

// Directions.
const (
	// DirectionUp is from the client to the target.
	DirectionUp Direction = iota
	// DirectionDown is from the target to the client.
	DirectionDown
	// directions is the number of directions.
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
	// chunkBytes is the maximum size of one read.
	chunkBytes = 32 << 10
	// queueChunks limits the bytes that are queued in one direction of a
	// connection to 2 MB. Beyond that the sender has to wait, as with a full TCP
	// window.
	queueChunks = 64
)

// Shape has the faults of one direction. The zero value forwards bytes
// unchanged and at once.
type Shape struct {
	// Silent holds the bytes back. They are forwarded once Silent is unset, as TCP
	// would retransmit them, unless the connection is cut before.
	Silent bool
	// Delay is the additional latency of each byte.
	Delay time.Duration
	// BytesPerSecond limits the throughput of each connection. 0 means no limit.
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
	// truncate is the number of bytes that new connections forward in each
	// direction before they are cut, -1 for no limit.
	truncate [directions]int64
	// total is the number of connections so far.
	total int
}

// New returns a proxy that listens on a free loopback port and forwards to
// target, an address of host and port.
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

// Connections returns the number of connections that are open, and the total
// number since New.
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
		// The client sees its connection close, as it does if the target has crashed.
		_ = client.Close()
		return
	}
	p.Forward(client, target)
}

// Forward forwards bytes between two connections until both directions have
// ended, or until they are cut or the proxy is closed. It is for connections
// that the proxy's listener has not accepted.
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

// Refuse closes the listener if refuse is true, so that new connections are
// refused. Otherwise it opens the listener again on the same port.
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

// Cut closes all open connections. New connections are accepted.
func (p *Proxy) Cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		c.cut()
	}
}

// Set sets the shape of a direction for open and new connections, except open
// ones that SilenceOpen has changed.
func (p *Proxy) Set(d Direction, s Shape) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shapes[d] = s
	for c := range p.pairs {
		c.set(d, s)
	}
}

// SilenceOpen makes the open connections permanently half-open: no bytes are
// forwarded in the direction any more. New connections are not affected.
func (p *Proxy) SilenceOpen(d Direction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		c.set(d, Shape{Silent: true})
		c.fix(d)
	}
}

// Truncate makes the proxy cut each new connection after a number of bytes in
// the direction. A negative number removes the limit.
func (p *Proxy) Truncate(d Direction, bytes int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.truncate[d] = max(bytes, -1)
}

// Heal removes all shapes and limits of Truncate. Connections that SilenceOpen
// has made half-open stay half-open.
func (p *Proxy) Heal() {
	for d := range directions {
		p.Set(d, Shape{})
		p.Truncate(d, -1)
	}
}

// Close closes the listener and all connections and waits for the proxy's
// goroutines. It returns the error of closing the listener.
func (p *Proxy) Close() error {
	p.cancel()
	err := p.Refuse(true)
	p.Cut()
	p.ended.Wait()
	return err
}
