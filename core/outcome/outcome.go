// Package outcome decides whether a request that was not answered by a backend
// server could have run, what its caller is told, and whether it may be sent
// again.
package outcome

import "time"

// Outcome says whether a refused request may have run.
type Outcome int

// Outcomes of a refused request.
const (
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = iota
	// OutcomeNotRun means that no backend server ran the request and none will.
	OutcomeNotRun
)

// String returns the outcome as it is written in headers and refusal bodies.
func (o Outcome) String() string {
	if o == OutcomeNotRun {
		return "notRun"
	}
	return "unknown"
}

// Reason says why a request was refused.
type Reason string

// Reasons of refusals, as they are written in refusal bodies.
const (
	ReasonNoRoute Reason = "noRoute"
	ReasonNoRules Reason = "noRules"
	// ReasonOldRules means that the node that received the request from the
	// caller has older rules than the node that it forwarded the request to.
	ReasonOldRules   Reason = "oldRules"
	ReasonNoKey      Reason = "noKey"
	ReasonBadRequest Reason = "badRequest"
	ReasonNoOwner    Reason = "noOwner"
	ReasonNotOwner   Reason = "notOwner"
	// ReasonNotHeld means that the owner's backend server has no grant for the
	// key's partition.
	ReasonNotHeld          Reason = "notHeld"
	ReasonMoving           Reason = "moving"
	ReasonNoLease          Reason = "noLease"
	ReasonQueueFull        Reason = "queueFull"
	ReasonProcessorBusy    Reason = "processorBusy"
	ReasonMemoryBusy       Reason = "memoryBusy"
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
	// ReasonTableFull means that the request table has no room for another
	// non-idempotent request until the window of an earlier one has passed.
	ReasonTableFull Reason = "requestTableFull"
	// ReasonUnknownAPIKey means that the request has no API key, or one that the
	// rules do not list.
	ReasonUnknownAPIKey Reason = "unknownApiKey"
	// ReasonParentNotRunning means that a nested call without API key states a parent
	// that the backend server beside the node does not run. The node may have been
	// restarted meanwhile.
	ReasonParentNotRunning Reason = "parentNotRunning"
	// ReasonQuota means that the organisation has used up its quota.
	ReasonQuota Reason = "quota"
)

// Refusal is an answer to a request that comes from a node instead of a backend
// server. It implements error.
type Refusal struct {
	Outcome Outcome
	Reason  Reason
	// RetryAfter is the time after which the caller should retry, 0 for none.
	RetryAfter time.Duration
	RequestID  string
}

// Error returns the outcome and the reason.
func (r *Refusal) Error() string {
	return r.Outcome.String() + ": " + string(r.Reason)
}
