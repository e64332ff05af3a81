// Package rpc has what the services of a control member share: bearer tokens
// and the errors that callers see.
package rpc

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/control/internal/leader"
	"github.com/jujubeknot/jujubeknot/control/internal/replica"
	"github.com/jujubeknot/jujubeknot/wire/headers"
)

// Keys of error metadata.
const (
	// MetaHolder has the address of the node that holds a claimed backend
	// server name.
	MetaHolder = "Jujubeknot-Holder"
)

// MaxMessageBytes bounds one received message: the request ids of the moves
// in flight at one node fit in.
const MaxMessageBytes = 64 << 20

// CompressMinBytes is the size from which responses are compressed. Resetting a
// gzip writer costs more than the rest of a renewal, whose response has less
// than 20 bytes.
const CompressMinBytes = 1 << 10

// Error returns the error that the caller of a service gets.
func Error(err error) error {
	var notLeader *replica.NotLeaderError
	var taken *leader.NameTakenError
	var earlier *leader.EarlierLifeError
	var invalid *leader.InvalidError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &notLeader):
		e := connect.NewError(connect.CodeUnavailable, notLeader)
		e.Meta().Set(headers.Leader, notLeader.Address)
		return e
	case errors.As(err, &taken):
		e := connect.NewError(connect.CodeAlreadyExists, taken)
		e.Meta().Set(MetaHolder, taken.Address)
		return e
	case errors.As(err, &earlier):
		return connect.NewError(connect.CodeAlreadyExists, earlier)
	case errors.As(err, &invalid):
		return connect.NewError(connect.CodeInvalidArgument, invalid)
	case errors.Is(err, leader.ErrRegisterAnew):
		return connect.NewError(connect.CodeFailedPrecondition, err)
	case errors.Is(err, leader.ErrReplaced):
		return connect.NewError(connect.CodeAborted, err)
	case errors.Is(err, context.Canceled):
		return connect.NewError(connect.CodeCanceled, err)
	case errors.Is(err, context.DeadlineExceeded):
		return connect.NewError(connect.CodeDeadlineExceeded, err)
	default:
		return connect.NewError(connect.CodeUnavailable, err)
	}
}

// OperatorError returns the error that operators get. It names the leader by
// its address for operators, and tells changes that cannot be made from those
// that were not taken this time.
func OperatorError(err error) error {
	var notLeader *replica.NotLeaderError
	var invalid *replica.InvalidChangeError
	switch {
	case errors.As(err, &notLeader):
		return Error(&replica.NotLeaderError{Address: notLeader.OperatorAddress})
	case errors.As(err, &invalid):
		return connect.NewError(connect.CodeFailedPrecondition, invalid)
	case errors.Is(err, replica.ErrBusy), errors.Is(err, replica.ErrChangePending), errors.Is(err, leader.ErrServerChanged):
		return connect.NewError(connect.CodeAborted, err)
	}
	return Error(err)
}

// RequireSecret admits requests that carry a secret as bearer token. It
// panics if the secret is empty, which would admit everyone.
func RequireSecret(secret string, next http.Handler) http.Handler {
	if secret == "" {
		panic("rpc: empty secret")
	}
	want := sha256.Sum256([]byte(secret))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		got := sha256.Sum256([]byte(token))
		if !found || subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			refuse(w, r, connect.CodeUnauthenticated, "wrong or missing bearer token")
			return
		}
		next.ServeHTTP(w, r)
	})
}

// RequireLoopback admits requests from this machine alone.
func RequireLoopback(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		host, _, err := net.SplitHostPort(r.RemoteAddr)
		address, parseErr := netip.ParseAddr(host)
		if err != nil || parseErr != nil || !address.Unmap().IsLoopback() {
			refuse(w, r, connect.CodePermissionDenied, fmt.Sprintf("requests from %s are not admitted, only those from loopback", host))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// refuse writes an error in the protocol of the request.
func refuse(w http.ResponseWriter, r *http.Request, code connect.Code, message string) {
	writer := connect.NewErrorWriter()
	if !writer.IsSupported(r) {
		status := http.StatusForbidden
		if code == connect.CodeUnauthenticated {
			status = http.StatusUnauthorized
		}
		http.Error(w, message, status)
		return
	}
	// The connection is gone if writing fails; there is no one to tell.
	_ = writer.Write(w, r, connect.NewError(code, errors.New(message)))
}
