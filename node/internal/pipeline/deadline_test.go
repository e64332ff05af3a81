package pipeline_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/node/internal/pipeline"
)

// shortDeadline is a write deadline that passes within each of these tests.
const shortDeadline = 50 * time.Millisecond

// TestWriteDeadlineBoundsOwnResponse guards against a response that is cut because of
// the write deadline of a later one, or because it waited for an earlier one.
func TestWriteDeadlineBoundsOwnResponse(t *testing.T) {
	later := make(chan struct{})
	s := &pipeline.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/first" {
			<-later
			time.Sleep(2 * shortDeadline)
		} else {
			if err := http.NewResponseController(w).SetWriteDeadline(time.Now().Add(shortDeadline)); err != nil {
				t.Errorf("set write deadline: %v", err)
			}
			close(later)
		}
		_, _ = fmt.Fprint(w, r.URL.Path)
	})}
	c := start(t, s)()
	send(t, c, get("/first")+get("/second"))
	br := bufio.NewReader(c)
	for _, want := range []string{"/first", "/second"} {
		if r, body := read(t, br, "GET"); r.StatusCode != http.StatusOK || body != want {
			t.Errorf("got %d %q, want 200 %q", r.StatusCode, body, want)
		}
	}
}

// TestWriteDeadlineEndsWithResponse guards against a 100 Continue that is not sent,
// so that an upload is refused, because the write deadline of the response before it
// on the connection has passed.
func TestWriteDeadlineEndsWithResponse(t *testing.T) {
	s := &pipeline.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/first" {
			if err := http.NewResponseController(w).SetWriteDeadline(time.Now().Add(shortDeadline)); err != nil {
				t.Errorf("set write deadline: %v", err)
			}
		}
		body, err := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(w, "%s %s %v", r.URL.Path, body, err)
	})}
	c := start(t, s)()
	br := bufio.NewReader(c)
	send(t, c, get("/first"))
	read(t, br, "GET")
	time.Sleep(2 * shortDeadline)
	send(t, c, "PUT /second HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n")
	if r, err := http.ReadResponse(br, nil); err != nil || r.StatusCode != http.StatusContinue {
		t.Fatalf("got %v, %v, want 100 Continue", r, err)
	}
	send(t, c, "body")
	if _, body := read(t, br, "PUT"); body != "/second body <nil>" {
		t.Errorf("got %q, want the body of the second request without an error", body)
	}
}
