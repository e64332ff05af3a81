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

// waitTimeout bounds the wait for expected events. No test measures time.
const waitTimeout = 10 * time.Second

// start runs a server on a loopback port and returns a function that connects
// to it.
func start(t *testing.T, s *pipeline.Server) func() net.Conn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return startOn(t, s, l)
}

func startOn(t *testing.T, s *pipeline.Server, l net.Listener) func() net.Conn {
	t.Helper()
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(l) }()
	t.Cleanup(func() {
		_ = s.Close()
		if err := <-ended; err != http.ErrServerClosed {
			t.Errorf("Serve returned %v", err)
		}
	})
	return func() net.Conn {
		t.Helper()
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_ = c.SetDeadline(time.Now().Add(waitTimeout))
		return c
	}
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

// read returns the next response and its body.
func read(t *testing.T, br *bufio.Reader, method string) (*http.Response, string) {
	t.Helper()
	r, err := http.ReadResponse(br, &http.Request{Method: method})
	if err != nil {
		t.Fatalf("read response: %v", err)
	}
	b, err := io.ReadAll(r.Body)
	if err != nil {
		t.Fatalf("read response body: %v", err)
	}
	return r, string(b)
}

// TestPipelinedRequestsRunConcurrently guards against pipelined requests
// that run one after the other, and against responses in another order than the
// requests.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	began := make(chan string, 3)
	release := map[string]chan struct{}{"/1": make(chan struct{}), "/2": make(chan struct{}), "/3": make(chan struct{})}
	connect := start(t, &pipeline.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		began <- r.URL.Path
		<-release[r.URL.Path]
		_, _ = io.WriteString(w, r.URL.Path)
	})})
	c := connect()
	send(t, c, get("/1")+get("/2")+get("/3"))
	for range 3 {
		<-began
	}
	close(release["/3"])
	close(release["/2"])
	close(release["/1"])
	br := bufio.NewReader(c)
	for _, want := range []string{"/1", "/2", "/3"} {
		if _, body := read(t, br, "GET"); body != want {
			t.Fatalf("got response %q, want %q", body, want)
		}
	}
}

// TestUnsafeRequestsRunExclusively guards against a request that may change
// state and runs concurrently with others of its connection: the caller relies
// on their order.
func TestUnsafeRequestsRunExclusively(t *testing.T) {
	running := make(chan int, 1)
	running <- 0
	connect := start(t, &pipeline.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := <-running
		running <- n + 1
		if r.Method == http.MethodPost && n > 0 {
			w.WriteHeader(http.StatusConflict)
		}
		_, _ = io.Copy(w, r.Body)
		n = <-running
		running <- n - 1
	})})
	c := connect()
	send(t, c, get("/1")+get("/2")+"POST /3 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"+get("/4")+
		"POST /5 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nxyz\r\n0\r\n\r\n")
	br := bufio.NewReader(c)
	for i, want := range []string{"", "", "ab", "", "xyz"} {
		if r, body := read(t, br, "GET"); r.StatusCode != http.StatusOK || body != want {
			t.Fatalf("response %d: got %d %q, want 200 %q", i+1, r.StatusCode, body, want)
		}
	}
}

// TestDisconnectCancelsRequests guards against requests that keep running after
// their caller has closed the connection.
func TestDisconnectCancelsRequests(t *testing.T) {
	began, ended := make(chan struct{}, 2), make(chan struct{}, 2)
	connect := start(t, &pipeline.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		began <- struct{}{}
		<-r.Context().Done()
		ended <- struct{}{}
	})})
	c := connect()
	send(t, c, get("/1")+get("/2"))
	<-began
	<-began
	_ = c.Close()
	for range 2 {
		select {
		case <-ended:
		case <-time.After(waitTimeout):
			t.Fatal("request was not cancelled after its caller disconnected")
		}
	}
}

// TestUnreadBodyClosesConnection guards against request smuggling: the unread
// rest of a body is parsed as the next request. It also guards against a
// response that is lost because the connection is reset.
func TestUnreadBodyClosesConnection(t *testing.T) {
	connect := start(t, &pipeline.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusForbidden)
	})})
	c := connect()
	send(t, c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\n\r\n"+get("/smuggled"))
	br := bufio.NewReader(c)
	if r, _ := read(t, br, "POST"); r.StatusCode != http.StatusForbidden || !r.Close {
		t.Fatalf("got status %d, close %v; want 403 and close", r.StatusCode, r.Close)
	}
	if _, err := http.ReadResponse(br, nil); err == nil {
		t.Fatal("the request body was answered as a request")
	}
}

