package control_test

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/jujubeknot/jujubeknot/control"
	"github.com/jujubeknot/jujubeknot/core/settings"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
	"github.com/jujubeknot/jujubeknot/wire/v1/wirev1connect"
)

const (
	nodeSecret   = "secret-of-the-nodes"
	memberSecret = "secret-of-the-members"
	deskRules    = "upstream desk keyed partitions=16 # t: test\n"
	// waitTimeout limits each wait, such as that for an election on a busy machine.
	waitTimeout = 30 * time.Second
)

// member is a running control member.
type member struct {
	config   control.Config
	stop     context.CancelFunc
	done     chan error
	peer     wirev1connect.ControlClient
	operator wirev1connect.OperatorClient
	stopped  bool
}

// reserveAddress returns an address that only explicit binds can use until the test
// ends. A bound socket that does not listen keeps the port from processes that
// ask for any free one, also while a member restarts.
func reserveAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		t.Fatal(err)
	}
	loopback := [4]byte{127, 0, 0, 1}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: loopback}); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return netip.AddrPortFrom(netip.AddrFrom4(loopback), uint16(bound.(*syscall.SockaddrInet4).Port))
}

// TestReservedAddress guards against a test double of another process that gets the
// port of a member while that member restarts.
func TestReservedAddress(t *testing.T) {
	reserved := reserveAddress(t)
	for range 2 {
		l, err := net.Listen("tcp", reserved.String())
		if err != nil {
			t.Fatalf("listening at the reserved address: %v", err)
		}
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
	}
	if l, err := (&net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var failure error
		err := c.Control(func(fd uintptr) {
			failure = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 0)
		})
		return cmp.Or(failure, err)
	}}).Listen(context.Background(), "tcp", reserved.String()); err == nil {
		_ = l.Close()
		t.Error("the port is free for sockets without SO_REUSEADDR")
	}
}

// bearerTransport adds itself as bearer token to each request.
type bearerTransport string

func (b bearerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r.Header.Set("Authorization", "Bearer "+string(b))
	return http.DefaultTransport.RoundTrip(r)
}

// newGroup starts a group whose members are stopped when the test ends.
func newGroup(t *testing.T, count int) []*member {
	t.Helper()
	var initial []settings.Member
	for i := range count {
		initial = append(initial, settings.Member{ID: uint64(i + 1), Address: reserveAddress(t)})
	}
	var group []*member
	for i := range count {
		m := &member{config: control.Config{
			Name: fmt.Sprint("c", i+1), MemberID: uint64(i + 1), GroupID: "g", DataFolder: t.TempDir(), InitialMembers: initial,
			MemberSecret: memberSecret, NodeSecret: nodeSecret, Peer: initial[i].Address, Operator: reserveAddress(t), Logger: zerolog.Nop(),
		}}
		m.start(t)
		group = append(group, m)
	}
	t.Cleanup(func() {
		for _, m := range group {
			m.shutDown(t)
		}
	})
	return group
}

func (m *member) start(t *testing.T) {
	t.Helper()
	c, err := control.New(m.config)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.stop, m.done, m.stopped = cancel, make(chan error, 1), false
	go func() { m.done <- c.Run(ctx) }()
	m.peer = wirev1connect.NewControlClient(&http.Client{Transport: bearerTransport(nodeSecret)}, "http://"+m.config.Peer.String())
	m.operator = wirev1connect.NewOperatorClient(http.DefaultClient, "http://"+m.config.Operator.String())
}

func (m *member) shutDown(t *testing.T) {
	t.Helper()
	if m.stopped {
		return
	}
	m.stopped = true
	m.stop()
	if err := <-m.done; err != nil {
		t.Errorf("member %s: %v", m.config.Name, err)
	}
}

// leader waits until a running member serves as leader and returns it.
func leader(t *testing.T, group []*member) *member {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		for _, m := range group {
			if m.stopped {
				continue
			}
			if _, err := m.operator.Status(context.Background(), connect.NewRequest(&wirev1.StatusRequest{})); err == nil {
				return m
			}
		}
	}
	t.Fatal("no member leads")
	return nil
}

func (m *member) apply(t *testing.T, base uint64, text, id string) *wirev1.ApplyRulesResponse {
	t.Helper()
	r, err := m.operator.ApplyRules(context.Background(), connect.NewRequest(&wirev1.ApplyRulesRequest{BaseRevision: base, Text: text, RequestId: id, Author: "test"}))
	if err != nil {
		t.Fatal(err)
	}
	return r.Msg
}

