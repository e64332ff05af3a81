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

// patience bounds waits for what must happen; no test measures time.
const patience = 10 * time.Second

// start serves a handler and returns a way to connect.
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
		_ = c.SetDeadline(time.Now().Add(patience))
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

// read returns the next answer and its body.
func read(t *testing.T, br *bufio.Reader, method string) (*http.Response, string) {
	t.Helper()
	r, err := http.ReadResponse(br, &http.Request{Method: method})
	if err != nil {
		t.Fatalf("answer: %v", err)
	}
	b, err := io.ReadAll(r.Body)
	if err != nil {
		t.Fatalf("body: %v", err)
	}
	return r, string(b)
}

// TestRequestsRunBesideEachOther guards against a caller who sends several
// requests at once and waits for each in turn, and against answers that come in
// another order than the requests.
func TestRequestsRunBesideEachOther(t *testing.T) {
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
			t.Fatalf("answer %q, want %q", body, want)
		}
	}
}

// TestChangesRunAlone guards against a request that may change something and
// runs beside others of its connection, whose order the caller relies on.
func TestChangesRunAlone(t *testing.T) {
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
			t.Fatalf("answer %d is %d %q, want 200 %q", i+1, r.StatusCode, body, want)
		}
	}
}

// TestGoneCallerEndsRequests guards against work that goes on for a caller who
// has closed the connection.
func TestGoneCallerEndsRequests(t *testing.T) {
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
		case <-time.After(patience):
			t.Fatal("a request goes on although its caller has gone")
		}
	}
}

// TestUnreadBodyEndsConnection guards against the rest of a body that is taken
// for the next request, and against an answer that is lost because its
// connection is reset.
func TestUnreadBodyEndsConnection(t *testing.T) {
	connect := start(t, &pipeline.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusForbidden)
	})})
	c := connect()
	send(t, c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\n\r\n"+get("/smuggled"))
	br := bufio.NewReader(c)
	if r, _ := read(t, br, "POST"); r.StatusCode != http.StatusForbidden || !r.Close {
		t.Fatalf("answer %d, close %v; want 403 and the end of the connection", r.StatusCode, r.Close)
	}
	if _, err := http.ReadResponse(br, nil); err == nil {
		t.Fatal("the body was answered as a request")
	}
}

// TestContinue guards against a caller who waits for the interim answer before
// it sends the body.
func TestContinue(t *testing.T) {
	connect := start(t, &pipeline.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	})})
	c := connect()
	br := bufio.NewReader(c)
	send(t, c, "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
	line, err := br.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "HTTP/1.1 100 ") {
		t.Fatalf("interim answer %q, %v", line, err)
	}
	if _, err := br.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	send(t, c, "body")
	if _, body := read(t, br, "POST"); body != "body" {
		t.Fatalf("answer %q", body)
	}
}

// TestShortAnswerIsNotComplete guards against an answer that was cut and looks
// whole, with and without an announced length.
func TestShortAnswerIsNotComplete(t *testing.T) {
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
			t.Errorf("length %q: the cut answer looks whole", length)
		}
	}
}

// TestBadRequests guards against requests that are not answered, or answered
// before those ahead of them.
func TestBadRequests(t *testing.T) {
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
			t.Errorf("the request ahead got %q", body)
		}
		if r, _ := read(t, br, "GET"); r.StatusCode != want || !r.Close {
			t.Errorf("%.20q: answer %d, close %v; want %d and the end of the connection", text, r.StatusCode, r.Close, want)
		}
	}
}

// TestShutdownAnswersWhatWasRead guards against a stop that cuts requests, and
// against one that waits for idle connections.
func TestShutdownAnswersWhatWasRead(t *testing.T) {
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
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		stopped <- s.Shutdown(ctx)
	}()
	if _, err := idleReader.ReadByte(); err != io.EOF {
		t.Errorf("idle connection: %v, want its end", err)
	}
	close(release)
	br := bufio.NewReader(busy)
	for _, want := range []string{"/1", "/2"} {
		r, body := read(t, br, "GET")
		if body != want || r.Close != (want == "/2") {
			t.Errorf("answer %q with close %v, want %q and the end with the last one", body, r.Close, want)
		}
	}
	if err := <-stopped; err != nil {
		t.Errorf("Shutdown: %v", err)
	}
}

// slowToClose holds the Close of its connections back until released.
type slowToClose struct {
	net.Listener
	closing chan struct{}
	release chan struct{}
}

// Accept waits for a connection.
func (l *slowToClose) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowConn{c, l}, nil
}

type slowConn struct {
	net.Conn
	listener *slowToClose
}

// Close tells that it was called and waits for the release.
func (c *slowConn) Close() error {
	select {
	case c.listener.closing <- struct{}{}:
	default:
	}
	<-c.listener.release
	return c.Conn.Close()
}

// TestShutdownMarksBusyConnectionsFirst guards against a stop that closes idle
// connections one by one while answers on the others, sent meanwhile, do not
// tell that they are the last: their callers' next requests met the close.
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
	l := &slowToClose{Listener: inner, closing: make(chan struct{}, 1), release: make(chan struct{})}
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
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		stopped <- s.Shutdown(ctx)
	}()
	<-l.closing
	close(release)
	if r, body := read(t, bufio.NewReader(busy), "GET"); body != "/busy" || !r.Close {
		t.Errorf("answer %q with close %v, want the end with it", body, r.Close)
	}
	close(l.release)
	if err := <-stopped; err != nil {
		t.Errorf("Shutdown: %v", err)
	}
}

// TestIdleConnectionsEnd guards against connections without requests that stay
// open for ever, also after requests.
func TestIdleConnectionsEnd(t *testing.T) {
	connect := start(t, &pipeline.Server{IdleTimeout: 20 * time.Millisecond, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	})})
	c := connect()
	send(t, c, get("/")+get("/"))
	br := bufio.NewReader(c)
	read(t, br, "GET")
	read(t, br, "GET")
	if _, err := br.ReadByte(); err != io.EOF {
		t.Errorf("idle connection: %v, want its end", err)
	}
}
