package peer_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/node/internal/peer"
	"github.com/jujubeknot/jujubeknot/node/internal/pressure"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
	"github.com/jujubeknot/jujubeknot/wire/boottime"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// framedCall returns the payload of a call frame without a body.
func framedCall(t testing.TB, h http.Header) []byte {
	b, err := peer.AppendFramedCall(nil, &relay.Call{ID: "a", Sending: "b", Upstream: "u", Method: "GET", URI: "/", Host: "h", Header: h}, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	return append(binary.AppendUvarint(nil, uint64(len(b))), b...)
}

// framedAnswer returns the payload of an answer frame with the body "ok".
func framedAnswer(t testing.TB) []byte {
	b, err := peer.AppendFramedAnswer(nil, &relay.Response{Status: 200, Length: 2}, "s", 0)
	if err != nil {
		t.Fatal(err)
	}
	return append(append(binary.AppendUvarint(nil, uint64(len(b))), b...), "ok"...)
}

// TestUnauthenticatedCallsAreRefused guards against calls on framed connections from
// senders that are not registered, send a wrong secret or send no hello frame.
func TestUnauthenticatedCallsAreRefused(t *testing.T) {
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
			t.Fatalf("%+v: frame header %v, error %v, want a refusal", c, head, err)
		}
		payload := make([]byte, binary.BigEndian.Uint32(head))
		if _, err := io.ReadFull(nc, payload); err != nil {
			t.Fatal(err)
		}
		if r, err := peer.DecodeRefusal(payload); err != nil || r.Outcome != outcome.OutcomeNotRun || r.Reason != c.reason {
			t.Errorf("%+v: refusal %+v, error %v, want notRun for this reason", c, r, err)
		}
		_ = nc.Close()
	}
	if ran.Load() != 1 {
		t.Errorf("%d calls ran, want that of the registered sender only", ran.Load())
	}
}

// endlessBody is a body without end that counts the bytes read from it.
type endlessBody struct{ read atomic.Int64 }

func (c *endlessBody) Read(p []byte) (int, error) {
	c.read.Add(int64(len(p)))
	return len(p), nil
}

func (*endlessBody) Close() error { return nil }

// TestStreamedAnswerIsBounded guards against four failures: an answer that fills the
// memory of the entry node because its caller does not read, other calls that wait
// for that answer, a body that is still sent after its reader has closed it, and
// header values that are lost because they are not UTF-8.
func TestStreamedAnswerIsBounded(t *testing.T) {
	body, gone := &endlessBody{}, make(chan struct{})
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
			t.Fatalf("answer %q with header %v, want \"short\" and the header values of the call", kept, a.Header)
		}
	}
	// One buffer may have been read from the body beyond the window.
	if most := int64(peer.StreamWindow + 64<<10); body.read.Load() > most {
		t.Errorf("%d bytes were sent to a caller who reads nothing, want at most %d", body.read.Load(), most)
	}
	// This is far more than the windows, so they must be updated after reads.
	if _, err := io.CopyN(io.Discard, long.Body, 40<<20); err != nil {
		t.Fatal(err)
	}
	_ = long.Body.Close()
	<-gone
}

// TestCallWithoutItsBodyHasNotRun guards against the outcome unknown for a call whose
// owner never received the whole body: callers may not send a non-idempotent request
// again then. It also guards against notRun for a call whose body was sent.
func TestCallWithoutItsBodyHasNotRun(t *testing.T) {
	for name, c := range map[string]struct {
		reads int64
		want  outcome.Outcome
	}{
		"nothing": {0, outcome.OutcomeNotRun}, "a part": {10_000, outcome.OutcomeNotRun}, "all": {1 << 30, outcome.OutcomeUnknown},
	} {
		received := make(chan struct{})
		n := start(t, func(ctx context.Context, call *relay.Call) (*relay.Response, *outcome.Refusal) {
			_, _ = io.Copy(io.Discard, io.LimitReader(call.Body.Rest, c.reads))
			close(received)
			<-ctx.Done()
			return nil, relay.Unknown(outcome.ReasonCancelled)
		})
		const size = relay.MaxWholeBodyBytes
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-received
			cancel()
		}()
		_, refusal := n.client.Do(ctx, n.node, &relay.Call{
			ID: "id", Sending: "sending", Upstream: "u", Method: "POST", URI: "/", Host: "h", Deadline: boottime.Clock{}.Now().Add(time.Minute),
			Body: &relay.Body{Rest: bytes.NewReader(make([]byte, size)), Length: size, Abort: func() {}},
		})
		if refusal == nil || refusal.Outcome != c.want {
			t.Errorf("%s received: refusal %+v, want %v", name, refusal, c.want)
		}
	}
}

// TestPanicFailsOnlyItsCall guards against a panic in one call that ends the node, or
// that is reported with the outcome notRun.
func TestPanicFailsOnlyItsCall(t *testing.T) {
	n := start(t, func(_ context.Context, c *relay.Call) (*relay.Response, *outcome.Refusal) {
		if c.URI == "/panic" {
			panic("test")
		}
		return relay.NewBufferedResponse(200, nil, nil), nil
	})
	if _, refusal := n.do(t.Context(), "/panic"); refusal == nil || refusal.Outcome != outcome.OutcomeUnknown {
		t.Errorf("refusal %+v, want the outcome unknown", refusal)
	}
	if _, refusal := n.do(t.Context(), "/"); refusal != nil {
		t.Errorf("next call: refusal %+v, want an answer", refusal)
	}
}

