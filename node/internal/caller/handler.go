// Package caller serves callers. It routes each request to a node that may run
// it, retries where that is safe, and responds with the complete response or
// with a refusal that states whether the request may have run.
package caller

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
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
	"github.com/jujubeknot/jujubeknot/node/internal/ledger"
	"github.com/jujubeknot/jujubeknot/node/internal/metrics"
	"github.com/jujubeknot/jujubeknot/node/internal/pressure"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
	"github.com/jujubeknot/jujubeknot/node/internal/view"
	"github.com/jujubeknot/jujubeknot/node/loglines"
	"github.com/jujubeknot/jujubeknot/wire/headers"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// Limits for callers.
const (
	maxHeaderBytes = 64 << 10
	// DefaultHeaderTimeout bounds the time to receive a request header, and
	// DefaultBodyTimeout the time between two parts of a request body.
	DefaultHeaderTimeout = 5 * time.Second
	DefaultBodyTimeout   = 10 * time.Second
	// DefaultMaxInFlight bounds the requests that one node handles as entry node.
	// Without a bound, callers that sent twice the load that a core can handle
	// raised the memory of a node from 35 to 301 MiB. Nested calls may use as
	// many again, so that the requests that wait for them can complete.
	DefaultMaxInFlight = 4096
	overloadRetryAfter = 100 * time.Millisecond
	// DefaultWriteTimeout bounds each write of a response to a caller, unless the
	// deadline of the request is later.
	DefaultWriteTimeout = 30 * time.Second
	// maxStreams bounds the concurrent requests of one HTTP/2 connection. Each may
	// have a header of up to maxHeaderBytes.
	maxStreams        = 250
	streamWindowBytes = 256 << 10
	// maxIdempotencyKeyBytes bounds the Idempotency-Key header.
	maxIdempotencyKeyBytes = 256
)

// Remote runs calls at other nodes. Implementations must be safe for concurrent
// use.
type Remote interface {
	Do(ctx context.Context, to *wirev1.Node, c *relay.Call) (*relay.Response, *outcome.Refusal)
}

// Quota bounds the requests of organisations. Implementations must be safe for
// concurrent use.
type Quota interface {
	// Take takes one request from the quota of an organisation, and returns a
	// refusal if the quota is used up. It may wait for an answer of another node,
	// but not beyond the deadline.
	Take(ctx context.Context, o *rules.Organisation, deadline time.Time) *outcome.Refusal
	// Return gives back what Take took for a request that no backend server ran.
	Return(o *rules.Organisation)
}

// Config has the components and settings of a Handler. Clock, View, Owner,
// Remote and Metrics are required. The zero value of a setting means its
// default.
type Config struct {
	Log     zerolog.Logger
	Clock   clock.Clock
	View    *view.View
	Owner   relay.Target
	Remote  Remote
	Metrics *metrics.Set
	// Pressure refuses requests while the processor is overloaded. Nil means a new
	// monitor.
	Pressure *pressure.Monitor
	// Sample selects the routing decisions that are logged. Nil means all.
	Sample *loglines.Sample
	// Dialect is the protocol for backend servers and callers. Nil means the
	// project's own protocol.
	Dialect *dialect.Dialect
	// WithoutLease lets the node route requests while it has no lease. The owners
	// check their own leases.
	WithoutLease bool
	// RulesGrace bounds the use of rules that may be out of date. If control has
	// not responded for longer than RulesGrace, a request without a route is
	// refused with noRules instead of noRoute. If newer rules have been in force
	// for longer than RulesGrace, all requests are refused with noRules. 0 means
	// no bound.
	RulesGrace time.Duration
	// AvailabilityZone is the availability zone of this node.
	AvailabilityZone string
	// IsBackendServer reports whether an address is that of the backend server.
	// The depth of a call is read only if the call comes from such an address or a
	// loopback address. Nil means loopback addresses only.
	IsBackendServer func(netip.Addr) bool
	// Parent returns what a nested call takes over from the call that the backend
	// server runs under a request id, and false if there is none. Nil means that
	// nested calls are known by their depth only.
	Parent func(requestID string) (relay.Parent, bool)
	// Ledger counts the memory that callers hold. Nil means that it is not counted.
	Ledger *ledger.Ledger
	// Quota bounds the requests of organisations. Nil means that they are not
	// bounded.
	Quota Quota
	// HeaderTimeout and BodyTimeout are described at DefaultHeaderTimeout, and
	// WriteTimeout at DefaultWriteTimeout.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	WriteTimeout  time.Duration
	// MaxInFlight, MaxConnections and IdleTimeout are described at
	// DefaultMaxInFlight, DefaultMaxConnections and DefaultIdleTimeout.
	MaxInFlight    int
	MaxConnections int
	// MaxHeaderFields is described at pipeline.DefaultMaxHeaderFields.
	MaxHeaderFields int
	IdleTimeout     time.Duration
}

