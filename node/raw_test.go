package node_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"
)

// rawServer is a backend server for which a test writes each response as raw bytes.
type rawServer struct {
	*backendServer
	mu sync.Mutex
	// answer writes the response to a request. It returns false to close the
	// connection.
	answer func(c net.Conn, r *http.Request) bool
	// connections has the connection of each request, in order of arrival.
	connections []net.Conn
}

func newRawServer(t testing.TB, answer func(c net.Conn, r *http.Request) bool) *rawServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &rawServer{answer: answer, backendServer: &backendServer{
		name: "raw", upstream: "applications", bootID: "boot-1", address: l.Addr().String(), runs: map[string]int{},
	}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	t.Cleanup(func() { _ = l.Close() })
	return s
}

func (s *rawServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if strings.HasPrefix(r.URL.Path, "/v1/") {
			body := make([]byte, r.ContentLength*min(1, max(r.ContentLength, 0)))
			_, _ = r.Body.Read(body)
			_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
			continue
		}
		s.backendServer.mu.Lock()
		s.runs[r.Header.Get(idHeader)]++
		s.backendServer.mu.Unlock()
		s.mu.Lock()
		s.connections = append(s.connections, c)
		s.mu.Unlock()
		if !s.answer(c, r) {
			return
		}
	}
}

// startRaw starts an entry node and the node of a raw server.
func startRaw(t testing.TB, answer func(c net.Conn, r *http.Request) bool) (*rawServer, []*runningNode) {
	control := newControl(t, testRules)
	s := newRawServer(t, answer)
	owner := startNode(t, control, "owner", nil, nil)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	s.announce(ctx, t, owner.Addresses().Backend, s.address)
	entry := startNode(t, control, "entry", nil, nil)
	for _, n := range []*runningNode{owner, entry} {
		eventually(t, "node serves", func() bool { return n.Ready() && send("GET", n.url+"/applications/ok", nil, nil).status == 200 })
	}
	return s, []*runningNode{owner, entry}
}

// fine writes a complete response.
func fine(c net.Conn, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// TestIncompleteResponsesAreErrors guards against a truncated response that a caller
// takes for a complete one, with one hop and with two, streamed or not.
func TestIncompleteResponsesAreErrors(t *testing.T) {
	long := strings.Repeat("x", 200<<10)
	faults := map[string]string{
		"short":              "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart",
		"shortLong":          "HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + long,
		"chunksCut":          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"chunksCutLong":      fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(long), long),
		"chunkCut":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n400\r\npart",
		"noFraming":          "HTTP/1.1 200 OK\r\n\r\npart",
		"headerCut":          "HTTP/1.1 200 OK\r\nContent-Le",
		"headerHuge":         "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("y", 400<<10) + "\r\nContent-Length: 4\r\n\r\npart",
		"twoLengths":         "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\npart",
		"nothing":            "",
		"idOfAnotherRequest": "HTTP/1.1 200 OK\r\nJujubeknot-Request-Id: other\r\nContent-Length: 4\r\n\r\npart",
	}
	_, nodes := startRaw(t, func(c net.Conn, r *http.Request) bool {
		if text, ok := faults[r.Header.Get("X-Fault")]; ok {
			_, _ = c.Write([]byte(text))
			return false
		}
		return fine(c, "ok")
	})
	for name := range faults {
		for i, n := range nodes {
			for _, method := range []string{"GET", "POST"} {
				a := send(method, n.url+"/applications/k", map[string]string{"X-Fault": name}, nil)
				if a.err == nil && (a.status < 500 || a.refusal.Outcome != "unknown") {
					t.Errorf("%s, hop %d, %s: status %d outcome %q with %d bytes, want an error or unknown", name, i+1, method, a.status, a.refusal.Outcome, len(a.body))
				}
			}
		}
	}
	for _, n := range nodes {
		if a := send("GET", n.url+"/applications/k", nil, nil); a.status != 200 || a.body != "ok" {
			t.Errorf("after the faults: status %d, want 200; body %q error %v", a.status, a.body, a.err)
		}
	}
}

