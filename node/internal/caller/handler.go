// Package caller serves callers: it routes each request to the node that may
// run it, tries again where that is safe, and answers with the complete
// response or a truthful refusal.
package caller

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/jujubeknot/jujubeknot/core/clock"
	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/core/routing"
	"github.com/jujubeknot/jujubeknot/core/rules"
	"github.com/jujubeknot/jujubeknot/node/dialect"
	"github.com/jujubeknot/jujubeknot/node/internal/metrics"
	"github.com/jujubeknot/jujubeknot/node/internal/pressure"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
	"github.com/jujubeknot/jujubeknot/node/internal/view"
	"github.com/jujubeknot/jujubeknot/node/loglines"
	"github.com/jujubeknot/jujubeknot/wire/headers"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// Bounds on what callers send.
const (
	maxHeaderBytes = 64 << 10
	// DefaultHeaderTimeout and DefaultBodyTimeout bound how long a slow sender
	// may take for the header, and between two parts of the body.
	DefaultHeaderTimeout = 5 * time.Second
	DefaultBodyTimeout   = 10 * time.Second
	// DefaultMaxInFlight bounds the requests that one node handles as entry
	// node. Without a bound, callers who asked for twice what a core carries
	// raised a node from 35 to 301 MiB. Nested calls get as many again, so
	// that the requests above them can end.
	DefaultMaxInFlight = 4096
	crowdedRetryAfter  = 100 * time.Millisecond
	// writeTimeout bounds how long a caller may take for a part of the answer.
	writeTimeout = 30 * time.Second
	// maxStreams bounds the requests of one HTTP/2 connection, each with a
	// header of up to maxHeaderBytes.
	maxStreams   = 250
	streamWindow = 256 << 10
	// maxIDBytes bounds the caller's Idempotency-Key.
	maxIDBytes = 256
)

// Remote runs calls at other nodes.
type Remote interface {
	Do(ctx context.Context, to *wirev1.Node, c *relay.Call) (*relay.Response, *outcome.Refusal)
}

// Config has the parts and settings of a Handler. The parts are required but
// for IsBackendServer and Pressure; the zero value of the settings means the default.
type Config struct {
	Log     zerolog.Logger
	Clock   clock.Clock
	View    *view.View
	Owner   relay.Target
	Remote  Remote
	Metrics *metrics.Set
	// Pressure refuses requests while the processor is overloaded.
	Pressure *pressure.Monitor
	// Sample says which routing decisions get a line. Nil means all.
	Sample *loglines.Sample
	// Dialect is nil for the project's own protocol.
	Dialect *dialect.Dialect
	// WithoutLease lets requests go on while the node has no lease: the owners
	// check theirs.
	WithoutLease bool
	// RulesGrace is how long after control last answered the node still says that
	// there is no route. 0 means for ever.
	RulesGrace time.Duration
	// AvailabilityZone is this node's own.
	AvailabilityZone string
	// IsBackendServer reports whether an address is the backend server's, whose calls
	// may state their depth. Loopback addresses always may.
	IsBackendServer func(netip.Addr) bool
	// HeaderTimeout and BodyTimeout are described at their defaults.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	// MaxInFlight, MaxConnections and IdleTimeout are described at their
	// defaults.
	MaxInFlight    int
	MaxConnections int
	IdleTimeout    time.Duration
}

// Handler serves callers. It is safe for concurrent use.
type Handler struct {
	cfg Config
	ids idSource
	// inFlight counts requests of callers.
	inFlight atomic.Int64
	bodies   bodyBudget
	// unreachable spares nodes that are gone one try for each held request.
	unreachable UnreachableNodes

	mu        sync.Mutex
	upstreams map[string]*upstream
}

// New returns a handler. It panics if a part is missing.
func New(cfg Config) *Handler {
	if cfg.Clock == nil || cfg.View == nil || cfg.Owner == nil || cfg.Remote == nil || cfg.Metrics == nil {
		panic("caller: clock, view, owner, remote and metrics are required")
	}
	if cfg.Pressure == nil {
		cfg.Pressure = pressure.New()
	}
	if cfg.IsBackendServer == nil {
		cfg.IsBackendServer = func(netip.Addr) bool { return false }
	}
	cfg.HeaderTimeout = cmp.Or(cfg.HeaderTimeout, DefaultHeaderTimeout)
	cfg.BodyTimeout = cmp.Or(cfg.BodyTimeout, DefaultBodyTimeout)
	cfg.MaxInFlight = cmp.Or(cfg.MaxInFlight, DefaultMaxInFlight)
	cfg.MaxConnections = cmp.Or(cfg.MaxConnections, DefaultMaxConnections)
	cfg.IdleTimeout = cmp.Or(cfg.IdleTimeout, DefaultIdleTimeout)
	return &Handler{cfg: cfg, ids: newIDSource(), upstreams: map[string]*upstream{}}
}