// Handler handles the requests of callers. It is safe for concurrent use.
type Handler struct {
	cfg Config
	// started is the time at which the node started.
	started time.Time
	ids     idSource
	// inFlight is the number of requests of callers that are being handled.
	inFlight atomic.Int64
	// unreachable limits the attempts that held requests make at nodes that cannot
	// be reached.
	unreachable UnreachableNodes
	// stop is nil until the node stops.
	stop atomic.Pointer[Stop]
	// requests is the context of the requests that net/http serves. cancelRequests
	// ends it.
	requests       context.Context
	cancelRequests context.CancelFunc

	mu        sync.Mutex
	upstreams map[string]*upstreamState
}

// New returns a Handler. It panics if a required component is missing.
func New(cfg Config) *Handler {
	if cfg.Clock == nil || cfg.View == nil || cfg.Owner == nil || cfg.Remote == nil || cfg.Metrics == nil {
		panic("caller: clock, view, owner, remote and metrics are required")
	}
	if cfg.Pressure == nil {
		cfg.Pressure = pressure.New()
	}
	if cfg.Parent == nil {
		cfg.Parent = func(string) (relay.Parent, bool) { return relay.Parent{}, false }
	}
	if cfg.IsBackendServer == nil {
		cfg.IsBackendServer = func(netip.Addr) bool { return false }
	}
	cfg.HeaderTimeout = cmp.Or(cfg.HeaderTimeout, DefaultHeaderTimeout)
	cfg.BodyTimeout = cmp.Or(cfg.BodyTimeout, DefaultBodyTimeout)
	cfg.WriteTimeout = cmp.Or(cfg.WriteTimeout, DefaultWriteTimeout)
	cfg.MaxInFlight = cmp.Or(cfg.MaxInFlight, DefaultMaxInFlight)
	cfg.MaxConnections = cmp.Or(cfg.MaxConnections, DefaultMaxConnections)
	cfg.IdleTimeout = cmp.Or(cfg.IdleTimeout, DefaultIdleTimeout)
	h := &Handler{cfg: cfg, started: cfg.Clock.Now(), ids: newIDSource(), upstreams: map[string]*upstreamState{}}
	h.requests, h.cancelRequests = context.WithCancel(context.Background())
	return h
}

// request is the state of a caller's request at the entry node.
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
	// inFlight is the number of requests in flight when this one arrived,
	// including it.
	inFlight int64
	// body is nil if the request has no body.
	body *timedBody
	// memory is what the request holds its memory at. ownsMemory is true if it is of
	// this request only. bodyBytes is what it holds there for its body.
	memory     *ledger.Entry
	ownsMemory bool
	bodyBytes  int64
	// tried has the incarnations of the nodes to which a request without a key was
	// sent.
	tried []uint64
	// lastUnknown is the last refusal of an attempt that may have run, nil if
	// there is none.
	lastUnknown *outcome.Refusal
	// lastDecision is the routing decision of the latest attempt with a key.
	lastDecision routing.Decision
	hold         nodeHold
	// owner is the incarnation of the owner in the latest decision with a key.
	owner uint64
	key   apiKey
	// parent is what a nested call takes over.
	parent relay.Parent
	// statedPriority is the priority by the rules: that of the organisation, or of the
	// route if it has none.
	statedPriority int
	// identifiedBy is the table by which the organisation was last determined.
	identifiedBy *routing.Table
	// quotaOf is the organisation from whose quota the request was taken, nil if it
	// was taken from none.
	quotaOf *rules.Organisation
}

// ServeHTTP responds to one request of a caller.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.cfg.Metrics.InFlight.Add(1)
	defer h.cfg.Metrics.InFlight.Add(-1)
	inFlight := h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	h.cfg.Pressure.Begin()
	defer h.cfg.Pressure.End()
	q := &request{h: h, w: w, r: r, control: http.NewResponseController(w), started: h.cfg.Clock.Now(), inFlight: inFlight}
	q.call.ID = h.ids.next()
	if given := r.Header.Get(headers.RequestID); h.cfg.Dialect != nil && given != "" {
		q.call.ID = given
	}
	defer q.closeMemory()
	response, refusal := q.serve()
	w = q.timedWriter()
	q.closeUnlessBodyRead()
	if refusal != nil {
		refusal.RequestID = q.call.ID
		relay.WriteRefusal(w, refusal)
		q.record(refusal)
		return
	}
	err := relay.WriteResponse(w, r.Method, response, q.call.ID)
	if err != nil {
		refusal = relay.Unknown(outcome.ReasonAnswerIncomplete)
	}
	q.record(refusal)
	if err != nil {
		h.cfg.Log.Info().Err(err).Str("requestId", q.call.ID).Msg("response truncated")
		// Closes the connection or resets the stream, so that the caller never takes
		// a truncated response for a complete one.
		panic(http.ErrAbortHandler)
	}
}