// TestConcurrentRuleChanges guards against a lost update: two operators change the
// same revision and both changes are reported as accepted. It also guards against
// a resent change that makes another revision.
func TestConcurrentRuleChanges(t *testing.T) {
	m := leader(t, newGroup(t, 1))
	outcomes := make([]*wirev1.ApplyRulesResponse, 8)
	var callers sync.WaitGroup
	change := func(i int) *wirev1.ApplyRulesResponse {
		return m.apply(t, 0, fmt.Sprintf("upstream desk%d keyed # t: test\n", i), fmt.Sprint("racer", i))
	}
	for i := range outcomes {
		callers.Go(func() { outcomes[i] = change(i) })
	}
	callers.Wait()
	accepted := 0
	for i, o := range outcomes {
		switch o.GetOutcome() {
		case wirev1.ApplyRulesResponse_OUTCOME_ACCEPTED:
			accepted++
			if again := change(i); again.GetOutcome() != wirev1.ApplyRulesResponse_OUTCOME_UNCHANGED || again.GetRevision() != 1 {
				t.Errorf("resend of the accepted change: got %v, want outcome unchanged at revision 1", again)
			}
		case wirev1.ApplyRulesResponse_OUTCOME_CONFLICT:
		default:
			t.Errorf("change %d: got %v, want accepted or conflict", i, o)
		}
	}
	if accepted != 1 {
		t.Errorf("%d of %d concurrent changes were accepted, want 1", accepted, len(outcomes))
	}
	if o := m.apply(t, 5, deskRules, "future"); o.GetOutcome() != wirev1.ApplyRulesResponse_OUTCOME_CONFLICT {
		t.Errorf("change of a revision that does not exist: got %v, want conflict", o)
	}
}

// TestInvalidRulesAreRejected guards against accepting rules with errors, and
// against a change of the number of partitions, which would give keys two owners.
func TestInvalidRulesAreRejected(t *testing.T) {
	m := leader(t, newGroup(t, 1))
	if o := m.apply(t, 0, "upstream a keyed\nroute\n", "x"); o.GetOutcome() != wirev1.ApplyRulesResponse_OUTCOME_INVALID || len(o.GetErrors()) != 3 {
		t.Errorf("rules without comments: got %v, want invalid with 3 errors", o)
	}
	m.apply(t, 0, deskRules, "a")
	o := m.apply(t, 1, "upstream desk keyed partitions=32 # t: test\n", "b")
	if o.GetOutcome() != wirev1.ApplyRulesResponse_OUTCOME_INVALID || !strings.Contains(o.GetErrors()[0].GetMessage(), "16 partitions") {
		t.Errorf("changed number of partitions: got %v, want an error that names 16 partitions", o)
	}
}

// watch opens a watch stream and returns it with its first update.
func (m *member) watch(ctx context.Context, t *testing.T, incarnation uint64) (*connect.ServerStreamForClient[wirev1.Update], *wirev1.Update) {
	t.Helper()
	stream, err := m.peer.Watch(ctx, connect.NewRequest(&wirev1.WatchRequest{Incarnation: incarnation}))
	if err != nil || !stream.Receive() {
		t.Fatalf("watch: %v, %v", err, stream.Err())
	}
	return stream, stream.Msg()
}

// TestNodeService guards against serving nodes without the secret. It also guards
// against watch streams that omit assignments or stay open after their leader has
// stopped.
func TestNodeService(t *testing.T) {
	m := leader(t, newGroup(t, 1))
	m.apply(t, 0, deskRules, "a")
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	unauthenticated := wirev1connect.NewControlClient(http.DefaultClient, "http://"+m.config.Peer.String())
	if _, err := unauthenticated.Deregister(ctx, connect.NewRequest(&wirev1.DeregisterRequest{})); connect.CodeOf(err) != connect.CodeUnauthenticated {
		t.Errorf("call without secret: got error %v, want code unauthenticated", err)
	}
	node := &wirev1.Node{Name: "n1", PeerAddress: "127.0.0.1:1", BackendServer: &wirev1.BackendServer{Name: "s1", Upstream: "desk", Slots: 4}}
	registered, err := m.peer.Register(ctx, connect.NewRequest(&wirev1.RegisterRequest{Node: node, RequestId: "r1"}))
	if err != nil {
		t.Fatal(err)
	}
	incarnation := registered.Msg.GetIncarnation()
	stream, update := m.watch(ctx, t, incarnation)
	if !update.GetSnapshot() || update.GetRules().GetRevision() != 1 {
		t.Errorf("first update: got %v, want a snapshot with rules revision 1", update)
	}
	assigned := len(update.GetAssignments())
	for assigned < 16 && stream.Receive() {
		assigned += len(stream.Msg().GetAssignments())
	}
	if assigned != 16 {
		t.Errorf("%d assignments reached the node, want 16: %v", assigned, stream.Err())
	}
	node.Name = "n2"
	_, err = m.peer.Register(ctx, connect.NewRequest(&wirev1.RegisterRequest{Node: node, RequestId: "r2"}))
	var taken *connect.Error
	if !errors.As(err, &taken) || taken.Code() != connect.CodeAlreadyExists || taken.Meta().Get("Jujubeknot-Holder") != "127.0.0.1:1" {
		t.Errorf("registration of a backend server that another node has: got error %v, want code already exists with the holder's address", err)
	}
	if _, err := m.peer.Deregister(ctx, connect.NewRequest(&wirev1.DeregisterRequest{Incarnation: incarnation})); err != nil {
		t.Error(err)
	}
	renewed, err := m.peer.Renew(ctx, connect.NewRequest(&wirev1.RenewRequest{Incarnation: incarnation, Sequence: 1}))
	if err != nil || !renewed.Msg.GetLost() {
		t.Errorf("renewal of a returned lease: got %v, %v, want lost", renewed, err)
	}
	m.shutDown(t)
	for stream.Receive() {
		continue
	}
	if stream.Err() == nil {
		t.Error("the watch stream ended without an error when its leader stopped")
	}
}

