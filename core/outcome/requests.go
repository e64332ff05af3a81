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
	// DefaultMaxBytes is the bound on stored responses in bytes, a quarter of
	// the 32 MB that a node may use.
	DefaultMaxBytes = 8 << 20
	// DefaultMaxBody is the size of the largest response that is stored, in
	// bytes.
	DefaultMaxBody = 64 << 10
)

// RequestTableConfig configures a RequestTable. The zero value means the
// defaults.
type RequestTableConfig struct {
	// Window is the time for which a request is kept after its end. 0 means
	// DefaultWindow.
	Window time.Duration
	// BarWindow is the time for which a barred sending is kept. It must be at
	// least twice the longest route timeout. 0 means twice the Window.
	BarWindow time.Duration
	// MaxEntries bounds the number of request ids and recorded sendings. 0
	// means DefaultMaxEntries.
	MaxEntries int
	// MaxBytes bounds the size of all stored headers and bodies in bytes. 0
	// means DefaultMaxBytes.
	MaxBytes int64
	// MaxBody bounds the size of header and body of one stored response in
	// bytes. 0 means DefaultMaxBody.
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

// Response is a backend server's response as the request table stores it.
type Response struct {
	Status int
	// Header and Body are serialized by the caller and must not be changed
	// afterwards.
	Header []byte
	Body   []byte
	// Complete is false if the response did not arrive whole or was too large
	// to be collected.
	Complete bool
}

func (r Response) size() int64 {
	return int64(len(r.Header) + len(r.Body))
}

// BeginRequest is a sending of a non-idempotent request that is about to run. A
// request may be sent several times: by its caller again, or by a node that
// retries.
type BeginRequest struct {
	// ID is the request id, which is the same for each sending of the request.
	// Ids of different callers must differ. An id that is made from a caller's
	// own key must therefore include the upstream and the key that the request
	// is routed by.
	ID string
	// Sending identifies this sending of the request for Settle. Empty means
	// that ID identifies it.
	Sending   string
	Upstream  string
	Partition uint32
	// IDFromCaller is true if the caller chose the id. The caller may have sent
	// the request before through another node.
	IDFromCaller bool
	// Attempt is 1 if the caller states that this is the first sending, and 0
	// if the caller states nothing.
	Attempt int
	// PossiblySentElsewhere is true if earlier sendings may have gone to
	// another node.
	PossiblySentElsewhere bool
}

// sending returns what identifies this sending.
func (r BeginRequest) sending() string {
	if r.Sending == "" {
		return r.ID
	}
	return r.Sending
}

// BeginVerdict says what to do with a sending.
type BeginVerdict int

// Verdicts of Begin.
const (
	// BeginRun means that the request must be run now, and its end reported
	// with Finish or Fail.
	BeginRun BeginVerdict = iota
	// BeginWait means that another sending of the request is running. A
	// RequestEvent with the answer's Waiter follows.
	BeginWait
	// BeginReplay means that the stored response answers the request.
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
	// Waiter identifies this sending in later events if the verdict is
	// BeginWait.
	Waiter uint64
	// Response is set if the verdict is BeginReplay.
	Response Response
	// Refusal is set if the verdict is BeginRefuse.
	Refusal *Refusal
}

// RequestEvent ends the wait of a sending. The verdict of its answer is
// BeginRun, BeginReplay or BeginRefuse.
type RequestEvent struct {
	ID     string
	Waiter uint64
	Answer BeginAnswer
}

// RequestTable records request ids, so that non-idempotent requests run at most
// once at their owner. Entries are kept for the whole window: a full table
// refuses new requests instead of dropping entries. Operations take O(log n).
// It is not safe for concurrent use.
type RequestTable struct {
	config RequestTableConfig
	// entries are the requests by id.
	entries map[string]*entry
	// sendings are the entries of requests and of barred sendings, by recorded
	// sending.
	sendings map[string]*entry
	expiry   expiryHeap
	// bytes is the size of the stored responses.
	bytes      int64
	waiters    map[uint64]*entry
	lastWaiter uint64
	// unknownSince is the time of the latest unplanned change of owner, by
	// partition. Ids of requests that the earlier owner ran before that time
	// are not in the table.
	unknownSince map[partitionID]time.Time
	// unrecordedUntil is the time until which Settle may be asked about a
	// sending that the full table could not record.
	unrecordedUntil time.Time
}

// NewRequestTable returns an empty table.
func NewRequestTable(config RequestTableConfig) *RequestTable {
	return &RequestTable{
		config:       config.withDefaults(),
		entries:      make(map[string]*entry),
		sendings:     make(map[string]*entry),
		waiters:      make(map[uint64]*entry),
		unknownSince: make(map[partitionID]time.Time),
	}
}

// Configure changes the configuration. Entries of requests that have ended keep
// the time at which they expire.
func (r *RequestTable) Configure(config RequestTableConfig) {
	r.config = config.withDefaults()
}

// Len returns the number of request ids and recorded sendings.
func (r *RequestTable) Len() int {
	return len(r.entries) + len(r.sendings)
}

// Bytes returns the size of the stored responses in bytes.
func (r *RequestTable) Bytes() int64 {
	return r.bytes
}

func (r *RequestTable) full() bool {
	return r.Len() >= r.config.MaxEntries
}

// Begin decides whether a request may run. A request must not be written to a
// backend server before Begin has returned BeginRun, which means that its id is
// in the table.
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
		// Another sending is running. A barred sending must not wait, because a
		// waiting sending may be told to run.
		return refuse(request.ID, OutcomeUnknown, ReasonBarred)
	}
	if e.partition != (partitionID{request.Upstream, request.Partition}) {
		// The id belongs to a request with another key: this is not a resend.
		return refuse(request.ID, OutcomeNotRun, ReasonBadRequest)
	}
	if !barred {
		r.record(now, e, sending)
	}
	switch e.state {
	case stateRunning:
		r.lastWaiter++
		e.waiters = append(e.waiters, r.lastWaiter)
		r.waiters[r.lastWaiter] = e
		return BeginAnswer{Verdict: BeginWait, Waiter: r.lastWaiter}
	case stateFinished:
		return BeginAnswer{Verdict: BeginReplay, Response: e.response}
	default:
		return refuse(request.ID, OutcomeUnknown, ReasonResendUndecided)
	}
}

