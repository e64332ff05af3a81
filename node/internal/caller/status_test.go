package caller_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/rs/zerolog"

	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/core/routing"
	"github.com/jujubeknot/jujubeknot/node/internal/caller"
	"github.com/jujubeknot/jujubeknot/node/internal/metrics"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
	"github.com/jujubeknot/jujubeknot/node/internal/view"
	"github.com/jujubeknot/jujubeknot/wire/headers"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// statusRemote is a Remote that relays responses of one status, like a node of an
// earlier version.
type statusRemote struct{ status int }

func (s statusRemote) Do(context.Context, *wirev1.Node, *relay.Call) (*relay.Response, *outcome.Refusal) {
	return relay.NewBufferedResponse(s.status, http.Header{}, []byte("failure")), nil
}

// TestStatusThatCannotBeWritten guards against an invalid status from a node of an
// earlier version that reaches the caller as 200.
func TestStatusThatCannotBeWritten(t *testing.T) {
	table, err := routing.New().With(&wirev1.Update{
		Index: 1, Rules: &wirev1.RulesRevision{Revision: 1, Text: "upstream v unkeyed # a: b\nroute /v/ to v # a: b\n"},
		Nodes: []*wirev1.Node{{Incarnation: 7, Name: "vm-7", PeerAddress: "127.0.0.1:7", BackendServer: &wirev1.BackendServer{Name: "s7", Upstream: "v", Address: "127.0.0.1:70"}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, status := range []int{0, 99, 100, 199, 600, 1000} {
		h := caller.New(caller.Config{
			Log: zerolog.Nop(), Clock: &steppingClock{}, View: view.New(table), Owner: rejectingOwner{t}, Remote: statusRemote{status}, Metrics: metrics.New(), WithoutLease: true,
		})
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v/x", nil))
		if w.Code != http.StatusBadGateway || w.Header().Get(headers.Outcome) != "unknown" {
			t.Errorf("status %d: got %d with outcome %q, want 502 and unknown", status, w.Code, w.Header().Get(headers.Outcome))
		}
	}
}
