// Package dialect describes what a node speaks towards callers and towards the
// backend server beside it, so that another protocol can take the place of the
// project's own. A node without a dialect speaks the project's own.
package dialect

import (
	"net/http"
	"strconv"
	"time"
)

// Dialect is another protocol than the project's own. Both parts are required.
type Dialect struct {
	Callers Callers
	Backend Backend
	// MaxHold bounds how long a backend server may be told to hold keys.
	MaxHold time.Duration
	// MaxHeartbeatWait is how long the answer to a beat may wait for keys that change
	// hands. 0 means not at all.
	MaxHeartbeatWait time.Duration
	// DrainTimeout is the time after a backend server said that it leaves from
	// which on it gets nothing any more.
	DrainTimeout time.Duration
	// OutOfServiceTimeout is the time after the rules took a backend server out of service
	// from which on it gets nothing any more.
	OutOfServiceTimeout time.Duration
	// LostAfter is the time without a report or an answer after which a backend
	// server without keys counts as lost.
	LostAfter time.Duration
}

// Callers translates what callers send and get.
type Callers interface {
	// Wrap returns a handler that translates each request for next and what next
	// answers. The request id that it puts in headers.RequestID is used for the
	// request, and it may set headers.Deadline and headers.Depth.
	Wrap(next http.Handler) http.Handler
}

// Backend translates calls to the backend server. It is used from many
// goroutines.
type Backend interface {
	// RequestFields returns the header fields that a call gets besides its own.
	RequestFields(c Call) []Field
	// RequestFieldName returns the name under which a header field of a call is sent,
	// empty to leave it out.
	RequestFieldName(name string) string
	// ParseResponse reads the header of an answer and renames in it what goes on to the
	// caller.
	ParseResponse(c Call, status int, header http.Header) Response
	// ExpectedResponseID returns the id by which an answer to a call is known, empty if
	// there is none.
	ExpectedResponseID(c Call) string
}

// Call is one call as the backend server is told of it.
type Call struct {
	// ID of the request.
	ID string
	// Header has the call's own fields.
	Header http.Header
	// Server is the name of the backend server that shall run the call.
	Server string
	// Remaining is the time until the answer is useless.
	Remaining time.Duration
}

// Field is one header field.
type Field struct{ Name, Value string }

// Response is what the header of an answer says about the call.
type Response struct {
	// ID of the call that the answer belongs to, empty if it is not named.
	ID string
	// NotRun is true if the backend server says that it did not run the call.
	NotRun bool
	// NotHeld is true if the backend server says that it does not hold the key,
	// WrongServer if it is another one than the call was sent to. Both imply
	// that the call did not run.
	NotHeld, WrongServer bool
	// RetryAfter is 0 if the answer names no time.
	RetryAfter time.Duration
	// IdleTimeout is the time after which the backend server closes an idle
	// connection, 0 if the answer names none.
	IdleTimeout time.Duration
}

// Heartbeat is what a backend server reports of itself.
type Heartbeat struct {
	Name     string
	Upstream string
	// Address is the IP address and port at which it takes calls.
	Address string
	// Started is when this life of the backend server began by its own account.
	// A life with a later start replaces an earlier one at the same node.
	Started time.Time
	// Sequence rises with each beat of one life.
	Sequence uint64
	Slots    int
	// Draining is true from when the backend server wants to stop.
	Draining bool
	// ColdRemaining is how much longer it is in cold start, 0 if it is not.
	ColdRemaining time.Duration
	// Held are the keys that it holds or still works on.
	Held []FencedRange
	// Released are the keys that it has released since the last answered beat.
	Released []ReleasedRange
}

// Incarnation names one life of a backend server: another start has another one.
func (b Heartbeat) Incarnation() string {
	return b.Name + "/" + strconv.FormatInt(b.Started.UnixMilli(), 10)
}

// FencedRange is a range of keys, both ends included, with its fencing token.
type FencedRange struct {
	First, Last uint16
	Fence       uint64
}

// ReleasedRange is a range of keys that were released, with the token by which the next
// holder takes over their state.
type ReleasedRange struct {
	First, Last uint16
	Handover    string
}

// Grant is a range of keys that a backend server is to hold. Handover is empty
// if there is no state to take over.
type Grant struct {
	FencedRange
	Handover string
}

// HeartbeatResponse answers a beat.
type HeartbeatResponse struct {
	// UpdatesGrants is false if nothing is granted or taken by this answer. Then the
	// backend server keeps what it holds until that ends.
	UpdatesGrants bool
	// Grants are all keys that the backend server is to hold; it releases the
	// others.
	Grants []Grant
	// GrantDuration is how long they are held, counted from the sending of the beat.
	GrantDuration time.Duration
	// OnSent must be called after the answer was sent.
	OnSent func()
}
