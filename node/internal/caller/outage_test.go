package caller_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

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

// steps is a clock that advances by 20 ms each time it is read.
type steps struct{ at atomic.Int64 }

func (s *steps) Now() time.Time { return time.Unix(1000, s.at.Add(int64(20*time.Millisecond))) }

// lost is a node that cannot be reached.
type lost struct{}

func (lost) Do(context.Context, *wirev1.Node, *relay.Call) (*relay.Response, *outcome.Refusal) {
	return nil, relay.NotRun(outcome.ReasonUnreachable)
}

// TestLostOwnerIsNotWaitedFor guards against requests that are held as long as they
// can be for a node that has been gone for seconds, or for an upstream that has no
// server, and against requests that are refused while a node only restarts.
func TestLostOwnerIsNotWaitedFor(t *testing.T) {
	table, err := routing.New().With(&wirev1.Update{
		Index: 1, Rules: &wirev1.RulesRevision{Revision: 1, Text: "upstream u keyed partitions=1 # a: b\nupstream v unkeyed # a: b\nroute /u/ to u key=segment:2 # a: b\nroute /v/ to v # a: b\n"},
		Nodes: []*wirev1.Node{
			{Incarnation: 7, Name: "vm-7", PeerAddress: "127.0.0.1:7", BackendServer: &wirev1.BackendServer{Name: "s7", Upstream: "u", Address: "127.0.0.1:70"}},
		},
		Assignments: []*wirev1.Assignment{{Upstream: "u", Partition: 0, Epoch: 1, Owner: 7}},
	})
	if err != nil {
		t.Fatal(err)
	}
	for path, reason := range map[string]outcome.Reason{"/u/k": outcome.ReasonUnreachable, "/v/k": outcome.ReasonNoServer} {
		clock, counts := &steps{}, metrics.New()
		h := caller.New(caller.Config{
			Log: zerolog.Nop(), Clock: clock, View: view.New(table), Owner: nowhere{t}, Remote: lost{}, Metrics: counts, WithoutLease: true,
		})
		// ask returns how often the request was held and when its caller is to return.
		ask := func() (holds int, retryAfter time.Duration) {
			counted := func() int {
				n := 0
				if v := counts.Attempts.Get("hold"); v != nil {
					n, _ = strconv.Atoi(v.String())
				}
				return n
			}
			before := counted()
			r := httptest.NewRequest(http.MethodGet, path, nil)
			// It can be held for 400 ms.
			r.Header.Set(headers.Deadline, "1000")
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			if !strings.Contains(w.Body.String(), string(reason)) || w.Header().Get(headers.Outcome) != "notRun" {
				t.Fatalf("%s: %d %s", path, w.Code, w.Body)
			}
			ms, err := strconv.Atoi(w.Header().Get(headers.RetryAfterMs))
			if err != nil {
				t.Fatalf("%s: Retry-After: %v", path, err)
			}
			return counted() - before, time.Duration(ms) * time.Millisecond
		}
		if holds, _ := ask(); holds == 0 {
			t.Errorf("%s: not held when it is missing for the first time", path)
		}
		clock.at.Add(int64(600 * time.Millisecond))
		if holds, _ := ask(); holds == 0 {
			t.Errorf("%s: not held after a second", path)
		}
		clock.at.Add(int64(3 * time.Second))
		if holds, after := ask(); holds > 0 || after < 500*time.Millisecond || after > time.Second {
			t.Errorf("%s: after 4 s held %d times, told to return after %v", path, holds, after)
		}
	}
}
