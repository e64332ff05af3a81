package operator

import (
	"fmt"
	"net/netip"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/wire/headers"
	"github.com/jujubeknot/jujubeknot/wire/leader"
)

// RefusedError means that control answered and changed nothing.
type RefusedError struct {
	Address netip.AddrPort
	cause   error
}

// Error has the words of control.
func (e *RefusedError) Error() string {
	var c *connect.Error
	if errors.As(e.cause, &c) {
		return fmt.Sprintf("control refused: %s (%s)", c.Message(), c.Code())
	}
	return "control refused: " + e.cause.Error()
}

// Invalid reports whether the request cannot be fulfilled as it is, so that a
// repeat gets the same answer: it names what does not exist, or asks for a
// change that cannot be made.
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

// UnreachableError means that no member took the request, so that it changed
// nothing.
type UnreachableError struct {
	cause error
	// busy: the leader answered, and could not take the request yet.
	busy bool
}

// Error has the last failure.
func (e *UnreachableError) Error() string {
	if e.busy {
		return "control could not take the request in time, nothing was changed; last answer: " + e.cause.Error()
	}
	return "control is not reachable, nothing was changed; last failure: " + e.cause.Error()
}

// Unwrap returns the last failure.
func (e *UnreachableError) Unwrap() error { return e.cause }

// UnknownOutcomeError means that a request was sent and its answer is not known: it
// may have taken effect, or may still.
type UnknownOutcomeError struct {
	cause error
}

// Error has the last failure.
func (e *UnknownOutcomeError) Error() string {
	return "no answer from control; last failure: " + e.cause.Error()
}

// Unwrap returns the last failure.
func (e *UnknownOutcomeError) Unwrap() error { return e.cause }

// failureKind says what a failed attempt means for the call.
type failureKind int

const (
	// failureNotTaken: this member did not take the request.
	failureNotTaken failureKind = iota
	// failureLost: the request may have been taken.
	failureLost
	// failureRefused: the leader refused the request for good.
	failureRefused
	// failureBusy: the leader did not take the request and may do so later.
	failureBusy
)

type failure struct {
	kind failureKind
	// access: the refusal concerns the sender. From an address that only a
	// member named it means nothing: members of earlier versions name the
	// leader's listener for members and nodes.
	access bool
	// notLeader: the member said that it does not lead. leader is the address
	// that it named.
	notLeader bool
	leader    netip.AddrPort
}

// classify judges the error of an attempt. Without a connection the request
// cannot have been taken.
func classify(err error, connected bool) failure {
	if !connected {
		return failure{}
	}
	var c *connect.Error
	if !errors.As(err, &c) {
		return failure{kind: failureLost}
	}
	if _, ok := c.Meta()[headers.Leader]; ok {
		return failure{notLeader: true, leader: leader.FromError(err)}
	}
	if c.Code() == connect.CodeUnimplemented {
		// The address is not an operator listener.
		return failure{}
	}
	if !connect.IsWireError(err) {
		return failure{kind: failureLost}
	}
	switch c.Code() {
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded, connect.CodeCanceled, connect.CodeUnknown,
		connect.CodeInternal:
		return failure{kind: failureLost}
	case connect.CodeAborted:
		return failure{kind: failureBusy}
	default:
		access := c.Code() == connect.CodeUnauthenticated || c.Code() == connect.CodePermissionDenied
		return failure{kind: failureRefused, access: access}
	}
}