// request is a caller's request on its way through the entry node.
type request struct {
	h        *Handler
	w        http.ResponseWriter
	r        *http.Request
	control  *http.ResponseController
	call     relay.Call
	query    routing.Request
	route    *rules.Route
	upstream *rules.Upstream
	started  time.Time
	attempt  int
	// place is the number of requests in flight when this one came.
	place int64
	// body is nil if the request has none.
	body *slowBody
	// keptBody is what the request has taken of the budget for bodies.
	keptBody int64
	// tried has the nodes that this request was sent to without a key.
	tried []uint64
	// undecided is the last refusal of a sending that may have run.
	undecided *outcome.Refusal
	// located is where the latest sending with a key went.
	located routing.Decision
	held    held
	// owner is the incarnation that the latest decision with a key named.
	owner uint64
}

// ServeHTTP answers one request of a caller.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.cfg.Metrics.InFlight.Add(1)
	defer h.cfg.Metrics.InFlight.Add(-1)
	place := h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	h.cfg.Pressure.Begin()
	defer h.cfg.Pressure.End()
	q := &request{h: h, w: w, r: r, control: http.NewResponseController(w), started: h.cfg.Clock.Now(), place: place}
	q.call.ID = h.ids.next()
	if given := r.Header.Get(headers.RequestID); h.cfg.Dialect != nil && given != "" {
		q.call.ID = given
	}
	defer func() { h.bodies.give(q.keptBody) }()
	answer, refusal := q.serve()
	_ = q.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	q.closeUnlessRead()
	if refusal != nil {
		refusal.RequestID = q.call.ID
		relay.WriteRefusal(w, refusal)
		h.cfg.Metrics.RecordResponse(refusal, h.cfg.Clock.Now().Sub(q.started))
		return
	}
	err := relay.WriteResponse(w, r.Method, answer, q.call.ID)
	if err != nil {
		refusal = relay.Unknown(outcome.ReasonAnswerIncomplete)
	}
	h.cfg.Metrics.RecordResponse(refusal, h.cfg.Clock.Now().Sub(q.started))
	if err != nil {
		h.cfg.Log.Info().Err(err).Str("requestId", q.call.ID).Msg("answer cut short")
		// Cuts the connection or resets the stream, so that the caller never
		// takes a part for the whole.
		panic(http.ErrAbortHandler)
	}
}

func (q *request) serve() (*relay.Response, *outcome.Refusal) {
	if refusal := q.read(); refusal != nil {
		q.h.cfg.Log.Info().Str("requestId", q.call.ID).Str("decision", "refuse").Str("outcome", refusal.Outcome.String()).
			Str("reason", string(refusal.Reason)).Msg("entry")
		return nil, refusal
	}
	return q.run()
}

// read checks the request and fills in the call, up to the body.
func (q *request) read() *outcome.Refusal {
	r := q.r
	uri := r.URL.RequestURI()
	if !plainRequest(r, uri) {
		return relay.NotRun(outcome.ReasonBadRequest)
	}
	q.query = routing.Request{Path: r.URL.EscapedPath(), Query: r.URL.RawQuery, Host: r.Host, Random: rand.Uint64(), Header: r.Header}
	t := q.h.cfg.View.Table()
	if t.Revision() == 0 || q.h.outdated() {
		// It is not known whether there is a route, and to what.
		return relay.NotRun(outcome.ReasonNoRules)
	}
	d := t.Decide(q.query)
	q.route, q.upstream = d.Route, d.Upstream
	if d.Reason == outcome.ReasonNoRoute && q.h.silent() {
		// A route may have come that this node has not heard of.
		return relay.NotRun(outcome.ReasonNoRules)
	}
	switch d.Reason {
	case outcome.ReasonNoRoute, outcome.ReasonNoKey, outcome.ReasonBadRequest:
		return relay.NotRun(d.Reason)
	}
	if q.route.Priority < q.upstream.MinPriority {
		return relay.NotRun(outcome.ReasonRateLimit)
	}
	c := &q.call
	c.Upstream, c.Keyed, c.KeyHash = q.upstream.Name, q.upstream.Keyed, d.KeyHash
	c.Priority = q.route.Priority
	c.Method, c.URI, c.Host, c.Header = r.Method, uri, r.Host, relay.EndToEnd(r.Header)
	c.Idempotent = q.idempotent()
	if refusal := q.readOwn(t); refusal != nil {
		return refusal
	}
	crowd := int64(q.h.cfg.MaxInFlight)
	if q.place > crowd && (c.Depth == 0 || q.place > 2*crowd) || q.h.cfg.Pressure.Overloaded(c.Depth) {
		refusal := relay.NotRun(outcome.ReasonProcessorBusy)
		refusal.RetryAfter = crowdedRetryAfter
		return refusal
	}
	return q.readBody()
}

