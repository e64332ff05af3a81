package operator_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/bench/operator"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
	"github.com/jujubeknot/jujubeknot/wire/v1/wirev1connect"
)

// group is a fake control group over loopback.
type group struct {
	mu     sync.Mutex
	leader string
	// hint makes the other members name the leader.
	hint    bool
	members []*member
	// rules has the accepted texts, by revision minus 1.
	rules []string
	// ids has the request ids of the accepted proposals.
	ids map[string]bool
	// conflicts is the number of next proposals that conflict, because another
	// operator's text is accepted first.
	conflicts int
	// lost is the number of next responses to proposals that are lost.
	lost  int
	nodes []*wirev1.NodeStatus
	// calls is the number of calls to all members.
	calls int
}

// member is one control member of a group.
type member struct {
	wirev1connect.UnimplementedOperatorHandler
	group   *group
	address string
}

func newGroup(t *testing.T, count int) *group {
	g := &group{ids: map[string]bool{}, hint: true}
	for range count {
		m := &member{group: g}
		mux := http.NewServeMux()
		mux.Handle(wirev1connect.NewOperatorHandler(m))
		server := httptest.NewServer(mux)
		t.Cleanup(server.Close)
		m.address = strings.TrimPrefix(server.URL, "http://")
		g.members = append(g.members, m)
	}
	g.leader = g.members[0].address
	return g
}

func (g *group) addresses() []string {
	var all []string
	for _, m := range g.members {
		all = append(all, m.address)
	}
	return all
}

// leads counts a call. It returns an error unless the member is the leader.
func (m *member) leads() error {
	m.group.calls++
	if m.address == m.group.leader {
		return nil
	}
	err := connect.NewError(connect.CodeUnavailable, errors.New("not the leader"))
	if m.group.hint {
		err.Meta().Set("Jujubeknot-Leader", m.group.leader)
	}
	return err
}

func (m *member) Status(context.Context, *connect.Request[wirev1.StatusRequest]) (*connect.Response[wirev1.StatusResponse], error) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	if err := m.leads(); err != nil {
		return nil, err
	}
	return connect.NewResponse(&wirev1.StatusResponse{Nodes: m.group.nodes, RulesRevision: uint64(len(m.group.rules))}), nil
}

func (m *member) GetRules(context.Context, *connect.Request[wirev1.GetRulesRequest]) (*connect.Response[wirev1.GetRulesResponse], error) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	if err := m.leads(); err != nil {
		return nil, err
	}
	return connect.NewResponse(&wirev1.GetRulesResponse{Rules: &wirev1.RulesRevision{Revision: uint64(len(m.group.rules))}}), nil
}

func (m *member) ApplyRules(_ context.Context, r *connect.Request[wirev1.ApplyRulesRequest]) (*connect.Response[wirev1.ApplyRulesResponse], error) {
	g := m.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := m.leads(); err != nil {
		return nil, err
	}
	answer := &wirev1.ApplyRulesResponse{Revision: uint64(len(g.rules)), Outcome: wirev1.ApplyRulesResponse_OUTCOME_CONFLICT}
	switch {
	case strings.Contains(r.Msg.GetText(), "fault"):
		answer.Outcome, answer.Errors = wirev1.ApplyRulesResponse_OUTCOME_INVALID, []*wirev1.RuleError{{Line: 3, Message: "unknown rule"}}
	case g.ids[r.Msg.GetRequestId()] || len(g.rules) > 0 && g.rules[len(g.rules)-1] == r.Msg.GetText():
		answer.Outcome = wirev1.ApplyRulesResponse_OUTCOME_UNCHANGED
	case g.conflicts > 0:
		g.conflicts--
		g.rules = append(g.rules, "another operator's")
	case r.Msg.GetBaseRevision() == uint64(len(g.rules)):
		g.rules, g.ids[r.Msg.GetRequestId()] = append(g.rules, r.Msg.GetText()), true
		answer.Outcome, answer.Revision = wirev1.ApplyRulesResponse_OUTCOME_ACCEPTED, uint64(len(g.rules))
	}
	if g.lost > 0 {
		g.lost--
		panic(http.ErrAbortHandler)
	}
	return connect.NewResponse(answer), nil
}

