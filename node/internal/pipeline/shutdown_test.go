package pipeline_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/node/internal/pipeline"
)

const post = "POST /post HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"

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

// TestShutdownServesArrivedRequests guards against a shutdown that drops requests
// which had arrived whole behind those that run, and against one that waits for the
// rest of a request.
func TestShutdownServesArrivedRequests(t *testing.T) {
	for _, tt := range []struct {
		name, arrived string
		want          []string
	}{
		{"whole", post + get("/3"), []string{"/post", "/post", "/3"}},
		{"concurrent", post + get("/3") + get("/4"), []string{"/post", "/post", "/3", "/4"}},
		{"bodies", post + post + "POST /chunked HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nxyz\r\n0\r\n\r\n", []string{"/post", "/post", "/post", "/chunked"}},
		{"part of a header", post + "GET /3 HTTP/1.1\r\n", []string{"/post", "/post"}},
		{"part of a body", post + post[:len(post)-1], []string{"/post", "/post"}},
		{"part of chunks", post + "POST /chunked HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nxyz\r\n", []string{"/post", "/post"}},
		{"malformed", post + "nonsense\r\n\r\n", []string{"/post", "/post"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			began, release := make(chan string, 8), make(chan struct{})
			s := &pipeline.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				began <- r.URL.Path
				<-release
				_, _ = fmt.Fprint(w, r.URL.Path)
			})}
			connect := start(t, s)
			idle, c := connect(), connect()
			send(t, c, post+tt.arrived)
			<-began
			stopped := shutdown(t, s, idle)
			close(release)
			br := bufio.NewReader(c)
			for i, want := range tt.want {
				r, body := read(t, br, "GET")
				if last := i == len(tt.want)-1; body != want || r.Close != last {
					t.Errorf("response %d: got %q, close %v; want %q, close %v", i+1, body, r.Close, want, last)
				}
			}
			if _, err := br.ReadByte(); err != io.EOF {
				t.Errorf("read after the last response: got %v, want EOF", err)
			}
			_ = c.Close()
			if err := <-stopped; err != nil {
				t.Errorf("Shutdown: %v", err)
			}
		})
	}
}

// TestShutdownEndsBusyCallers guards against a shutdown that serves a caller who sends
// requests without end.
func TestShutdownEndsBusyCallers(t *testing.T) {
	s := &pipeline.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	connect := start(t, s)
	idle, c := connect(), connect()
	go func() {
		for {
			if _, err := io.WriteString(c, get("/")+post); err != nil {
				return
			}
		}
	}()
	br := bufio.NewReader(c)
	read(t, br, "GET")
	stopped := shutdown(t, s, idle)
	for {
		if r, _ := read(t, br, "GET"); r.Close {
			break
		}
	}
	_ = c.Close()
	if err := <-stopped; err != nil {
		t.Errorf("Shutdown: %v", err)
	}
}

// TestEndWithoutFinalResponseIsNotAReset guards against a reset, which can destroy a
// response that was sent, when a shutdown ends a connection on which the last
// response does not say "Connection: close" and whose caller has sent more.
func TestEndWithoutFinalResponseIsNotAReset(t *testing.T) {
	began, release := make(chan struct{}), make(chan struct{})
	s := &pipeline.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = http.NewResponseController(w).Flush()
		close(began)
		<-release
		_, _ = io.WriteString(w, "streamed")
	})}
	connect := start(t, s)
	idle, c := connect(), connect()
	send(t, c, get("/"))
	<-began
	stopped := shutdown(t, s, idle)
	time.Sleep(50 * time.Millisecond)
	send(t, c, strings.Repeat(get("/late"), 1000))
	close(release)
	br := bufio.NewReader(c)
	if _, body := read(t, br, "GET"); body != "streamed" {
		t.Errorf("got body %q, want streamed", body)
	}
	if _, err := br.ReadByte(); err != io.EOF {
		t.Errorf("read after the response: got %v, want EOF", err)
	}
	_ = c.Close()
	if err := <-stopped; err != nil {
		t.Errorf("Shutdown: %v", err)
	}
}

// TestShutdownDoesNotResetIdleConnections guards against a reset, which can destroy a
// response that was just sent, when a caller's next request crosses the end of an
// idle connection.
func TestShutdownDoesNotResetIdleConnections(t *testing.T) {
	s := &pipeline.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	connect := start(t, s)
	idle, c := connect(), connect()
	send(t, c, get("/"))
	br := bufio.NewReader(c)
	read(t, br, "GET")
	stopped := shutdown(t, s, idle)
	if _, err := br.ReadByte(); err != io.EOF {
		t.Errorf("read from idle connection: got %v, want EOF", err)
	}
	for range 3 {
		if _, err := io.WriteString(c, get("/crosses")); err != nil {
			t.Errorf("write after the end: %v", err)
		}
	}
	_ = c.Close()
	if err := <-stopped; err != nil {
		t.Errorf("Shutdown: %v", err)
	}
}

// TestShutdownDoesNotWaitForSilentCallers guards against a shutdown that waits for
// callers who do not close their idle connections.
func TestShutdownDoesNotWaitForSilentCallers(t *testing.T) {
	s := &pipeline.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	connect := start(t, s)
	for range 32 {
		connect()
	}
	for range 32 {
		used := connect()
		send(t, used, get("/"))
		read(t, bufio.NewReader(used), "GET")
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		t.Errorf("Shutdown: %v", err)
	}
	if d := time.Since(began); d > 300*time.Millisecond {
		t.Errorf("Shutdown took %v with idle connections only", d)
	}
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

// TestHTTP2CallersDelayNoShutdown guards against a shutdown that accepts connections and
// requests of callers over HTTP/1.1 until the requests over HTTP/2 have ended.
func TestHTTP2CallersDelayNoShutdown(t *testing.T) {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	began, release := make(chan struct{}), make(chan struct{})
	handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			close(began)
			<-release
		}
	})
	s := &pipeline.Server{Handler: handler, HTTP2: &http.Server{Handler: handler, Protocols: protocols}}
	connect := start(t, s)
	idle := connect()
	br := bufio.NewReader(idle)
	send(t, idle, get("/first"))
	read(t, br, "GET")
	client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
	status := make(chan int, 1)
	go func() {
		r, err := client.Get("http://" + idle.RemoteAddr().String() + "/long")
		if err != nil {
			t.Errorf("request over HTTP/2: %v", err)
			status <- 0
			return
		}
		_ = r.Body.Close()
		status <- r.StatusCode
	}()
	<-began
	ended := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		ended <- s.Shutdown(ctx)
	}()
	// The idle connection is closed although the other request still runs.
	_ = idle.SetDeadline(time.Now().Add(waitTimeout / 2))
	if _, err := br.ReadByte(); err != io.EOF {
		t.Errorf("idle connection: got %v, want its end", err)
	}
	close(release)
	if got := <-status; got != http.StatusOK {
		t.Errorf("request over HTTP/2: status %d, want 200", got)
	}
	if err := <-ended; err != nil {
		t.Errorf("Shutdown: %v", err)
	}
}
