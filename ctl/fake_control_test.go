package ctl_test

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/core/cluster"
	"github.com/jujubeknot/jujubeknot/core/keyspace"
	"github.com/jujubeknot/jujubeknot/core/rules"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
	"github.com/jujubeknot/jujubeknot/wire/v1/wirev1connect"
)

// fakeControl is a fake control group behind net.Pipe connections. It applies rules with
// the real state machine. Tests set nodes and members.
type fakeControl struct {
	wirev1connect.UnimplementedOperatorHandler

	mu      sync.Mutex
	state   *cluster.State
	nodes   []*wirev1.NodeStatus
	members []*wirev1.Member
	// statusCalls counts the calls of Status. onStatus is called before each response.
	statusCalls int
	onStatus    func(f *fakeControl)
	// rulesChanges and memberChanges count the requests for changes that arrived.
	rulesChanges  int
	memberChanges int
	// membersError is returned for each change of members, if it is not nil.
	membersError error
	// busyResponses is the number of changes of members that are not accepted because
	// another one is in progress.
	busyResponses int
	// loseResponses is the number of changes whose response is lost after they took
	// effect.
	loseResponses int
	// secret is the secret that requests must have, empty for none.
	secret string
	leader netip.AddrPort
	// leaderHint is the leader's address that other members return. The default is
	// leader.
	leaderHint string
	// electedAt is the time from which on there is a leader. Before it, no member
	// knows a leader.
	electedAt time.Time
	// Connections to unresponsive addresses time out; refusing addresses refuse them.
	unresponsive map[string]bool
	refusing     map[string]bool
	// called lists the address of each request in the order of arrival.
	called []string

	servers   map[string]*http.Server
	listeners map[string]*pipeListener
}

var leaderAddress = netip.MustParseAddrPort("10.0.0.1:7102")

func newFakeControl() *fakeControl {
	f := &fakeControl{
		state: &cluster.State{}, leader: leaderAddress, unresponsive: map[string]bool{}, refusing: map[string]bool{},
		servers: map[string]*http.Server{}, listeners: map[string]*pipeListener{},
	}
	for i := range 3 {
		f.members = append(f.members, &wirev1.Member{Id: uint64(i + 1), Address: fmt.Sprintf("10.0.0.%d:7101", i+1)})
		f.serve(fmt.Sprintf("10.0.0.%d:7101", i+1))
		f.serve(fmt.Sprintf("10.0.0.%d:7102", i+1))
	}
	return f
}

// serve starts a listener at the address: port 7102 is for operators, 7101 for members
// and nodes.
func (f *fakeControl) serve(address string) {
	listener := &pipeListener{connections: make(chan net.Conn), closed: make(chan struct{})}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	mux := http.NewServeMux()
	mux.Handle(wirev1connect.NewOperatorHandler(f, connect.WithInterceptors(f.interceptor(address))))
	server := &http.Server{Handler: mux, Protocols: protocols, ReadHeaderTimeout: time.Minute}
	f.servers[address], f.listeners[address] = server, listener
	go func() { _ = server.Serve(listener) }()
}

func (f *fakeControl) close() {
	for _, s := range f.servers {
		_ = s.Close()
	}
}

// dial connects to a listener, unless the address is unresponsive or refusing.
func (f *fakeControl) dial(ctx context.Context, network, address string) (net.Conn, error) {
	f.mu.Lock()
	unresponsive, refusing, listener := f.unresponsive[address], f.refusing[address], f.listeners[address]
	f.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if refusing || listener == nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: errors.New("connection refused")}
	}
	client, server := net.Pipe()
	select {
	case listener.connections <- server:
		return client, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// interceptor refuses requests with a wrong secret, and returns the error of members
// that are not the leader.
func (f *fakeControl) interceptor(address string) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			f.mu.Lock()
			f.called = append(f.called, address)
			isLeader := address == f.leader.String() && !time.Now().Before(f.electedAt)
			leaderKnown := !time.Now().Before(f.electedAt)
			f.mu.Unlock()
			if strings.HasSuffix(address, ":7101") {
				return nil, connect.NewError(connect.CodeUnauthenticated, errors.New("not a member"))
			}
			if f.secret != "" && r.Header().Get("Authorization") != "Bearer "+f.secret {
				return nil, connect.NewError(connect.CodeUnauthenticated, errors.New("the secret is missing or wrong"))
			}
			if !isLeader {
				err := connect.NewError(connect.CodeUnavailable, errors.New("not the leader"))
				hint := ""
				if leaderKnown {
					hint = cmp.Or(f.leaderHint, f.leader.String())
				}
				err.Meta().Set("Jujubeknot-Leader", hint)
				return nil, err
			}
			return next(ctx, r)
		}
	}
}

// loseResponse aborts the stream without a response, for the first loseResponses calls.
func (f *fakeControl) loseResponse() {
	if f.loseResponses > 0 {
		f.loseResponses--
		panic(http.ErrAbortHandler)
	}
}

