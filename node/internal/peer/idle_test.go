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

// idleTime is the time for which processor time is measured.
const idleTime = 20 * time.Second

type wallClock struct{}

func (wallClock) Now() time.Time { return time.Now() }

// BenchmarkIdlePeer reports the cost of each other node for a node: memory and
// processor time of both ends of a connection that has carried one call and then only
// pings.
func BenchmarkIdlePeer(b *testing.B) {
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
		// Lets the listeners start, so that their stacks are part of the first
		// figure.
		time.Sleep(100 * time.Millisecond)
		before := bytesInUse()
		for _, address := range addresses {
			c := &relay.Call{ID: "call", Sending: "call-1", Method: http.MethodGet, URI: "/files/key", Body: &relay.Body{}, Deadline: time.Now().Add(time.Minute)}
			_, refusal := client.Do(ctx, &wirev1.Node{PeerAddress: address}, c)
			if refusal == nil || refusal.Outcome != outcome.OutcomeNotRun {
				b.Fatalf("call to %s: refusal %+v, want notRun", address, refusal)
			}
		}
		if n := client.Connections(); n != benchPeers {
			b.Fatalf("%d connections, want %d", n, benchPeers)
		}
		b.ReportMetric(float64(bytesInUse()-before)/benchPeers/1024, "KiB/peer")
		started, used := time.Now(), processorTime(b)
		time.Sleep(idleTime)
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

// bytesInUse returns the memory of heap and stacks after a garbage collection.
func bytesInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

// processorTime returns the user and system time of the process.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
