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

// stillClock is a clock that moves only when it is told to.
type stillClock struct{ passed atomic.Int64 }

func (c *stillClock) Now() time.Time { return time.Unix(1000, c.passed.Load()) }

// TestHealthIsAskedInSilence guards against health questions to a backend
// server that shows signs of life, which cost an idle node processor
// time, and against a silent server that is not asked.
func TestHealthIsAskedInSilence(t *testing.T) {
	paths := make(chan string, 1000)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		paths <- r.URL.Path
		_, _ = io.WriteString(w, "{}")
	}))
	defer server.Close()
	clock := &stillClock{}
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
	// By the time of the first load report the ticker has come many times.
	if path := <-paths; path != "/v1/load" {
		t.Errorf("%s was asked although no time has passed", path)
	}
	// The load report itself is a sign of life, at a time that may be later.
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
