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

// TestUnreadBodyIsNotTheNextRequest guards against the rest of a body that
// nobody read and that is then taken for a request: a way to smuggle one.
func TestUnreadBodyIsNotTheNextRequest(t *testing.T) {
	p := startPair(t, testRules)
	// Answers before the body has come.
	p.server.setHandle(func(w http.ResponseWriter, r *http.Request) {
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
	// The owner's node refuses the call, because nothing listens behind it, and
	// the entry node ends its reading of the body.
	_ = p.server.server.Close()
	smuggle(t, p.entry, "/applications/k", true)
	if n := p.server.ran("inner"); n != 0 {
		t.Errorf("%d requests inside of a body reached the backend server", n)
	}
}

// smuggle sends a large body that is made of requests, after the answer or
// without waiting for it, and fails if more than one answer comes back.
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
	// No more than a last request follows, so the connection ends by itself.
	_ = c.(*net.TCPConn).CloseWrite()
	rest, _ := io.ReadAll(br)
	if answers := strings.Count(string(rest), "HTTP/1.1 "); answers > 1 || wait && answers > 0 {
		t.Errorf("%s: %d more answers to one request: %.200q", path, answers, rest)
	}
}
