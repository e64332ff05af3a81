package caller_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/jujubeknot/jujubeknot/core/routing"
	"github.com/jujubeknot/jujubeknot/node/internal/caller"
	"github.com/jujubeknot/jujubeknot/node/internal/metrics"
	"github.com/jujubeknot/jujubeknot/node/internal/owner"
	"github.com/jujubeknot/jujubeknot/node/internal/peer"
	"github.com/jujubeknot/jujubeknot/node/internal/view"
)

type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

// fakeListener is a listener that accepts connections from given addresses.
type fakeListener struct {
	net.Listener
	remotes []string
	clock   *fakeClock
	// interval is the time between two connections.
	interval time.Duration
}

type fakeConn struct {
	net.Conn
	remote string
}

func (c fakeConn) RemoteAddr() net.Addr {
	return net.TCPAddrFromAddrPort(netip.MustParseAddrPort(c.remote))
}
func (fakeConn) Close() error { return nil }

var errNoMoreConnections = errors.New("no more connections")

func (l *fakeListener) Accept() (net.Conn, error) {
	if len(l.remotes) == 0 {
		return nil, errNoMoreConnections
	}
	c := fakeConn{remote: l.remotes[0]}
	l.remotes = l.remotes[1:]
	l.clock.now = l.clock.now.Add(l.interval)
	return c, nil
}

// TestLimitListener guards against callers that take the connections that nested
// calls need, and against one log line for each connection that is closed.
func TestLimitListener(t *testing.T) {
	var log bytes.Buffer
	clock := &fakeClock{now: time.Unix(1, 0)}
	counters := metrics.New()
	h := caller.New(caller.Config{
		Clock: clock, View: view.New(routing.New()), Owner: &owner.Server{}, Remote: &peer.Client{}, Metrics: counters,
		Log: zerolog.New(&log), MaxConnections: 2,
		IsBackendServer: func(a netip.Addr) bool { return a == netip.MustParseAddr("10.0.0.5") },
	})
	const outside, server = "192.0.2.1:1000", "10.0.0.5:1000"
	source := &fakeListener{clock: clock, interval: 400 * time.Millisecond, remotes: []string{
		outside, outside, outside, outside, server, outside, server, server, outside,
	}}
	l := h.LimitListener(source)
	var accepted []string
	for {
		c, err := l.Accept()
		if err != nil {
			if !errors.Is(err, errNoMoreConnections) {
				t.Fatal(err)
			}
			break
		}
		accepted = append(accepted, c.RemoteAddr().String())
	}
	if want := []string{outside, outside, server, server}; strings.Join(accepted, " ") != strings.Join(want, " ") {
		t.Errorf("accepted connections from %v, want %v", accepted, want)
	}
	if n := counters.ConnectionsClosed.Value(); n != 5 {
		t.Errorf("%d connections closed, want 5", n)
	}
	// Connections 3, 4, 6, 8 and 9 are closed. Connections arrive 400 ms apart, so with
	// at most one line a second the lines are written for 3, 6 and 9.
	if lines := strings.Count(log.String(), "\n"); lines != 3 || !strings.Contains(log.String(), `"closed":2`) {
		t.Errorf("%d log lines, want 3:\n%s", lines, log.String())
	}
}

// TestLimitListenerKeepsHalfClose guards against accepted connections that cannot be
// closed for writing: the pipeline server would reset callers that still send.
func TestLimitListenerKeepsHalfClose(t *testing.T) {
	h := caller.New(caller.Config{
		Clock: &fakeClock{now: time.Unix(1, 0)}, View: view.New(routing.New()), Owner: &owner.Server{}, Remote: &peer.Client{},
		Metrics: metrics.New(),
	})
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inner.Close()
	c, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	accepted, err := h.LimitListener(inner).Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	half, ok := accepted.(interface{ CloseWrite() error })
	if !ok {
		t.Fatal("the accepted connection cannot be closed for writing")
	}
	if err := half.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if text, err := io.ReadAll(c); err != nil || len(text) > 0 {
		t.Errorf("read after CloseWrite: got %q, %v, want EOF", text, err)
	}
	if _, err := io.WriteString(c, "late"); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(accepted, make([]byte, 4)); err != nil {
		t.Errorf("read what was sent after CloseWrite: %v", err)
	}
}