// TestAcceptedRulesSurviveRestarts guards against the loss of an accepted change
// when its leader stops or all members restart. It also guards against followers
// that serve requests themselves, or that report an address of the leader that the
// sender cannot use.
func TestAcceptedRulesSurviveRestarts(t *testing.T) {
	group := newGroup(t, 3)
	first := leader(t, group)
	if o := first.apply(t, 0, deskRules, "a"); o.GetOutcome() != wirev1.ApplyRulesResponse_OUTCOME_ACCEPTED {
		t.Fatalf("first change: %v", o)
	}
	for _, m := range group {
		if m == first {
			continue
		}
		_, err := m.operator.GetRules(context.Background(), connect.NewRequest(&wirev1.GetRulesRequest{}))
		var refused *connect.Error
		if !errors.As(err, &refused) || refused.Code() != connect.CodeUnavailable || refused.Meta().Get("Jujubeknot-Leader") != first.config.Operator.String() {
			t.Errorf("follower %s: got error %v, want code unavailable with the leader's operator address", m.config.Name, err)
		}
		_, err = m.peer.Register(context.Background(), connect.NewRequest(&wirev1.RegisterRequest{Node: &wirev1.Node{Name: "n"}, RequestId: "r"}))
		if !errors.As(err, &refused) || refused.Meta().Get("Jujubeknot-Leader") != first.config.Peer.String() {
			t.Errorf("follower %s: got error %v, want the leader's address for nodes", m.config.Name, err)
		}
	}
	check := func(when string) {
		t.Helper()
		m := leader(t, group)
		r, err := m.operator.GetRules(context.Background(), connect.NewRequest(&wirev1.GetRulesRequest{}))
		if err != nil || r.Msg.GetRules().GetRevision() != 1 || r.Msg.GetRules().GetText() != deskRules {
			t.Errorf("rules %s: got %v, %v, want revision 1 with the accepted text", when, r, err)
		}
		if o := m.apply(t, 0, deskRules, "a"); o.GetOutcome() != wirev1.ApplyRulesResponse_OUTCOME_UNCHANGED || o.GetRevision() != 1 {
			t.Errorf("resend %s: got %v, want outcome unchanged at revision 1", when, o)
		}
	}
	first.shutDown(t)
	check("after the leader stopped")
	for _, m := range group {
		m.shutDown(t)
	}
	for _, m := range group {
		m.start(t)
	}
	check("after all members restarted")
}

