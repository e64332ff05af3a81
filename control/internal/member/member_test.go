package member_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
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

// side is a transport with a server on loopback and what it received.
type side struct {
	*member.Transport
	server   *httptest.Server
	received chan *wirev1.RaftMessage
}

func (s *side) address() string {
	return s.server.Listener.Addr().String()
}

func newSide(t testing.TB, group, secret string) *side {
	s := &side{received: make(chan *wirev1.RaftMessage, 1000)}
	s.server = httptest.NewUnstartedServer(nil)
	transport, err := member.New(member.Config{
		GroupID: group, Secret: secret, Address: s.server.Listener.Addr().String(), Logger: zerolog.Nop(), OperatorAddress: "10.0.0.7:7102",
		Receive: func(messages []*wirev1.RaftMessage) {
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
// reordered while the network is well, against a sender that the receiver
// cannot answer because its membership does not have it, and against a
// receiver that does not know the sender's operator address by the time it
// handles the message.
func TestMessagesArriveInOrder(t *testing.T) {
	a, b := newSide(t, "g", "s"), newSide(t, "g", "s")
	a.SetMembers([]*wirev1.Member{{Id: 2, Address: b.address()}})
	for i := range uint64(100) {
		a.Send(heartbeat(1, 2, i))
	}
	for i := range uint64(100) {
		if m := <-b.received; !proto.Equal(m, heartbeat(1, 2, i)) {
			t.Fatalf("message %d is %v", i, m)
		}
		if got := b.OperatorAddress(1); got != "10.0.0.7:7102" {
			t.Fatalf("operator address after message %d: %q", i, got)
		}
	}
	b.Send(heartbeat(2, 1, 5))
	if m := <-a.received; m.Round != 5 {
		t.Fatalf("answer is %v", m)
	}
	// Large enough to need several frames and the snapshot's own queue.
	snapshot := &wirev1.RaftMessage{Kind: wirev1.RaftMessage_KIND_SNAPSHOT, From: 1, To: 2, Snapshot: &wirev1.Snapshot{Data: make([]byte, 20<<20)}}
	a.Send(snapshot)
	if m := <-b.received; len(m.Snapshot.GetData()) != 20<<20 {
		t.Fatalf("snapshot arrived as %d bytes", len(m.Snapshot.GetData()))
	}
}

// TestStrangersAreRefused guards against a stray process or a member of
// another group whose messages would be taken for those of a member.
func TestStrangersAreRefused(t *testing.T) {
	b := newSide(t, "g", "secret")
	for _, c := range []struct {
		group, secret string
		want          connect.Code
	}{
		{"g", "other", connect.CodePermissionDenied},
		{"g", "secret2", connect.CodePermissionDenied},
		{"h", "secret", connect.CodePermissionDenied},
		{"g", "secret", 0},
	} {
		a := newSide(t, c.group, c.secret)
		response, err := a.Form(t.Context(), b.address(), &wirev1.FormRequest{From: 1})
		if c.want == 0 {
			if err != nil || response.Id != 7 {
				t.Errorf("a member gets %v, %v", response, err)
			}
			continue
		}
		if connect.CodeOf(err) != c.want {
			t.Errorf("group %q with secret %q gets %v", c.group, c.secret, err)
		}
	}
	client := wirev1connect.NewMemberServiceClient(http.DefaultClient, "http://"+b.address())
	_, err := client.Step(t.Context(), connect.NewRequest(&wirev1.StepRequest{GroupId: "g", Messages: []*wirev1.RaftMessage{heartbeat(1, 2, 1)}}))
	if connect.CodeOf(err) != connect.CodePermissionDenied {
		t.Errorf("a request without secret gets %v", err)
	}
	if len(b.received) != 0 {
		t.Errorf("%d messages of strangers were taken", len(b.received))
	}
}

// TestUnreachableMemberBlocksNobody guards against a queue that fills up and
// stops the sender, and against one dead member that delays another.
func TestUnreachableMemberBlocksNobody(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	a, b := newSide(t, "g", "s"), newSide(t, "g", "s")
	a.SetMembers([]*wirev1.Member{{Id: 2, Address: b.address()}, {Id: 3, Address: silent.Addr().String()}})
	// Enough that a sender which waits for room exceeds any test timeout.
	for i := range uint64(100_000) {
		a.Send(heartbeat(1, 3, i))
	}
	a.Send(heartbeat(1, 2, 9))
	if m := <-b.received; m.Round != 9 {
		t.Fatalf("received %v", m)
	}
}

// TestHalfOpenConnectionIsReplaced guards against a connection that stays
// established while nothing passes: messages must pass on a new one.
func TestHalfOpenConnectionIsReplaced(t *testing.T) {
	b := newSide(t, "g", "s")
	front, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer front.Close()
	stalled := make(chan struct{})
	go forward(front, b.address(), stalled)
	a := newSide(t, "g", "s")
	a.SetMembers([]*wirev1.Member{{Id: 2, Address: front.Addr().String()}})
	a.Send(heartbeat(1, 2, 1))
	<-b.received
	close(stalled)
	// Each message is lost until the ping has closed the first connection. The
	// bound is far above the ping timeout and is reached only without pings.
	for round := uint64(2); round < 3000; round++ {
		a.Send(heartbeat(1, 2, round))
		select {
		case m := <-b.received:
			if m.Round < 2 {
				t.Fatalf("received %v again", m)
			}
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
	t.Fatal("nothing passes after the first connection stalled")
}

// forward passes connections on. The first one swallows everything once
// stalled is closed.
func forward(front net.Listener, to string, stalled <-chan struct{}) {
	for first := true; ; first = false {
		in, err := front.Accept()
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
		go pass(out, in, stop)
		go pass(in, out, stop)
	}
}

func pass(to io.Writer, from io.Reader, stop <-chan struct{}) {
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

// FuzzHandler guards against requests that end the process or reach the log
// although they are malformed.
func FuzzHandler(f *testing.F) {
	transport, err := member.New(member.Config{
		GroupID: "g", Secret: "s", Address: "a", Logger: zerolog.Nop(),
		Receive: func(messages []*wirev1.RaftMessage) {
			for _, m := range messages {
				if m == nil || m.From == 0 || m.From != messages[0].From {
					panic("malformed messages were passed on")
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
	mixed, err := proto.Marshal(&wirev1.StepRequest{GroupId: "g", Messages: []*wirev1.RaftMessage{heartbeat(1, 2, 3), heartbeat(2, 2, 3)}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid, "application/proto")
	f.Add(mixed, "application/proto")
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
