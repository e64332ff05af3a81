package outcome

import "time"

// SettleState says what is known about a sending of a request.
type SettleState int

// States of a sending.
const (
	// SettleRunning means that the request is running. Settle must be called
	// again later.
	SettleRunning SettleState = iota
	// SettleResponse means that the request has run and its response is given.
	SettleResponse
	// SettleBarred means that the sending has not run and will not run.
	SettleBarred
	// SettleUnknown means that the request may have run.
	SettleUnknown
)

// String returns the state as it is written in logs and in answers of the
// settle path.
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

// Settle finds out what became of a sending whose connection was lost. A
// sending that has not begun is barred: a copy of it that arrives later is
// refused, so that OutcomeNotRun is true. The answer concerns this table only,
// so the node incarnation that the sending was addressed to must be asked. The
// state is SettleUnknown if the table is too full to record the bar, or was too
// full lately to record all sendings.
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

// bar bars a sending that is not in the table.
func (r *RequestTable) bar(now time.Time, sending string) SettleAnswer {
	if r.full() || now.Before(r.unrecordedUntil) {
		return SettleAnswer{State: SettleUnknown}
	}
	r.addBar(now, sending)
	return SettleAnswer{State: SettleBarred}
}

// addBar records a barred sending.
func (r *RequestTable) addBar(now time.Time, sending string) {
	e := &entry{id: sending, state: stateBarred, sendings: []string{sending}, heapIndex: -1}
	r.sendings[sending] = e
	r.expiry.add(e, now.Add(r.config.BarWindow))
}

// BecameOwner records that this node has become the owner of a partition. After
// an unplanned change of owner the earlier owner's request ids are unknown. For
// the window, a request with an id from its caller is therefore refused with
// ReasonResendUndecided, unless the caller states that it is the first attempt.
// A planned change neither starts nor ends such a window.
func (r *RequestTable) BecameOwner(now time.Time, upstream string, partition uint32, planned bool) {
	if planned {
		return
	}
	r.startUnknownWindow(now, partitionID{upstream, partition})
}

// startUnknownWindow starts the window after an unplanned change of owner,
// unless a later one was started before.
func (r *RequestTable) startUnknownWindow(since time.Time, id partitionID) {
	if at, ok := r.unknownSince[id]; !ok || at.Before(since) {
		r.unknownSince[id] = since
	}
}

// inUnknownWindow reports whether an earlier owner may have run requests whose
// ids are not in the table.
func (r *RequestTable) inUnknownWindow(now time.Time, id partitionID) bool {
	since, ok := r.unknownSince[id]
	if !ok {
		return false
	}
	if now.Before(since.Add(r.config.Window)) {
		return true
	}
	delete(r.unknownSince, id)
	return false
}
