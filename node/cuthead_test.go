package node_test

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
)

// wholeBody is the body of the responses of which the header is cut short.
const wholeBody = "whole body"

// cutResponses are complete responses, of which tests send the first bytes only.
var cutResponses = map[string]string{
	"lengthLast":    "HTTP/1.1 200 OK\r\nX-Served: 1\r\nContent-Length: 10\r\n\r\n" + wholeBody,
	"lengthFirst":   "HTTP/1.1 200 OK\r\nContent-Length: 10\r\nX-Served: 1\r\n\r\n" + wholeBody,
	"chunked":       "HTTP/1.1 200 OK\r\nX-Served: 1\r\nTransfer-Encoding: chunked\r\n\r\na\r\n" + wholeBody + "\r\n0\r\n\r\n",
	"lineFeeds":     "HTTP/1.1 200 OK\nX-Served: 1\nContent-Length: 10\n\n" + wholeBody,
	"noContent":     "HTTP/1.1 204 No Content\r\nX-Served: 1\r\n\r\n",
	"informational": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n" + wholeBody,
	"continue":      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\nX-Served: 1\r\n\r\n",
}

// headerLength returns the length of the header of a response, with the informational
// ones before it.
func headerLength(text string) int {
	if i := strings.LastIndex(text, "\n\n"); i >= 0 {
		return i + 2
	}
	rest := 0
	for strings.HasPrefix(text[rest:], "HTTP/1.1 1") {
		rest += strings.Index(text[rest:], "\r\n\r\n") + 4
	}
	return rest + strings.Index(text[rest:], "\r\n\r\n") + 4
}

// cutHeader sends the first bytes of a response, as many as the request asks for, and
// closes or resets the connection.
func cutHeader(c net.Conn, r *http.Request) bool {
	length, err := strconv.Atoi(r.Header.Get("X-Cut"))
	if err != nil {
		return fine(c, "ok")
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(c, cutResponses[r.Header.Get("X-Form")][:length])
	if r.Header.Get("X-Reset") != "" {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	return false
}

// TestResponseHeaderCutShort guards against a response whose header the backend server
// did not finish, and that reaches the caller as a complete one. Requests are sent on
// new connections and on those used before, with one hop and with two.
func TestResponseHeaderCutShort(t *testing.T) {
	_, nodes := startRaw(t, cutHeader)
	long := strings.Repeat("x", 300<<10)
	kinds := []struct {
		name, method string
		body         func() io.Reader
		every        int
	}{
		{"read", "GET", func() io.Reader { return nil }, 1},
		{"head", "HEAD", func() io.Reader { return nil }, 3},
		{"write", "POST", func() io.Reader { return strings.NewReader("short") }, 1},
		{"upload", "POST", func() io.Reader { return strings.NewReader(long) }, 5},
		{"stream", "POST", func() io.Reader { return io.MultiReader(strings.NewReader(long)) }, 5},
	}
	count := 0
	for form, text := range cutResponses {
		for _, k := range kinds {
			for length := 0; length < headerLength(text); length += k.every {
				n := nodes[count%2]
				fields := map[string]string{"X-Form": form, "X-Cut": strconv.Itoa(length)}
				if count/2%2 == 0 {
					// The connection of this request is kept.
					send("GET", n.url+"/applications/k", nil, nil)
				}
				if count/4%2 == 0 {
					fields["X-Reset"] = "1"
				}
				count++
				a := send(k.method, n.url+"/applications/k", fields, k.body())
				if a.err == nil && a.status < 500 {
					t.Errorf("%s, %s, %d bytes, hop %d: status %d with %d bytes, want an error", form, k.name, length, (count-1)%2+1, a.status, len(a.body))
				}
				if a.status >= 500 && k.method != "HEAD" && a.refusal.Outcome != "unknown" {
					t.Errorf("%s, %s, %d bytes: outcome %q, want unknown", form, k.name, length, a.refusal.Outcome)
				}
			}
		}
	}
	for form, text := range cutResponses {
		a := send("GET", nodes[1].url+"/applications/k", map[string]string{"X-Form": form, "X-Cut": strconv.Itoa(len(text))}, nil)
		if want := strings.Count(text, wholeBody) * len(wholeBody); a.status/100 != 2 || len(a.body) != want {
			t.Errorf("%s, complete: status %d with %d bytes, want a success with %d: %v", form, a.status, len(a.body), want, a.err)
		}
	}
	if count < 1000 {
		t.Errorf("%d responses were cut, want at least 1000", count)
	}
}