// TestExpectContinue guards against a missing "100 Continue" response, for
// which a caller waits before it sends the body.
func TestExpectContinue(t *testing.T) {
	connect := start(t, &pipeline.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	})})
	c := connect()
	br := bufio.NewReader(c)
	send(t, c, "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
	line, err := br.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "HTTP/1.1 100 ") {
		t.Fatalf("got interim response %q, error %v; want 100 Continue", line, err)
	}
	if _, err := br.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	send(t, c, "body")
	if _, body := read(t, br, "POST"); body != "body" {
		t.Fatalf("got response %q, want body", body)
	}
}

// TestAbortedResponseIsNotComplete guards against a truncated response that
// looks complete, with and without an announced length.
func TestAbortedResponseIsNotComplete(t *testing.T) {
	for _, length := range []string{"", "400000"} {
		connect := start(t, &pipeline.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if length != "" {
				w.Header().Set("Content-Length", length)
			}
			_, _ = w.Write(make([]byte, 200_000))
			panic(http.ErrAbortHandler)
		})})
		c := connect()
		send(t, c, get("/"))
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err == nil {
			_, err = io.ReadAll(r.Body)
		}
		if err == nil {
			t.Errorf("length %q: the truncated response was read without an error", length)
		}
	}
}

// TestMalformedRequests guards against malformed requests that get no response,
// or get it before the requests ahead of them.
func TestMalformedRequests(t *testing.T) {
	connect := start(t, &pipeline.Server{MaxHeaderBytes: 1 << 10, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "fine")
	})})
	for text, want := range map[string]int{
		"nonsense\r\n\r\n":                              http.StatusBadRequest,
		"GET / HTTP/1.1\r\n\r\n":                        http.StatusBadRequest,
		"GET / HTTP/1.1\r\nHost: h\r\nX : 1\r\n\r\n":    http.StatusBadRequest,
		"GET / HTTP/1.1\r\nHost: h\r\nX: 1\x01\r\n\r\n": http.StatusBadRequest,
		"GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("a", 16<<10) + "\r\n\r\n": http.StatusRequestHeaderFieldsTooLarge,
	} {
		c := connect()
		send(t, c, get("/1")+text)
		br := bufio.NewReader(c)
		if _, body := read(t, br, "GET"); body != "fine" {
			t.Errorf("the request ahead got %q, want fine", body)
		}
		if r, _ := read(t, br, "GET"); r.StatusCode != want || !r.Close {
			t.Errorf("%.20q: got status %d, close %v; want %d and close", text, r.StatusCode, r.Close, want)
		}
	}
}

// TestShutdownCompletesReadRequests guards against a shutdown that aborts
// requests, and against one that waits for idle connections.
func TestShutdownCompletesReadRequests(t *testing.T) {
	began, release := make(chan struct{}, 2), make(chan struct{})
	s := &pipeline.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/idle" {
			began <- struct{}{}
			<-release
		}
		_, _ = fmt.Fprint(w, r.URL.Path)
	})}
	connect := start(t, s)
	idle := connect()
	send(t, idle, get("/idle"))
	idleReader := bufio.NewReader(idle)
	read(t, idleReader, "GET")
	busy := connect()
	send(t, busy, get("/1")+get("/2"))
	<-began
	<-began
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		stopped <- s.Shutdown(ctx)
	}()
	if _, err := idleReader.ReadByte(); err != io.EOF {
		t.Errorf("read from idle connection: got %v, want EOF", err)
	}
	close(release)
	br := bufio.NewReader(busy)
	for _, want := range []string{"/1", "/2"} {
		r, body := read(t, br, "GET")
		if body != want || r.Close != (want == "/2") {
			t.Errorf("got response %q with close %v, want %q and close on the last one only", body, r.Close, want)
		}
	}
	if err := <-stopped; err != nil {
		t.Errorf("Shutdown: %v", err)
	}
}

// TestEndRequestsSendsResponses guards against connections of a stopping node that are
// closed without a response to a request which was read.
func TestEndRequestsSendsResponses(t *testing.T) {
	began := make(chan struct{}, 1)
	s := &pipeline.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		began <- struct{}{}
		<-r.Context().Done()
		w.WriteHeader(http.StatusServiceUnavailable)
	})}
	c := start(t, s)()
	send(t, c, get("/waits"))
	<-began
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		stopped <- s.Shutdown(ctx)
	}()
	s.EndRequests()
	if r, _ := read(t, bufio.NewReader(c), "GET"); r.StatusCode != http.StatusServiceUnavailable || !r.Close {
		t.Errorf("status %d, close %v; want 503 and close", r.StatusCode, r.Close)
	}
	if err := <-stopped; err != nil {
		t.Errorf("Shutdown: %v", err)
	}
}

// slowCloseListener delays the Close of its connections until release is
// closed.
type slowCloseListener struct {
	net.Listener
	closing chan struct{}
	release chan struct{}
}

// Accept wraps the next connection.
func (l *slowCloseListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowConn{c, l}, nil
}

