package caller_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/core/routing"
	"github.com/jujubeknot/jujubeknot/node/internal/caller"
	"github.com/jujubeknot/jujubeknot/node/internal/metrics"
	"github.com/jujubeknot/jujubeknot/node/internal/pressure"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
	"github.com/jujubeknot/jujubeknot/node/internal/view"
	"github.com/jujubeknot/jujubeknot/wire/boottime"
	"github.com/jujubeknot/jujubeknot/wire/headers"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// rejectingOwner is an owner that no request may reach.
type rejectingOwner struct{ t *testing.T }

func (o rejectingOwner) Do(context.Context, *relay.Call) (*relay.Response, *outcome.Refusal) {
	o.t.Error("a request was sent, want none")
	return nil, relay.NotRun(outcome.ReasonUnreachable)
}

type rejectingRemote struct{ rejectingOwner }

func (r rejectingRemote) Do(ctx context.Context, _ *wirev1.Node, c *relay.Call) (*relay.Response, *outcome.Refusal) {
	return r.rejectingOwner.Do(ctx, c)
}

// TestPressureRefusesCallers guards against an entry node that accepts requests
// while its processor is overloaded, and against nested calls that are refused
// together with the requests that wait for them.
func TestPressureRefusesCallers(t *testing.T) {
	table, err := routing.New().With(&wirev1.Update{Index: 1, Rules: &wirev1.RulesRevision{
		Revision: 1, Text: "upstream u keyed # a: b\nroute /u/ to u key=segment:2 # a: b\n",
	}})
	if err != nil {
		t.Fatal(err)
	}
	p := pressure.New()
	h := caller.New(caller.Config{
		Log: zerolog.Nop(), Clock: boottime.Clock{}, View: view.New(table), Owner: rejectingOwner{t}, Remote: rejectingRemote{rejectingOwner{t}},
		Metrics: metrics.New(), Pressure: p,
	})
	send := func(depth string) *httptest.ResponseRecorder {
		r := httptest.NewRequest(http.MethodGet, "/u/k", nil)
		r.RemoteAddr = "127.0.0.1:1"
		// The node has no lease, so that a request that is accepted ends at its deadline.
		r.Header.Set(headers.Deadline, "1")
		if depth != "" {
			r.Header.Set(headers.Depth, depth)
		}
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		return w
	}
	p.Observe(time.Minute)
	limit, _ := p.Limit()
	for range limit {
		p.Begin()
	}
	w := send("")
	if w.Header().Get(headers.Outcome) != "notRun" || !strings.Contains(w.Body.String(), `"processorBusy"`) || w.Header().Get("Retry-After") == "" {
		t.Errorf("above the limit: got %v %s, want outcome notRun with reason processorBusy and Retry-After", w.Header(), w.Body)
	}
	if w := send("1"); !strings.Contains(w.Body.String(), `"noLease"`) {
		t.Errorf("nested call above the limit: got %s, want reason noLease", w.Body)
	}
	p.End()
	if w := send(""); !strings.Contains(w.Body.String(), `"noLease"`) {
		t.Errorf("below the limit: got %s, want reason noLease", w.Body)
	}
	if _, inFlight := p.Limit(); inFlight != limit-1 {
		t.Errorf("%d requests in flight, want %d", inFlight, limit-1)
	}
}

// TestDisconnectedCallerIsNotForwarded guards against requests that are sent to
// other nodes although their connection has closed by the time they are routed.
func TestDisconnectedCallerIsNotForwarded(t *testing.T) {
	table, err := routing.New().With(&wirev1.Update{
		Index: 1, Rules: &wirev1.RulesRevision{Revision: 1, Text: "upstream u keyed partitions=1 # a: b\nupstream v unkeyed # a: b\nroute /u/ to u key=segment:2 # a: b\nroute /v/ to v # a: b\n"},
		Nodes: []*wirev1.Node{
			{Incarnation: 7, Name: "vm-7", PeerAddress: "127.0.0.1:7", BackendServer: &wirev1.BackendServer{Name: "s7", Upstream: "u", Address: "127.0.0.1:70"}},
			{Incarnation: 8, Name: "vm-8", PeerAddress: "127.0.0.1:8", BackendServer: &wirev1.BackendServer{Name: "s8", Upstream: "v", Address: "127.0.0.1:80"}},
		},
		Assignments: []*wirev1.Assignment{{Upstream: "u", Partition: 0, Epoch: 1, Owner: 7}},
	})
	if err != nil {
		t.Fatal(err)
	}
	h := caller.New(caller.Config{
		Log: zerolog.Nop(), Clock: boottime.Clock{}, View: view.New(table), Owner: rejectingOwner{t}, Remote: rejectingRemote{rejectingOwner{t}},
		Metrics: metrics.New(), WithoutLease: true,
	})
	for _, path := range []string{"/u/k", "/v/k"} {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil).WithContext(ctx))
		if !strings.Contains(w.Body.String(), `"cancelled"`) || w.Header().Get(headers.Outcome) != "notRun" {
			t.Errorf("%s: got %d %v %s, want outcome notRun with reason cancelled", path, w.Code, w.Header(), w.Body)
		}
	}
}
