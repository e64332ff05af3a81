package operator

import (
	"fmt"
	"net/netip"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/wire/headers"
	"github.com/jujubeknot/jujubeknot/wire/leader"
)

// RefusedError is returned if control refused the request and changed nothing.
type RefusedError struct {
	// Address is the address of the member that refused.
	Address netip.AddrPort
	cause   error
}

// Error contains the message and the status code of control's response.
func (e *RefusedError) Error() string {
	var c *connect.Error
	if errors.As(e.cause, &c) {
		return fmt.Sprintf("control refused: %s (%s)", c.Message(), c.Code())
	}
	return "control refused: " + e.cause.Error()
}

// Invalid reports whether a retry of the same request would be refused as well:
// the request names something that does not exist, or asks for a change that
// cannot be made.
func (e *RefusedError) Invalid() bool {
	switch connect.CodeOf(e.cause) {
	case connect.CodeInvalidArgument, connect.CodeNotFound, connect.CodeFailedPrecondition, connect.CodeAlreadyExists:
		return true
	default:
		return false
	}
}

// Unwrap returns the error of the call.
func (e *RefusedError) Unwrap() error { return e.cause }

// UnreachableError is returned if no member accepted the request in time. Nothing
// was changed.
type UnreachableError struct {
	cause error
	// busy means that the leader responded that it could not accept the request yet.
	busy bool
}

// Error contains the last failure.
func (e *UnreachableError) Error() string {
	if e.busy {
		return "control could not take the request in time, nothing was changed; last answer: " + e.cause.Error()
	}
	return "control is not reachable, nothing was changed; last failure: " + e.cause.Error()
}

// Unwrap returns the error of the last failed attempt.
func (e *UnreachableError) Unwrap() error { return e.cause }

// UnknownOutcomeError is returned if a request may have been sent and no response
// arrived. The request may have taken effect, or may still take effect.
type UnknownOutcomeError struct {
	cause error
}

// Error contains the last failure.
func (e *UnknownOutcomeError) Error() string {
	return "no answer from control; last failure: " + e.cause.Error()
}

// Unwrap returns the error of the last failed attempt.
func (e *UnknownOutcomeError) Unwrap() error { return e.cause }

// failureKind is the consequence of a failed attempt for the call.
type failureKind int

const (
	// failureNotAccepted means that the member did not accept the request.
	failureNotAccepted failureKind = iota
	// failureOutcomeUnknown means that the member may have accepted the request.
	failureOutcomeUnknown
	// failureRefused means that the leader refused the request, so that the call ends
	// without a retry.
	failureRefused
	// failureBusy means that the leader did not accept the request, and may accept
	// it later.
	failureBusy
)

// failure is the classified error of an attempt.
type failure struct {
	kind failureKind
	// accessDenied means that the member refused the caller's credentials. Such a
	// refusal is ignored if the address comes from another member's response:
	// members of earlier versions name the leader's listener for members and nodes.
	accessDenied bool
	// notLeader means that the member reported that it is not the leader. leader is
	// the address that it named, if any.
	notLeader bool
	leader    netip.AddrPort
}

// classify returns the failure for the error of an attempt. Without a connection,
// the member cannot have accepted the request.
func classify(err error, connected bool) failure {
	if !connected {
		return failure{}
	}
	var c *connect.Error
	if !errors.As(err, &c) {
		return failure{kind: failureOutcomeUnknown}
	}
	if _, ok := c.Meta()[headers.Leader]; ok {
		return failure{notLeader: true, leader: leader.FromError(err)}
	}
	if c.Code() == connect.CodeUnimplemented {
		// The listener at this address does not serve the Operator service.
		return failure{}
	}
	if !connect.IsWireError(err) {
		return failure{kind: failureOutcomeUnknown}
	}
	switch c.Code() {
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded, connect.CodeCanceled, connect.CodeUnknown,
		connect.CodeInternal:
		return failure{kind: failureOutcomeUnknown}
	case connect.CodeAborted:
		return failure{kind: failureBusy}
	default:
		accessDenied := c.Code() == connect.CodeUnauthenticated || c.Code() == connect.CodePermissionDenied
		return failure{kind: failureRefused, accessDenied: accessDenied}
	}
}
