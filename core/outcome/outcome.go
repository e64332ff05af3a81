// Package outcome decides what a caller may be told about a request that was
// not answered by a backend server, and whether it may be sent again.
package outcome

import "time"

// Outcome says whether a refused request could have run.
type Outcome int

// Outcomes of a refused request.
const (
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = iota
	// OutcomeNotRun means that no backend server ran the request or will run it.
	OutcomeNotRun
)

// String returns the outcome as it stands in headers and refusal bodies.
func (o Outcome) String() string {
	if o == OutcomeNotRun {
		return "notRun"
	}
	return "unknown"
}

// Reason says why a request was refused.
type Reason string

// Reasons of refusals, as they stand in refusal bodies.
const (
	ReasonNoRoute Reason = "noRoute"
	ReasonNoRules Reason = "noRules"
	// ReasonOldRules means that the node which a request came in at has older rules
	// than the one that it was sent to.
	ReasonOldRules   Reason = "oldRules"
	ReasonNoKey      Reason = "noKey"
	ReasonBadRequest Reason = "badRequest"
	ReasonNoOwner    Reason = "noOwner"
	ReasonNotOwner   Reason = "notOwner"
	// ReasonNotHeld means that the backend server of the owner does not hold the
	// key.
	ReasonNotHeld          Reason = "notHeld"
	ReasonMoving           Reason = "moving"
	ReasonNoLease          Reason = "noLease"
	ReasonQueueFull        Reason = "queueFull"
	ReasonProcessorBusy    Reason = "processorBusy"
	ReasonLinkBusy         Reason = "linkBusy"
	ReasonQueueTimeout     Reason = "queueTimeout"
	ReasonDeadline         Reason = "deadline"
	ReasonKeyShare         Reason = "keyShare"
	ReasonRateLimit        Reason = "rateLimit"
	ReasonCold             Reason = "cold"
	ReasonShed             Reason = "shed"
	ReasonUnreachable      Reason = "unreachable"
	ReasonConnectionLost   Reason = "connectionLost"
	ReasonAnswerIncomplete Reason = "answerIncomplete"
	ReasonResendUndecided  Reason = "resendUndecided"
	ReasonBarred           Reason = "barred"
	ReasonDepth            Reason = "depthExceeded"
	ReasonStopping         Reason = "stopping"
	ReasonCancelled        Reason = "cancelled"
	ReasonNoServer         Reason = "noServer"
	ReasonBodyTooLarge     Reason = "bodyTooLarge"
	// ReasonTableFull means that the request id table has no room for another
	// non-idempotent request inside its window.
	ReasonTableFull Reason = "requestTableFull"
)

// Refusal is the system's own answer to a request. It implements error.
type Refusal struct {
	Outcome    Outcome
	Reason     Reason
	RetryAfter time.Duration
	RequestID  string
}

// Error returns the outcome and the reason.
func (r *Refusal) Error() string {
	return r.Outcome.String() + ": " + string(r.Reason)
}