// TestOverloadRefusesCalls guards against a node that accepts calls of other nodes
// while its processor is overloaded, and against nested calls that are refused at the
// same limit as the calls that wait for them.
func TestOverloadRefusesCalls(t *testing.T) {
	n := start(t, func(context.Context, *relay.Call) (*relay.Response, *outcome.Refusal) {
		return relay.NewBufferedResponse(200, nil, nil), nil
	})
	p := n.handler.Pressure
	p.Observe(time.Minute)
	limit, _ := p.Limit()
	for range limit {
		p.Begin()
	}
	_, refusal := n.do(t.Context(), "/")
	if refusal == nil || refusal.Outcome != outcome.OutcomeNotRun || refusal.Reason != outcome.ReasonProcessorBusy || refusal.RetryAfter == 0 {
		t.Errorf("refusal %+v, want notRun, processorBusy and a retry delay", refusal)
	}
	if p.Overloaded(1) {
		t.Error("nested calls are refused at the limit, want them accepted")
	}
	// A call counts until its response was sent, which may be after the caller has it.
	waitInFlight(t, p, limit)
	p.End()
	if _, refusal := n.do(t.Context(), "/"); refusal != nil {
		t.Errorf("call under the limit: refusal %+v, want an answer", refusal)
	}
	waitInFlight(t, p, limit-1)
}

// waitInFlight waits until a number of calls is in flight.
func waitInFlight(t *testing.T, p *pressure.Monitor, want int64) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		_, inFlight := p.Limit()
		if inFlight == want {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d calls in flight, want %d", inFlight, want)
		}
	}
}

// TestShutdownCompletesCallsInFlight guards against a graceful stop that aborts calls
// in flight, or that never returns because connections stay open.
func TestShutdownCompletesCallsInFlight(t *testing.T) {
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
		t.Fatalf("Shutdown returned %v with a call in flight, want it to wait", err)
	default:
	}
	close(finish)
	if refusal := <-refused; refusal != nil {
		t.Errorf("call in flight: refusal %+v, want an answer", refusal)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// TestShutdownDoesNotWaitForLostNodes guards against a Shutdown that lasts until its
// context ends because a lost node, such as one whose VM has no power, never confirms
// that no call follows.
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
	// The server has registered the connection once its call is answered.
	if _, err := lost.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	if err := n.server.Shutdown(ctx); err != nil {
		t.Errorf("Shutdown with a lost node: error %v, want none", err)
	}
}

// frameOf returns an encoded frame.
func frameOf(kind byte, stream uint32, payload []byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(len(payload)))
	b = binary.BigEndian.AppendUint32(append(b, kind), stream)
	return append(b, payload...)
}

// TestOversizedFrameClosesConnection guards against memory that is allocated for any
// length that a frame header states.
func TestOversizedFrameClosesConnection(t *testing.T) {
	n := start(t, nil)
	nc, err := net.Dial("tcp", n.node.GetPeerAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = nc.Close() }()
	b := append([]byte(peer.Preface), 0, 0, 0, 0, peer.FrameCall, 0, 0, 0, 1)
	binary.BigEndian.PutUint32(b[len(peer.Preface):], peer.MaxFrameBytes+1)
	// The write fails if the server has already closed the connection.
	_, _ = nc.Write(append(b, make([]byte, peer.MaxFrameBytes+1)...))
	if got, _ := io.ReadAll(nc); len(got) > 0 {
		t.Errorf("oversized frame was answered with % x, want a closed connection", got)
	}
}

// TestTruncatedFramedAnswerIsMalformed guards against a truncated answer that is
// accepted as complete.
func TestTruncatedFramedAnswerIsMalformed(t *testing.T) {
	complete := framedAnswer(t)
	if a, sending, err := peer.DecodeFramedAnswer(complete); err != nil || a.Status != 200 || sending != "s" {
		t.Fatalf("complete answer: %+v, request id %q, error %v; want status 200 and request id \"s\"", a, sending, err)
	}
	for n := range complete {
		if a, _, err := peer.DecodeFramedAnswer(complete[:n]); err == nil {
			t.Errorf("answer truncated to %d bytes was decoded to %+v, want an error", n, a)
		}
	}
}

// FuzzFrames guards against payloads that crash a node, or that are decoded to a call
// or an answer although bytes are missing or left over.
func FuzzFrames(f *testing.F) {
	f.Add(framedCall(f, http.Header{"A": {"b"}}))
	complete := framedAnswer(f)
	f.Add(complete)
	f.Add(complete[:len(complete)-1])
	f.Add([]byte{255, 255, 255, 255, 255, 255, 255, 255, 255, 1})
	f.Fuzz(func(t *testing.T, payload []byte) {
		given := bytes.Clone(payload)
		now := time.Unix(1000, 0)
		if c, err := peer.DecodeFramedCall(payload, now); err == nil {
			if c.Method == "" || c.URI == "" || c.Deadline.Before(now) || !bytes.HasSuffix(given, c.Body.Buffered) {
				t.Errorf("% x decoded to the invalid call %+v", given, c)
			}
		}
		if a, _, err := peer.DecodeFramedAnswer(payload); err == nil {
			if kept, ok := a.BufferedBody(); ok && (int64(len(kept)) != a.Length || !bytes.HasSuffix(given, kept)) {
				t.Errorf("% x decoded to the invalid answer %+v", given, a)
			}
		}
		if r, err := peer.DecodeRefusal(payload); err == nil && (r.Reason == "" || r.RetryAfter < 0) {
			t.Errorf("% x decoded to the invalid refusal %+v", given, r)
		}
	})
}