func (f *fakeControl) ApplyRules(_ context.Context, r *connect.Request[wirev1.ApplyRulesRequest]) (*connect.Response[wirev1.ApplyRulesResponse], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rulesChanges++
	set, faults := rules.Parse(r.Msg.GetText())
	if before, _ := rules.Parse(f.state.Rules().GetText()); len(faults) == 0 {
		faults = rules.CheckChange(before, set)
	}
	if len(faults) > 0 {
		response := &wirev1.ApplyRulesResponse{Outcome: wirev1.ApplyRulesResponse_OUTCOME_INVALID}
		for _, e := range faults {
			response.Errors = append(response.Errors, &wirev1.RuleError{Line: uint32(e.Line), Column: uint32(e.Column), Message: e.Message})
		}
		return connect.NewResponse(response), nil
	}
	var result cluster.Result
	f.state, result = f.state.Apply(f.state.Index()+1, &wirev1.Command{Kind: &wirev1.Command_ApplyRules{ApplyRules: &wirev1.ApplyRules{
		BaseRevision: r.Msg.GetBaseRevision(), Text: r.Msg.GetText(), RequestId: r.Msg.GetRequestId(), Author: r.Msg.GetAuthor(),
		AcceptedUnixMs: time.Now().UnixMilli(),
	}}})
	f.loseResponse()
	outcome := map[cluster.Code]wirev1.ApplyRulesResponse_Outcome{
		cluster.CodeApplied:   wirev1.ApplyRulesResponse_OUTCOME_ACCEPTED,
		cluster.CodeUnchanged: wirev1.ApplyRulesResponse_OUTCOME_UNCHANGED,
		cluster.CodeConflict:  wirev1.ApplyRulesResponse_OUTCOME_CONFLICT,
		cluster.CodeInvalid:   wirev1.ApplyRulesResponse_OUTCOME_INVALID,
	}[result.Code]
	return connect.NewResponse(&wirev1.ApplyRulesResponse{Outcome: outcome, Revision: result.Revision}), nil
}

func (f *fakeControl) GetRules(_ context.Context, r *connect.Request[wirev1.GetRulesRequest]) (*connect.Response[wirev1.GetRulesResponse], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	revision := f.state.Rules()
	if n := r.Msg.GetRevision(); n > 0 {
		if revision = f.state.RulesAt(n); revision == nil {
			return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("revision %d is not kept", n))
		}
	}
	return connect.NewResponse(&wirev1.GetRulesResponse{Rules: revision}), nil
}

func (f *fakeControl) History(_ context.Context, r *connect.Request[wirev1.HistoryRequest]) (*connect.Response[wirev1.HistoryResponse], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return connect.NewResponse(&wirev1.HistoryResponse{Revisions: f.state.History(int(r.Msg.GetLimit()))}), nil
}

func (f *fakeControl) Status(context.Context, *connect.Request[wirev1.StatusRequest]) (*connect.Response[wirev1.StatusResponse], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.statusCalls++
	if f.onStatus != nil {
		f.onStatus(f)
	}
	response := &wirev1.StatusResponse{
		Leader: 1, Term: 3, Index: f.state.Index() + 100, RulesRevision: f.state.Revision(), Nodes: f.nodes,
		UnassignedPartitions: 2, MovesInFlight: 1,
	}
	for i, m := range f.members {
		response.Members = append(response.Members, &wirev1.MemberStatus{
			Member: m, Leader: m.GetId() == 1, MatchIndex: response.GetIndex() - uint64(5*i), AnswerAgeMs: uint64(12 * i),
		})
	}
	return connect.NewResponse(response), nil
}

func (f *fakeControl) Explain(_ context.Context, r *connect.Request[wirev1.ExplainRequest]) (*connect.Response[wirev1.ExplainResponse], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	partition := keyspace.Partition(keyspace.Hash(r.Msg.GetKey()), 1024)
	assignment := func(owner, epoch, index uint64, reason string, planned bool) *wirev1.Assignment {
		return &wirev1.Assignment{
			Upstream: r.Msg.GetUpstream(), Partition: partition, Owner: owner, Epoch: epoch, SinceIndex: index, Reason: reason, Planned: planned,
		}
	}
	moves := []*wirev1.Assignment{assignment(11, 3, 70, "rebalance", true), assignment(5, 2, 40, "ownerLost", false), assignment(10, 1, 20, "firstAssignment", false)}
	// The oldest one was made by a version that stored no time.
	moves[0].SinceUnixMs, moves[1].SinceUnixMs = 1796379000123, 1796292600000
	return connect.NewResponse(&wirev1.ExplainResponse{Assignment: moves[0], Owner: f.nodes[0].GetNode(), LastMoves: moves, WaitingFor: "zoneOut"}), nil
}

func (f *fakeControl) Drain(_ context.Context, r *connect.Request[wirev1.DrainRequest]) (*connect.Response[wirev1.DrainResponse], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		if n.GetNode().GetBackendServer().GetName() == r.Msg.GetServer() {
			n.Node.Draining = !r.Msg.GetUndo()
			f.loseResponse()
			return connect.NewResponse(&wirev1.DrainResponse{Incarnation: n.GetNode().GetIncarnation(), PartitionsLeft: n.GetPartitions()}), nil
		}
	}
	return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("no backend server %q", r.Msg.GetServer()))
}

func (f *fakeControl) ChangeMembers(_ context.Context, r *connect.Request[wirev1.ChangeMembersRequest]) (*connect.Response[wirev1.ChangeMembersResponse], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.memberChanges++
	if f.busyResponses > 0 {
		f.busyResponses--
		return nil, connect.NewError(connect.CodeAborted, errors.New("another change of the members is not complete; nothing was changed"))
	}
	if f.membersError != nil {
		return nil, f.membersError
	}
	if m := r.Msg.GetAdd(); m != nil {
		f.members = append(f.members, m)
	}
	for i, m := range f.members {
		if m.GetId() == r.Msg.GetRemove() {
			f.members = append(f.members[:i:i], f.members[i+1:]...)
			break
		}
	}
	f.loseResponse()
	return connect.NewResponse(&wirev1.ChangeMembersResponse{Members: f.members}), nil
}

// pipeListener accepts net.Pipe connections. A goroutine that is blocked on them counts
// as durably blocked for synctest, unlike one on a network connection.
type pipeListener struct {
	connections chan net.Conn
	closed      chan struct{}
	once        sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.connections:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }
