package node_test

import (
	"io"
	"net"
	"sync"
	"testing"
)

// faultProxy forwards TCP connections and can break those that are open.
type faultProxy struct {
	listener net.Listener
	target   func() string

	mu    sync.Mutex
	links []*link
	// opened counts connections.
	opened int
	// late, if not nil, takes the next connection: its bytes are collected and
	// reach the target only when the channel is closed.
	late chan struct{}
}

// link is one connection through the proxy.
type link struct {
	near, far net.Conn

	mu sync.Mutex
	// silent links take bytes and hold them back, as a half-open connection
	// does.
	silent bool
	wake   *sync.Cond
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
		late := p.late
		p.late = nil
		p.mu.Unlock()
		if late != nil {
			go p.deliverLate(near, late)
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

// deliverLate collects what arrives until near is closed, and delivers it when
// told to.
func (p *faultProxy) deliverLate(near net.Conn, deliver <-chan struct{}) {
	held, _ := io.ReadAll(near)
	<-deliver
	far, err := net.Dial("tcp", p.target())
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	_, _ = far.Write(held)
	// Until the target has taken everything and closes.
	_, _ = io.Copy(io.Discard, far)
}

// lateNext makes the bytes of the next connection arrive only after deliver.
func (p *faultProxy) lateNext() (deliver func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	late := make(chan struct{})
	p.late = late
	return sync.OnceFunc(func() { close(late) })
}

func (k *link) pump(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		k.mu.Lock()
		for k.silent {
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

func (k *link) setSilent(silent bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.silent = silent
	k.wake.Broadcast()
}

// silence holds back all bytes of the open connections, for good or until
// resume. New connections work.
func (p *faultProxy) silence() (resume func()) {
	p.mu.Lock()
	links := append([]*link(nil), p.links...)
	p.mu.Unlock()
	for _, k := range links {
		k.setSilent(true)
	}
	return func() {
		for _, k := range links {
			k.setSilent(false)
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
		k.setSilent(false)
		_ = k.near.Close()
		_ = k.far.Close()
	}
}

func (p *faultProxy) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// proxiedListener tells others the address of a proxy in front of it.
type proxiedListener struct {
	net.Listener
	proxy *faultProxy
}

// Addr returns the proxy's address.
func (l *proxiedListener) Addr() net.Addr { return l.proxy.listener.Addr() }

// proxied puts a proxy in front of a new listener.
func proxied(t testing.TB) *proxiedListener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return &proxiedListener{l, newProxy(t, func() string { return l.Addr().String() })}
}
