package peer_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/core/routing"
	"github.com/jujubeknot/jujubeknot/node/internal/peer"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
	"github.com/jujubeknot/jujubeknot/node/internal/view"
	"github.com/jujubeknot/jujubeknot/wire/boottime"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// TestCallsBehindFullQueueEnd guards against calls that wait beyond their deadline, or
// for a caller that has left, while a node does not read what is queued for it.
func TestCallsBehindFullQueueEnd(t *testing.T) {
	const calls, callTime = 4000, 1200 * time.Millisecond
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	for name, leaves := range map[string]bool{"deadline": false, "caller left": true} {
		t.Run(name, func(t *testing.T) {
			client := peer.NewClient(peer.ClientConfig{Clock: boottime.Clock{}, View: view.New(routing.New())})
			defer client.Close()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			left := time.Minute
			if leaves {
				time.AfterFunc(callTime, cancel)
			} else {
				left = callTime
			}
			body := make([]byte, 6<<10)
			began, ended := time.Now(), make(chan struct{})
			var group sync.WaitGroup
			var mu sync.Mutex
			reasons := map[outcome.Reason]int{}
			for i := range calls {
				if i%50 == 0 {
					// Calls that wake together do not find the queue full.
					time.Sleep(5 * time.Millisecond)
				}
				group.Go(func() {
					_, refusal := client.Do(ctx, &wirev1.Node{Incarnation: 2, PeerAddress: l.Addr().String()}, &relay.Call{
						ID: "id", Sending: fmt.Sprint("sending", i), Upstream: "u", Idempotent: true, Method: "POST", URI: "/", Host: "h",
						Header: http.Header{}, Body: &relay.Body{Buffered: body}, Deadline: boottime.Clock{}.Now().Add(left),
					})
					mu.Lock()
					defer mu.Unlock()
					if refusal != nil && refusal.Outcome == outcome.OutcomeNotRun {
						reasons[refusal.Reason]++
					}
				})
			}
			go func() {
				group.Wait()
				close(ended)
			}()
			select {
			case <-ended:
			case <-time.After(4 * callTime):
				t.Fatalf("calls still wait %v after the first", time.Since(began))
			}
			want := outcome.ReasonDeadline
			if leaves {
				want = outcome.ReasonCancelled
			}
			if reasons[want] == 0 || len(reasons) > 1 {
				t.Errorf("calls that were not sent: got %v, want only reason %s", reasons, want)
			}
		})
	}
}
