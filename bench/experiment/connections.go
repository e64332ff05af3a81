package experiment

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jujubeknot/jujubeknot/bench/backend"
	"github.com/jujubeknot/jujubeknot/bench/procfs"
)

const (
	// connectionsPhase is the time for which the connections stay busy or idle.
	connectionsPhase = 6 * time.Second
	// connectionsMaxDials is the maximum number of connections opened at a time.
	// It is below the backlog of a listener.
	connectionsMaxDials = 64
	connectionsTimeout  = 20 * time.Second
)

// connectionCounts are the measured numbers of callers' connections to the entry
// node.
var connectionCounts = []int{1000, 4000, 9000}

// connections measures the memory of an entry node that has many connections of
// callers.
func connections(ctx context.Context, e Env) (*Report, error) {
	table := Table{
		Title:   fmt.Sprintf("Connections of callers to an entry node, a process with GOMAXPROCS=1, for %.0f s each; idle after one request, or busy with one request at a time, 1 ms at the server; answers include refusals", e.scaledLength(connectionsPhase).Seconds()),
		Columns: []string{"callers", "connections", "served", "closed by the node", "answers", "resident memory", "peak"},
	}
	server := backend.Config{
		Upstream: "files", Slots: throughputSlots, Connections: 200, ConnectionCost: -1, ChecksFences: true,
		Service: backend.Service{Shape: backend.ShapeConstant, Mean: time.Millisecond},
	}
	err := e.withProcesses(ctx, server, throughputRules, func(s nodePair) error {
		for _, busy := range []bool{false, true} {
			for _, n := range connectionCounts {
				e.printProgress("connections: %d, busy %v", n, busy)
				if err := s.measureConnections(ctx, e, &table, n, busy); err != nil {
					return err
				}
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return &Report{Tables: []Table{table}}, nil
}

// measureConnections opens n connections, keeps them busy or idle for a phase
// and appends a row to the table.
func (s nodePair) measureConnections(ctx context.Context, e Env, t *Table, n int, busy bool) error {
	if err := s.entry.resetPeak(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var callersRunning sync.WaitGroup
	defer callersRunning.Wait()
	defer cancel()
	var served, closed, responses atomic.Int64
	dials := make(chan struct{}, connectionsMaxDials)
	var opened sync.WaitGroup
	for i := range n {
		opened.Add(1)
		callersRunning.Go(func() {
			dials <- struct{}{}
			c := &connection{target: s.entry.Callers, key: i, responses: &responses}
			err := c.open(ctx)
			<-dials
			opened.Done()
			if err != nil {
				closed.Add(1)
				return
			}
			served.Add(1)
			defer c.close()
			for busy && ctx.Err() == nil {
				if c.sendRequest() != nil {
					break
				}
			}
			<-ctx.Done()
		})
	}
	opened.Wait()
	time.Sleep(e.scaledLength(connectionsPhase))
	u, err := procfs.ReadUsage(s.entry.PID)
	if err != nil {
		return err
	}
	callers := "idle"
	if busy {
		callers = "busy"
	}
	t.addRow(callers, n, served.Load(), closed.Load(), responses.Load(), mebibytes(u.Resident), mebibytes(u.Peak))
	return nil
}

// connection is a caller that has one connection to a node.
type connection struct {
	target    string
	key       int
	responses *atomic.Int64
	nc        net.Conn
	r         *bufio.Reader
	stop      func() bool
}

// open connects and sends one request.
func (c *connection) open(ctx context.Context) error {
	dialer := net.Dialer{Timeout: connectionsTimeout}
	nc, err := dialer.DialContext(ctx, "tcp", c.target)
	if err != nil {
		return fmt.Errorf("connect to entry node: %w", err)
	}
	c.nc, c.r = nc, bufio.NewReaderSize(nc, 1<<10)
	c.stop = context.AfterFunc(ctx, func() { _ = nc.Close() })
	if err := c.sendRequest(); err != nil {
		c.close()
		return err
	}
	return nil
}

func (c *connection) close() {
	c.stop()
	_ = c.nc.Close()
}

// sendRequest sends one request and reads its response.
func (c *connection) sendRequest() error {
	_ = c.nc.SetDeadline(time.Now().Add(connectionsTimeout))
	if _, err := fmt.Fprintf(c.nc, "GET /files/%d HTTP/1.1\r\nHost: node\r\n\r\n", c.key); err != nil {
		return fmt.Errorf("send request: %w", err)
	}
	r, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return fmt.Errorf("receive: %w", err)
	}
	defer func() { _ = r.Body.Close() }()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return fmt.Errorf("receive: %w", err)
	}
	c.responses.Add(1)
	return nil
}
