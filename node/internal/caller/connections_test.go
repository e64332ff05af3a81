package caller_test

import (
	"bytes"
	"errors"
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

// arrivals is a listener that returns connections from given addresses.
type arrivals struct {
	net.Listener
	remotes []string
	clock   *fakeClock
	// every is the time between two connections.
	every time.Duration
}

type arrival struct {
	net.Conn
	remote string
}

func (a arrival) RemoteAddr() net.Addr {
	return net.TCPAddrFromAddrPort(netip.MustParseAddrPort(a.remote))
}
func (arrival) Close() error { return nil }

var errNoMore = errors.New("no more connections")

func (a *arrivals) Accept() (net.Conn, error) {
	if len(a.remotes) == 0 {
		return nil, errNoMore
	}
	c := arrival{remote: a.remotes[0]}
	a.remotes = a.remotes[1:]
	a.clock.now = a.clock.now.Add(a.every)
	return c, nil
}

// TestLimitListener guards against callers who take the connections that nested calls
// need, and against a log line for each connection that is closed.
func TestLimitListener(t *testing.T) {
	var log bytes.Buffer
	clock := &fakeClock{now: time.Unix(1, 0)}
	figures := metrics.New()
	h := caller.New(caller.Config{
		Clock: clock, View: view.New(routing.New()), Owner: &owner.Server{}, Remote: &peer.Client{}, Metrics: figures,
		Log: zerolog.New(&log), MaxConnections: 2,
		IsBackendServer: func(a netip.Addr) bool { return a == netip.MustParseAddr("10.0.0.5") },
	})
	const outside, server = "192.0.2.1:1000", "10.0.0.5:1000"
	source := &arrivals{clock: clock, every: 400 * time.Millisecond, remotes: []string{
		outside, outside, outside, outside, server, outside, server, server, outside,
	}}
	l := h.LimitListener(source)
	var accepted []string
	for {
		c, err := l.Accept()
		if err != nil {
			if !errors.Is(err, errNoMore) {
				t.Fatal(err)
			}
			break
		}
		accepted = append(accepted, c.RemoteAddr().String())
	}
	if want := []string{outside, outside, server, server}; strings.Join(accepted, " ") != strings.Join(want, " ") {
		t.Errorf("accepted %v, want %v", accepted, want)
	}
	if n := figures.ConnectionsClosed.Value(); n != 5 {
		t.Errorf("%d connections closed, want 5", n)
	}
	// Connections 3, 4, 6, 8 and 9 are closed, 400 ms apart from each other: a
	// line comes with 3, with 6, and with 9.
	if lines := strings.Count(log.String(), "\n"); lines != 3 || !strings.Contains(log.String(), `"closed":2`) {
		t.Errorf("%d log lines, want 3:\n%s", lines, log.String())
	}
}
