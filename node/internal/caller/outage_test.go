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

// steppingClock is a clock that advances by 20 ms each time it is read.
type steppingClock struct{ at atomic.Int64 }

func (c *steppingClock) Now() time.Time { return time.Unix(1000, c.at.Add(int64(20*time.Millisecond))) }

// unreachableRemote is a Remote whose nodes cannot be reached.
type unreachableRemote struct{}

func (unreachableRemote) Do(context.Context, *wirev1.Node, *relay.Call) (*relay.Response, *outcome.Refusal) {
	return nil, relay.NotRun(outcome.ReasonUnreachable)
}

// TestHoldsOnlyShortOutages guards against requests that are held as long as
// possible for a node that has been unreachable for seconds or an upstream that has
// had no server for seconds. It also guards against requests that are refused while
// a node only restarts.
func TestHoldsOnlyShortOutages(t *testing.T) {
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
		clock, counters := &steppingClock{}, metrics.New()
		h := caller.New(caller.Config{
			Log: zerolog.Nop(), Clock: clock, View: view.New(table), Owner: rejectingOwner{t}, Remote: unreachableRemote{}, Metrics: counters, WithoutLease: true,
		})
		// send returns how often the request was held, and the time after which its caller
		// is to retry.
		send := func() (holds int, retryAfter time.Duration) {
			holdCount := func() int {
				n := 0
				if v := counters.Attempts.Get("hold"); v != nil {
					n, _ = strconv.Atoi(v.String())
				}
				return n
			}
			before := holdCount()
			r := httptest.NewRequest(http.MethodGet, path, nil)
			// The request can be held for 400 ms.
			r.Header.Set(headers.Deadline, "1000")
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			if !strings.Contains(w.Body.String(), string(reason)) || w.Header().Get(headers.Outcome) != "notRun" {
				t.Fatalf("%s: got %d %s, want outcome notRun with reason %s", path, w.Code, w.Body, reason)
			}
			ms, err := strconv.Atoi(w.Header().Get(headers.RetryAfterMs))
			if err != nil {
				t.Fatalf("%s: response header %s: %v", path, headers.RetryAfterMs, err)
			}
			return holdCount() - before, time.Duration(ms) * time.Millisecond
		}
		if holds, _ := send(); holds == 0 {
			t.Errorf("%s: request not held at the first failure, want it held", path)
		}
		clock.at.Add(int64(600 * time.Millisecond))
		if holds, _ := send(); holds == 0 {
			t.Errorf("%s: request not held 1 s after the first failure, want it held", path)
		}
		clock.at.Add(int64(3 * time.Second))
		if holds, after := send(); holds > 0 || after < 500*time.Millisecond || after > time.Second {
			t.Errorf("%s: 4 s after the first failure: request held %d times, retry after %v; want no hold and 500 ms to 1 s", path, holds, after)
		}
	}
}
