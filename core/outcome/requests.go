package outcome

import (
	"time"
)

// Defaults of RequestTableConfig.
const (
	// DefaultWindow is the time during which a resend finds the earlier
	// request.
	DefaultWindow = 60 * time.Second
	// DefaultMaxEntries is enough for 1,600 non-idempotent requests per second
	// over the default window.
	DefaultMaxEntries = 100_000
	// DefaultMaxBytes bounds the memory for responses to a quarter of the 32
	// MB that a node may use.
	DefaultMaxBytes = 8 << 20
	// DefaultMaxBody is the size of the largest response that is kept.
	DefaultMaxBody = 64 << 10
)

// RequestTableConfig configures a RequestTable. The zero value means the defaults.
type RequestTableConfig struct {
	// Window is the time for which a finished request is remembered, counted
	// from its end. 0 means DefaultWindow.
	Window time.Duration
	// BarWindow is the time for which a barred id is remembered. It must be at
	// least twice the longest route timeout. 0 means twice the Window.
	BarWindow time.Duration
	// MaxEntries bounds the ids. 0 means DefaultMaxEntries.
	MaxEntries int
	// MaxBytes bounds the stored headers and bodies. 0 means DefaultMaxBytes.
	MaxBytes int64
	// MaxBody bounds header and body of one stored response in bytes. 0 means
	// DefaultMaxBody.
	MaxBody int64
}

func (c RequestTableConfig) withDefaults() RequestTableConfig {
	if c.Window <= 0 {
		c.Window = DefaultWindow
	}
	if c.BarWindow <= 0 {
		c.BarWindow = 2 * c.Window
	}
	if c.MaxEntries <= 0 {
		c.MaxEntries = DefaultMaxEntries
	}
	if c.MaxBytes <= 0 {
		c.MaxBytes = DefaultMaxBytes
	}
	if c.MaxBody <= 0 {
		c.MaxBody = DefaultMaxBody
	}
	return c
}

// Response is a backend server's response as the id table stores it.
type Response struct {
	Status int
	// Header and Body are serialized by the caller and must not be changed
	// afterwards.
	Header []byte
	Body   []byte
	// Complete is false where the response did not arrive whole or was too
	// large to be collected.
	Complete bool
}

func (r Response) size() int64 {
	return int64(len(r.Header) + len(r.Body))
}

// BeginRequest is a non-idempotent request that is about to run.
type BeginRequest struct {
	// ID is the same for each sending of the request. Ids of different callers
	// must differ, so one made from a caller's own key has to include the
	// upstream and the key that the request is routed by.
	ID string
	// Sending identifies this sending of the request and is what Settle asks
	// about. Empty means that ID does.
	Sending   string
	Upstream  string
	Partition uint32
	// IDFromCaller is true where the id comes from the caller, who may have sent
	// it before through another node.
	IDFromCaller bool
	// Attempt is 1 where the caller states that this is the first sending, and
	// 0 where the caller states nothing.
	Attempt int
	// PossiblySentElsewhere is true where another node may have got earlier sendings.
	PossiblySentElsewhere bool
}

func (r BeginRequest) sending() string {
	if r.Sending == "" {
		return r.ID
	}
	return r.Sending
}

// BeginVerdict says what to do with a request.
type BeginVerdict int

// Verdicts of Begin.
const (
	// BeginRun means that the request must be run now and then reported with
	// Finish or Fail.
	BeginRun BeginVerdict = iota
	// BeginWait means that another sending is running. An event with the
	// answer's Waiter follows.
	BeginWait
	// BeginReplay means that the stored response is the answer.
	BeginReplay
	// BeginRefuse means that the request must not be run.
	BeginRefuse
)

// String returns the verdict for logs.
func (v BeginVerdict) String() string {
	switch v {
	case BeginRun:
		return "run"
	case BeginWait:
		return "wait"
	case BeginReplay:
		return "replay"
	default:
		return "refuse"
	}
}

