// Package dialect defines the interfaces by which another protocol towards
// callers and towards the backend server of a node replaces the project's own.
// A node without a dialect uses the project's own protocol.
package dialect

import (
	"net/http"
	"strconv"
	"time"

	"github.com/jujubeknot/jujubeknot/core/routing"
)

// Dialect is a protocol that replaces the project's own. Callers and Backend
// are required.
type Dialect struct {
	Callers Callers
	Backend Backend
	// Paths is how the path of a request is compared with the prefixes of routes.
	Paths routing.PathMatching
	// MaxHold bounds the time for which a backend server is granted keys.
	MaxHold time.Duration
	// MaxHeartbeatWait bounds how long the response to a heartbeat may wait for
	// keys whose owner changes. 0 means that it does not wait.
	MaxHeartbeatWait time.Duration
	// LeaveTimeout bounds how long the response to a report that a backend server
	// leaves may wait until control has stored the report.
	LeaveTimeout time.Duration
	// DrainTimeout is the time from a backend server's report that it is
	// draining until it receives no more requests and keys.
	DrainTimeout time.Duration
	// OutOfServiceTimeout is the time from the change of the rules that takes a
	// backend server out of service until it receives no more requests and
	// keys.
	OutOfServiceTimeout time.Duration
	// ColdExcessShare times the rate of an upstream's cold servers, and ColdExcess
	// added to that, is the number of requests beyond this rate that a cold server bears
	// in one second. If both are 0, it is half of the rate.
	ColdExcessShare, ColdExcess float64
	// LostAfter is the time without a heartbeat or a response after which a
	// backend server without keys is considered lost.
	LostAfter time.Duration
}

// Callers translates the requests of callers and the responses to them.
type Callers interface {
	// Wrap returns a handler that translates each request for next, and the
	// response of next. The handler sets headers.RequestID to the id that is
	// used for the request. It may set headers.Deadline and headers.Depth.
	Wrap(next http.Handler) http.Handler
}

// Backend translates calls to the backend server and the responses to them.
// Implementations must be safe for concurrent use.
type Backend interface {
	// RequestFields returns the header fields that are added to those of a
	// call.
	RequestFields(c Call) []Field
	// RequestFieldName returns the name under which a header field of a call is
	// sent. An empty name omits the field.
	RequestFieldName(name string) string
	// ParseResponse reads the header of a response and renames in place the
	// fields that are relayed to the caller.
	ParseResponse(c Call, status int, header http.Header) Response
	// ExpectedResponseID returns the id that a response to the call must carry,
	// or an empty string if responses carry none.
	ExpectedResponseID(c Call) string
	// ServerName returns the name that a backend server states in the header of the
	// response of its health path, or an empty string if it states none.
	ServerName(header http.Header) string
	// ColdRemaining returns the remaining time of the cold start that a backend server
	// states in the header of the response of its health path, or 0 if it states none.
	ColdRemaining(header http.Header) time.Duration
}

// Call is one call to the backend server.
type Call struct {
	// ID of the request.
	ID string
	// Organisation is the name of the organisation that the call is made for, empty
	// for none.
	Organisation string
	// Header has the header fields of the call itself.
	Header http.Header
	// Server is the name of the backend server that is to run the call.
	Server string
	// Remaining is the time until the deadline of the call.
	Remaining time.Duration
}

// Field is a header field.
type Field struct{ Name, Value string }

// Response is the information about a call in the header of its response.
type Response struct {
	// ID of the call that the response belongs to, empty if the header has
	// none.
	ID string
	// NotRun is true if the backend server reports that it did not run the
	// call.
	NotRun bool
	// NotHeld is true if the backend server reports that it does not hold the
	// key. WrongServer is true if the responding server is not the backend
	// server that the call was sent to. Both imply that the call did not run.
	NotHeld, WrongServer bool
	// Invalid is true if the response lacks what each response of a backend server
	// to this call has. Nothing is known about the run of the call then.
	Invalid bool
	// RetryAfter is 0 if the header has no such time.
	RetryAfter time.Duration
	// IdleTimeout is the time after which the backend server closes an idle
	// connection, 0 if the header has none.
	IdleTimeout time.Duration
}

// Heartbeat is what a backend server reports about itself.
type Heartbeat struct {
	Name     string
	Upstream string
	// Address is the IP address and port at which it accepts calls.
	Address string
	// Started is the start time of this incarnation by the backend server's
	// clock. An incarnation with a later start replaces an earlier one at the
	// same node.
	Started time.Time
	// Sequence increases with each heartbeat of one incarnation.
	Sequence uint64
	Slots    int
	// Draining is true once the backend server wants to stop.
	Draining bool
	// ColdRemaining is the remaining time of its cold start, 0 if there is
	// none.
	ColdRemaining time.Duration
	// ReportsKeys is true if the heartbeat states which keys the backend server holds
	// and released, even if there are none.
	ReportsKeys bool
	// Held are the keys that it holds or for which it still runs requests.
	Held []FencedRange
	// Released are the keys that it released since the last heartbeat that got
	// a response.
	Released []ReleasedRange
}

// Incarnation returns a name that differs for each start of a backend server.
func (h Heartbeat) Incarnation() string {
	return h.Name + "/" + strconv.FormatInt(h.Started.UnixMilli(), 10)
}

// FencedRange is a range of keys, both ends included, with its fencing token.
type FencedRange struct {
	First, Last uint16
	Fence       uint64
}

// ReleasedRange is a range of keys that were released, both ends included, with
// the handover token by which the next holder takes over their state.
type ReleasedRange struct {
	First, Last uint16
	Handover    string
}

// Grant is a range of keys that a backend server is to hold. Handover is the
// token of the previous holder, empty if there is no state to take over.
type Grant struct {
	FencedRange
	Handover string
}

// HeartbeatResponse is the response to a heartbeat.
type HeartbeatResponse struct {
	// UpdatesGrants is false if the response neither grants nor revokes keys.
	// The backend server then keeps the keys that it holds until their grant
	// expires.
	UpdatesGrants bool
	// Grants are all keys that the backend server is to hold. It releases all
	// others.
	Grants []Grant
	// GrantDuration is how long the keys are held, counted from the time at
	// which the heartbeat was sent.
	GrantDuration time.Duration
	// OnSent must be called after the response was sent.
	OnSent func()
}
