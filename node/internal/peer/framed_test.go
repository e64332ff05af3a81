package peer_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/core/routing"
	"github.com/jujubeknot/jujubeknot/node/internal/peer"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
	"github.com/jujubeknot/jujubeknot/node/internal/view"
	"github.com/jujubeknot/jujubeknot/wire/boottime"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// fakeOwner answers calls with a function.
type fakeOwner func(context.Context, *relay.Call) (*relay.Response, *outcome.Refusal)

func (f fakeOwner) Do(ctx context.Context, c *relay.Call) (*relay.Response, *outcome.Refusal) {
	return f(ctx, c)
}

func (fakeOwner) Settle(string) outcome.SettleAnswer {
	return outcome.SettleAnswer{State: outcome.SettleUnknown}
}

// nodes are a client with incarnation 1 and a server that knows it.
type nodes struct {
	handler *peer.Handler
	client  *peer.Client
	server  *peer.Server
	node    *wirev1.Node
}

func start(t testing.TB, owner fakeOwner) *nodes {
	entry := &wirev1.Node{Incarnation: 1, Name: "entry", PeerSecret: "secret"}
	table, err := routing.New().With(&wirev1.Update{Index: 1, Nodes: []*wirev1.Node{entry}})
	if err != nil {
		t.Fatal(err)
	}
	v := view.New(table)
	v.SetIdentity(view.Identity{Incarnation: 1, Secret: "secret"})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &peer.Handler{Log: zerolog.Nop(), Clock: boottime.Clock{}, View: v, Owner: owner}
	n := &nodes{h, peer.NewClient(peer.ClientConfig{Clock: boottime.Clock{}, View: v}), peer.NewServer(h, nil), &wirev1.Node{Incarnation: 2, PeerAddress: l.Addr().String()}}
	served := make(chan error, 1)
	go func() { served <- n.server.Serve(l) }()
	t.Cleanup(func() {
		n.client.Close()
		_ = n.server.Close()
		if err := <-served; !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("server ended with %v", err)
		}
	})
	return n
}

func (n *nodes) do(ctx context.Context, path string) (*relay.Response, *outcome.Refusal) {
	return n.client.Do(ctx, n.node, &relay.Call{
		ID: "id", Sending: "sending" + path, Upstream: "u", Idempotent: true, Method: "GET", URI: path, Host: "h", Body: &relay.Body{},
		Header: http.Header{"X-Kept": {"1", "2", "K\xf8benhavn"}}, Deadline: boottime.Clock{}.Now().Add(time.Minute),
	})
}

