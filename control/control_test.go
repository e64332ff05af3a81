package control_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
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
	// patience bounds waiting for an election on a busy machine.
	patience = 30 * time.Second
)

// member is a running control member.
type member struct {
	config  control.Config
	stop    context.CancelFunc
	ended   chan error
	peer    wirev1connect.ControlClient
	desk    wirev1connect.OperatorClient
	stopped bool
}

func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String())
}

type bearer string

func (b bearer) RoundTrip(r *http.Request) (*http.Response, error) {
	r.Header.Set("Authorization", "Bearer "+string(b))
	return http.DefaultTransport.RoundTrip(r)
}

func newGroup(t *testing.T, count int) []*member {
	t.Helper()
	var initial []settings.Member
	for i := range count {
		initial = append(initial, settings.Member{ID: uint64(i + 1), Address: freeAddress(t)})
	}
	var group []*member
	for i := range count {
		m := &member{config: control.Config{
			Name: fmt.Sprint("c", i+1), MemberID: uint64(i + 1), GroupID: "g", DataFolder: t.TempDir(), InitialMembers: initial,
			MemberSecret: memberSecret, NodeSecret: nodeSecret, Peer: initial[i].Address, Operator: freeAddress(t), Logger: zerolog.Nop(),
		}}
		m.start(t)
		group = append(group, m)
	}
	t.Cleanup(func() {
		for _, m := range group {
			m.end(t)
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
	m.stop, m.ended, m.stopped = cancel, make(chan error, 1), false
	go func() { m.ended <- c.Run(ctx) }()
	m.peer = wirev1connect.NewControlClient(&http.Client{Transport: bearer(nodeSecret)}, "http://"+m.config.Peer.String())
	m.desk = wirev1connect.NewOperatorClient(http.DefaultClient, "http://"+m.config.Operator.String())
}

func (m *member) end(t *testing.T) {
	t.Helper()
	if m.stopped {
		return
	}
	m.stopped = true
	m.stop()
	if err := <-m.ended; err != nil {
		t.Errorf("member %s: %v", m.config.Name, err)
	}
}

// leader waits until one of the running members leads.
func leader(t *testing.T, group []*member) *member {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, m := range group {
			if m.stopped {
				continue
			}
			if _, err := m.desk.Status(context.Background(), connect.NewRequest(&wirev1.StatusRequest{})); err == nil {
				return m
			}
		}
	}
	t.Fatal("no member leads")
	return nil
}

func (m *member) apply(t *testing.T, base uint64, text, id string) *wirev1.ApplyRulesResponse {
	t.Helper()
	r, err := m.desk.ApplyRules(context.Background(), connect.NewRequest(&wirev1.ApplyRulesRequest{BaseRevision: base, Text: text, RequestId: id, Author: "test"}))
	if err != nil {
		t.Fatal(err)
	}
	return r.Msg
}

// TestOperatorsRace guards against two operators who both get told that their
// change of the same revision succeeded, and against a resend that makes
// another revision.
func TestOperatorsRace(t *testing.T) {
	m := leader(t, newGroup(t, 1))
	outcomes := make([]*wirev1.ApplyRulesResponse, 8)
	var racers sync.WaitGroup
	change := func(i int) *wirev1.ApplyRulesResponse {
		return m.apply(t, 0, fmt.Sprintf("upstream desk%d keyed # t: test\n", i), fmt.Sprint("racer", i))
	}
	for i := range outcomes {
		racers.Go(func() { outcomes[i] = change(i) })
	}
	racers.Wait()
	accepted := 0
	for i, o := range outcomes {
		switch o.GetOutcome() {
		case wirev1.ApplyRulesResponse_OUTCOME_ACCEPTED:
			accepted++
			if again := change(i); again.GetOutcome() != wirev1.ApplyRulesResponse_OUTCOME_UNCHANGED || again.GetRevision() != 1 {
				t.Errorf("resend by the winner: %v", again)
			}
		case wirev1.ApplyRulesResponse_OUTCOME_CONFLICT:
		default:
			t.Errorf("racer %d: %v", i, o)
		}
	}
	if accepted != 1 {
		t.Errorf("%d of %d racers were told that their change was accepted", accepted, len(outcomes))
	}
	if o := m.apply(t, 5, deskRules, "future"); o.GetOutcome() != wirev1.ApplyRulesResponse_OUTCOME_CONFLICT {
		t.Errorf("change of a revision that does not exist: %v", o)
	}
}

// TestRulesThatCannotHold guards against rules with faults, and against
// another number of partitions, which would give keys two owners.
func TestRulesThatCannotHold(t *testing.T) {
	m := leader(t, newGroup(t, 1))
	if o := m.apply(t, 0, "upstream a keyed\nroute\n", "x"); o.GetOutcome() != wirev1.ApplyRulesResponse_OUTCOME_INVALID || len(o.GetErrors()) != 3 {
		t.Errorf("rules without comments: %v", o)
	}
	m.apply(t, 0, deskRules, "a")
	o := m.apply(t, 1, "upstream desk keyed partitions=32 # t: test\n", "b")
	if o.GetOutcome() != wirev1.ApplyRulesResponse_OUTCOME_INVALID || !strings.Contains(o.GetErrors()[0].GetMessage(), "16 partitions") {
		t.Errorf("other number of partitions: %v", o)
	}
}

// watch opens a stream and returns its first update.
func (m *member) watch(ctx context.Context, t *testing.T, incarnation uint64) (*connect.ServerStreamForClient[wirev1.Update], *wirev1.Update) {
	t.Helper()
	stream, err := m.peer.Watch(ctx, connect.NewRequest(&wirev1.WatchRequest{Incarnation: incarnation}))
	if err != nil || !stream.Receive() {
		t.Fatalf("watch: %v, %v", err, stream.Err())
	}
	return stream, stream.Msg()
}

// TestNodeService guards against nodes that get in without the secret, and
// against watch streams that miss assignments or stay open without a leader.
func TestNodeService(t *testing.T) {
	m := leader(t, newGroup(t, 1))
	m.apply(t, 0, deskRules, "a")
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	stranger := wirev1connect.NewControlClient(http.DefaultClient, "http://"+m.config.Peer.String())
	if _, err := stranger.Deregister(ctx, connect.NewRequest(&wirev1.DeregisterRequest{})); connect.CodeOf(err) != connect.CodeUnauthenticated {
		t.Errorf("call without secret: %v", err)
	}
	node := &wirev1.Node{Name: "n1", PeerAddress: "127.0.0.1:1", BackendServer: &wirev1.BackendServer{Name: "s1", Upstream: "desk", Slots: 4}}
	registered, err := m.peer.Register(ctx, connect.NewRequest(&wirev1.RegisterRequest{Node: node, RequestId: "r1"}))
	if err != nil {
		t.Fatal(err)
	}
	incarnation := registered.Msg.GetIncarnation()
	stream, update := m.watch(ctx, t, incarnation)
	if !update.GetSnapshot() || update.GetRules().GetRevision() != 1 {
		t.Errorf("first update: %v", update)
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
		t.Errorf("second claim of a backend server: %v", err)
	}
	if _, err := m.peer.Deregister(ctx, connect.NewRequest(&wirev1.DeregisterRequest{Incarnation: incarnation})); err != nil {
		t.Error(err)
	}
	renewed, err := m.peer.Renew(ctx, connect.NewRequest(&wirev1.RenewRequest{Incarnation: incarnation, Sequence: 1}))
	if err != nil || !renewed.Msg.GetLost() {
		t.Errorf("renewal of a returned lease: %v, %v", renewed, err)
	}
	m.end(t)
	for stream.Receive() {
		continue
	}
	if stream.Err() == nil {
		t.Error("the watch stream ended without an error when its leader stopped")
	}
}

// TestAcknowledgedRulesSurvive guards against an accepted change that is gone
// after its leader stopped or after all members restarted, and against
// members that answer without leading or name an address of the leader that
// the sender cannot use.
func TestAcknowledgedRulesSurvive(t *testing.T) {
	group := newGroup(t, 3)
	first := leader(t, group)
	if o := first.apply(t, 0, deskRules, "a"); o.GetOutcome() != wirev1.ApplyRulesResponse_OUTCOME_ACCEPTED {
		t.Fatalf("first change: %v", o)
	}
	for _, m := range group {
		if m == first {
			continue
		}
		_, err := m.desk.GetRules(context.Background(), connect.NewRequest(&wirev1.GetRulesRequest{}))
		var refused *connect.Error
		if !errors.As(err, &refused) || refused.Code() != connect.CodeUnavailable || refused.Meta().Get("Jujubeknot-Leader") != first.config.Operator.String() {
			t.Errorf("member %s, which does not lead: %v", m.config.Name, err)
		}
		_, err = m.peer.Register(context.Background(), connect.NewRequest(&wirev1.RegisterRequest{Node: &wirev1.Node{Name: "n"}, RequestId: "r"}))
		if !errors.As(err, &refused) || refused.Meta().Get("Jujubeknot-Leader") != first.config.Peer.String() {
			t.Errorf("member %s names another address than the leader's for nodes: %v", m.config.Name, err)
		}
	}
	check := func(when string) {
		t.Helper()
		m := leader(t, group)
		r, err := m.desk.GetRules(context.Background(), connect.NewRequest(&wirev1.GetRulesRequest{}))
		if err != nil || r.Msg.GetRules().GetRevision() != 1 || r.Msg.GetRules().GetText() != deskRules {
			t.Errorf("%s: %v, %v", when, r, err)
		}
		if o := m.apply(t, 0, deskRules, "a"); o.GetOutcome() != wirev1.ApplyRulesResponse_OUTCOME_UNCHANGED || o.GetRevision() != 1 {
			t.Errorf("resend %s: %v", when, o)
		}
	}
	first.end(t)
	check("after the leader stopped")
	for _, m := range group {
		m.end(t)
	}
	for _, m := range group {
		m.start(t)
	}
	check("after all members restarted")
}

// TestFinalRefusals guards against an operator's mistake that is reported as
// if a retry made sense.
func TestFinalRefusals(t *testing.T) {
	m := leader(t, newGroup(t, 1))
	m.apply(t, 0, deskRules, "a")
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	change := func(add *wirev1.Member, remove uint64) error {
		_, err := m.desk.ChangeMembers(ctx, connect.NewRequest(&wirev1.ChangeMembersRequest{Add: add, Remove: remove}))
		return err
	}
	own := m.config.Peer.String()
	_, drain := m.desk.Drain(ctx, connect.NewRequest(&wirev1.DrainRequest{Server: "absent"}))
	_, explain := m.desk.Explain(ctx, connect.NewRequest(&wirev1.ExplainRequest{Upstream: "absent", Key: "k"}))
	_, rules := m.desk.GetRules(ctx, connect.NewRequest(&wirev1.GetRulesRequest{Revision: 9}))
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
			t.Errorf("%s: %v, expected %v with %q", c.what, c.err, c.code, c.message)
		}
	}
	// A member that never answers stays a learner, and the next change is not
	// taken while it does.
	waiting, stop := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() {
		_, err := m.desk.ChangeMembers(waiting, connect.NewRequest(&wirev1.ChangeMembersRequest{Add: &wirev1.Member{Id: 2, Address: "127.0.0.1:1"}}))
		ended <- err
	}()
	for members := 0; members < 2 && ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		if s, err := m.desk.Status(ctx, connect.NewRequest(&wirev1.StatusRequest{})); err == nil {
			members = len(s.Msg.GetMembers())
		}
	}
	if err := change(&wirev1.Member{Id: 3, Address: "127.0.0.1:2"}, 0); connect.CodeOf(err) != connect.CodeAborted {
		t.Errorf("change while another one is not complete: %v", err)
	}
	stop()
	<-ended
}

