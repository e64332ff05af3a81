package backend_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/core/rules"
	"github.com/jujubeknot/jujubeknot/node/dialect"
	"github.com/jujubeknot/jujubeknot/node/internal/backend"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
)

// plain is a backend server protocol without header fields.
type plain struct{ dialect.Backend }

func (plain) RequestFields(dialect.Call) []dialect.Field { return nil }

func (plain) RequestFieldName(name string) string { return name }

func (plain) ParseResponse(dialect.Call, int, http.Header) dialect.Response {
	return dialect.Response{}
}

func (plain) ExpectedResponseID(dialect.Call) string { return "" }

// TestReachedServerIsNotUnreachable guards against refusals which say that a busy backend
// server is unreachable, because it once refused a connection and has not responded since
// it accepted one.
func TestReachedServerIsNotUnreachable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	clock := &manualClock{}
	s := backend.New(backend.Config{
		Clock: clock, Dialect: &dialect.Dialect{Backend: plain{}, DrainTimeout: 2 * time.Second, OutOfServiceTimeout: time.Minute, LostAfter: time.Minute},
		HoldsUntil: func() time.Time { return time.Time{} },
	})
	s.Configure(rules.Upstream{Queue: -1})
	heartbeat := dialect.Heartbeat{Name: "i-1", Upstream: "desk", Address: address, Started: time.Unix(900, 0), Sequence: 9, Slots: 1}
	if current, err := s.Heartbeat(t.Context(), heartbeat, ""); !current || err != nil {
		t.Fatalf("heartbeat: current %v, %v", current, err)
	}
	do := func() *outcome.Refusal {
		_, refusal := s.Do(t.Context(), &relay.Call{Body: &relay.Body{}, Method: "GET", URI: "/", Deadline: clock.Now().Add(time.Minute)}, backend.Gate{
			BeforeSend: func() (backend.Permit, *outcome.Refusal) { return backend.Permit{}, nil },
		})
		return refusal
	}
	if r := do(); r == nil || r.Reason != outcome.ReasonUnreachable {
		t.Fatalf("without a listener: refusal %+v, want unreachable", r)
	}
	if l, err = net.Listen("tcp", address); err != nil {
		t.Fatal(err)
	}
	// The second connection attempt of the node finds the listener.
	time.Sleep(50 * time.Millisecond)
	clock.passed.Add(int64(time.Second))
	heartbeat.Sequence++
	if current, err := s.Heartbeat(t.Context(), heartbeat, ""); !current || err != nil {
		t.Fatalf("heartbeat: current %v, %v", current, err)
	}
	started, release := make(chan struct{}), make(chan struct{})
	server := &httptest.Server{Listener: l, Config: &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(started)
		<-release
	})}}
	server.Start()
	defer server.Close()
	ended := make(chan *outcome.Refusal)
	go func() { ended <- do() }()
	<-started
	if r := do(); r == nil || r.Reason != outcome.ReasonQueueFull {
		t.Errorf("while the server works: refusal %+v, want queueFull", r)
	}
	close(release)
	if r := <-ended; r != nil {
		t.Errorf("the call that the server works on: refusal %+v, want none", r)
	}
}
