package node_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// TestUnreadBodyIsNotParsedAsRequest guards against request smuggling: the unread
// rest of a body is parsed as the next request on the connection.
func TestUnreadBodyIsNotParsedAsRequest(t *testing.T) {
	p := startPair(t, testRules)
	// Responds before the body has arrived.
	p.server.setHandler(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > 0 {
			w.Header().Set("Connection", "close")
			_ = http.NewResponseController(w).EnableFullDuplex()
		}
		_, _ = io.WriteString(w, "early")
	})
	for _, n := range []*runningNode{p.entry, p.owner} {
		smuggle(t, n, "/applications/k", true)
		smuggle(t, n, "/applications/k", false)
		smuggle(t, n, "/none", true)
	}
	// The owner's node refuses the call because its backend server is closed, and the
	// entry node stops reading the body.
	_ = p.server.server.Close()
	smuggle(t, p.entry, "/applications/k", true)
	if n := p.server.runCount("inner"); n != 0 {
		t.Errorf("%d requests inside a body reached the backend server, want 0", n)
	}
}

// smuggle sends a large body that consists of requests, after the response or without
// waiting for it. It fails if more than one response comes back.
func smuggle(t *testing.T, n *runningNode, path string, wait bool) {
	t.Helper()
	c, err := net.Dial("tcp", n.Addresses().Callers.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	const length = 100 << 10
	inner := "GET /none HTTP/1.1\r\nHost: h\r\nX-Test-Id: inner\r\n\r\n"
	_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nX-Test-Id: outer\r\nContent-Length: %d\r\n\r\n", path, length)
	br := bufio.NewReader(c)
	if wait {
		if r, err := http.ReadResponse(br, nil); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
		}
	}
	_, _ = io.WriteString(c, strings.Repeat(inner, length/len(inner)+1)[:length])
	// The client sends no more, so the node closes the connection by itself.
	_ = c.(*net.TCPConn).CloseWrite()
	rest, _ := io.ReadAll(br)
	if responses := strings.Count(string(rest), "HTTP/1.1 "); responses > 1 || wait && responses > 0 {
		t.Errorf("%s: %d more responses to one request: %.200q", path, responses, rest)
	}
}