// framedCall is the payload of a call without a body.
func framedCall(t testing.TB, h http.Header) []byte {
	b, err := peer.AppendFramedCall(nil, &relay.Call{ID: "a", Sending: "b", Upstream: "u", Method: "GET", URI: "/", Host: "h", Header: h}, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	return append(binary.AppendUvarint(nil, uint64(len(b))), b...)
}

// framedAnswer is the payload of an answer with the body "ok".
func framedAnswer(t testing.TB) []byte {
	b, err := peer.AppendFramedAnswer(nil, &relay.Response{Status: 200, Length: 2}, "s", 0)
	if err != nil {
		t.Fatal(err)
	}
	return append(append(binary.AppendUvarint(nil, uint64(len(b))), b...), "ok"...)
}

// TestFramedStrangersAreRefused guards against calls on framed connections from
// senders that are not registered, show a wrong secret or show nothing.
func TestFramedStrangersAreRefused(t *testing.T) {
	var ran atomic.Int64
	n := start(t, func(context.Context, *relay.Call) (*relay.Response, *outcome.Refusal) {
		ran.Add(1)
		return nil, relay.NotRun(outcome.ReasonShed)
	})
	frame := func(kind byte, stream uint32, payload []byte) []byte {
		b := append(binary.BigEndian.AppendUint32(nil, uint32(len(payload))), kind)
		return append(binary.BigEndian.AppendUint32(b, stream), payload...)
	}
	call := framedCall(t, nil)
	for _, c := range []struct {
		incarnation, secret string
		reason              outcome.Reason
	}{
		{"", "", outcome.ReasonBadRequest},
		{"1", "", outcome.ReasonBadRequest},
		{"1", "guess", outcome.ReasonBadRequest},
		{"9", "secret", outcome.ReasonNoLease},
		{"1", "secret", outcome.ReasonShed},
	} {
		nc, err := net.Dial("tcp", n.node.GetPeerAddress())
		if err != nil {
			t.Fatal(err)
		}
		sent := []byte(peer.Preface)
		if c.incarnation != "" {
			hello, err := peer.AppendMessage(nil, &wirev1.PeerHello{Incarnation: c.incarnation, Secret: c.secret})
			if err != nil {
				t.Fatal(err)
			}
			sent = append(sent, frame(peer.FrameHello, 0, hello)...)
		}
		if _, err := nc.Write(append(sent, frame(peer.FrameCall, 1, call)...)); err != nil {
			t.Fatal(err)
		}
		head := make([]byte, 9)
		if _, err := io.ReadFull(nc, head); err != nil || head[4] != peer.FrameRefusal {
			t.Fatalf("%+v: frame %v, error %v", c, head, err)
		}
		payload := make([]byte, binary.BigEndian.Uint32(head))
		if _, err := io.ReadFull(nc, payload); err != nil {
			t.Fatal(err)
		}
		if r, err := peer.DecodeRefusal(payload); err != nil || r.Outcome != outcome.OutcomeNotRun || r.Reason != c.reason {
			t.Errorf("%+v: refusal %+v, error %v", c, r, err)
		}
		_ = nc.Close()
	}
	if ran.Load() != 1 {
		t.Errorf("%d calls ran, want that of the registered sender only", ran.Load())
	}
}

// counted is an endless body that counts what was read of it.
type counted struct{ read atomic.Int64 }

func (c *counted) Read(p []byte) (int, error) {
	c.read.Add(int64(len(p)))
	return len(p), nil
}

func (*counted) Close() error { return nil }

// TestStreamedAnswerIsBounded guards against an answer that fills the memory of
// the entry node because its caller does not read, against other calls that
// wait for it, against a body whose reader has gone, and against headers that
// are not UTF-8 and do not arrive.
func TestStreamedAnswerIsBounded(t *testing.T) {
	body, gone := &counted{}, make(chan struct{})
	n := start(t, func(ctx context.Context, c *relay.Call) (*relay.Response, *outcome.Refusal) {
		if c.URI != "/endless" {
			return relay.NewBufferedResponse(200, http.Header{"X-Got": c.Header["X-Kept"]}, []byte("short")), nil
		}
		context.AfterFunc(ctx, func() { close(gone) })
		return &relay.Response{Status: 200, Length: -1, Body: body}, nil
	})
	long, refusal := n.do(t.Context(), "/endless")
	if refusal != nil {
		t.Fatal(refusal)
	}
	for range 200 {
		a, refusal := n.do(t.Context(), "/short")
		if refusal != nil {
			t.Fatal(refusal)
		}
		if kept, _ := a.BufferedBody(); string(kept) != "short" || !slices.Equal(a.Header["X-Got"], []string{"1", "2", "K\xf8benhavn"}) {
			t.Fatalf("answer %q with header %v", kept, a.Header)
		}
	}
	// One buffer may have been read that the window does not let pass.
	if most := int64(peer.StreamWindow + 64<<10); body.read.Load() > most {
		t.Errorf("%d bytes were sent to a caller who reads nothing, want at most %d", body.read.Load(), most)
	}
	// Far more than the windows hold: they must grow with what was read.
	if _, err := io.CopyN(io.Discard, long.Body, 40<<20); err != nil {
		t.Fatal(err)
	}
	_ = long.Body.Close()
	<-gone
}

// TestPanicEndsOneCall guards against a fault in one call that ends the node,
// or is taken for a refusal that says notRun.
func TestPanicEndsOneCall(t *testing.T) {
	n := start(t, func(_ context.Context, c *relay.Call) (*relay.Response, *outcome.Refusal) {
		if c.URI == "/panic" {
			panic("test")
		}
		return relay.NewBufferedResponse(200, nil, nil), nil
	})
	if _, refusal := n.do(t.Context(), "/panic"); refusal == nil || refusal.Outcome != outcome.OutcomeUnknown {
		t.Errorf("refusal %+v, want unknown", refusal)
	}
	if _, refusal := n.do(t.Context(), "/"); refusal != nil {
		t.Errorf("the next call: %+v", refusal)
	}
}

// TestPressureRefusesCalls guards against a node that goes on taking calls of
// other nodes while its processor is overloaded, and against nested calls that
// are refused together with those above them.
func TestPressureRefusesCalls(t *testing.T) {
	n := start(t, func(context.Context, *relay.Call) (*relay.Response, *outcome.Refusal) {
		return relay.NewBufferedResponse(200, nil, nil), nil
	})
	p := n.handler.Pressure
	p.Observe(time.Minute)
	limit, _ := p.Limit()
	for range limit {
		p.Enter()
	}
	_, refusal := n.do(t.Context(), "/")
	if refusal == nil || refusal.Outcome != outcome.OutcomeNotRun || refusal.Reason != outcome.ReasonProcessorBusy || refusal.RetryAfter == 0 {
		t.Errorf("refusal %+v, want notRun, processorBusy and when to come again", refusal)
	}
	if p.Over(1) {
		t.Error("nested calls are refused too")
	}
	p.Leave()
	if _, refusal := n.do(t.Context(), "/"); refusal != nil {
		t.Errorf("under the limit: %+v", refusal)
	}
	if _, inFlight := p.Limit(); inFlight != limit-1 {
		t.Errorf("%d in flight, want %d", inFlight, limit-1)
	}
}

// TestShutdownAnswersWhatWasSent guards against a graceful stop that cuts calls
// off, or never ends because connections stay open.
func TestShutdownAnswersWhatWasSent(t *testing.T) {
	began, finish := make(chan struct{}), make(chan struct{})
	n := start(t, func(_ context.Context, c *relay.Call) (*relay.Response, *outcome.Refusal) {
		if c.URI == "/wait" {
			close(began)
			<-finish
		}
		return relay.NewBufferedResponse(200, nil, []byte("done")), nil
	})
	refused := make(chan *outcome.Refusal, 1)
	go func() {
		_, refusal := n.do(context.Background(), "/wait")
		refused <- refusal
	}()
	<-began
	stopped := make(chan error, 1)
	go func() { stopped <- n.server.Shutdown(context.Background()) }()
	// The listener is closed and the connection takes no more calls.
	for {
		if _, refusal := n.do(t.Context(), "/"); refusal != nil && refusal.Reason == outcome.ReasonUnreachable {
			break
		}
	}
	select {
	case err := <-stopped:
		t.Fatalf("stopped with a call in flight: %v", err)
	default:
	}
	close(finish)
	if refusal := <-refused; refusal != nil {
		t.Errorf("the call in flight: %+v", refusal)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// TestShutdownDoesNotWaitForLostNodes guards against a stop that lasts until its
// context ends because a node that was lost, such as one whose VM has no power,
// never says that no call follows.
func TestShutdownDoesNotWaitForLostNodes(t *testing.T) {
	n := start(t, func(context.Context, *relay.Call) (*relay.Response, *outcome.Refusal) {
		return relay.NewBufferedResponse(200, nil, []byte("done")), nil
	})
	lost, err := net.Dial("tcp", n.node.GetPeerAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lost.Close() }()
	hello, err := peer.AppendMessage(nil, &wirev1.PeerHello{Incarnation: "1", Secret: "secret"})
	if err != nil {
		t.Fatal(err)
	}
	opening := append([]byte(peer.Preface), frameOf(peer.FrameHello, 0, hello)...)
	if _, err := lost.Write(append(opening, frameOf(peer.FrameCall, 1, framedCall(t, nil))...)); err != nil {
		t.Fatal(err)
	}
	// The connection is known to the server once its call is answered.
	if _, err := lost.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	if err := n.server.Shutdown(ctx); err != nil {
		t.Errorf("stop with a lost node: %v", err)
	}
}

// frameOf returns a frame as it is sent.
func frameOf(kind byte, stream uint32, payload []byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(len(payload)))
	b = binary.BigEndian.AppendUint32(append(b, kind), stream)
	return append(b, payload...)
}

// TestOversizedFrameEndsTheConnection guards against memory that one length
// field claims.
func TestOversizedFrameEndsTheConnection(t *testing.T) {
	n := start(t, nil)
	nc, err := net.Dial("tcp", n.node.GetPeerAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = nc.Close() }()
	b := append([]byte(peer.Preface), 0, 0, 0, 0, peer.FrameCall, 0, 0, 0, 1)
	binary.BigEndian.PutUint32(b[len(peer.Preface):], peer.MaxFrameBytes+1)
	// The write fails where the connection has ended by then.
	_, _ = nc.Write(append(b, make([]byte, peer.MaxFrameBytes+1)...))
	if got, _ := io.ReadAll(nc); len(got) > 0 {
		t.Errorf("the frame was read and answered with % x", got)
	}
}

// TestShortFramedAnswerIsMalformed guards against a part of a body that is taken
// for the whole.
func TestShortFramedAnswerIsMalformed(t *testing.T) {
	whole := framedAnswer(t)
	if a, sending, err := peer.DecodeFramedAnswer(whole); err != nil || a.Status != 200 || sending != "s" {
		t.Fatalf("whole answer: %+v, %q, %v", a, sending, err)
	}
	for n := range whole {
		if a, _, err := peer.DecodeFramedAnswer(whole[:n]); err == nil {
			t.Errorf("%d bytes were taken for an answer: %+v", n, a)
		}
	}
}

// FuzzFrames guards against payloads that crash a node, or are taken for a call
// or an answer although bytes are missing or left over.
func FuzzFrames(f *testing.F) {
	f.Add(framedCall(f, http.Header{"A": {"b"}}))
	whole := framedAnswer(f)
	f.Add(whole)
	f.Add(whole[:len(whole)-1])
	f.Add([]byte{255, 255, 255, 255, 255, 255, 255, 255, 255, 1})
	f.Fuzz(func(t *testing.T, payload []byte) {
		given := bytes.Clone(payload)
		now := time.Unix(1000, 0)
		if c, err := peer.DecodeFramedCall(payload, now); err == nil {
			if c.Method == "" || c.URI == "" || c.Deadline.Before(now) || !bytes.HasSuffix(given, c.Body.Buffered) {
				t.Errorf("call %+v", c)
			}
		}
		if a, _, err := peer.DecodeFramedAnswer(payload); err == nil {
			if kept, ok := a.BufferedBody(); ok && (int64(len(kept)) != a.Length || !bytes.HasSuffix(given, kept)) {
				t.Errorf("answer %+v", a)
			}
		}
		if r, err := peer.DecodeRefusal(payload); err == nil && (r.Reason == "" || r.RetryAfter < 0) {
			t.Errorf("refusal %+v", r)
		}
	})
}
