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

// Handler returns the path and the handler of MemberService. Requests must
// carry the shared secret, which is checked before the body is read.
func (t *Transport) Handler() (string, http.Handler) {
	path, handler := wirev1connect.NewMemberServiceHandler(service{t}, connect.WithReadMaxBytes(maxRequestBytes),
		// Responses are empty. Compressing them would take longer than handling
		// the request.
		connect.WithCompression("gzip", nil, nil))
	return path, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !t.authorized(r.Header) {
			t.config.Logger.Warn().Str("remote", r.RemoteAddr).Str("path", r.URL.Path).Msg("refused a request with a missing or wrong member secret")
			http.Error(w, "the member secret is missing or wrong", http.StatusForbidden)
			return
		}
		handler.ServeHTTP(w, r)
	})
}

// authorize adds the shared secret to a request.
func (t *Transport) authorize(header http.Header) {
	header.Set(headers.MemberSecret, t.config.Secret)
}

// authorized reports whether a request has the shared secret. It compares
// hashes in constant time, so that the time taken reveals neither content nor
// length of the secret.
func (t *Transport) authorized(header http.Header) bool {
	want, got := sha256.Sum256([]byte(t.config.Secret)), sha256.Sum256([]byte(header.Get(headers.MemberSecret)))
	return subtle.ConstantTimeCompare(want[:], got[:]) == 1
}

// checkGroup returns an error for a request to another group.
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

// Step passes messages to Config.Receive. It does not wait until they are
// handled.
func (s service) Step(_ context.Context, request *connect.Request[wirev1.StepRequest]) (*connect.Response[wirev1.StepResponse], error) {
	if err := s.transport.checkGroup(request.Msg.GroupId); err != nil {
		return nil, err
	}
	for _, m := range request.Msg.Messages {
		if m == nil || m.From == 0 || m.From != request.Msg.Messages[0].From {
			return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("step: a message has no sender or another sender than the first one"))
		}
	}
	if len(request.Msg.Messages) > 0 {
		s.transport.learnAddress(request.Msg.Messages[0].From, request.Msg.Address)
		// The operator address is stored before the messages are handled. A
		// member that learns of a new leader from them can then return the
		// leader's operator address at once.
		s.transport.learnOperatorAddress(request.Msg.Messages[0].From, request.Header().Get(headers.MemberOperator))
		s.transport.config.Receive(request.Msg.Messages)
	}
	return connect.NewResponse(&wirev1.StepResponse{}), nil
}

// Join passes the request of a member to be added to Config.HandleJoin.
func (s service) Join(_ context.Context, request *connect.Request[wirev1.JoinRequest]) (*connect.Response[wirev1.JoinResponse], error) {
	if err := s.transport.checkGroup(request.Msg.GroupId); err != nil {
		return nil, err
	}
	if s.transport.config.HandleJoin == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, errors.New("join: only operators add members to this group"))
	}
	response, err := s.transport.config.HandleJoin(request.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(response), nil
}

// Announce passes the address of a member to Config.HandleAnnounce.
func (s service) Announce(_ context.Context, request *connect.Request[wirev1.AnnounceRequest]) (*connect.Response[wirev1.AnnounceResponse], error) {
	if err := s.transport.checkGroup(request.Msg.GroupId); err != nil {
		return nil, err
	}
	if s.transport.config.HandleAnnounce == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, errors.New("announce: only operators add members to this group"))
	}
	response, err := s.transport.config.HandleAnnounce(request.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return connect.NewResponse(response), nil
}

// Form passes the request of a member without a log to Config.HandleForm.
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
