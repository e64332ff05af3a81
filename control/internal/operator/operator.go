// Package operator serves the Operator service to operators.
package operator

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/jujubeknot/jujubeknot/control/internal/leader"
	"github.com/jujubeknot/jujubeknot/control/internal/replica"
	"github.com/jujubeknot/jujubeknot/control/internal/rpc"
	"github.com/jujubeknot/jujubeknot/core/cluster"
	"github.com/jujubeknot/jujubeknot/core/rules"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
	"github.com/jujubeknot/jujubeknot/wire/v1/wirev1connect"
)

// Server implements the Operator service. It is safe for concurrent use.
type Server struct {
	leader *leader.Leader
	log    replica.Log
	logger zerolog.Logger
}

// Handler returns the path and the HTTP handler of the service. The HTTP
// handler does not authenticate requests. The caller of Handler must do so.
func Handler(l *leader.Leader, log replica.Log, logger zerolog.Logger) (string, http.Handler) {
	return wirev1connect.NewOperatorHandler(&Server{l, log, logger}, connect.WithReadMaxBytes(2*cluster.MaxRulesBytes))
}

// ApplyRules replaces the rules if the change is based on the current revision.
// A repeated change gets the earlier response, even if its text has errors
// against the rules that are in effect now.
func (s *Server) ApplyRules(ctx context.Context, r *connect.Request[wirev1.ApplyRulesRequest]) (*connect.Response[wirev1.ApplyRulesResponse], error) {
	if err := s.log.Confirm(ctx); err != nil {
		return nil, rpc.OperatorError(err)
	}
	state := s.log.State()
	if errs := check(state, r.Msg); len(errs) > 0 {
		s.logger.Info().Str("author", r.Msg.GetAuthor()).Uint64("base", r.Msg.GetBaseRevision()).Int("faults", len(errs)).Msg("rules refused")
		return connect.NewResponse(invalid(state, errs)), nil
	}
	if r.Msg.GetBaseRevision() > state.Revision() {
		// The check above did not use the revision that the change is based on, so
		// the change must not be proposed.
		return connect.NewResponse(&wirev1.ApplyRulesResponse{
			Outcome: wirev1.ApplyRulesResponse_OUTCOME_CONFLICT, Revision: state.Revision(),
		}), nil
	}
	result, err := s.log.Propose(ctx, &wirev1.Command{Kind: &wirev1.Command_ApplyRules{ApplyRules: &wirev1.ApplyRules{
		BaseRevision: r.Msg.GetBaseRevision(), Text: r.Msg.GetText(), RequestId: r.Msg.GetRequestId(), Author: r.Msg.GetAuthor(),
		AcceptedUnixMs: time.Now().UnixMilli(),
	}}})
	if err != nil {
		return nil, rpc.OperatorError(fmt.Errorf("propose rules change: %w", err))
	}
	response := &wirev1.ApplyRulesResponse{Revision: result.Revision}
	switch result.Code {
	case cluster.CodeApplied:
		response.Outcome = wirev1.ApplyRulesResponse_OUTCOME_ACCEPTED
	case cluster.CodeUnchanged:
		response.Outcome = wirev1.ApplyRulesResponse_OUTCOME_UNCHANGED
	case cluster.CodeConflict:
		response.Outcome = wirev1.ApplyRulesResponse_OUTCOME_CONFLICT
	default:
		response.Outcome = wirev1.ApplyRulesResponse_OUTCOME_INVALID
	}
	if response.Outcome != wirev1.ApplyRulesResponse_OUTCOME_ACCEPTED && result.Message != "" {
		response.Errors = []*wirev1.RuleError{{Message: result.Message}}
	}
	s.logger.Info().Str("author", r.Msg.GetAuthor()).Uint64("base", r.Msg.GetBaseRevision()).Uint64("revision", result.Revision).
		Stringer("result", result.Code).Str("why", result.Message).Msg("rules change")
	return connect.NewResponse(response), nil
}

// check returns the errors of a rules text. If the change is based on the
// current revision, they include errors against the rules that it replaces.
func check(state *cluster.State, request *wirev1.ApplyRulesRequest) rules.Errors {
	after, errs := rules.Parse(request.GetText())
	if len(errs) > 0 || request.GetBaseRevision() != state.Revision() {
		return errs
	}
	before, _ := rules.Parse(state.Rules().GetText())
	errs = rules.CheckChange(before, after)
	for _, u := range after.Upstreams {
		if _, found := before.Upstream(u.Name); found || !u.Keyed {
			continue
		}
		// The upstream was removed by an earlier revision and its partitions still
		// have owners.
		if n := state.PartitionCount(u.Name); n > 0 && n != u.Partitions {
			errs = append(errs, rules.Error{Line: u.Comment.Line, Column: 1, Message: fmt.Sprintf(
				"upstream %s had %d partitions before; expected the same number or another name", u.Name, n)})
		}
	}
	return errs
}

