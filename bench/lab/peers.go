package lab

import (
	"fmt"
	"net"
	"sync"

	"github.com/jujubeknot/jujubeknot/bench/faults"
)

// peerListener passes the connections that other nodes open through a fault
// proxy.
type peerListener struct {
	net.Listener
	proxy *faults.Proxy
	group sync.WaitGroup
}

func newPeerListener() (*peerListener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for nodes: %w", err)
	}
	// The proxy's own listener is not used, so nothing connects to its target.
	proxy, err := faults.New(l.Addr().String())
	if err != nil {
		_ = l.Close()
		return nil, err
	}
	return &peerListener{Listener: l, proxy: proxy}, nil
}

// Accept implements net.Listener.
func (l *peerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	inner, outer := net.Pipe()
	l.group.Go(func() { l.proxy.Forward(c, inner) })
	return &peerConn{Conn: outer, remote: c.RemoteAddr()}, nil
}

// stop ends the connections and waits for them. The node closes the listener.
func (l *peerListener) stop() {
	// The error is about the proxy's unused listener.
	_ = l.proxy.Close()
	l.group.Wait()
}

// peerConn has the address of the node that opened the connection.
type peerConn struct {
	net.Conn
	remote net.Addr
}

// RemoteAddr implements net.Conn.
func (c *peerConn) RemoteAddr() net.Addr { return c.remote }

// SilencePeers makes the open connections between nodes half-open for good in
// the directions: nothing arrives any more, and neither side is told. New
// connections work. It needs Config.PeerFaults.
func (l *Lab) SilencePeers(directions ...faults.Direction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.servers {
		if s.peers == nil || s.node == nil {
			continue
		}
		for _, d := range directions {
			s.peers.proxy.SilenceOpen(d)
		}
	}
}