// beginNew decides about a request whose id is not in the table.
func (r *RequestTable) beginNew(now time.Time, request BeginRequest) BeginAnswer {
	id := partitionID{request.Upstream, request.Partition}
	if request.IDFromCaller && request.Attempt != 1 && (request.PossiblySentElsewhere || r.inUnknownWindow(now, id)) {
		return refuse(request.ID, OutcomeUnknown, ReasonResendUndecided)
	}
	if r.full() {
		return refuse(request.ID, OutcomeNotRun, ReasonTableFull)
	}
	e := &entry{id: request.ID, partition: id, state: stateRunning, heapIndex: -1}
	r.entries[request.ID] = e
	r.record(now, e, request.sending())
	return BeginAnswer{Verdict: BeginRun}
}

// record records that a sending belongs to an entry, so that Settle finds it.
func (r *RequestTable) record(now time.Time, e *entry, sending string) {
	if sending == e.id || r.sendings[sending] == e {
		return
	}
	if r.full() {
		r.unrecordedUntil = now.Add(r.config.BarWindow)
		return
	}
	r.sendings[sending] = e
	e.sendings = append(e.sendings, sending)
}

// Finish stores the response of a running request and returns the events of the
// sendings that wait for it. An id that is not running is ignored.
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
	events := r.endWaits(e, answer)
	r.end(now, e, response)
	return events
}

// end records the end of a request, stores its response if the bounds allow it
// and starts the window.
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

// Fail records that a running request ended without a response, and returns the
// events of waiting sendings. If started is false, no byte can have reached the
// backend server. The first waiting sending is then told to run. If none waits,
// the id is removed, so that a resend runs. If started is true, resends are
// refused because the request may have run. An id that is not running is
// ignored.
func (r *RequestTable) Fail(now time.Time, id string, started bool) []RequestEvent {
	r.expire(now)
	e := r.entries[id]
	if e == nil || e.state != stateRunning {
		return nil
	}
	if started {
		events := r.endWaits(e, refuse(id, OutcomeUnknown, ReasonResendUndecided))
		r.end(now, e, Response{})
		return events
	}
	if len(e.waiters) == 0 {
		r.remove(e)
		return nil
	}
	waiter := e.waiters[0]
	e.waiters = e.waiters[1:]
	delete(r.waiters, waiter)
	return []RequestEvent{{ID: id, Waiter: waiter, Answer: BeginAnswer{Verdict: BeginRun}}}
}

// CancelWait removes a waiting sending. It reports false if the sending no
// longer waits: its event was already returned and must be handled.
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

// endWaits removes all waiting sendings of an entry and returns their events.
func (r *RequestTable) endWaits(e *entry, answer BeginAnswer) []RequestEvent {
	events := make([]RequestEvent, 0, len(e.waiters))
	for _, w := range e.waiters {
		events = append(events, RequestEvent{ID: e.id, Waiter: w, Answer: answer})
		delete(r.waiters, w)
	}
	e.waiters = nil
	return events
}

// refuse returns the answer that refuses a request.
func refuse(id string, o Outcome, reason Reason) BeginAnswer {
	return BeginAnswer{
		Verdict: BeginRefuse,
		Refusal: &Refusal{Outcome: o, Reason: reason, RequestID: id},
	}
}