func invalid(state *cluster.State, errs rules.Errors) *wirev1.ApplyRulesResponse {
	response := &wirev1.ApplyRulesResponse{Outcome: wirev1.ApplyRulesResponse_OUTCOME_INVALID, Revision: state.Revision()}
	for _, e := range errs {
		response.Errors = append(response.Errors, &wirev1.RuleError{Line: uint32(e.Line), Column: uint32(e.Column), Message: e.Message})
	}
	return response
}

// GetRules returns a revision of the rules. Revision 0 means the current one.
func (s *Server) GetRules(ctx context.Context, r *connect.Request[wirev1.GetRulesRequest]) (*connect.Response[wirev1.GetRulesResponse], error) {
	if err := s.log.Confirm(ctx); err != nil {
		return nil, rpc.OperatorError(err)
	}
	state := s.log.State()
	revision := state.Rules()
	if r.Msg.GetRevision() != 0 {
		revision = state.RulesAt(r.Msg.GetRevision())
	}
	if revision == nil && r.Msg.GetRevision() != 0 {
		return nil, connect.NewError(connect.CodeNotFound, errors.Errorf("rules revision %d is not stored; the current one is %d", r.Msg.GetRevision(), state.Revision()))
	}
	if revision == nil {
		revision = &wirev1.RulesRevision{}
	}
	return connect.NewResponse(&wirev1.GetRulesResponse{Rules: revision}), nil
}

// History returns the latest revisions, the current one first.
func (s *Server) History(ctx context.Context, r *connect.Request[wirev1.HistoryRequest]) (*connect.Response[wirev1.HistoryResponse], error) {
	if err := s.log.Confirm(ctx); err != nil {
		return nil, rpc.OperatorError(err)
	}
	return connect.NewResponse(&wirev1.HistoryResponse{Revisions: s.log.State().History(int(r.Msg.GetLimit()))}), nil
}

// Status returns the nodes, control members, leases and moves.
func (s *Server) Status(ctx context.Context, _ *connect.Request[wirev1.StatusRequest]) (*connect.Response[wirev1.StatusResponse], error) {
	response, err := s.leader.Status(ctx)
	if err != nil {
		return nil, rpc.OperatorError(err)
	}
	return connect.NewResponse(response), nil
}

// Explain returns the owner of a key and the latest moves of its partition.
func (s *Server) Explain(ctx context.Context, r *connect.Request[wirev1.ExplainRequest]) (*connect.Response[wirev1.ExplainResponse], error) {
	response, err := s.leader.Explain(ctx, r.Msg.GetUpstream(), r.Msg.GetKey())
	if err != nil {
		return nil, rpc.OperatorError(err)
	}
	return connect.NewResponse(response), nil
}

// Drain starts or ends draining of the node of one backend server.
func (s *Server) Drain(ctx context.Context, r *connect.Request[wirev1.DrainRequest]) (*connect.Response[wirev1.DrainResponse], error) {
	response, err := s.leader.Drain(ctx, r.Msg.GetServer(), r.Msg.GetUndo())
	if err != nil {
		return nil, rpc.OperatorError(err)
	}
	return connect.NewResponse(response), nil
}

// ChangeMembers adds or removes one control member.
func (s *Server) ChangeMembers(ctx context.Context, r *connect.Request[wirev1.ChangeMembersRequest]) (*connect.Response[wirev1.ChangeMembersResponse], error) {
	add, remove := r.Msg.GetAdd(), r.Msg.GetRemove()
	if (add == nil) == (remove == 0) {
		return nil, rpc.OperatorError(&leader.InvalidError{Message: "exactly one of add and remove must be set"})
	}
	if add != nil {
		if _, err := netip.ParseAddrPort(add.GetAddress()); err != nil || add.GetId() == 0 {
			return nil, rpc.OperatorError(&leader.InvalidError{Message: fmt.Sprintf("member %d at %q: expected an id of at least 1 and an IP address with port", add.GetId(), add.GetAddress())})
		}
	}
	members, err := s.log.ChangeMembers(ctx, add, remove)
	if err != nil {
		return nil, rpc.OperatorError(fmt.Errorf("change control members: %w", err))
	}
	s.logger.Info().Uint64("added", add.GetId()).Uint64("removed", remove).Int("members", len(members)).Msg("members changed")
	return connect.NewResponse(&wirev1.ChangeMembersResponse{Members: members}), nil
}
