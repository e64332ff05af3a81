package caller_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/core/routing"
	"github.com/jujubeknot/jujubeknot/node/internal/caller"
	"github.com/jujubeknot/jujubeknot/node/internal/metrics"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
	"github.com/jujubeknot/jujubeknot/node/internal/view"
	"github.com/jujubeknot/jujubeknot/wire/boottime"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// secondSlowRemote is a Remote whose first call of a request is shed. The second one ends
// with its context, and the third one is answered.
type secondSlowRemote struct {
	mu   sync.Mutex
	sent []uint64
}

func (r *secondSlowRemote) Do(ctx context.Context, to *wirev1.Node, _ *relay.Call) (*relay.Response, *outcome.Refusal) {
	r.mu.Lock()
	r.sent = append(r.sent, to.GetIncarnation())
	n := len(r.sent)
	r.mu.Unlock()
	switch n {
	case 1:
		return nil, relay.NotRun(outcome.ReasonShed)
	case 2:
		select {
		case <-ctx.Done():
			return nil, relay.Unknown(outcome.ReasonCancelled)
		case <-time.After(30 * time.Millisecond):
		}
	}
	return &relay.Response{Status: http.StatusOK, Header: http.Header{}, Body: http.NoBody}, nil
}

// TestHedgeGoesToUntriedNode guards against a hedged request to a node that has already
// refused the request.
func TestHedgeGoesToUntriedNode(t *testing.T) {
	update := &wirev1.Update{Index: 1, Rules: &wirev1.RulesRevision{
		Revision: 1, Text: "upstream v unkeyed # a: b\nroute /v/ to v # a: b\nhedge v budget=20% after=1ms # a: b\n",
	}}
	for i := range uint64(3) {
		name := string(rune('a' + i))
		update.Nodes = append(update.Nodes, &wirev1.Node{
			Incarnation: 7 + i, Name: "vm-" + name, PeerAddress: fmt.Sprintf("127.0.0.1:%d", 7+i), BackendServer: &wirev1.BackendServer{Name: name, Upstream: "v", Address: "127.0.0.1:70"},
		})
	}
	for nodes := 3; nodes >= 2; nodes-- {
		update.Nodes = update.Nodes[:nodes]
		table, err := routing.New().With(update)
		if err != nil {
			t.Fatal(err)
		}
		hedged := 0
		for range 30 {
			remote := &secondSlowRemote{}
			h := caller.New(caller.Config{
				Log: zerolog.Nop(), Clock: boottime.Clock{}, View: view.New(table), Owner: rejectingOwner{t}, Remote: remote, Metrics: metrics.New(), WithoutLease: true,
			})
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v/k", strings.NewReader("")))
			remote.mu.Lock()
			sent := slices.Clone(remote.sent)
			remote.mu.Unlock()
			if w.Code != http.StatusOK || len(sent) < 2 {
				t.Fatalf("%d nodes: got %d %s after %v", nodes, w.Code, w.Body, sent)
			}
			if len(sent) > 2 {
				hedged++
			}
			slices.Sort(sent)
			if distinct := slices.Compact(slices.Clone(sent)); len(distinct) < len(sent) {
				t.Errorf("%d nodes: one request was sent to %v, want each node at most once", nodes, sent)
			}
		}
		t.Logf("%d nodes: %d of 30 requests were hedged", nodes, hedged)
		if nodes == 3 && hedged == 0 {
			t.Error("no request was hedged although a node had not been tried")
		}
	}
}
