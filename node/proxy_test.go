package node_test

import (
	"io"
	"net"
	"sync"
	"testing"
)

// faultProxy forwards TCP connections and can stall, cut or delay them.
type faultProxy struct {
	listener net.Listener
	target   func() string

	mu    sync.Mutex
	links []*link
	// opened is the number of connections forwarded so far.
	opened int
	// delay, if not nil, applies to the next connection: its bytes are buffered and
	// sent to the target only after the channel is closed.
	delay chan struct{}
}

// link is one connection through the proxy.
type link struct {
	near, far net.Conn

	mu sync.Mutex
	// stalled links accept bytes without forwarding them, as a half-open connection
	// does.
	stalled bool
	wake    *sync.Cond
}

func newProxy(t testing.TB, target func() string) *faultProxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &faultProxy{listener: l, target: target}
	go p.accept()
	t.Cleanup(func() {
		_ = l.Close()
		p.cut()
	})
	return p
}

func (p *faultProxy) address() string { return p.listener.Addr().String() }

func (p *faultProxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		delay := p.delay
		p.delay = nil
		p.mu.Unlock()
		if delay != nil {
			go p.deliverDelayed(near, delay)
			continue
		}
		far, err := net.Dial("tcp", p.target())
		if err != nil {
			_ = near.Close()
			continue
		}
		k := &link{near: near, far: far}
		k.wake = sync.NewCond(&k.mu)
		p.mu.Lock()
		p.links = append(p.links, k)
		p.opened++
		p.mu.Unlock()
		go k.pump(far, near)
		go k.pump(near, far)
	}
}

// deliverDelayed buffers what arrives until near is closed, and forwards it once
// deliver is closed.
func (p *faultProxy) deliverDelayed(near net.Conn, deliver <-chan struct{}) {
	content, _ := io.ReadAll(near)
	<-deliver
	far, err := net.Dial("tcp", p.target())
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	_, _ = far.Write(content)
	// Wait until the target has read everything and closed the connection.
	_, _ = io.Copy(io.Discard, far)
}

// delayNext delays the bytes of the next connection until deliver is called.
func (p *faultProxy) delayNext() (deliver func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delay := make(chan struct{})
	p.delay = delay
	return sync.OnceFunc(func() { close(delay) })
}

// pump forwards bytes in one direction until an error or the end of the stream.
func (k *link) pump(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		k.mu.Lock()
		for k.stalled {
			k.wake.Wait()
		}
		k.mu.Unlock()
		if n > 0 {
			if _, e := to.Write(buffer[:n]); e != nil {
				err = e
			}
		}
		if err != nil {
			if err == io.EOF {
				if c, ok := to.(*net.TCPConn); ok {
					_ = c.CloseWrite()
					return
				}
			}
			_ = to.Close()
			return
		}
	}
}

func (k *link) setStalled(stalled bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stalled = stalled
	k.wake.Broadcast()
}

// stall stops forwarding on the open connections until resume is called, if ever. New
// connections are not affected.
func (p *faultProxy) stall() (resume func()) {
	p.mu.Lock()
	links := append([]*link(nil), p.links...)
	p.mu.Unlock()
	for _, k := range links {
		k.setStalled(true)
	}
	return func() {
		for _, k := range links {
			k.setStalled(false)
		}
	}
}

// cut closes the open connections.
func (p *faultProxy) cut() {
	p.mu.Lock()
	links := p.links
	p.links = nil
	p.mu.Unlock()
	for _, k := range links {
		k.setStalled(false)
		_ = k.near.Close()
		_ = k.far.Close()
	}
}

func (p *faultProxy) openedCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// proxiedListener is a listener behind a proxy. It reports the address of the proxy as
// its own.
type proxiedListener struct {
	net.Listener
	proxy *faultProxy
}

// Addr returns the proxy's address.
func (l *proxiedListener) Addr() net.Addr { return l.proxy.listener.Addr() }

// newProxiedListener opens a listener and a proxy in front of it.
func newProxiedListener(t testing.TB) *proxiedListener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return &proxiedListener{l, newProxy(t, func() string { return l.Addr().String() })}
}
