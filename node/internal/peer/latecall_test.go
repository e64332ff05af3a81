package peer_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/node/internal/peer"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
	"github.com/jujubeknot/jujubeknot/wire/boottime"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// slowLink forwards connections to a node. It holds what a calling node sends until it
// is released.
type slowLink struct {
	listener net.Listener
	// held has a value for each connection whose first bytes have arrived at the link.
	held, release chan struct{}
}

func newSlowLink(t *testing.T, target string) *slowLink {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	k := &slowLink{listener: l, held: make(chan struct{}, 16), release: make(chan struct{})}
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			go k.forward(near, target)
		}
	}()
	return k
}

func (k *slowLink) forward(near net.Conn, target string) {
	defer func() { _ = near.Close() }()
	far, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	first := make([]byte, 64<<10)
	n, err := near.Read(first)
	if err != nil {
		return
	}
	k.held <- struct{}{}
	<-k.release
	if _, err := far.Write(first[:n]); err != nil {
		return
	}
	go func() { _, _ = io.Copy(far, near) }()
	_, _ = io.Copy(near, far)
}

// postCall returns a call that must not run twice.
func postCall(deadline time.Duration) *relay.Call {
	return &relay.Call{ID: "id", Sending: "sending", Upstream: "u", Method: "POST", URI: "/", Host: "h", Deadline: boottime.Clock{}.Now().Add(deadline), Body: &relay.Body{}}
}

// result is what a call ended with.
type result struct {
	answer  *relay.Response
	refusal *outcome.Refusal
	took    time.Duration
}

// TestCallOnAConnectionThatAStopFindsNew guards against a call that was sent on a new
// connection and that a stopping node drops unread: its caller could not learn that it
// did not run, and waited until the deadline.
func TestCallOnAConnectionThatAStopFindsNew(t *testing.T) {
	const deadline, uploadSize = 3 * time.Second, 100 << 10
	for name, body := range map[string]*relay.Body{
		"call":           {},
		"upload":         {Rest: bytes.NewReader(make([]byte, uploadSize)), Length: uploadSize, Abort: func() {}},
		"chunked upload": {Rest: bytes.NewReader(make([]byte, uploadSize)), Length: -1, Abort: func() {}},
	} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			n := start(t, func(context.Context, *relay.Call) (*relay.Response, *outcome.Refusal) {
				runs.Add(1)
				return relay.NewBufferedResponse(200, nil, []byte("done")), nil
			})
			link := newSlowLink(t, n.node.GetPeerAddress())
			to := &wirev1.Node{Incarnation: 2, PeerAddress: link.listener.Addr().String()}
			c := postCall(deadline)
			c.Body = body
			results := make(chan result, 1)
			go func() {
				begun := time.Now()
				answer, refusal := n.client.Do(context.Background(), to, c)
				results <- result{answer, refusal, time.Since(begun)}
			}()
			<-link.held
			peer.WaitUnidentified(n.server, 1)
			stopped := make(chan error, 1)
			go func() { stopped <- n.server.Shutdown(context.Background()) }()
			peer.WaitStopping(n.server)
			time.AfterFunc(50*time.Millisecond, func() { close(link.release) })
			checkRanOrNotRun(t, <-results, runs.Load, deadline)
			if err := <-stopped; err != nil {
				t.Error(err)
			}
		})
	}
}

// gatedListener is a listener that accepts nothing until the first sign of a stop.
type gatedListener struct {
	*net.TCPListener
	open func()
	gate chan struct{}
}

func newGatedListener(t *testing.T) *gatedListener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gate := make(chan struct{})
	return &gatedListener{l.(*net.TCPListener), sync.OnceFunc(func() { close(gate) }), gate}
}

func (l *gatedListener) Accept() (net.Conn, error) {
	<-l.gate
	return l.TCPListener.Accept()
}

func (l *gatedListener) SetDeadline(at time.Time) error {
	defer l.open()
	return l.TCPListener.SetDeadline(at)
}

func (l *gatedListener) Close() error {
	defer l.open()
	return l.TCPListener.Close()
}

// TestCallOnAConnectionThatAStopDidNotAccept guards against a call that is lost because
// the kernel had accepted its connection and the stopping node had not.
func TestCallOnAConnectionThatAStopDidNotAccept(t *testing.T) {
	const deadline = 3 * time.Second
	var runs atomic.Int64
	l := newGatedListener(t)
	n := startOn(t, l, func(context.Context, *relay.Call) (*relay.Response, *outcome.Refusal) {
		runs.Add(1)
		return relay.NewBufferedResponse(200, nil, []byte("done")), nil
	})
	results := make(chan result, 1)
	go func() {
		begun := time.Now()
		answer, refusal := n.client.Do(context.Background(), n.node, postCall(deadline))
		results <- result{answer, refusal, time.Since(begun)}
	}()
	// The call is sent once the client has one connection.
	for n.client.Connections() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	if err := n.server.Shutdown(context.Background()); err != nil {
		t.Error(err)
	}
	checkRanOrNotRun(t, <-results, runs.Load, deadline)
}

// checkRanOrNotRun checks that the calling node learned well before the deadline whether
// a call ran.
func checkRanOrNotRun(t *testing.T, r result, runs func() int64, deadline time.Duration) {
	t.Helper()
	ran := r.answer != nil && runs() == 1
	notRun := r.answer == nil && r.refusal.Outcome == outcome.OutcomeNotRun && runs() == 0
	if !ran && !notRun || r.took > deadline/2 {
		t.Errorf("answer %v refusal %+v after %v and %d runs, want an answer or notRun at once", r.answer != nil, r.refusal, r.took, runs())
	}
}
