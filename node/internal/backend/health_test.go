package backend_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/node/internal/backend"
)

// manualClock is a clock that advances only when the test changes passed, in
// nanoseconds.
type manualClock struct{ passed atomic.Int64 }

func (c *manualClock) Now() time.Time { return time.Unix(1000, c.passed.Load()) }

// TestHealthRequestedWithoutContact guards against health requests to a backend
// server with recent contact, which cost an idle node processor time. It also
// guards against missing health requests once there is no contact.
func TestHealthRequestedWithoutContact(t *testing.T) {
	paths := make(chan string, 1000)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		paths <- r.URL.Path
		_, _ = io.WriteString(w, "{}")
	}))
	defer server.Close()
	clock := &manualClock{}
	s := backend.New(backend.Config{Clock: clock, HealthInterval: time.Millisecond})
	announcement := fmt.Sprintf(`{"name":"server","upstream":"files","address":%q,"bootId":"boot","slots":1,"connections":10}`, server.Listener.Addr())
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest("POST", "/v1/announce", strings.NewReader(announcement)))
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.Run(ctx)
	}()
	// The health ticker fires many times before the first load request.
	if path := <-paths; path != "/v1/load" {
		t.Errorf("%s was requested although no time has passed, want /v1/load", path)
	}
	// The response to the load request counts as contact too, possibly at a later
	// time, so the clock is advanced repeatedly.
	for path := ""; path != "/v1/health"; {
		clock.passed.Add(int64(2 * time.Millisecond))
		select {
		case path = <-paths:
		case <-time.After(time.Millisecond):
		}
	}
	stop()
	<-ended
}
