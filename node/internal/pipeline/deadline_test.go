package pipeline_test

import (
	"bufio"
	"fmt"
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