// BeginAnswer is the answer to Begin.
type BeginAnswer struct {
	Verdict BeginVerdict
	// Waiter identifies this sending in later events if the verdict is wait.
	Waiter uint64
	// Response is set if the verdict is replay.
	Response Response
	// Refusal is set if the verdict is refuse.
	Refusal *Refusal
}

// RequestEvent tells a waiting sending how it goes on: run, replay or refuse.
type RequestEvent struct {
	ID     string
	Waiter uint64
	Answer BeginAnswer
}

// RequestTable is the table of request ids that makes non-idempotent requests run
// at most once at their owner. Entries are kept for the window and are never
// dropped earlier: a full table refuses new requests instead. Operations take
// O(log n). It is not safe for concurrent use.
type RequestTable struct {
	config   RequestTableConfig
	entries  map[string]*entry
	sendings map[string]*entry
	expiry   expiryHeap
	bytes    int64
	waiters  map[uint64]*entry
	tickets  uint64
	// unknown has, for each partition taken without a planned move, the time
	// of the change of owner.
	unknown map[partitionID]time.Time
	// blindUntil is the end of the time in which a sending that was not
	// recorded could be asked about.
	blindUntil time.Time
}

// NewRequestTable returns an empty table.
func NewRequestTable(config RequestTableConfig) *RequestTable {
	return &RequestTable{
		config:   config.withDefaults(),
		entries:  make(map[string]*entry),
		sendings: make(map[string]*entry),
		waiters:  make(map[uint64]*entry),
		unknown:  make(map[partitionID]time.Time),
	}
}

// Configure changes the configuration. Entries that have ended keep the time
// at which they expire.
func (r *RequestTable) Configure(config RequestTableConfig) {
	r.config = config.withDefaults()
}

// Len returns the number of ids and recorded sendings.
func (r *RequestTable) Len() int {
	return len(r.entries) + len(r.sendings)
}

// Bytes returns the size of the stored responses.
func (r *RequestTable) Bytes() int64 {
	return r.bytes
}

func (r *RequestTable) full() bool {
	return r.Len() >= r.config.MaxEntries
}

// Begin decides whether a request may run. The id is in the table when Begin
// returns the verdict run, so a request must not be written to a backend server
// before that.
func (r *RequestTable) Begin(now time.Time, request BeginRequest) BeginAnswer {
	r.expire(now)
	sending := request.sending()
	s := r.sendings[sending]
	barred := s != nil && s.state == stateBarred
	e := r.entries[request.ID]
	switch {
	case e == nil && barred:
		return refuse(request.ID, OutcomeNotRun, ReasonBarred)
	case e == nil:
		return r.beginNew(now, request)
	case barred && e.state == stateRunning:
		// Another sending runs. A barred one must not wait, because a waiting
		// one may be told to run.
		return refuse(request.ID, OutcomeUnknown, ReasonBarred)
	}
	if e.partition != (partitionID{request.Upstream, request.Partition}) {
		// The id names a request with another key, so this one is not a resend.
		return refuse(request.ID, OutcomeNotRun, ReasonBadRequest)
	}
	if !barred {
		r.record(now, e, sending)
	}
	switch e.state {
	case stateRunning:
		r.tickets++
		e.waiters = append(e.waiters, r.tickets)
		r.waiters[r.tickets] = e
		return BeginAnswer{Verdict: BeginWait, Waiter: r.tickets}
	case stateFinished:
		return BeginAnswer{Verdict: BeginReplay, Response: e.response}
	default:
		return refuse(request.ID, OutcomeUnknown, ReasonResendUndecided)
	}
}

