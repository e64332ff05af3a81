package member

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/wire/headers"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
	"github.com/jujubeknot/jujubeknot/wire/v1/wirev1connect"
)

// Handler returns the path and the handler of MemberService. Requests need the
// shared secret, which is checked before the body is read.
func (t *Transport) Handler() (string, http.Handler) {
	path, handler := wirev1connect.NewMemberServiceHandler(service{t}, connect.WithReadMaxBytes(maxRequestBytes),
		// Responses are empty, and compressing them costs more than the rest.
		connect.WithCompression("gzip", nil, nil))
	return path, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !t.authorized(r.Header) {
			t.config.Logger.Warn().Str("remote", r.RemoteAddr).Str("path", r.URL.Path).Msg("refused a request without the secret of the members")
			http.Error(w, "the secret of the members is missing or wrong", http.StatusForbidden)
			return
		}
		handler.ServeHTTP(w, r)
	})
}

func (t *Transport) authorize(header http.Header) {
	header.Set(headers.MemberSecret, t.config.Secret)
}

// authorized compares hashes, so that the time taken tells neither content nor
// length of the secret.
func (t *Transport) authorized(header http.Header) bool {
	want, got := sha256.Sum256([]byte(t.config.Secret)), sha256.Sum256([]byte(header.Get(headers.MemberSecret)))
	return subtle.ConstantTimeCompare(want[:], got[:]) == 1
}

func (t *Transport) checkGroup(id string) error {
	if id == t.config.GroupID {
		return nil
	}
	return connect.NewError(connect.CodePermissionDenied,
		errors.Errorf("request is for group %q, this member is in group %q", id, t.config.GroupID))
}

// service implements wirev1connect.MemberServiceHandler.
type service struct {
	transport *Transport
}

// Step passes messages on. It does not wait until they are handled.
func (s service) Step(_ context.Context, request *connect.Request[wirev1.StepRequest]) (*connect.Response[wirev1.StepResponse], error) {
	if err := s.transport.checkGroup(request.Msg.GroupId); err != nil {
		return nil, err
	}
	for _, m := range request.Msg.Messages {
		if m == nil || m.From == 0 || m.From != request.Msg.Messages[0].From {
			return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("messages of one request need the same sender"))
		}
	}
	if len(request.Msg.Messages) > 0 {
		s.transport.learn(request.Msg.Messages[0].From, request.Msg.Address)
		// Before the messages are handled, so that a member that learns of a new
		// leader can name its operator address at once.
		s.transport.learnOperator(request.Msg.Messages[0].From, request.Header().Get(headers.MemberOperator))
		s.transport.config.Receive(request.Msg.Messages)
	}
	return connect.NewResponse(&wirev1.StepResponse{}), nil
}

// Join answers a member that asks to be added.
func (s service) Join(_ context.Context, request *connect.Request[wirev1.JoinRequest]) (*connect.Response[wirev1.JoinResponse], error) {
	if err := s.transport.checkGroup(request.Msg.GroupId); err != nil {
		return nil, err
	}
	if s.transport.config.HandleJoin == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, errors.New("operators add members to this group"))
	}
	response, err := s.transport.config.HandleJoin(request.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(response), nil
}

// Form answers a member that has no log yet.
func (s service) Form(_ context.Context, request *connect.Request[wirev1.FormRequest]) (*connect.Response[wirev1.FormResponse], error) {
	if err := s.transport.checkGroup(request.Msg.GroupId); err != nil {
		return nil, err
	}
	response, err := s.transport.config.HandleForm(request.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(response), nil
}
