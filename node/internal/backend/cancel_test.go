package backend_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/node/internal/backend"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
	"github.com/jujubeknot/jujubeknot/wire/boottime"
	"github.com/jujubeknot/jujubeknot/wire/headers"
)

// startServer runs a backend.Server for a backend server with one slot. It keeps
// the slots of cancelled requests until the backend server has answered the
// cancellation.
func startServer(ctx context.Context, t *testing.T, address net.Addr) *backend.Server {
	t.Helper()
	s := backend.New(backend.Config{Clock: boottime.Clock{}, CancelHold: time.Hour})
	announcement := fmt.Sprintf(`{"name":"server","upstream":"files","address":%q,"bootId":"boot","slots":1,"connections":10}`, address)
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest("POST", "/v1/announce", strings.NewReader(announcement)))
	if w.Code != http.StatusOK {
		t.Fatalf("announcement: %d %s", w.Code, w.Body)
	}
	go s.Run(ctx)
	return s
}

// TestCancelledRequestKeepsSlot guards against a backend server that gets more
// requests than it has slots. This happens if the slot of a cancelled request is
// released before the backend server knows of the cancellation.
func TestCancelledRequestKeepsSlot(t *testing.T) {
	arrived, cancelled, first := make(chan string, 4), make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch id := r.Header.Get(headers.RequestID); {
		case r.URL.Path == "/v1/cancel":
			<-cancelled
			arrived <- "cancel"
		case strings.HasPrefix(r.URL.Path, "/v1/"):
			_, _ = io.WriteString(w, `{"bootId":"boot"}`)
		default:
			arrived <- id
			if id == "first" {
				<-first
			}
		}
	}))
	defer server.Close()
	defer close(first)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	s := startServer(ctx, t, server.Listener.Addr())
	do := func(ctx context.Context, id string) *outcome.Refusal {
		call := &relay.Call{ID: id, Sending: id, Idempotent: true, Method: "GET", URI: "/", Host: "h", Deadline: boottime.Clock{}.Now().Add(time.Hour), Body: &relay.Body{}}
		a, refusal := s.Do(ctx, call, backend.Gate{BeforeSend: func() (backend.Permit, *outcome.Refusal) { return backend.Permit{}, nil }})
		if a != nil {
			_ = a.Body.Close()
		}
		return refusal
	}
	leaving, leave := context.WithCancel(ctx)
	go func() {
		if id := <-arrived; id != "first" {
			t.Errorf("%s arrived, want first", id)
		}
		leave()
	}()
	if r := do(leaving, "first"); r == nil {
		t.Fatal("the cancelled request got a response, want a refusal")
	}
	ended := make(chan *outcome.Refusal, 1)
	go func() { ended <- do(ctx, "second") }()
	for s.Stats().Queued == 0 {
		select {
		case id := <-arrived:
			t.Fatalf("%s arrived while the server was full", id)
		case <-time.After(time.Millisecond):
		}
	}
	close(cancelled)
	if id := <-arrived; id != "cancel" {
		t.Errorf("%s arrived first, want the cancellation", id)
	}
	if r := <-ended; r != nil {
		t.Errorf("the second request was refused: %+v", r)
	}
}

// TestCancelledBeforeSend guards against sending calls whose callers have already
// disconnected. It happens on open connections to the backend server, when a busy
// node reads a request and the end of the caller's connection at the same time.
func TestCancelledBeforeSend(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		arrived := make(chan string, 4)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !strings.HasPrefix(r.URL.Path, "/v1/") {
				arrived <- r.Header.Get(headers.RequestID)
			}
			_, _ = io.WriteString(w, `{"bootId":"boot"}`)
		}))
		ctx, stop := context.WithCancel(context.Background())
		s := startServer(ctx, t, server.Listener.Addr())
		gone, leave := context.WithCancel(ctx)
		leave()
		for _, c := range []struct {
			ctx  context.Context
			id   string
			runs bool
		}{{ctx, "first", true}, {gone, "second", false}, {ctx, "third", true}} {
			call := &relay.Call{ID: c.id, Sending: c.id, Idempotent: idempotent, Method: "GET", URI: "/", Host: "h", Deadline: boottime.Clock{}.Now().Add(time.Hour), Body: &relay.Body{}}
			a, refusal := s.Do(c.ctx, call, backend.Gate{BeforeSend: func() (backend.Permit, *outcome.Refusal) { return backend.Permit{}, nil }})
			if a != nil {
				_, _ = io.Copy(io.Discard, a.Body)
				_ = a.Body.Close()
			}
			switch {
			case c.runs && refusal != nil:
				t.Errorf("%s call: %+v", c.id, refusal)
			case !c.runs && (refusal == nil || refusal.Outcome != outcome.OutcomeNotRun || refusal.Reason != outcome.ReasonCancelled):
				t.Errorf("%s call: %+v, want notRun for cancelled", c.id, refusal)
			}
		}
		server.Close()
		stop()
		close(arrived)
		var got []string
		for id := range arrived {
			got = append(got, id)
		}
		if fmt.Sprint(got) != "[first third]" {
			t.Errorf("idempotent %v: the backend server got %v, want [first third]", idempotent, got)
		}
	}
}