type slowConn struct {
	net.Conn
	listener *slowCloseListener
}

// Close reports that it was called and waits for the release.
func (c *slowConn) Close() error {
	select {
	case c.listener.closing <- struct{}{}:
	default:
	}
	<-c.listener.release
	return c.Conn.Close()
}

// TestShutdownMarksBusyConnectionsFirst guards against a shutdown that closes
// idle connections one by one while responses on other connections do not yet
// say "Connection: close". The next request of their callers then met the
// closed connection.
func TestShutdownMarksBusyConnectionsFirst(t *testing.T) {
	const idleConnections = 32
	began, release := make(chan struct{}, 1), make(chan struct{})
	s := &pipeline.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/busy" {
			began <- struct{}{}
			<-release
		}
		_, _ = fmt.Fprint(w, r.URL.Path)
	})}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &slowCloseListener{Listener: inner, closing: make(chan struct{}, 1), release: make(chan struct{})}
	connect := startOn(t, s, l)
	for range idleConnections {
		c := connect()
		send(t, c, get("/idle"))
		read(t, bufio.NewReader(c), "GET")
	}
	busy := connect()
	send(t, busy, get("/busy"))
	<-began
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		stopped <- s.Shutdown(ctx)
	}()
	<-l.closing
	close(release)
	if r, body := read(t, bufio.NewReader(busy), "GET"); body != "/busy" || !r.Close {
		t.Errorf("got response %q with close %v, want /busy with close", body, r.Close)
	}
	close(l.release)
	if err := <-stopped; err != nil {
		t.Errorf("Shutdown: %v", err)
	}
}

// TestIdleConnectionsAreClosed guards against connections that stay open for
// ever without requests, also after earlier requests.
func TestIdleConnectionsAreClosed(t *testing.T) {
	connect := start(t, &pipeline.Server{IdleTimeout: 20 * time.Millisecond, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	})})
	c := connect()
	send(t, c, get("/")+get("/"))
	br := bufio.NewReader(c)
	read(t, br, "GET")
	read(t, br, "GET")
	if _, err := br.ReadByte(); err != io.EOF {
		t.Errorf("read from idle connection: got %v, want EOF", err)
	}
}

// TestInvalidStatusIsNotReplacedBySuccess guards against a status that cannot be
// written and is replaced by 200, and against a part of such a response that is sent.
func TestInvalidStatusIsNotReplacedBySuccess(t *testing.T) {
	for _, status := range []int{0, 99, 1000} {
		connect := start(t, &pipeline.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/next" {
				return
			}
			w.WriteHeader(status)
			_, _ = io.WriteString(w, "failure")
		})})
		c := connect()
		send(t, c, get("/")+"GET /next HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		br := bufio.NewReader(c)
		if r, body := read(t, br, "GET"); r.StatusCode != http.StatusBadGateway || r.ContentLength != 0 || body != "" {
			t.Errorf("status %d: got %d %q, length %d; want 502 without a body", status, r.StatusCode, body, r.ContentLength)
		}
		if r, body := read(t, br, "GET"); r.StatusCode != http.StatusOK || body != "" || !r.Close {
			t.Errorf("status %d: the next request got %d %q, close %v; want 200 without a body and close", status, r.StatusCode, body, r.Close)
		}
		if text, err := io.ReadAll(br); err != nil || len(text) > 0 {
			t.Errorf("status %d: got %q, %v behind the last response; want a closed connection", status, text, err)
		}
	}
}

// TestWaitingResponsesAreBounded guards against responses that wait for an earlier one
// and take memory without bound: 128 KiB each, 32 on each of thousands of connections.
func TestWaitingResponsesAreBounded(t *testing.T) {
	release, written := make(chan struct{}), make(chan struct{}, 400)
	body := strings.Repeat("x", 100<<10)
	s := &pipeline.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/first" {
			<-release
			return
		}
		_, _ = io.WriteString(w, body)
		written <- struct{}{}
	})}
	connect := start(t, s)
	var conns []net.Conn
	for range 12 {
		c := connect()
		conns = append(conns, c)
		send(t, c, get("/first")+strings.Repeat(get("/next"), 30))
	}
	// 16 MiB are enough for 163 responses. The others wait in Write.
	for range 163 {
		<-written
	}
	time.Sleep(50 * time.Millisecond)
	if n := len(written); n > 0 {
		t.Errorf("%d responses of 100 KiB are buffered, want at most 163", 163+n)
	}
	close(release)
	for _, c := range conns {
		br := bufio.NewReader(c)
		read(t, br, "GET")
		for range 30 {
			if _, got := read(t, br, "GET"); got != body {
				t.Fatalf("got a body of %d bytes, want %d", len(got), len(body))
			}
		}
	}
}