// TestStatusOutOfRangeIsNotAnAnswer guards against a damaged status below 100 that
// reaches the caller as a success, with one hop and with two, streamed or not.
func TestStatusOutOfRangeIsNotAnAnswer(t *testing.T) {
	_, nodes := startRaw(t, func(c net.Conn, r *http.Request) bool {
		status := r.Header.Get("X-Status")
		if status == "" {
			return fine(c, "ok")
		}
		framing, body := "Content-Length: 7\r\n", "failure"
		if r.Header.Get("X-Chunked") != "" {
			framing, body = "Transfer-Encoding: chunked\r\n", "7\r\nfailure\r\n0\r\n\r\n"
		}
		_, err := fmt.Fprintf(c, "HTTP/1.1 %s Internal Server Error\r\n%s\r\n%s", status, framing, body)
		return err == nil
	})
	for _, status := range []string{"000", "+99", "050", "099", "600", "999"} {
		for _, chunked := range []string{"", "1"} {
			for i, n := range nodes {
				for _, method := range []string{"GET", "POST"} {
					a := send(method, n.url+"/applications/k", map[string]string{"X-Status": status, "X-Chunked": chunked}, nil)
					if a.status != http.StatusBadGateway || a.refusal.Outcome != "unknown" {
						t.Errorf("%s, chunked %q, hop %d, %s: status %d outcome %q body %q error %v, want 502 and unknown",
							status, chunked, i+1, method, a.status, a.refusal.Outcome, a.body, a.err)
					}
				}
			}
		}
	}
}

