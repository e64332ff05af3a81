package member_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/jujubeknot/jujubeknot/control/internal/member"
	"github.com/jujubeknot/jujubeknot/wire/headers"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
	"github.com/jujubeknot/jujubeknot/wire/v1/wirev1connect"
)

// endpoint is a transport with a server on loopback and its received messages.
type endpoint struct {
	*member.Transport
	server   *httptest.Server
	received chan *wirev1.RaftMessage
	// largestRequest is the largest encoded size of the messages of one request.
	largestRequest atomic.Int64
}

func (s *endpoint) address() string {
	return s.server.Listener.Addr().String()
}

func newEndpoint(t testing.TB, group, secret string) *endpoint {
	s := &endpoint{received: make(chan *wirev1.RaftMessage, 1000)}
	s.server = httptest.NewUnstartedServer(nil)
	transport, err := member.New(member.Config{
		GroupID: group, Secret: secret, Address: s.server.Listener.Addr().String(), Logger: zerolog.Nop(), OperatorAddress: "10.0.0.7:7102",
		Receive: func(messages []*wirev1.RaftMessage) {
			size := proto.Size(&wirev1.StepRequest{Messages: messages})
			s.largestRequest.Store(max(s.largestRequest.Load(), int64(size)))
			for _, m := range messages {
				s.received <- m
			}
		},
		HandleForm: func(*wirev1.FormRequest) (*wirev1.FormResponse, error) { return &wirev1.FormResponse{Id: 7}, nil },
	})
	if err != nil {
		t.Fatal(err)
	}
	s.Transport = transport
	path, handler := transport.Handler()
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	protocols.SetHTTP1(true)
	s.server.Config.Handler, s.server.Config.Protocols = mux, protocols
	s.server.Start()
	t.Cleanup(func() {
		transport.Close()
		s.server.Close()
	})
	return s
}

func heartbeat(from, to, round uint64) *wirev1.RaftMessage {
	return &wirev1.RaftMessage{Kind: wirev1.RaftMessage_KIND_HEARTBEAT, From: from, To: to, Term: 1, Round: round}
}

// TestMessagesArriveInOrder guards against messages that are lost, changed or
// reordered on a working network. It also guards against a sender that the
// receiver cannot answer because it is not in the membership, and against a
// receiver that does not know the sender's operator address when it handles the
// message.
func TestMessagesArriveInOrder(t *testing.T) {
	a, b := newEndpoint(t, "g", "s"), newEndpoint(t, "g", "s")
	a.SetMembers([]*wirev1.Member{{Id: 2, Address: b.address()}})
	for i := range uint64(100) {
		a.Send(heartbeat(1, 2, i))
	}
	for i := range uint64(100) {
		if m := <-b.received; !proto.Equal(m, heartbeat(1, 2, i)) {
			t.Fatalf("message %d: got %v, want %v", i, m, heartbeat(1, 2, i))
		}
		if got := b.OperatorAddress(1); got != "10.0.0.7:7102" {
			t.Fatalf("operator address after message %d: got %q, want the sender's", i, got)
		}
	}
	b.Send(heartbeat(2, 1, 5))
	if m := <-a.received; m.Round != 5 {
		t.Fatalf("answer: got %v, want round 5", m)
	}
	// Snapshots have their own queue. This one needs several HTTP/2 frames.
	snapshot := &wirev1.RaftMessage{Kind: wirev1.RaftMessage_KIND_SNAPSHOT, From: 1, To: 2, Snapshot: &wirev1.Snapshot{Data: make([]byte, 20<<20)}}
	a.Send(snapshot)
	if m := <-b.received; len(m.Snapshot.GetData()) != 20<<20 {
		t.Fatalf("snapshot: got %d bytes, want all", len(m.Snapshot.GetData()))
	}
}

// TestLargeEntriesAreSentInSeveralRequests guards against one request with all
// large entries that a member lacks, which is encoded and read as a whole and
// takes longer than the time-out of a request.
func TestLargeEntriesAreSentInSeveralRequests(t *testing.T) {
	const count, limit = 30, 6 << 20
	a, b := newEndpoint(t, "g", "s"), newEndpoint(t, "g", "s")
	a.SetMembers([]*wirev1.Member{{Id: 2, Address: b.address()}})
	data := make([]byte, 1<<20)
	for i := range uint64(count) {
		a.Send(&wirev1.RaftMessage{Kind: wirev1.RaftMessage_KIND_APPEND, From: 1, To: 2, LogIndex: i, Entries: []*wirev1.Entry{{Index: i + 1, Data: data}}})
	}
	for i := range uint64(count) {
		if m := <-b.received; m.LogIndex != i {
			t.Fatalf("message %d: got the entry after %d", i, m.LogIndex)
		}
	}
	if size := b.largestRequest.Load(); size > limit {
		t.Errorf("the largest request has %d bytes, want at most %d", size, limit)
	}
}

