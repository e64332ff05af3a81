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

// nowhere stands for owners that no request may reach.
type nowhere struct{ t *testing.T }

func (n nowhere) Do(context.Context, *relay.Call) (*relay.Answer, *outcome.Refusal) {
	n.t.Error("a request was sent")
	return nil, relay.NotRun(outcome.ReasonUnreachable)
}

type remote struct{ nowhere }

func (r remote) Do(ctx context.Context, _ *wirev1.Node, c *relay.Call) (*relay.Answer, *outcome.Refusal) {
	return r.nowhere.Do(ctx, c)
}

// TestPressureRefusesCallers guards against an entry node that goes on taking
// requests while its processor is overloaded, and against nested calls that
// are refused together with the requests that wait for them.
func TestPressureRefusesCallers(t *testing.T) {
	table, err := routing.New().With(&wirev1.Update{Index: 1, Rules: &wirev1.RulesRevision{
		Revision: 1, Text: "upstream u keyed # a: b\nroute /u/ to u key=segment:2 # a: b\n",
	}})
	if err != nil {
		t.Fatal(err)
	}
	p := pressure.New()
	h := caller.New(caller.Config{
		Log: zerolog.Nop(), Clock: boottime.Clock{}, View: view.New(table), Owner: nowhere{t}, Remote: remote{nowhere{t}},
		Metrics: metrics.New(), Pressure: p,
	})
	ask := func(depth string) *httptest.ResponseRecorder {
		r := httptest.NewRequest(http.MethodGet, "/u/k", nil)
		r.RemoteAddr = "127.0.0.1:1"
		// The node has no lease, so that a request which is taken ends with its
		// deadline.
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
		p.Enter()
	}
	w := ask("")
	if w.Header().Get(headers.Outcome) != "notRun" || !strings.Contains(w.Body.String(), `"processorBusy"`) || w.Header().Get("Retry-After") == "" {
		t.Errorf("over the limit: %v %s", w.Header(), w.Body)
	}
	if w := ask("1"); !strings.Contains(w.Body.String(), `"noLease"`) {
		t.Errorf("nested call: %s", w.Body)
	}
	p.Leave()
	if w := ask(""); !strings.Contains(w.Body.String(), `"noLease"`) {
		t.Errorf("under the limit: %s", w.Body)
	}
	if _, inFlight := p.Limit(); inFlight != limit-1 {
		t.Errorf("%d in flight, want %d", inFlight, limit-1)
	}
}