func (r *RequestTable) beginNew(now time.Time, request BeginRequest) BeginAnswer {
	id := partitionID{request.Upstream, request.Partition}
	if request.IDFromCaller && request.Attempt != 1 && (request.PossiblySentElsewhere || r.inUnknownWindow(now, id)) {
		return refuse(request.ID, OutcomeUnknown, ReasonResendUndecided)
	}
	if r.full() {
		return refuse(request.ID, OutcomeNotRun, ReasonTableFull)
	}
	e := &entry{id: request.ID, partition: id, state: stateRunning, index: -1}
	r.entries[request.ID] = e
	r.record(now, e, request.sending())
	return BeginAnswer{Verdict: BeginRun}
}

// record notes that a sending belongs to an entry, so that Settle finds it.
func (r *RequestTable) record(now time.Time, e *entry, sending string) {
	if sending == e.id || r.sendings[sending] == e {
		return
	}
	if r.full() {
		r.blindUntil = now.Add(r.config.BarWindow)
		return
	}
	r.sendings[sending] = e
	e.sendings = append(e.sendings, sending)
}

// Finish stores the response of a running request and returns the answers of
// the sendings that wait for it. An id that is not running is ignored.
func (r *RequestTable) Finish(now time.Time, id string, response Response) []RequestEvent {
	r.expire(now)
	e := r.entries[id]
	if e == nil || e.state != stateRunning {
		return nil
	}
	answer := BeginAnswer{Verdict: BeginReplay, Response: response}
	if !response.Complete {
		answer = refuse(id, OutcomeUnknown, ReasonAnswerIncomplete)
	}
	events := r.inform(e, answer)
	r.end(now, e, response)
	return events
}

// end stores the response as far as the bounds allow and starts the window.
func (r *RequestTable) end(now time.Time, e *entry, response Response) {
	e.state = stateUndecided
	e.ended = now
	size := response.size()
	if response.Complete && size <= r.config.MaxBody && r.bytes+size <= r.config.MaxBytes {
		e.state = stateFinished
		e.response = response
		r.bytes += size
	}
	r.expiry.add(e, now.Add(r.config.Window))
}

// Fail reports that a running request ended without a response. Where started
// is false, no byte can have reached the backend server: the first waiting
// sending is told to run, or else the id is forgotten, so that a resend runs.
// Where started is true, a resend is refused as undecidable. An id that is not
// running is ignored.
func (r *RequestTable) Fail(now time.Time, id string, started bool) []RequestEvent {
	r.expire(now)
	e := r.entries[id]
	if e == nil || e.state != stateRunning {
		return nil
	}
	if started {
		events := r.inform(e, refuse(id, OutcomeUnknown, ReasonResendUndecided))
		r.end(now, e, Response{})
		return events
	}
	if len(e.waiters) == 0 {
		r.remove(e)
		return nil
	}
	ticket := e.waiters[0]
	e.waiters = e.waiters[1:]
	delete(r.waiters, ticket)
	return []RequestEvent{{ID: id, Waiter: ticket, Answer: BeginAnswer{Verdict: BeginRun}}}
}

// CancelWait forgets a waiting sending. It reports false where the sending no
// longer waits: its event was already returned and has to be acted upon.
func (r *RequestTable) CancelWait(waiter uint64) bool {
	e := r.waiters[waiter]
	if e == nil {
		return false
	}
	delete(r.waiters, waiter)
	for i, w := range e.waiters {
		if w == waiter {
			e.waiters = append(e.waiters[:i], e.waiters[i+1:]...)
			break
		}
	}
	return true
}

func (r *RequestTable) inform(e *entry, answer BeginAnswer) []RequestEvent {
	events := make([]RequestEvent, 0, len(e.waiters))
	for _, w := range e.waiters {
		events = append(events, RequestEvent{ID: e.id, Waiter: w, Answer: answer})
		delete(r.waiters, w)
	}
	e.waiters = nil
	return events
}

func refuse(id string, o Outcome, reason Reason) BeginAnswer {
	return BeginAnswer{
		Verdict: BeginRefuse,
		Refusal: &Refusal{Outcome: o, Reason: reason, RequestID: id},
	}
}
