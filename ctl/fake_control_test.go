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

// fakeControl is a control group behind net.Pipe connections. Rules go through
// the real state machine; nodes and members are what a test sets.
type fakeControl struct {
	wirev1connect.UnimplementedOperatorHandler

	mu      sync.Mutex
	state   *cluster.State
	nodes   []*wirev1.NodeStatus
	members []*wirev1.Member
	// statusCalls counts calls; onStatus runs before each answer.
	statusCalls int
	onStatus    func(f *fakeControl)
	// applied counts the rules changes that arrived, changed those of members.
	applied int
	changed int
	// refuse is the answer to a change of members, and busy the number of times
	// that a change is not taken.
	refuse error
	busy   int
	// loseAnswers is the number of changes whose answer gets lost after they
	// took effect.
	loseAnswers int
	secret      string
	leader      netip.AddrPort
	// hint is what members name as the leader's address, empty for leader.
	hint string
	// electedAt is when the leader begins to answer; before, members know no
	// leader.
	electedAt time.Time
	// silent addresses swallow packets, absent ones refuse connections.
	silent map[string]bool
	absent map[string]bool
	// asked lists the addresses in the order of requests.
	asked []string

	servers   map[string]*http.Server
	listeners map[string]*pipeListener
}

var leaderAddress = netip.MustParseAddrPort("10.0.0.1:7102")

func newFakeControl() *fakeControl {
	f := &fakeControl{
		state: &cluster.State{}, leader: leaderAddress, silent: map[string]bool{}, absent: map[string]bool{},
		servers: map[string]*http.Server{}, listeners: map[string]*pipeListener{},
	}
	for i := range 3 {
		f.members = append(f.members, &wirev1.Member{Id: uint64(i + 1), Address: fmt.Sprintf("10.0.0.%d:7101", i+1)})
		f.serve(fmt.Sprintf("10.0.0.%d:7101", i+1))
		f.serve(fmt.Sprintf("10.0.0.%d:7102", i+1))
	}
	return f
}

// serve begins a listener: for operators at port 7102, for members at 7101.
func (f *fakeControl) serve(address string) {
	listener := &pipeListener{connections: make(chan net.Conn), closed: make(chan struct{})}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	mux := http.NewServeMux()
	mux.Handle(wirev1connect.NewOperatorHandler(f, connect.WithInterceptors(f.guard(address))))
	server := &http.Server{Handler: mux, Protocols: protocols, ReadHeaderTimeout: time.Minute}
	f.servers[address], f.listeners[address] = server, listener
	go func() { _ = server.Serve(listener) }()
}

func (f *fakeControl) close() {
	for _, s := range f.servers {
		_ = s.Close()
	}
}

// dial connects to a member, or fails as the test says.
func (f *fakeControl) dial(ctx context.Context, network, address string) (net.Conn, error) {
	f.mu.Lock()
	silent, absent, listener := f.silent[address], f.absent[address], f.listeners[address]
	f.mu.Unlock()
	if silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if absent || listener == nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: errors.New("connection refused")}
	}
	near, far := net.Pipe()
	select {
	case listener.connections <- far:
		return near, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// guard refuses wrong secrets and answers in place of members without the
// lead.
func (f *fakeControl) guard(address string) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			f.mu.Lock()
			f.asked = append(f.asked, address)
			leads := address == f.leader.String() && !time.Now().Before(f.electedAt)
			known := !time.Now().Before(f.electedAt)
			f.mu.Unlock()
			if strings.HasSuffix(address, ":7101") {
				return nil, connect.NewError(connect.CodeUnauthenticated, errors.New("not a member"))
			}
			if f.secret != "" && r.Header().Get("Authorization") != "Bearer "+f.secret {
				return nil, connect.NewError(connect.CodeUnauthenticated, errors.New("the secret is missing or wrong"))
			}
			if !leads {
				err := connect.NewError(connect.CodeUnavailable, errors.New("not the leader"))
				hint := ""
				if known {
					hint = cmp.Or(f.hint, f.leader.String())
				}
				err.Meta().Set("Jujubeknot-Leader", hint)
				return nil, err
			}
			return next(ctx, r)
		}
	}
}

// lose ends the connection without an answer as often as the test says.
func (f *fakeControl) lose() {
	if f.loseAnswers > 0 {
		f.loseAnswers--
		panic(http.ErrAbortHandler)
	}
}

