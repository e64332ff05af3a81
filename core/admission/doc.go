// Package admission bounds the work of one backend server: slots, a queue that
// knows deadlines, fairness among keys, an adaptive limit, cold start and a
// reserve for nested calls.
//
// # Queue discipline
//
// Requests wait oldest first while the queue empties now and then, which gives
// the lowest tail latency for short bursts. Once the queue has not been empty
// for a while the server is overloaded and no order can serve everybody. Then
// the newest request is served first and a full queue drops its oldest. Oldest
// first would give every served request the full wait of the queue: many would
// end after their deadline and the slot time spent on them would be lost. With
// newest first the served requests have nearly all of their time left, and the
// others are refused after a few service times, which their callers can use to
// try elsewhere. Goodput so stays at capacity for any load above it.
//
// Requests that say when their answer is late need neither: the queue takes only
// as many as will be answered by then, refuses the others at once, and serves
// the oldest first. Nobody who waits is dropped for somebody newer.
package admission

import (
	"time"

	"github.com/jujubeknot/jujubeknot/core/outcome"
)

// Defaults of Config.
const (
	DefaultSlots = 8
	// DefaultQueuePerSlot is the length of the queue for each slot.
	DefaultQueuePerSlot = 4
	DefaultKeyShare     = 0.5
	// DefaultOverloadAfter is longer than the busy periods of a server at 95%
	// load with service times of 10 ms.
	DefaultOverloadAfter = 100 * time.Millisecond
	// DefaultReservedSlots is enough for nested calls to make progress.
	DefaultReservedSlots = 1
	// DefaultReserveIdleTimeout is the time for which slots stay reserved after the
	// last nested call of their depth.
	DefaultReserveIdleTimeout = time.Minute
	// DefaultRefusedBackoff is the time without requests to a backend server
	// that refused a connection.
	DefaultRefusedBackoff = 50 * time.Millisecond
)

const (
	// MaxDepth is the deepest nested call that is admitted.
	MaxDepth = 2
	// MaxPriority is the priority that is shed last.
	MaxPriority = 9
)

// Config configures a Controller. The zero value means the defaults.
type Config struct {
	// Slots is the number of requests that the backend server runs at once, 1
	// or more. 0 means DefaultSlots.
	Slots int
	// MaxQueued is the number of requests that may wait. 0 means
	// DefaultQueuePerSlot for each slot; a negative value means no queue.
	MaxQueued int
	// KeyShare is the share of slots and queue that one key may hold while
	// others wait, 0 to 1. 0 means DefaultKeyShare.
	KeyShare float64
	// RequestsPerSecond bounds the rate. 0 means no bound.
	RequestsPerSecond float64
	// Burst is the number of requests that may arrive at once under
	// RequestsPerSecond. 0 means a tenth of a second's requests.
	Burst float64
	// OverloadAfter is the time with a queue that is never empty after which
	// the newest request is served first. 0 means DefaultOverloadAfter.
	OverloadAfter time.Duration
	// ReservedSlots is the number of slots kept for nested calls of depth 1, and as
	// many again for depth 2, while there are such calls. 0 means
	// DefaultReservedSlots; a negative value means none.
	ReservedSlots int
	// ReserveIdleTimeout is described at DefaultReserveIdleTimeout.
	ReserveIdleTimeout time.Duration
	// RefusedBackoff is described at DefaultRefusedBackoff.
	RefusedBackoff time.Duration
	// ReportsColdStart means that the backend server says when it is in cold start, so
	// that nothing is concluded from a start or from its answers.
	ReportsColdStart bool
	// ColdRate bounds the requests/s that start while a backend server which
	// says so is cold. 0 means one for each slot.
	ColdRate float64
}

func (c Config) withDefaults() Config {
	if c.Slots <= 0 {
		c.Slots = DefaultSlots
	}
	if c.MaxQueued == 0 {
		c.MaxQueued = DefaultQueuePerSlot * c.Slots
	}
	c.MaxQueued = max(c.MaxQueued, 0)
	if c.KeyShare <= 0 {
		c.KeyShare = DefaultKeyShare
	}
	c.KeyShare = min(c.KeyShare, 1)
	if c.Burst <= 0 {
		c.Burst = c.RequestsPerSecond / 10
	}
	c.Burst = max(c.Burst, 1)
	if c.OverloadAfter <= 0 {
		c.OverloadAfter = DefaultOverloadAfter
	}
	if c.ReservedSlots == 0 {
		c.ReservedSlots = DefaultReservedSlots
	}
	c.ReservedSlots = max(c.ReservedSlots, 0)
	if c.ReserveIdleTimeout <= 0 {
		c.ReserveIdleTimeout = DefaultReserveIdleTimeout
	}
	if c.RefusedBackoff <= 0 {
		c.RefusedBackoff = DefaultRefusedBackoff
	}
	return c
}

// Request asks for a slot.
type Request struct {
	// ID must differ from that of every request that waits or runs.
	ID uint64
	// Key is the hash of the request's key. 0 means that it has none and that
	// no share applies to it.
	Key uint64
	// Priority from 0 (shed first) to MaxPriority. Values outside are taken as
	// the nearest bound.
	Priority int
	// Depth is the number of calls above this one, 0 to MaxDepth.
	Depth int
	// Deadline is the time at which the answer becomes useless. The zero time
	// means none.
	Deadline time.Time
	// Target is the time after which the answer is late. The zero time means none.
	Target time.Time
}

// Verdict says what happens to a request.
type Verdict int

// Verdicts.
const (
	// VerdictAdmit means that the request runs now; Done must follow.
	VerdictAdmit Verdict = iota
	// VerdictQueue means that an event follows, unless Cancel is called.
	VerdictQueue
	// VerdictRefuse means that the request does not run.
	VerdictRefuse
)

// String returns the verdict for logs.
func (v Verdict) String() string {
	switch v {
	case VerdictAdmit:
		return "admit"
	case VerdictQueue:
		return "queue"
	default:
		return "refuse"
	}
}

// Decision is the decision about one request.
type Decision struct {
	Verdict Verdict
	// Reason and RetryAfter are set if the verdict is refuse.
	Reason outcome.Reason
	// RetryAfter estimates when a new attempt has a chance.
	RetryAfter time.Duration
}

// Event is a later decision about a request that was queued.
type Event struct {
	ID       uint64
	Decision Decision
}

// ResultKind says how a request that ran ended.
type ResultKind int

// Kinds of results.
const (
	ResultOK ResultKind = iota
	// ResultShed is a load-shedding answer of the backend server.
	ResultShed
	// ResultRefused is a refused connection.
	ResultRefused
	// ResultTimeout is a missed deadline.
	ResultTimeout
	// ResultCancelled is the end of the caller's interest.
	ResultCancelled
	// ResultFailed is a lost connection or an incomplete response.
	ResultFailed
)

// String returns the kind for logs.
func (k ResultKind) String() string {
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

// Result is the end of a request that ran.
type Result struct {
	Kind ResultKind
	// Latency is the time from admission to the end.
	Latency time.Duration
}