// TestLateResponseIsDiscarded guards against a response that arrives after its request
// was abandoned and is taken for the response to the next request.
func TestLateResponseIsDiscarded(t *testing.T) {
	release := make(chan struct{})
	s, nodes := startRaw(t, func(c net.Conn, r *http.Request) bool {
		if r.Header.Get(idHeader) == "late" {
			<-release
			return fine(c, "late")
		}
		return fine(c, r.Header.Get(idHeader))
	})
	for _, n := range nodes {
		a := send("POST", n.url+"/applications/k", map[string]string{idHeader: "late", "Jujubeknot-Deadline": "60"}, nil)
		if a.refusal.Outcome != "unknown" || a.refusal.Reason != "deadline" || a.status != 504 {
			t.Fatalf("status %d refusal %+v error %v, want 504, unknown and deadline", a.status, a.refusal, a.err)
		}
	}
	s.mu.Lock()
	late := map[net.Conn]bool{s.connections[len(s.connections)-1]: true}
	s.mu.Unlock()
	close(release)
	for i := range 20 {
		id := fmt.Sprintf("next%d", i)
		if a := send("POST", nodes[i%2].url+"/applications/k", map[string]string{idHeader: id}, nil); a.body != id {
			t.Fatalf("%s got %q (status %d)", id, a.body, a.status)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.connections[len(s.connections)-20:] {
		if late[c] {
			t.Fatal("the connection of the late response was used again")
		}
	}
}

// TestExtraBytesCloseConnection guards against bytes after a response that are taken
// for the response to the next request.
func TestExtraBytesCloseConnection(t *testing.T) {
	s, nodes := startRaw(t, func(c net.Conn, r *http.Request) bool {
		if r.Header.Get(idHeader) == "extra" {
			_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")
			return true
		}
		return fine(c, r.Header.Get(idHeader))
	})
	for i := range 20 {
		if a := send("GET", nodes[0].url+"/applications/k", map[string]string{idHeader: "extra"}, nil); a.body != "ok" {
			t.Fatalf("got %q, want ok", a.body)
		}
		id := fmt.Sprintf("n%d", i)
		if a := send("GET", nodes[0].url+"/applications/k", map[string]string{idHeader: id}, nil); a.body != id {
			t.Fatalf("%s got %q (status %d)", id, a.body, a.status)
		}
	}
	_ = s
}

// TestMalformedFramingIsRefused guards against request smuggling: requests for which a
// backend server could find another end than the node does.
func TestMalformedFramingIsRefused(t *testing.T) {
	s, nodes := startRaw(t, func(c net.Conn, _ *http.Request) bool { return fine(c, "ok") })
	const head = "POST /applications/k HTTP/1.1\r\nHost: h\r\nX-Test-Id: smuggled\r\n"
	for name, text := range map[string]string{
		"twoLengths":      head + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
		"lengthNotNumber": head + "Content-Length: 4x\r\n\r\nabcd",
		"negativeLength":  head + "Content-Length: -1\r\n\r\nabcd",
		"chunkedTwice":    head + "Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n",
		"oddEncoding":     head + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
		"badChunk":        head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
		"headerSpace":     head + "Content-Length : 4\r\n\r\nabcd",
		"headerFold":      head + "Content-Length: 4\r\n X: y\r\n\r\nabcd"[:0] + "Bad\x00Name: 1\r\n\r\n",
		"http10":          "POST /applications/k HTTP/1.0\r\nX-Test-Id: smuggled\r\nContent-Length: 1\r\n\r\na",
		"noHost":          "POST /applications/k HTTP/1.1\r\nX-Test-Id: smuggled\r\n\r\n",
		"dotSegments":     "GET /applications/../documents/k HTTP/1.1\r\nHost: h\r\nX-Test-Id: smuggled\r\n\r\n",
		"escapedDots":     "GET /applications/%2e%2e/documents/k HTTP/1.1\r\nHost: h\r\nX-Test-Id: smuggled\r\n\r\n",
		"shortBody":       head + "Content-Length: 10\r\n\r\nabc",
		"asterisk":        "OPTIONS * HTTP/1.1\r\nHost: h\r\nX-Test-Id: smuggled\r\n\r\n",
		"connect":         "CONNECT /applications/k HTTP/1.1\r\nHost: h\r\nX-Test-Id: smuggled\r\n\r\n",
	} {
		c, err := net.Dial("tcp", nodes[0].Addresses().Callers.String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = c.Write([]byte(text))
		_ = c.(*net.TCPConn).CloseWrite()
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err == nil && r.StatusCode/100 != 4 && r.StatusCode/100 != 5 && name != "asterisk" {
			t.Errorf("%s: status %d, want 4xx or 5xx", name, r.StatusCode)
		}
		_ = c.Close()
	}
	if n := s.runCount("smuggled"); n != 0 {
		t.Errorf("%d of the malformed requests reached the backend server, want 0", n)
	}
}

// TestRefusedRetryKeepsFirstSendingUndecided guards against a wrong notRun. The first
// sending of an idempotent request runs and its response is lost, and the retry is
// refused without running.
func TestRefusedRetryKeepsFirstSendingUndecided(t *testing.T) {
	var mu sync.Mutex
	seen := map[string]int{}
	_, nodes := startRaw(t, func(c net.Conn, r *http.Request) bool {
		id := r.Header.Get(idHeader)
		if id == "" {
			return fine(c, "ok")
		}
		mu.Lock()
		seen[id]++
		first := seen[id] == 1
		mu.Unlock()
		if first {
			return false
		}
		_, err := io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nJujubeknot-Outcome: notRun\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	})
	for i, n := range nodes {
		id := fmt.Sprintf("hop%d", i+1)
		a := send("GET", n.url+"/applications/k", map[string]string{idHeader: id}, nil)
		mu.Lock()
		sendings := seen[id]
		mu.Unlock()
		if sendings != 2 || a.refusal.Outcome != "unknown" {
			t.Errorf("hop %d: %d sendings, outcome %q, want 2 and unknown", i+1, sendings, a.refusal.Outcome)
		}
	}
}

// TestUnreadRestOfRefusalIsNotAnAnswer guards against an answer that belongs to another
// request: a long refusal whose unread rest is taken for the next response on its
// connection.
func TestUnreadRestOfRefusalIsNotAnAnswer(t *testing.T) {
	const filler = 64 << 10
	rest := "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"
	var mu sync.Mutex
	pending := map[net.Conn]bool{}
	_, nodes := startRaw(t, func(c net.Conn, r *http.Request) bool {
		mu.Lock()
		late := pending[c]
		delete(pending, c)
		if r.Header.Get(idHeader) == "refused" {
			pending[c] = true
		}
		mu.Unlock()
		if late {
			// The rest of the refusal arrives once the connection is in use again.
			_, err := io.WriteString(c, rest)
			return err == nil
		}
		if r.Header.Get(idHeader) == "refused" {
			_, err := fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nJujubeknot-Outcome: notRun\r\nContent-Length: %d\r\n\r\n%s",
				filler+len(rest), strings.Repeat("x", filler))
			return err == nil
		}
		return fine(c, r.Header.Get(idHeader))
	})
	for i := range 4 {
		send("POST", nodes[0].url+"/applications/k", map[string]string{idHeader: "refused", "Jujubeknot-Deadline": "300"}, nil)
		id := fmt.Sprint("next", i)
		if a := send("POST", nodes[0].url+"/applications/k", map[string]string{idHeader: id}, nil); a.body != id {
			t.Fatalf("%s got %q (status %d)", id, a.body, a.status)
		}
	}
}

// TestLateCopyOfRefusal guards against a late copy of a refusal that is taken for the
// response to another request, or to a resend of the refused one, which then runs.
func TestLateCopyOfRefusal(t *testing.T) {
	for _, withID := range []bool{true, false} {
		var mu sync.Mutex
		pending, refused, runs := map[net.Conn]string{}, map[string]bool{}, map[string]int{}
		_, nodes := startRaw(t, func(c net.Conn, r *http.Request) bool {
			id := r.Header.Get(idHeader)
			if id == "" {
				return fine(c, "ok")
			}
			mu.Lock()
			late := pending[c]
			delete(pending, c)
			refuse := !refused[id] && late == ""
			if refuse {
				refused[id] = true
			} else {
				runs[id]++
			}
			mu.Unlock()
			if !refuse {
				_, _ = io.WriteString(c, late)
				// The response follows some time after the copy.
				time.Sleep(10 * time.Millisecond)
				return fine(c, id)
			}
			answer := "HTTP/1.1 503 Service Unavailable\r\nJujubeknot-Outcome: notRun\r\nContent-Length: 0\r\n"
			if withID {
				answer += "Jujubeknot-Request-Id: " + r.Header.Get("Jujubeknot-Request-Id") + "\r\n"
			}
			mu.Lock()
			pending[c] = answer + "\r\n"
			mu.Unlock()
			_, err := io.WriteString(c, answer+"\r\n")
			return err == nil
		})
		for i := range 10 {
			id := fmt.Sprint("copy", i)
			for range 3 {
				a := send("POST", nodes[i%2].url+"/applications/k", map[string]string{idHeader: id, "Idempotency-Key": id}, nil)
				mu.Lock()
				n := runs[id]
				mu.Unlock()
				if n > 1 || a.refusal.Outcome == "notRun" && n > 0 || a.status == 200 && n != 1 {
					t.Errorf("with id %v, %s: status %d outcome %q after %d runs", withID, id, a.status, a.refusal.Outcome, n)
				}
			}
		}
	}
}

// TestEndlessResponsesAreBounded guards against a backend server that sends bytes
// without end in place of a response: the request must end by its deadline, not look
// complete, and keep no memory, slot or connection.
func TestEndlessResponsesAreBounded(t *testing.T) {
	filler := strings.Repeat("x", 32<<10)
	begin := map[string]string{
		"noLineEnd": "HTTP/1.1 200 OK\r\nX: ",
		"noHeadEnd": "HTTP/1.1 200 OK\r\n",
		"notHTTP":   "\x00\x01\x02",
		"continue":  "HTTP/1.1 100 Continue\r\n\r\n",
		"chunks":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"trailer":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
		"unframed":  "HTTP/1.1 200 OK\r\n\r\n",
		"refusal":   "HTTP/1.1 503 Service Unavailable\r\nJujubeknot-Outcome: notRun\r\nTransfer-Encoding: chunked\r\n\r\n",
	}
	repeated := map[string]string{
		"noHeadEnd": strings.Repeat("X-Y: z\r\n", 4<<10), "continue": strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 1<<10),
		"chunks": "8000\r\n" + filler + "\r\n", "trailer": strings.Repeat("T: x\r\n", 4<<10), "refusal": "8000\r\n" + filler + "\r\n",
	}
	ended := make(chan struct{}, 64)
	_, nodes := startRaw(t, func(c net.Conn, r *http.Request) bool {
		kind := r.Header.Get("X-Endless")
		if kind == "" {
			return fine(c, "ok")
		}
		defer func() { ended <- struct{}{} }()
		piece := repeated[kind]
		if piece == "" {
			piece = filler
		}
		_, err := io.WriteString(c, begin[kind])
		for err == nil {
			_, err = io.WriteString(c, piece)
		}
		return false
	})
	for kind := range begin {
		for i, n := range nodes {
			a := send("POST", n.url+"/applications/k", map[string]string{"X-Endless": kind, "Jujubeknot-Deadline": "200"}, nil)
			if a.err == nil && (a.status < 500 || a.refusal.Outcome == "notRun" && kind != "refusal") {
				t.Errorf("%s, hop %d: status %d outcome %q with %d bytes, want an error or unknown", kind, i+1, a.status, a.refusal.Outcome, len(a.body))
			}
			select {
			case <-ended:
			case <-time.After(20 * time.Second):
				t.Fatalf("%s, hop %d: the connection to the backend server is still open", kind, i+1)
			}
		}
	}
	for _, n := range nodes {
		eventually(t, "requests pass again", func() bool { return send("GET", n.url+"/applications/k", nil, nil).body == "ok" })
	}
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	if memory.HeapInuse > 128<<20 {
		t.Errorf("%d bytes of heap in use after the endless responses, want at most 128 MiB", memory.HeapInuse)
	}
}
