// Package choice selects a node for requests of upstreams that are not keyed. A
// policy uses only what this node itself has sent and received, because load
// reports of other nodes are out of date when they arrive.
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

// Results of requests.
const (
	// ResultOK means that the response arrived.
	ResultOK Result = iota
	// ResultShed means that the node or its backend server refused the request
	// because of load.
	ResultShed
	// ResultRefused means that the node or its backend server was not reached.
	ResultRefused
	// ResultTimeout means that no response arrived before the deadline.
	ResultTimeout
	// ResultCancelled means that the request was cancelled, by its caller or
	// because a hedged copy was answered first.
	ResultCancelled
	// ResultFailed means that the response was lost or incomplete.
	ResultFailed
)

// String returns the result as it is written in logs.
func (r Result) String() string {
	switch r {
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

// Reason says why a node was chosen, as it is written in logs.
type Reason string

// Reasons of choices.
const (
	ReasonOnlyOne   Reason = "onlyOne"
	ReasonLowerCost Reason = "lowerCost"
	ReasonSameZone  Reason = "sameZone"
	// ReasonProbe means that the request tests whether a straggler has
	// recovered.
	ReasonProbe Reason = "probe"
	// ReasonAllAvoided means that every candidate is slow, refuses requests or
	// has as many requests as it may have in cold start.
	ReasonAllAvoided    Reason = "allAvoided"
	ReasonRandom        Reason = "random"
	ReasonRoundRobin    Reason = "roundRobin"
	ReasonLeastInFlight Reason = "leastInFlight"
)

// Policy chooses among nodes. Implementations are deterministic for a seed and
// not safe for concurrent use. A run is repeatable only if the candidates are
// in the same order on each call. Pick does not change them.
type Policy interface {
	// Pick chooses a candidate for a request. The target is the latency above
	// which the response is late, 0 for none. Pick reports false only if there
	// are no candidates.
	Pick(now time.Time, candidates []Candidate, target time.Duration) (Candidate, Reason, bool)
	// Sent reports that a request was sent to the node.
	Sent(now time.Time, incarnation uint64)
	// Done reports how a request that was reported with Sent ended, and the
	// time since it was sent.
	Done(now time.Time, incarnation uint64, latency time.Duration, result Result)
}