// TestFindsLeader guards against a client that does not find the leader, that
// calls other members before a leader that it knows, or that takes another
// member for the leader.
func TestFindsLeader(t *testing.T) {
	g := newGroup(t, 3)
	addresses := g.addresses()
	c := operator.New(operator.Config{Addresses: func() []string { return addresses[:2] }})
	if c.Leader() != "" {
		t.Errorf("leader before the first call: %q, want none", c.Leader())
	}
	ask := func(what, leader string, hint bool, calls int) {
		t.Helper()
		g.leader, g.hint, g.calls = leader, hint, 0
		_, err := c.Status(t.Context())
		if err != nil || c.Leader() != leader || g.calls != calls {
			t.Errorf("%s: %v, leader %s after %d calls, want %s after %d", what, err, c.Leader(), g.calls, leader, calls)
		}
	}
	ask("first address leads", addresses[0], true, 1)
	ask("no hint", addresses[1], false, 2)
	ask("known leader is called first", addresses[1], false, 1)
	ask("hint to an address that is not known", addresses[2], true, 2)
	g.leader = "none"
	if _, err := c.Status(t.Context()); connect.CodeOf(err) != connect.CodeUnavailable {
		t.Errorf("no leader: error %v, want the code unavailable", err)
	}
	none := operator.New(operator.Config{Addresses: func() []string { return nil }})
	if _, err := none.Status(t.Context()); err == nil || !strings.Contains(err.Error(), "no control member runs") {
		t.Errorf("no member: error %v, want \"no control member runs\"", err)
	}
}

// TestApply guards against rules that are reported as accepted although they
// are not, that become two revisions after a lost response, or that are
// proposed for ever although they are invalid.
func TestApply(t *testing.T) {
	g := newGroup(t, 2)
	c := operator.New(operator.Config{Addresses: g.addresses, Poll: time.Millisecond})
	apply := func(what, text string, want uint64) {
		t.Helper()
		if revision, err := c.Apply(t.Context(), text); err != nil || revision != want || uint64(len(g.rules)) != want || g.rules[want-1] != text {
			t.Errorf("%s: revision %d of %q, error %v; want revision %d", what, revision, g.rules, err, want)
		}
	}
	apply("first", "a", 1)
	apply("repeated", "a", 1)
	g.conflicts = 2
	apply("after two conflicts", "b", 4)
	g.lost = 1
	apply("after a lost response", "c", 5)
	var refused *operator.RefusedError
	if _, err := c.Apply(t.Context(), "fault"); !errors.As(err, &refused) || err.Error() != "rules refused: line 3: unknown rule" {
		t.Errorf("invalid rules: error %v, want a RefusedError for line 3", err)
	}
}

// TestUntil guards against a wait that ends before the condition holds, or
// whose error does not say which condition did not hold and why.
func TestUntil(t *testing.T) {
	g := newGroup(t, 1)
	c := operator.New(operator.Config{Addresses: g.addresses, Poll: time.Millisecond})
	checks := 0
	holds := func(*wirev1.StatusResponse) error {
		if checks++; checks < 3 {
			return errors.Errorf("check %d", checks)
		}
		return nil
	}
	if err := c.Until(t.Context(), "three checks", holds); err != nil || checks != 3 {
		t.Errorf("%d checks, error %v; want 3 and none", checks, err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	err := c.Until(ctx, "the end", func(*wirev1.StatusResponse) error {
		cancel()
		return errors.New("never")
	})
	if err == nil || err.Error() != "wait for the end: never" {
		t.Errorf("error of a cancelled wait: %v, want \"wait for the end: never\"", err)
	}
}

// TestConditions guards against conditions that hold although a node with a
// lease has an older revision, a partition has no owner or a move is in flight.
func TestConditions(t *testing.T) {
	node := func(lease uint32, revision uint64) *wirev1.NodeStatus {
		return &wirev1.NodeStatus{Node: &wirev1.Node{Name: "n"}, LeaseLeftMs: lease, RulesRevision: revision}
	}
	for _, c := range []struct {
		status            *wirev1.StatusResponse
		inForce, assigned bool
	}{
		{&wirev1.StatusResponse{}, true, true},
		{&wirev1.StatusResponse{Nodes: []*wirev1.NodeStatus{node(1, 7), node(0, 3)}}, true, true},
		{&wirev1.StatusResponse{Nodes: []*wirev1.NodeStatus{node(1, 7), node(1, 6)}, MovesInFlight: 1}, false, false},
		{&wirev1.StatusResponse{Nodes: []*wirev1.NodeStatus{node(1, 8)}, UnassignedPartitions: 1}, true, false},
	} {
		if err := operator.InForce(c.status, 7); (err == nil) != c.inForce {
			t.Errorf("InForce(%v): %v, want no error: %v", c.status, err, c.inForce)
		}
		if err := operator.Assigned(c.status); (err == nil) != c.assigned {
			t.Errorf("Assigned(%v): %v, want no error: %v", c.status, err, c.assigned)
		}
	}
}
