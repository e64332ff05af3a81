package peer_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
	"github.com/jujubeknot/jujubeknot/wire/boottime"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// cutLink forwards connections to a node and ends each of them once it has forwarded
// a number of bytes from that node.
type cutLink struct {
	listener net.Listener
	target   string
	limit    int64
}

// newCutLink returns the address of a link to a node.
func newCutLink(t *testing.T, target string, limit int64) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	k := &cutLink{listener: l, target: target, limit: limit}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			go k.forward(near)
		}
	}()
	return l.Addr().String()
}

func (k *cutLink) forward(near net.Conn) {
	defer func() { _ = near.Close() }()
	far, err := net.Dial("tcp", k.target)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	go func() { _, _ = io.Copy(far, near) }()
	_, _ = io.CopyN(near, far, k.limit)
}

// TestLinkCutWithinResponseIsNoAnswer guards against a response that is taken for a
// complete one, or a request that counts as not run, after the connection to the
// owner's node ended within the header or the body of the response.
func TestLinkCutWithinResponseIsNoAnswer(t *testing.T) {
	long := strings.Repeat("y", 300<<10)
	run := func(c *relay.Call) (*relay.Response, *outcome.Refusal) {
		if err := c.Body.Buffer(relay.MaxWholeBodyBytes); err != nil {
			return nil, relay.NotRun(outcome.ReasonCancelled)
		}
		if c.URI == "/long" {
			return &relay.Response{Status: 200, Length: int64(len(long)), Body: io.NopCloser(strings.NewReader(long))}, nil
		}
		return relay.NewBufferedResponse(200, nil, []byte("short")), nil
	}
	for _, k := range []struct {
		name, uri string
		body      int64
		want      string
		// The connection ends after each number of bytes below last that is a
		// multiple of step.
		step, last int64
	}{
		{"short response", "/short", 0, "short", 1, 200},
		{"header of a long response", "/long", 0, long, 1, 200},
		{"body of a long response", "/long", 0, long, 30 << 10, 400 << 10},
		{"response to an upload", "/short", 100 << 10, "short", 1, 500},
	} {
		var complete, started atomic.Int64
		var calls sync.WaitGroup
		for limit := int64(0); limit < k.last; limit += k.step {
			var ran atomic.Bool
			n := start(t, func(_ context.Context, c *relay.Call) (*relay.Response, *outcome.Refusal) {
				ran.Store(true)
				started.Add(1)
				return run(c)
			})
			to := &wirev1.Node{Incarnation: 2, PeerAddress: newCutLink(t, n.node.GetPeerAddress(), limit)}
			c := &relay.Call{ID: "id", Sending: "sending", Upstream: "u", Method: "POST", URI: k.uri, Host: "h", Deadline: boottime.Clock{}.Now().Add(time.Second), Body: &relay.Body{}}
			if k.body > 0 {
				c.Body = &relay.Body{Rest: bytes.NewReader(make([]byte, k.body)), Length: k.body, Abort: func() {}}
			}
			calls.Go(func() {
				answer, refusal := n.client.Do(t.Context(), to, c)
				if answer == nil {
					if k.body == 0 && refusal.Outcome != outcome.OutcomeUnknown && ran.Load() {
						t.Errorf("%s, cut after %d bytes: refusal %+v, want the outcome unknown", k.name, limit, refusal)
					}
					return
				}
				defer func() { _ = answer.Body.Close() }()
				got, err := io.ReadAll(answer.Body)
				if err != nil {
					return
				}
				complete.Add(1)
				if string(got) != k.want {
					t.Errorf("%s, cut after %d bytes: complete response with %d bytes, want %d or an error", k.name, limit, len(got), len(k.want))
				}
			})
		}
		calls.Wait()
		// A call may find its connection ended before it was sent, and has not run then.
		if got, all := started.Load(), (k.last+k.step-1)/k.step; got < all/2 {
			t.Errorf("%s: %d of %d calls reached the owner, want at least half", k.name, got, all)
		}
		// The header of a long response always ends before its body is complete.
		if none := k.last < int64(len(k.want)); (complete.Load() == 0) != none {
			t.Errorf("%s: %d of the responses were complete, want none: %v", k.name, complete.Load(), none)
		}
	}
}