func (f *fakeControl) ApplyRules(_ context.Context, r *connect.Request[wirev1.ApplyRulesRequest]) (*connect.Response[wirev1.ApplyRulesResponse], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applied++
	set, faults := rules.Parse(r.Msg.GetText())
	if before, _ := rules.Parse(f.state.Rules().GetText()); len(faults) == 0 {
		faults = rules.CheckChange(before, set)
	}
	if len(faults) > 0 {
		answer := &wirev1.ApplyRulesResponse{Outcome: wirev1.ApplyRulesResponse_OUTCOME_INVALID}
		for _, e := range faults {
			answer.Errors = append(answer.Errors, &wirev1.RuleError{Line: uint32(e.Line), Column: uint32(e.Column), Message: e.Message})
		}
		return connect.NewResponse(answer), nil
	}
	var result cluster.Result
	f.state, result = f.state.Apply(f.state.Index()+1, &wirev1.Command{Kind: &wirev1.Command_ApplyRules{ApplyRules: &wirev1.ApplyRules{
		BaseRevision: r.Msg.GetBaseRevision(), Text: r.Msg.GetText(), RequestId: r.Msg.GetRequestId(), Author: r.Msg.GetAuthor(),
		AcceptedUnixMs: time.Now().UnixMilli(),
	}}})
	f.lose()
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
	answer := &wirev1.StatusResponse{
		Leader: 1, Term: 3, Index: f.state.Index() + 100, RulesRevision: f.state.Revision(), Nodes: f.nodes,
		UnassignedPartitions: 2, MovesInFlight: 1,
	}
	for i, m := range f.members {
		answer.Members = append(answer.Members, &wirev1.MemberStatus{
			Member: m, Leader: m.GetId() == 1, MatchIndex: answer.GetIndex() - uint64(5*i), AnswerAgeMs: uint64(12 * i),
		})
	}
	return connect.NewResponse(answer), nil
}

func (f *fakeControl) Explain(_ context.Context, r *connect.Request[wirev1.ExplainRequest]) (*connect.Response[wirev1.ExplainResponse], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	partition := keyspace.Partition(keyspace.Hash(r.Msg.GetKey()), 1024)
	move := func(owner, epoch, index uint64, reason string, planned bool) *wirev1.Assignment {
		return &wirev1.Assignment{
			Upstream: r.Msg.GetUpstream(), Partition: partition, Owner: owner, Epoch: epoch, SinceIndex: index, Reason: reason, Planned: planned,
		}
	}
	last := []*wirev1.Assignment{move(11, 3, 70, "rebalance", true), move(5, 2, 40, "ownerLost", false), move(10, 1, 20, "firstAssignment", false)}
	// The first one was made by a version that kept no time.
	last[0].SinceUnixMs, last[1].SinceUnixMs = 1796379000123, 1796292600000
	return connect.NewResponse(&wirev1.ExplainResponse{Assignment: last[0], Owner: f.nodes[0].GetNode(), LastMoves: last, WaitingFor: "zoneOut"}), nil
}

func (f *fakeControl) Drain(_ context.Context, r *connect.Request[wirev1.DrainRequest]) (*connect.Response[wirev1.DrainResponse], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		if n.GetNode().GetBackendServer().GetName() == r.Msg.GetServer() {
			n.Node.Draining = !r.Msg.GetUndo()
			f.lose()
			return connect.NewResponse(&wirev1.DrainResponse{Incarnation: n.GetNode().GetIncarnation(), PartitionsLeft: n.GetPartitions()}), nil
		}
	}
	return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("no backend server %q", r.Msg.GetServer()))
}

func (f *fakeControl) ChangeMembers(_ context.Context, r *connect.Request[wirev1.ChangeMembersRequest]) (*connect.Response[wirev1.ChangeMembersResponse], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changed++
	if f.busy > 0 {
		f.busy--
		return nil, connect.NewError(connect.CodeAborted, errors.New("another change of the members is not complete; nothing was changed"))
	}
	if f.refuse != nil {
		return nil, f.refuse
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
	f.lose()
	return connect.NewResponse(&wirev1.ChangeMembersResponse{Members: f.members}), nil
}

// pipeListener accepts the far ends of net.Pipe, which synctest can follow.
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
