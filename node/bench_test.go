package node_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/jujubeknot/jujubeknot/node"
)

const benchRules = `upstream applications keyed partitions=16 slots=64 connections=100 # test: keyed
route /applications to applications key=segment:2 timeout=10s # test: key in the path
`

// trivialServer starts a server that responds to every request with two bytes. It
// parses nothing but the end of the header, and so reads the body of a grant as
// header lines.
func trivialServer(b *testing.B) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				br := bufio.NewReader(c)
				for {
					line, err := br.ReadSlice('\n')
					if err != nil {
						return
					}
					if len(line) > 2 {
						continue
					}
					if _, err := c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

func benchNodes(b *testing.B) (entry, owner *runningNode) {
	// The program sets the same value.
	debug.SetGCPercent(node.GCPercent)
	c := newControl(b, benchRules)
	server := &backendServer{name: "server1", upstream: "applications", bootID: "1", address: trivialServer(b), slots: 64, connections: 100}
	withoutLog := func(c *node.Config) { c.Log = zerolog.New(io.Discard) }
	owner = startNode(b, c, "owner", nil, withoutLog)
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	server.announce(ctx, b, owner.Addresses().Backend, server.address)
	entry = startNode(b, c, "entry", nil, withoutLog)
	for _, n := range []*runningNode{owner, entry} {
		eventually(b, "node serves", func() bool { return n.Ready() && send("GET", n.url+"/applications/ok", nil, nil).status == 200 })
	}
	return entry, owner
}

// benchCaller is a caller's connection that sends a request and reads the response.
type benchCaller struct {
	c  net.Conn
	br *bufio.Reader
}

func newBenchCaller(b *testing.B, address string) *benchCaller {
	c, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	return &benchCaller{c, bufio.NewReader(c)}
}

func (c *benchCaller) get(key int) error {
	if _, err := fmt.Fprintf(c.c, "GET /applications/key%d HTTP/1.1\r\nHost: h\r\n\r\n", key); err != nil {
		return err
	}
	status, err := c.br.ReadSlice('\n')
	if err != nil {
		return err
	}
	if !bytes.HasPrefix(status, []byte("HTTP/1.1 200")) {
		return fmt.Errorf("status line %q", status)
	}
	for {
		line, err := c.br.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(line) == 2 {
			_, err = c.br.Discard(2)
			return err
		}
	}
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// benchmarkRequests sends b.N requests over 32 connections and reports the processor
// time for each. It is the time of the whole process: callers, nodes and backend
// server together.
func benchmarkRequests(b *testing.B, n *runningNode) {
	const connections = 32
	var remaining atomic.Int64
	remaining.Store(int64(b.N))
	var group sync.WaitGroup
	b.ResetTimer()
	start := processorTime()
	for range connections {
		c := newBenchCaller(b, n.Addresses().Callers.String())
		group.Go(func() {
			defer func() { _ = c.c.Close() }()
			for i := remaining.Add(-1); i >= 0; i = remaining.Add(-1) {
				if err := c.get(int(i) % 1000); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	group.Wait()
	b.ReportMetric(float64((processorTime()-start).Nanoseconds())/float64(b.N), "cpu-ns/op")
}

// BenchmarkTwoHops measures caller, entry node, owner's node and backend server.
func BenchmarkTwoHops(b *testing.B) {
	entry, _ := benchNodes(b)
	benchmarkRequests(b, entry)
}

// BenchmarkOneHop measures caller, owner's node and backend server.
func BenchmarkOneHop(b *testing.B) {
	_, owner := benchNodes(b)
	benchmarkRequests(b, owner)
}

// BenchmarkNoHop measures caller and backend server alone. Subtract it from the
// others.
func BenchmarkNoHop(b *testing.B) {
	address, err := net.ResolveTCPAddr("tcp", trivialServer(b))
	if err != nil {
		b.Fatal(err)
	}
	var group sync.WaitGroup
	b.ResetTimer()
	start := processorTime()
	for range 32 {
		c, err := net.DialTCP("tcp", nil, address)
		if err != nil {
			b.Fatal(err)
		}
		group.Go(func() {
			k := &benchCaller{c, bufio.NewReader(c)}
			for range b.N/32 + 1 {
				if err := k.get(1); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	group.Wait()
	b.ReportMetric(float64((processorTime()-start).Nanoseconds())/float64(b.N), "cpu-ns/op")
}

// BenchmarkLatencyTwoHops sends at 2,300 requests/s through two hops to a
// backend server that responds immediately.
func BenchmarkLatencyTwoHops(b *testing.B) {
	entry, _ := benchNodes(b)
	// The admission controller starts a new backend server with one request at a
	// time. Requests that wait for that would add to the latency of the hops.
	warm := newBenchCaller(b, entry.Addresses().Callers.String())
	for i := range 5000 {
		if err := warm.get(i); err != nil {
			b.Fatal(err)
		}
	}
	benchmarkLatency(b, entry.Addresses().Callers.String())
}

// BenchmarkLatencyNoHop sends to the backend server itself. Subtract it from
// BenchmarkLatencyTwoHops.
func BenchmarkLatencyNoHop(b *testing.B) {
	benchmarkLatency(b, trivialServer(b))
}

func benchmarkLatency(b *testing.B, address string) {
	const perSecond, connections = 2300, 64
	jobs := make(chan time.Time, 4096)
	var mu sync.Mutex
	var latencies []time.Duration
	var group sync.WaitGroup
	for range connections {
		c := newBenchCaller(b, address)
		group.Go(func() {
			defer func() { _ = c.c.Close() }()
			for due := range jobs {
				if err := c.get(int(due.UnixNano() % 1000)); err != nil {
					b.Error(err)
					return
				}
				d := time.Since(due)
				mu.Lock()
				latencies = append(latencies, d)
				mu.Unlock()
			}
		})
	}
	b.ResetTimer()
	start := time.Now()
	for i := range b.N {
		due := start.Add(time.Duration(i) * time.Second / perSecond)
		time.Sleep(time.Until(due))
		jobs <- due
	}
	close(jobs)
	group.Wait()
	slices.Sort(latencies)
	percentile := func(q float64) float64 { return float64(latencies[int(q*float64(len(latencies)-1))].Microseconds()) }
	b.ReportMetric(percentile(0.5), "p50-µs")
	b.ReportMetric(percentile(0.99), "p99-µs")
	b.ReportMetric(percentile(0.999), "p999-µs")
}
