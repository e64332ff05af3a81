package peer_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/core/routing"
	"github.com/jujubeknot/jujubeknot/node/internal/peer"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
	"github.com/jujubeknot/jujubeknot/node/internal/view"
	"github.com/jujubeknot/jujubeknot/wire/tasks"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// benchPeers is the number of other nodes of the largest deployment planned.
const benchPeers = 609

// quietTime is how long processor time is measured.
const quietTime = 20 * time.Second

type wallClock struct{}

func (wallClock) Now() time.Time { return time.Now() }

// BenchmarkQuietPeer reports what one other node costs a node: memory and
// processor time of both ends of a connection that has carried a call and is
// quiet but for pings.
func BenchmarkQuietPeer(b *testing.B) {
	for b.Loop() {
		ctx, cancel := context.WithCancel(b.Context())
		h := &peer.Handler{Log: zerolog.Nop(), Clock: wallClock{}, View: view.New(routing.New())}
		client := peer.NewClient(peer.ClientConfig{Clock: wallClock{}, View: view.New(routing.New())})
		parts := tasks.New(benchPeers + 2)
		parts.Go(ctx, "server", tasks.WithoutError(h.Run))
		parts.Go(ctx, "client", tasks.WithoutError(client.Run))
		var addresses []string
		var servers []*peer.Server
		for range benchPeers {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			addresses = append(addresses, l.Addr().String())
			s := peer.NewServer(h, nil)
			servers = append(servers, s)
			parts.Go(ctx, "listener", func(context.Context) error { return s.Serve(l) })
		}
		// Lets the listeners begin, so that their stacks count before.
		time.Sleep(100 * time.Millisecond)
		before := heldBytes()
		for _, address := range addresses {
			c := &relay.Call{ID: "call", Sending: "call-1", Method: http.MethodGet, URI: "/files/key", Body: &relay.Body{}, Deadline: time.Now().Add(time.Minute)}
			_, refusal := client.Do(ctx, &wirev1.Node{PeerAddress: address}, c)
			if refusal == nil || refusal.Outcome != outcome.OutcomeNotRun {
				b.Fatalf("%s: %+v", address, refusal)
			}
		}
		if n := client.Connections(); n != benchPeers {
			b.Fatalf("%d connections, want %d", n, benchPeers)
		}
		b.ReportMetric(float64(heldBytes()-before)/benchPeers/1024, "KiB/peer")
		started, used := time.Now(), processorTime(b)
		time.Sleep(quietTime)
		b.ReportMetric(float64((processorTime(b)-used).Microseconds())/time.Since(started).Seconds()/benchPeers, "us/s/peer")
		cancel()
		client.Close()
		for _, s := range servers {
			if err := s.Close(); err != nil {
				b.Fatal(err)
			}
		}
		if err := parts.Wait(); !errors.Is(err, http.ErrServerClosed) {
			b.Fatal(err)
		}
	}
}

// heldBytes is the memory of heap and stacks after a garbage collection.
func heldBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

// processorTime is the user and system time of the process.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
