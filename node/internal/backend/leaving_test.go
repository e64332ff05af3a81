package backend_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/node/dialect"
	"github.com/jujubeknot/jujubeknot/node/internal/backend"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// TestLeavingReportedToEarlierProcess guards against a process that uses a backend
// server which reported to the earlier process that it leaves, against a drain that
// begins anew with the process, and against a later start that is kept out.
func TestLeavingReportedToEarlierProcess(t *testing.T) {
	clock := &manualClock{}
	s := backend.New(backend.Config{
		Clock: clock, Dialect: &dialect.Dialect{DrainTimeout: 2 * time.Second, OutOfServiceTimeout: time.Minute, LostAfter: time.Second},
		HoldsUntil: func() time.Time { return time.Time{} }, HealthInterval: time.Millisecond,
	})
	b := dialect.Heartbeat{Name: "i-1", Upstream: "desk", Address: "127.0.0.1:1", Started: time.Unix(900, 0), Sequence: 9, Slots: 4}
	report := func() {
		t.Helper()
		if current, err := s.Heartbeat(context.Background(), b, ""); !current || err != nil {
			t.Fatalf("heartbeat of %s: current %v, error %v", b.Incarnation(), current, err)
		}
	}
	check := func(what string, leaving, stored bool) {
		t.Helper()
		got, known := s.LeavingStored(b.Incarnation())
		if s.Leaving() != leaving || s.Announced().GetLeaving() != leaving || got != stored || !known {
			t.Errorf("%s: leaving %v, announced as leaving %v, stored %v, known %v; want %v, %v, %v, true", what,
				s.Leaving(), s.Announced().GetLeaving(), got, known, leaving, leaving, stored)
		}
	}
	report()
	check("first heartbeat", false, false)
	s.RecordStored(&wirev1.BackendServer{Name: "i-1", BootId: "i-1/7", Leaving: true})
	check("another start stored as leaving", false, false)
	s.RecordStored(&wirev1.BackendServer{Name: "i-1", BootId: b.Incarnation(), Leaving: true})
	check("stored as leaving", true, true)
	b.Sequence++
	report()
	check("heartbeat that does not say so", true, true)
	clock.passed.Add(int64(1800 * time.Millisecond))
	_, refusal := s.Do(context.Background(), &relay.Call{Body: &relay.Body{}, Method: "GET", URI: "/", Deadline: clock.Now().Add(time.Minute)}, backend.Gate{
		BeforeSend: func() (backend.Permit, *outcome.Refusal) { return backend.Permit{}, nil },
	})
	if refusal == nil || refusal.Reason != outcome.ReasonStopping {
		t.Errorf("call after the drain: refusal %+v, want %q", refusal, outcome.ReasonStopping)
	}
	b.Started = b.Started.Add(time.Second)
	// The first heartbeat of another start is only a claim.
	if current, err := s.Heartbeat(context.Background(), b, ""); current || err != nil {
		t.Fatalf("first heartbeat of the next start: current %v, error %v", current, err)
	}
	b.Sequence++
	report()
	check("next start", false, false)
	b.Sequence, b.Draining = b.Sequence+1, true
	report()
	check("next start drains", true, false)
}

// TestDeregistrationNamesIncarnation guards against the acknowledgement of a
// deregistration that has no effect, and against one that makes the next start of the
// backend server leave.
func TestDeregistrationNamesIncarnation(t *testing.T) {
	s := backend.New(backend.Config{
		Clock: &manualClock{}, Dialect: &dialect.Dialect{DrainTimeout: 2 * time.Second, OutOfServiceTimeout: time.Minute, LostAfter: time.Second},
		HoldsUntil: func() time.Time { return time.Time{} }, HealthInterval: time.Millisecond,
	})
	b := dialect.Heartbeat{Name: "i-1", Upstream: "desk", Address: "127.0.0.1:1", Started: time.Unix(900, 0), Sequence: 9, Slots: 4}
	if _, err := s.Deregister(b.Name, b.Started); !errors.Is(err, backend.ErrUnknownServer) {
		t.Errorf("deregistration before the first heartbeat: error %v, want ErrUnknownServer", err)
	}
	if current, err := s.Heartbeat(context.Background(), b, ""); !current || err != nil {
		t.Fatalf("heartbeat: current %v, error %v", current, err)
	}
	for _, c := range []struct {
		name    string
		started time.Time
		want    string
		err     error
	}{
		{"i-1", b.Started.Add(-time.Second), "", nil},
		{"i-0", b.Started.Add(-time.Second), "", nil},
		{"i-0", time.Time{}, "", nil},
		{"i-1", b.Started.Add(time.Second), "", backend.ErrUnknownServer},
		{"i-2", b.Started.Add(time.Second), "", backend.ErrUnknownServer},
		{"i-1", b.Started, b.Incarnation(), nil},
		{"i-1", time.Time{}, b.Incarnation(), nil},
	} {
		got, err := s.Deregister(c.name, c.started)
		if got != c.want || !errors.Is(err, c.err) {
			t.Errorf("deregistration of %s started at %v: incarnation %q, error %v; want %q, %v", c.name, c.started, got, err, c.want, c.err)
		}
		if s.Leaving() != (c.want != "") {
			t.Errorf("deregistration of %s started at %v: leaving %v, want %v", c.name, c.started, s.Leaving(), c.want != "")
		}
	}
}

// TestAnnouncedServerLeaves guards against a backend server of the project's own protocol
// whose leaving is known to one process of the node alone: with its next announcement it
// would be registered as one that stays.
func TestAnnouncedServerLeaves(t *testing.T) {
	s := backend.New(backend.Config{Clock: &manualClock{}})
	post := func(path, body string) {
		t.Helper()
		w := httptest.NewRecorder()
		s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
		if w.Code != http.StatusOK {
			t.Fatalf("%s: got status %d %s, want 200", path, w.Code, w.Body)
		}
	}
	announce := func(boot string) {
		t.Helper()
		post("/v1/announce", `{"name":"a1","upstream":"desk","address":"127.0.0.1:1","bootId":"`+boot+`","slots":4,"connections":4}`)
	}
	check := func(what string, want bool) {
		t.Helper()
		if got := s.Announced().GetLeaving(); got != want || s.Leaving() != want {
			t.Errorf("%s: announced as leaving %v, leaving %v; want %v", what, got, s.Leaving(), want)
		}
	}
	announce("1")
	check("announced", false)
	post("/v1/leave", `{"name":"a1","bootId":"1"}`)
	check("left", true)
	announce("1")
	check("announced again", true)
	announce("2")
	check("next start", false)
	s.RecordStored(&wirev1.BackendServer{Name: "a1", BootId: "2", Leaving: true})
	check("reported to the earlier process", true)
}
