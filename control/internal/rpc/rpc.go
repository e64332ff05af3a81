// Package rpc has the parts that the services of a control member share: checks
// of who may send requests, limits of message sizes, and the mapping of errors
// to those that clients receive.
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
	// MetaHolder is the key for the address of the node that holds a backend
	// server name which another node tried to register.
	MetaHolder = "Jujubeknot-Holder"
)

// MaxMessageBytes limits the size of one received message. The request ids of
// the moves in flight at one node fit into it.
const MaxMessageBytes = 64 << 20

// CompressMinBytes is the size in bytes from which responses are compressed. A
// renewal's response has less than 20 bytes, and resetting a gzip writer would
// cost more than the rest of the renewal.
const CompressMinBytes = 1 << 10

// Error returns the connect error that the client of a service receives for an
// error. It returns nil for a nil error.
func Error(err error) error {
	var notLeader *replica.NotLeaderError
	var nameTaken *leader.NameTakenError
	var earlierBoot *leader.EarlierBootError
	var invalid *leader.InvalidError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &notLeader):
		e := connect.NewError(connect.CodeUnavailable, notLeader)
		e.Meta().Set(headers.Leader, notLeader.Address)
		return e
	case errors.As(err, &nameTaken):
		e := connect.NewError(connect.CodeAlreadyExists, nameTaken)
		e.Meta().Set(MetaHolder, nameTaken.Address)
		return e
	case errors.As(err, &earlierBoot):
		return connect.NewError(connect.CodeAlreadyExists, earlierBoot)
	case errors.As(err, &invalid):
		return connect.NewError(connect.CodeInvalidArgument, invalid)
	case errors.Is(err, leader.ErrLeaseEnded):
		return connect.NewError(connect.CodeFailedPrecondition, err)
	case errors.Is(err, leader.ErrStreamReplaced):
		return connect.NewError(connect.CodeAborted, err)
	case errors.Is(err, context.Canceled):
		return connect.NewError(connect.CodeCanceled, err)
	case errors.Is(err, context.DeadlineExceeded):
		return connect.NewError(connect.CodeDeadlineExceeded, err)
	default:
		return connect.NewError(connect.CodeUnavailable, err)
	}
}

// OperatorError returns the connect error that an operator receives for an
// error. It contains the leader's address for operators. Changes that cannot be
// made get the code FailedPrecondition, and changes that may succeed in another
// attempt get Aborted.
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

// RequireSecret returns a handler that passes on requests with the secret as
// bearer token and refuses others. It panics if the secret is empty, because
// that would admit everyone.
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

// RequireLoopback returns a handler that passes on requests from loopback
// addresses and refuses others.
func RequireLoopback(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		host, _, err := net.SplitHostPort(r.RemoteAddr)
		address, parseErr := netip.ParseAddr(host)
		if err != nil || parseErr != nil || !address.Unmap().IsLoopback() {
			refuse(w, r, connect.CodePermissionDenied, fmt.Sprintf("requests from %s are refused; only loopback addresses are admitted", host))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// refuse responds with an error in the protocol of the request.
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
	// If writing fails, the connection is broken and the error cannot be
	// reported.
	_ = writer.Write(w, r, connect.NewError(code, errors.New(message)))
}
