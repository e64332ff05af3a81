package outcome

import "time"

// SettleState says what is known about a sending.
type SettleState int

// States of a sending.
const (
	// SettleRunning means that the request runs. Ask again later.
	SettleRunning SettleState = iota
	// SettleResponse means that the request has run; its response is given.
	SettleResponse
	// SettleBarred means that the sending has not run and never will.
	SettleBarred
	// SettleUnknown means that the request may have run.
	SettleUnknown
)

// String returns the state for logs and for the settle message.
func (s SettleState) String() string {
	switch s {
	case SettleRunning:
		return "running"
	case SettleResponse:
		return "response"
	case SettleBarred:
		return "barred"
	default:
		return "unknown"
	}
}

// SettleAnswer is the answer to Settle.
type SettleAnswer struct {
	State SettleState
	// Response is set if the state is SettleResponse.
	Response Response
}

// Settle decides about a sending whose connection was lost. One that has not
// begun is barred: a copy that arrives later is refused, which makes notRun
// true. The answer concerns this table only, so it must be asked of the node
// incarnation that the sending was addressed to. Where a bar cannot be recorded
// because the table is full, the answer is unknown.
func (r *RequestTable) Settle(now time.Time, id string) SettleAnswer {
	r.expire(now)
	e := r.sendings[id]
	if e == nil {
		e = r.entries[id]
	}
	if e == nil {
		return r.bar(now, id)
	}
	switch e.state {
	case stateRunning:
		return SettleAnswer{State: SettleRunning}
	case stateFinished:
		return SettleAnswer{State: SettleResponse, Response: e.response}
	case stateBarred:
		return SettleAnswer{State: SettleBarred}
	default:
		return SettleAnswer{State: SettleUnknown}
	}
}

func (r *RequestTable) bar(now time.Time, sending string) SettleAnswer {
	if r.full() || now.Before(r.blindUntil) {
		return SettleAnswer{State: SettleUnknown}
	}
	r.addBar(now, sending)
	return SettleAnswer{State: SettleBarred}
}

func (r *RequestTable) addBar(now time.Time, sending string) {
	e := &entry{id: sending, state: stateBarred, sendings: []string{sending}, index: -1}
	r.sendings[sending] = e
	r.expiry.add(e, now.Add(r.config.BarWindow))
}

// BecameOwner reports that this node has become the owner of a partition. After an
// unplanned change of owner the earlier owner's ids are not known, so for the
// window a caller's own id that is not stated to be a first attempt is refused
// as undecidable. A planned change starts no window and ends none.
func (r *RequestTable) BecameOwner(now time.Time, upstream string, partition uint32, planned bool) {
	if planned {
		return
	}
	r.startUnknownWindow(now, partitionID{upstream, partition})
}

func (r *RequestTable) startUnknownWindow(since time.Time, id partitionID) {
	if at, ok := r.unknown[id]; !ok || at.Before(since) {
		r.unknown[id] = since
	}
}

func (r *RequestTable) inUnknownWindow(now time.Time, id partitionID) bool {
	since, ok := r.unknown[id]
	if !ok {
		return false
	}
	if now.Before(since.Add(r.config.Window)) {
		return true
	}
	delete(r.unknown, id)
	return false
}