// silent reports whether control has not answered for so long that the rules may
// have changed.
func (h *Handler) silent() bool {
	return h.cfg.RulesGrace > 0 && h.cfg.View.SinceConfirmation(h.cfg.Clock.Now()) > h.cfg.RulesGrace
}

// outdated reports whether control has said that later rules than those here have
// been in force for longer than the grace. An update that is late on a busy link
// or at a busy leader must not leave a node with rules that nobody else has.
func (h *Handler) outdated() bool {
	return h.cfg.RulesGrace > 0 && h.cfg.View.SupersededFor(h.cfg.Clock.Now()) > h.cfg.RulesGrace
}

// idempotent reports whether the request may run more than once.
func (q *request) idempotent() bool {
	switch q.route.Repeat {
	case rules.RepeatAlways:
		return true
	case rules.RepeatNever:
		return false
	default:
		return relay.Idempotent(q.r.Method, q.route.Idempotent)
	}
}

// plainRequest refuses what could be read differently by a backend server:
// HTTP/1.0, whose answers cannot be told from cut ones, and a target or host
// with spaces or control characters.
func plainRequest(r *http.Request, uri string) bool {
	if !r.ProtoAtLeast(1, 1) || r.Method == http.MethodConnect || r.URL.Path == "" || !strings.HasPrefix(uri, "/") {
		return false
	}
	odd := func(c rune) bool { return c <= ' ' || c == 0x7f }
	return strings.IndexFunc(uri, odd) < 0 && strings.IndexFunc(r.Host, odd) < 0 && strings.IndexFunc(r.Method, odd) < 0 &&
		!strings.ContainsAny(uri, "#\\")
}

// readOwn reads the headers that callers may set: deadline, depth, attempt and
// idempotency key.
func (q *request) readOwn(t *routing.Table) *outcome.Refusal {
	c, get := &q.call, q.r.Header.Get
	timeout := q.route.Timeout
	if v := get(headers.Deadline); v != "" {
		ms, err := strconv.ParseUint(v, 10, 32)
		if err != nil {
			return relay.NotRun(outcome.ReasonBadRequest)
		}
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	c.Deadline = q.started.Add(timeout)
	if q.route.TargetLatency > 0 {
		c.TargetTime = q.started.Add(min(q.route.TargetLatency, timeout))
	}
	if v := get(headers.Attempt); v != "" {
		n, err := strconv.ParseUint(v, 10, 16)
		if err != nil || n == 0 {
			return relay.NotRun(outcome.ReasonBadRequest)
		}
		c.Attempt = int(n)
	}
	if v := get(headers.Depth); v != "" && q.nested() {
		n, err := strconv.ParseUint(v, 10, 16)
		if err != nil {
			return relay.NotRun(outcome.ReasonBadRequest)
		}
		// A call that states a depth is a nested one, so 0 is the depth of the
		// request above it, passed on unchanged.
		c.Depth = max(int(n), 1)
		if c.Depth > t.Limits().MaxDepth {
			return relay.NotRun(outcome.ReasonDepth)
		}
	}
	if keys := q.r.Header[headers.IdempotencyKey]; len(keys) > 0 && !c.Idempotent {
		if len(keys) > 1 || keys[0] == "" || len(keys[0]) > maxIDBytes {
			return relay.NotRun(outcome.ReasonBadRequest)
		}
		c.ID, c.IDFromCaller = callerID(c, keys[0]), true
	}
	return nil
}

// nested reports whether the request may come from the backend server.
func (q *request) nested() bool {
	return q.h.mayNest(q.r.RemoteAddr)
}
