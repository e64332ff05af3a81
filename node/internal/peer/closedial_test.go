package peer_test

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/core/routing"
	"github.com/jujubeknot/jujubeknot/node/internal/peer"
	"github.com/jujubeknot/jujubeknot/node/internal/view"
	"github.com/jujubeknot/jujubeknot/wire/boottime"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// unanswered returns an address whose listener accepts no connection and whose queue of
// connections is full, so that attempts to connect get no answer.
func unanswered(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: name.(*syscall.SockaddrInet4).Port}).String()
	for range 16 {
		nc, err := net.DialTimeout("tcp", address, 50*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = nc.Close() })
	}
	t.Fatal("the queue of the listener does not fill up")
	return ""
}

// TestCloseEndsConnectionAttempts guards against a stopping node that waits for a
// connection to a lost node, which no call needs any more.
func TestCloseEndsConnectionAttempts(t *testing.T) {
	client := peer.NewClient(peer.ClientConfig{Clock: boottime.Clock{}, View: view.New(routing.New())})
	n := nodes{client: client, node: &wirev1.Node{Incarnation: 2, PeerAddress: unanswered(t)}}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if _, refusal := n.do(ctx, "/"); refusal == nil {
		t.Fatal("got a response from a node that accepts no connection")
	}
	began := time.Now()
	client.Close()
	if took := time.Since(began); took > 250*time.Millisecond {
		t.Errorf("Close took %v, want it to end the attempt to connect", took)
	}
}
