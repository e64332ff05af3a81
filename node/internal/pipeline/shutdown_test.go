package pipeline_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/jujubeknot/jujubeknot/node/internal/pipeline"
)

// shutdown begins a shutdown, waits until all connections are marked and returns a
// channel that receives its result. The connection idle must be open and without
// unread responses.
func shutdown(t *testing.T, s *pipeline.Server, idle net.Conn) <-chan error {
	t.Helper()
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		stopped <- s.Shutdown(ctx)
	}()
	if _, err := idle.Read(make([]byte, 1)); err != io.EOF {
		t.Fatalf("read from idle connection: got %v, want EOF", err)
	}
	_ = idle.Close()
	return stopped
}

// TestLastResponseSaysClose guards against a last response without "Connection: close"
// because the request ahead of it is still counted.
func TestLastResponseSaysClose(t *testing.T) {
	began, release := make(chan struct{}, 400), make(chan struct{})
	s := &pipeline.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		began <- struct{}{}
		if r.URL.Path == "/1" {
			<-release
		}
	})}
	connect := start(t, s)
	idle := connect()
	conns := make([]net.Conn, 200)
	for i := range conns {
		conns[i] = connect()
		send(t, conns[i], get("/1")+get("/2"))
	}
	for range 2 * len(conns) {
		<-began
	}
	stopped := shutdown(t, s, idle)
	close(release)
	for _, c := range conns {
		br := bufio.NewReader(c)
		if r, _ := read(t, br, "GET"); r.Close {
			t.Error("the first response says close")
		}
		if r, _ := read(t, br, "GET"); !r.Close {
			t.Error("the last response does not say close")
		}
		_ = c.Close()
	}
	if err := <-stopped; err != nil {
		t.Errorf("Shutdown: %v", err)
	}
}
