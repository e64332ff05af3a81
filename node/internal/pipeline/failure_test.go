package pipeline_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/jujubeknot/jujubeknot/node/internal/pipeline"
)

// TestFailureBeforeHeaderSparesOthers guards against a response that fails before any
// of it was sent and ends the other requests of its connection.
func TestFailureBeforeHeaderSparesOthers(t *testing.T) {
	for name, fail := range map[string]func(http.ResponseWriter){
		"abort":          func(http.ResponseWriter) { panic(http.ErrAbortHandler) },
		"abort in body":  func(w http.ResponseWriter) { _, _ = io.WriteString(w, "part"); panic(http.ErrAbortHandler) },
		"short":          func(w http.ResponseWriter) { _, _ = io.WriteString(w, "part") },
		"nothing":        func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) },
		"invalid status": func(w http.ResponseWriter) { w.WriteHeader(42) },
	} {
		t.Run(name, func(t *testing.T) {
			failed, began := make(chan struct{}), make(chan struct{}, 2)
			connect := start(t, &pipeline.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/fails" {
					<-began
					<-began
					defer close(failed)
					w.Header().Set("Content-Length", "10")
					w.Header().Set("Jujubeknot-Outcome", "notRun")
					fail(w)
					return
				}
				began <- struct{}{}
				select {
				case <-failed:
				case <-r.Context().Done():
				}
				_, _ = io.WriteString(w, "fine")
			})})
			c := connect()
			send(t, c, get("/1")+get("/fails")+get("/3"))
			br := bufio.NewReader(c)
			if r, body := read(t, br, "GET"); body != "fine" || r.Close {
				t.Errorf("the request ahead got %q, close %v; want fine without close", body, r.Close)
			}
			r, body := read(t, br, "GET")
			if r.StatusCode != http.StatusBadGateway || r.ContentLength != 0 || body != "" || r.Close {
				t.Errorf("got %d %q, length %d, close %v; want 502 without a body or close", r.StatusCode, body, r.ContentLength, r.Close)
			}
			for field := range r.Header {
				if strings.HasPrefix(field, "Jujubeknot-") {
					t.Errorf("the 502 has the field %s", field)
				}
			}
			if _, body := read(t, br, "GET"); body != "fine" {
				t.Errorf("the request behind got %q, want fine", body)
			}
		})
	}
}

// TestFailureAfterHeaderCutsConnection guards against a truncated response that looks
// complete. The later requests of the connection cannot be answered, because the
// caller can see the failure only by the end of the connection.
func TestFailureAfterHeaderCutsConnection(t *testing.T) {
	for _, length := range []string{"", "10"} {
		connect := start(t, &pipeline.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/next" {
				return
			}
			if length != "" {
				w.Header().Set("Content-Length", length)
			}
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		})})
		c := connect()
		send(t, c, get("/")+get("/next"))
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err == nil {
			_, err = io.ReadAll(r.Body)
		}
		if err == nil {
			t.Errorf("length %q: the truncated response was read without an error", length)
		}
	}
}
