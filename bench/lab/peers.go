package lab

import (
	"fmt"
	"net"
	"sync"

	"github.com/jujubeknot/jujubeknot/bench/faults"
)

// peerListener accepts the connections of other nodes and routes them through a
// fault proxy.
type peerListener struct {
	net.Listener
	proxy      *faults.Proxy
	forwarding sync.WaitGroup
}

func newPeerListener() (*peerListener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for peer connections: %w", err)
	}
	// Connections reach the proxy only through Forward. Its own listener is
	// unused, so nothing connects to its target.
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
	l.forwarding.Go(func() { l.proxy.Forward(c, inner) })
	return &peerConn{Conn: outer, remote: c.RemoteAddr()}, nil
}

// stop closes the connections and waits until they have ended. The node closes
// the listener.
func (l *peerListener) stop() {
	// The error concerns only the unused listener of the proxy.
	_ = l.proxy.Close()
	l.forwarding.Wait()
}

// peerConn is a piped connection that reports the address of the node that opened
// it.
type peerConn struct {
	net.Conn
	remote net.Addr
}

// RemoteAddr implements net.Conn.
func (c *peerConn) RemoteAddr() net.Addr { return c.remote }

// SilencePeers makes the open connections between nodes half-open permanently in
// the given directions: data no longer arrives and neither side is notified.
// Connections opened later work. It requires Config.PeerFaults.
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