// TestOperatorAddress guards against a hint that no operator can connect to.
func TestOperatorAddress(t *testing.T) {
	c := control.Config{Peer: netip.MustParseAddrPort("10.0.0.1:7101")}
	for listener, want := range map[string]string{
		"10.0.0.9:7102": "10.0.0.9:7102", "127.0.0.1:7102": "127.0.0.1:7102", "0.0.0.0:7102": "10.0.0.1:7102", "[::]:7102": "10.0.0.1:7102",
	} {
		if got := control.OperatorAddress(c, net.TCPAddrFromAddrPort(netip.MustParseAddrPort(listener))); got != want {
			t.Errorf("listener at %s is named as %s, want %s", listener, got, want)
		}
	}
}

// TestSettings guards against settings that start a member which cannot work.
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
		t.Errorf("defaults: %+v, %v", c, err)
	}
	for addition, want := range map[string]string{
		"[lease]\nrenewInterval = 600ms\n":                         "lease.renewInterval",
		"[operator]\naccess = secret\n":                            "operator.secretFile",
		"[log]\nlevel = loud\n[placement]\nchurnPerMinute = 1.5\n": "placement.churnPerMinute",
		"[operator]\naccess = open\n":                              "operator.access",
	} {
		if _, err := control.LoadSettings("c.ini", []byte(good+addition)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error %v does not name %s", addition, err, want)
		}
	}
	s.Operator.Access, s.Operator.SecretFile = "secret", t.TempDir()+"/absent"
	if _, err := s.Config(); err == nil || !strings.Contains(err.Error(), "operator.secretFile") {
		t.Errorf("absent secret file: %v", err)
	}
}
