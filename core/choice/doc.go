// Package choice selects a node for requests of upstreams that are not divided
// by key. A policy sees only what this node itself sent and got back, because
// load reports of others lag behind.
package choice

import "time"

// Candidate is a node that may be chosen.
type Candidate struct {
	Incarnation      uint64
	AvailabilityZone string
	// Cold is true while the node's backend server is in cold start.
	Cold bool
}

// Result says how a request to a chosen node ended.
type Result int

// Kinds of ends.
const (
	ResultOK Result = iota
	// ResultShed means that the node or its backend server refused the request
	// because of load.
	ResultShed
	// ResultRefused means that the node or its backend server was not reached.
	ResultRefused
	ResultTimeout
	// ResultCancelled means that the caller or a faster copy ended the request.
	ResultCancelled
	// ResultFailed means that the response was lost or incomplete.
	ResultFailed
)

// String returns the kind for logs.
func (k Result) String() string {
	switch k {
	case ResultOK:
		return "ok"
	case ResultShed:
		return "shed"
	case ResultRefused:
		return "refused"
	case ResultTimeout:
		return "timeout"
	case ResultCancelled:
		return "cancelled"
	default:
		return "failed"
	}
}

// Reason says why a node was chosen, for logs.
type Reason string

// Reasons of choices.
const (
	ReasonOnlyOne       Reason = "onlyOne"
	ReasonLowerCost     Reason = "lowerCost"
	ReasonSameZone      Reason = "sameZone"
	ReasonProbe         Reason = "probe"
	ReasonAllAvoided    Reason = "allAvoided"
	ReasonRandom        Reason = "random"
	ReasonRoundRobin    Reason = "roundRobin"
	ReasonLeastInFlight Reason = "leastInFlight"
)

// Policy chooses among nodes. Implementations are deterministic for a seed and
// are not safe for concurrent use. Candidates must be in the same order on
// each call for a run to be repeatable; Pick does not change them.
type Policy interface {
	// Pick chooses a candidate for a request whose answer is late after the target,
	// 0 for none. It reports false only if there is none.
	Pick(now time.Time, candidates []Candidate, target time.Duration) (Candidate, Reason, bool)
	// Sent reports that a request was sent to the node.
	Sent(now time.Time, incarnation uint64)
	// Done reports how a request that was reported with Sent ended, and the
	// time since then.
	Done(now time.Time, incarnation uint64, latency time.Duration, kind Result)
}