// TestUnauthorizedRequestsAreRefused guards against messages of other processes
// or of members of another group that are handled as those of a member.
func TestUnauthorizedRequestsAreRefused(t *testing.T) {
	b := newEndpoint(t, "g", "secret")
	for _, c := range []struct {
		group, secret string
		want          connect.Code
	}{
		{"g", "other", connect.CodePermissionDenied},
		{"g", "secret2", connect.CodePermissionDenied},
		{"h", "secret", connect.CodePermissionDenied},
		{"g", "secret", 0},
	} {
		a := newEndpoint(t, c.group, c.secret)
		response, err := a.Form(t.Context(), b.address(), &wirev1.FormRequest{From: 1})
		if c.want == 0 {
			if err != nil || response.Id != 7 {
				t.Errorf("request of a member: got %v, %v, want id 7", response, err)
			}
			continue
		}
		if connect.CodeOf(err) != c.want {
			t.Errorf("group %q with secret %q: got %v, want %v", c.group, c.secret, err, c.want)
		}
	}
	client := wirev1connect.NewMemberServiceClient(http.DefaultClient, "http://"+b.address())
	_, err := client.Step(t.Context(), connect.NewRequest(&wirev1.StepRequest{GroupId: "g", Messages: []*wirev1.RaftMessage{heartbeat(1, 2, 1)}}))
	if connect.CodeOf(err) != connect.CodePermissionDenied {
		t.Errorf("request without secret: got %v, want permission denied", err)
	}
	if len(b.received) != 0 {
		t.Errorf("got %d messages of unauthorized senders, want 0", len(b.received))
	}
}

// TestUnreachableMemberBlocksNoOtherMember guards against a full queue that
// blocks the sender, and against one unreachable member that delays messages to
// another.
func TestUnreachableMemberBlocksNoOtherMember(t *testing.T) {
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer unresponsive.Close()
	a, b := newEndpoint(t, "g", "s"), newEndpoint(t, "g", "s")
	a.SetMembers([]*wirev1.Member{{Id: 2, Address: b.address()}, {Id: 3, Address: unresponsive.Addr().String()}})
	// These are enough messages that a sender that waits for room in the queue
	// exceeds any test timeout.
	for i := range uint64(100_000) {
		a.Send(heartbeat(1, 3, i))
	}
	a.Send(heartbeat(1, 2, 9))
	if m := <-b.received; m.Round != 9 {
		t.Fatalf("got %v, want round 9", m)
	}
}

// TestHalfOpenConnectionIsReplaced guards against a half-open connection that
// stays in use: messages must be sent on a new connection.
func TestHalfOpenConnectionIsReplaced(t *testing.T) {
	b := newEndpoint(t, "g", "s")
	proxyListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer proxyListener.Close()
	stalled := make(chan struct{})
	go forward(proxyListener, b.address(), stalled)
	a := newEndpoint(t, "g", "s")
	a.SetMembers([]*wirev1.Member{{Id: 2, Address: proxyListener.Addr().String()}})
	a.Send(heartbeat(1, 2, 1))
	<-b.received
	close(stalled)
	// Messages are lost until an unanswered ping closes the first connection. The
	// limit of rounds is far above the ping timeout and is reached only without
	// pings.
	for round := uint64(2); round < 3000; round++ {
		a.Send(heartbeat(1, 2, round))
		select {
		case m := <-b.received:
			if m.Round < 2 {
				t.Fatalf("got %v, want round 2 or later", m)
			}
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
	t.Fatal("no message arrived after the first connection stalled")
}

// forward is a proxy for connections to an address. The first connection
// discards all data once stalled is closed.
func forward(proxyListener net.Listener, to string, stalled <-chan struct{}) {
	for first := true; ; first = false {
		in, err := proxyListener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", to)
		if err != nil {
			return
		}
		var stop <-chan struct{}
		if first {
			stop = stalled
		}
		go copyUntil(out, in, stop)
		go copyUntil(in, out, stop)
	}
}

// copyUntil copies data from one connection to the other. It discards the data
// once stop is closed.
func copyUntil(to io.Writer, from io.Reader, stop <-chan struct{}) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		select {
		case <-stop:
			continue
		default:
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// FuzzHandler guards against malformed requests that make the process panic or
// whose messages reach the log.
func FuzzHandler(f *testing.F) {
	transport, err := member.New(member.Config{
		GroupID: "g", Secret: "s", Address: "a", Logger: zerolog.Nop(),
		Receive: func(messages []*wirev1.RaftMessage) {
			for _, m := range messages {
				if m == nil || m.From == 0 || m.From != messages[0].From {
					panic("malformed messages were passed to Receive")
				}
			}
		},
		HandleForm: func(*wirev1.FormRequest) (*wirev1.FormResponse, error) { return nil, errors.New("none") },
	})
	if err != nil {
		f.Fatal(err)
	}
	defer transport.Close()
	_, handler := transport.Handler()
	valid, err := proto.Marshal(&wirev1.StepRequest{GroupId: "g", Messages: []*wirev1.RaftMessage{heartbeat(1, 2, 3)}})
	if err != nil {
		f.Fatal(err)
	}
	mixedSenders, err := proto.Marshal(&wirev1.StepRequest{GroupId: "g", Messages: []*wirev1.RaftMessage{heartbeat(1, 2, 3), heartbeat(2, 2, 3)}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid, "application/proto")
	f.Add(mixedSenders, "application/proto")
	f.Add([]byte(`{"groupId":"g","messages":[{"from":"1"}]}`), "application/json")
	f.Add([]byte{0, 0, 0, 0, 5, 1, 2}, "application/grpc")
	f.Fuzz(func(t *testing.T, body []byte, contentType string) {
		r := httptest.NewRequestWithContext(context.Background(), http.MethodPost, wirev1connect.MemberServiceStepProcedure, strings.NewReader(string(body)))
		r.Header.Set("Content-Type", contentType)
		r.Header.Set(headers.MemberSecret, "s")
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		if w.Code == http.StatusForbidden && strings.Contains(w.Body.String(), "secret") {
			t.Fatalf("a request with the secret was refused: %s", w.Body)
		}
	})
}