// record counts the response to the caller. A nil refusal means success.
func (q *request) record(refusal *outcome.Refusal) {
	q.h.cfg.Metrics.RecordResponse(refusal, q.h.cfg.Clock.Now().Sub(q.started))
	q.h.cfg.Metrics.RecordOrganisation(q.call.Organisation, refusal)
}

func (q *request) serve() (response *relay.Response, refusal *outcome.Refusal) {
	if refusal = q.read(); refusal != nil {
		e := q.h.cfg.Log.Info().Str("requestId", q.call.ID).Str("decision", "refuse").Str("outcome", refusal.Outcome.String()).
			Str("reason", string(refusal.Reason))
		logOrganisation(e, &q.call).Msg("entry")
	} else {
		response, refusal = q.run()
	}
	q.returnQuota(refusal)
	return response, refusal
}

// read validates the request and fills in the call, including its body.
func (q *request) read() *outcome.Refusal {
	if !q.openMemory() {
		return noMemory()
	}
	r := q.r
	uri := requestTarget(r)
	if !unambiguousRequest(r, uri) {
		return relay.NotRun(outcome.ReasonBadRequest)
	}
	path, query, _ := strings.Cut(uri, "?")
	q.query = routing.Request{Paths: q.h.paths(), Path: path, Query: query, Host: r.Host, Random: rand.Uint64(), Header: r.Header}
	t := q.h.cfg.View.Table()
	if !t.HasRoutes() || q.h.rulesSuperseded() {
		// Without current rules it is unknown whether a route exists.
		return q.h.refuseWithoutRules(t)
	}
	q.takeAPIKey(t)
	d := t.Decide(q.query)
	q.route, q.upstream = d.Route, d.Upstream
	if d.Reason == outcome.ReasonNoRoute && q.h.controlUnresponsive() {
		// A newer revision that this node has not received may have a route.
		return relay.NotRun(outcome.ReasonNoRules)
	}
	if q.route == nil || q.upstream == nil {
		return relay.NotRun(d.Reason)
	}
	q.readParent()
	if refusal := q.identify(t); refusal != nil {
		return refusal
	}
	if d.Reason == outcome.ReasonNoKey || d.Reason == outcome.ReasonBadRequest {
		return relay.NotRun(d.Reason)
	}
	c := &q.call
	if q.statedPriority < q.upstream.MinPriority {
		return relay.NotRun(outcome.ReasonRateLimit)
	}
	c.Upstream, c.Keyed, c.KeyHash = q.upstream.Name, q.upstream.Keyed, d.KeyHash
	c.Kind = kindOf(q.route)
	c.Method, c.URI, c.Host, c.Header = r.Method, uri, r.Host, relay.EndToEnd(r.Header)
	c.Idempotent = q.idempotent()
	if refusal := q.readCallerHeaders(t); refusal != nil {
		return refusal
	}
	if refusal := q.refuseBeyondStop(); refusal != nil {
		return refusal
	}
	maxInFlight := int64(q.h.cfg.MaxInFlight)
	if q.inFlight > maxInFlight && (c.NestingDepth() == 0 || q.inFlight > 2*maxInFlight) || q.h.cfg.Pressure.Overloaded(c.NestingDepth()) {
		refusal := relay.NotRun(outcome.ReasonProcessorBusy)
		refusal.RetryAfter = overloadRetryAfter
		return refusal
	}
	if refusal := q.takeQuota(t); refusal != nil {
		return refusal
	}
	return q.readBody()
}

// controlUnresponsive reports whether control has not responded for longer than
// RulesGrace, so that the rules may have changed.
func (h *Handler) controlUnresponsive() bool {
	return h.cfg.RulesGrace > 0 && h.cfg.View.SinceConfirmation(h.cfg.Clock.Now()) > h.cfg.RulesGrace
}

// rulesSuperseded reports whether, according to control, newer rules than those
// of this node have been in force for longer than RulesGrace. An update can be
// delayed by a busy link or a busy leader. The node must then stop using rules
// that no other node uses.
func (h *Handler) rulesSuperseded() bool {
	return h.cfg.RulesGrace > 0 && h.cfg.View.SupersededFor(h.cfg.Clock.Now()) > h.cfg.RulesGrace
}

// paths returns how paths are compared with the prefixes of routes.
func (h *Handler) paths() routing.PathMatching {
	if h.cfg.Dialect == nil {
		return routing.MatchSegments
	}
	return h.cfg.Dialect.Paths
}