// TestOperatorMistakesAreNotRetryable guards against an invalid request of an
// operator that is answered with a retryable error.
func TestOperatorMistakesAreNotRetryable(t *testing.T) {
	m := leader(t, newGroup(t, 1))
	m.apply(t, 0, deskRules, "a")
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	change := func(add *wirev1.Member, remove uint64) error {
		_, err := m.operator.ChangeMembers(ctx, connect.NewRequest(&wirev1.ChangeMembersRequest{Add: add, Remove: remove}))
		return err
	}
	own := m.config.Peer.String()
	_, drain := m.operator.Drain(ctx, connect.NewRequest(&wirev1.DrainRequest{Server: "absent"}))
	_, explain := m.operator.Explain(ctx, connect.NewRequest(&wirev1.ExplainRequest{Upstream: "absent", Key: "k"}))
	_, rules := m.operator.GetRules(ctx, connect.NewRequest(&wirev1.GetRulesRequest{Revision: 9}))
	for _, c := range []struct {
		what    string
		err     error
		code    connect.Code
		message string
	}{
		{"unknown member", change(nil, 9), connect.CodeFailedPrecondition, "no member has id 9"},
		{"last member", change(nil, 1), connect.CodeFailedPrecondition, "no voter is left"},
		{"id of a member", change(&wirev1.Member{Id: 1, Address: "127.0.0.1:1"}, 0), connect.CodeFailedPrecondition, "same id or address"},
		{"address of a member", change(&wirev1.Member{Id: 2, Address: own}, 0), connect.CodeFailedPrecondition, "same id or address"},
		{"no address", change(&wirev1.Member{Id: 2}, 0), connect.CodeInvalidArgument, "expected an id"},
		{"add and remove", change(&wirev1.Member{Id: 2, Address: "127.0.0.1:1"}, 1), connect.CodeInvalidArgument, "exactly one"},
		{"unknown server", drain, connect.CodeInvalidArgument, `"absent"`},
		{"unknown upstream", explain, connect.CodeInvalidArgument, `"absent"`},
		{"unknown revision", rules, connect.CodeNotFound, "revision 9"},
	} {
		if connect.CodeOf(c.err) != c.code || !strings.Contains(c.err.Error(), c.message) {
			t.Errorf("%s: got error %v, want %v with %q", c.what, c.err, c.code, c.message)
		}
	}
	// A member that never answers stays a learner. Until it is a voter, further
	// changes of members are rejected.
	waiting, stop := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() {
		_, err := m.operator.ChangeMembers(waiting, connect.NewRequest(&wirev1.ChangeMembersRequest{Add: &wirev1.Member{Id: 2, Address: "127.0.0.1:1"}}))
		done <- err
	}()
	for members := 0; members < 2 && ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		if s, err := m.operator.Status(ctx, connect.NewRequest(&wirev1.StatusRequest{})); err == nil {
			members = len(s.Msg.GetMembers())
		}
	}
	if err := change(&wirev1.Member{Id: 3, Address: "127.0.0.1:2"}, 0); connect.CodeOf(err) != connect.CodeAborted {
		t.Errorf("change while another one is not complete: got error %v, want code aborted", err)
	}
	stop()
	<-done
}

// TestOperatorAddress guards against reporting an address of the leader that
// operators cannot connect to, such as an unspecified IP address.
func TestOperatorAddress(t *testing.T) {
	c := control.Config{Peer: netip.MustParseAddrPort("10.0.0.1:7101")}
	for listener, want := range map[string]string{
		"10.0.0.9:7102": "10.0.0.9:7102", "127.0.0.1:7102": "127.0.0.1:7102", "0.0.0.0:7102": "10.0.0.1:7102", "[::]:7102": "10.0.0.1:7102",
	} {
		if got := control.ReachableOperatorAddress(c, net.TCPAddrFromAddrPort(netip.MustParseAddrPort(listener))); got != want {
			t.Errorf("address of the listener at %s: got %s, want %s", listener, got, want)
		}
	}
}

// TestSettings guards against accepting settings with which a member starts but
// cannot work.
func TestSettings(t *testing.T) {
	const good = `[control]
name = c1
memberId = 1
groupId = g
dataFolder = /tmp/x
region = r
availabilityZone = z
members = 1=127.0.0.1:7101, 2=127.0.0.1:7102
memberSecret = 0123456789abcdef
nodeSecret = 0123456789abcdef
[listen]
peer = 127.0.0.1:7101
operator = 127.0.0.1:7201
`
	s, err := control.LoadSettings("c.ini", []byte(good))
	if err != nil {
		t.Fatal(err)
	}
	if c, err := s.Config(); err != nil || c.Lease.Duration != 1500*time.Millisecond || c.Placement.MovesInFlight != 128 || len(c.InitialMembers) != 2 {
		t.Errorf("defaults: got %+v, %v, want a lease of 1.5 s, 128 moves in flight and 2 members", c, err)
	}
	for addition, want := range map[string]string{
		"[lease]\nrenewInterval = 600ms\n":                         "lease.renewInterval",
		"[operator]\naccess = secret\n":                            "operator.secretFile",
		"[log]\nlevel = loud\n[placement]\nchurnPerMinute = 1.5\n": "placement.churnPerMinute",
		"[operator]\naccess = open\n":                              "operator.access",
	} {
		if _, err := control.LoadSettings("c.ini", []byte(good+addition)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got error %v, want one that names %s", addition, err, want)
		}
	}
	s.Operator.Access, s.Operator.SecretFile = "secret", t.TempDir()+"/absent"
	if _, err := s.Config(); err == nil || !strings.Contains(err.Error(), "operator.secretFile") {
		t.Errorf("absent secret file: got error %v, want one that names operator.secretFile", err)
	}
}
