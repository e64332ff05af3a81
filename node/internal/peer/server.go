package peer

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/jujubeknot/jujubeknot/core/clock"
	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/node/internal/pressure"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
	"github.com/jujubeknot/jujubeknot/node/internal/view"
	"github.com/jujubeknot/jujubeknot/node/loglines"
	"github.com/jujubeknot/jujubeknot/wire/headers"
)

const (
	settlePath = "/jujubeknot/settle"
	// pingPath is the path of pings. Pings get status 204 without
	// authentication, because this response shows only that the connection
	// works.
	pingPath = "/jujubeknot/ping"
	// settleAbsent is the state of an idempotent sending without a record: it
	// has not begun, did not run, or its record was evicted. It is not barred.
	settleAbsent = "absent"
	// maxSettlementBytes limits an encoded settlement: a stored response of
	// relay.MaxBufferedBytes in base64 with its header.
	maxSettlementBytes = 256 << 10
	// maxOwnIncarnations limits the stored incarnations of this process.
	maxOwnIncarnations = 64
	// overloadRetryAfter is the retry delay in refusals for processor overload.
	overloadRetryAfter = 100 * time.Millisecond
	// headerTimeout limits the time until the first bytes of a connection, and
	// the headers of a request, have arrived. Nodes send them without delay.
	headerTimeout = 5 * time.Second
)

// settleRequest is the body of POST /jujubeknot/settle.
type settleRequest struct {
	Sending string `json:"sending"`
	// Incarnation is the incarnation that the sending was addressed to.
	Incarnation uint64 `json:"incarnation"`
	// Idempotent sendings are looked up in the recent calls and are not barred.
	Idempotent bool `json:"idempotent,omitempty"`
}

// settlement is the response to a settleRequest: the state of the sending, and
// its response if that is known.
type settlement struct {
	State  string      `json:"state"`
	Status int         `json:"status,omitempty"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// Owner runs calls and reports their outcomes.
type Owner interface {
	relay.Target
	// Settle returns the outcome of a sending, and bars it if it has not begun.
	Settle(sending string) outcome.SettleAnswer
}

// Handler serves calls and other requests of nodes. Log, Clock, View and Owner
// are required. It is safe for concurrent use once its fields are set.
type Handler struct {
	Log zerolog.Logger
	// Sample selects the routing decisions that are logged. Nil means all.
	Sample *loglines.Sample
	Clock  clock.Clock
	View   *view.View
	Owner  Owner
	// SharedSecret authenticates any sender, whatever its incarnation. Empty
	// means that only registered nodes are accepted.
	SharedSecret string
	// RulesGrace is the time for which calls that were routed by older rules
	// than this node's are still run. 0 means without limit.
	RulesGrace time.Duration
	// Pressure limits the calls in flight while the processor is overloaded.
	// Nil means a new Monitor, whose limit has no effect.
	Pressure *pressure.Monitor
	// Answer answers a question of a node, with its incarnation. It must not block.
	// Nil means that questions are not answered.
	Answer func(from uint64, question []byte) []byte

	mu sync.Mutex
	// ownIncarnations has the incarnations of this process, the latest last.
	ownIncarnations []uint64
	// recent has the idempotent calls, which are not in the request table.
	recent recentCalls

	connections connectionSet
	// http2Calls are the calls over HTTP/2.
	http2Calls callGate
}

// connKey is the context key of the connection on which a request arrived.
type connKey struct{}

func withConn(ctx context.Context, nc net.Conn) context.Context {
	if b, ok := nc.(*replayConn); ok {
		nc = b.Conn
	}
	return context.WithValue(ctx, connKey{}, nc)
}

// monitoredListener is a listener whose connections Handler.Run monitors.
type monitoredListener struct {
	net.Listener
	connections *connectionSet
}

// Accept waits for the next connection and adds it to the monitored ones.
func (l *monitoredListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		// The error is not wrapped, since http.Server.Serve checks its type.
		return nil, err
	}
	return l.connections.add(nc, "", nil), nil
}

// acceptBacklog makes Accept fail once it has returned the connections that the
// kernel has established, or at once if the listener has no deadlines.
func (l *monitoredListener) acceptBacklog() {
	d, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok || d.SetDeadline(time.Now().Add(backlogTimeout)) != nil {
		_ = l.Close()
	}
}

// Run closes half-open connections that have calls in flight, until the context
// ends.
func (h *Handler) Run(ctx context.Context) {
	monitor := &connMonitor{clock: h.Clock, log: h.Log, connections: &h.connections, observe: (*halfOpenDetector).observeAccepted}
	monitor.run(ctx)
}

// httpServer returns the HTTP/2 server for calls with a streamed body, settle
// requests, pings and rules requests.
func (h *Handler) httpServer() *http.Server {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler: h, Protocols: protocols, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout,
		IdleTimeout: 2 * idleTimeout, ConnContext: withConn,
		HTTP2: &http.HTTP2Config{
			MaxEncoderHeaderTableSize: headerTableBytes, MaxConcurrentStreams: maxStreams,
			MaxReceiveBufferPerStream: streamWindow, MaxReceiveBufferPerConnection: connectionWindow,
		},
	}
}

// AddIncarnation adds an incarnation of this process. The Handler settles only
// sendings that were addressed to one of the latest 64 incarnations.
func (h *Handler) AddIncarnation(incarnation uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ownIncarnations = append(h.ownIncarnations, incarnation)
	if len(h.ownIncarnations) > maxOwnIncarnations {
		h.ownIncarnations = slices.Delete(h.ownIncarnations, 0, 1)
	}
}

// ServeHTTP serves a call, settle request, ping or rules request of another
// node.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call := r.Header.Get(headers.PeerCall) != ""
	if r.URL.Path == pingPath && !call {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	if c, ok := r.Context().Value(connKey{}).(*monitoredConn); ok {
		defer h.connections.endCall(h.connections.beginCallOn(c))
	}
	from := r.Header.Get(headers.PeerIncarnation)
	if refusal := h.authenticate(from, r.Header.Get(headers.PeerSecret), r.RemoteAddr); refusal != nil {
		relay.WriteRefusal(w, refusal)
		return
	}
	if r.URL.Path == settlePath && !call {
		h.settle(w, r)
		return
	}
	if revision, ok := strings.CutPrefix(r.URL.Path, rulesPath); ok && !call {
		h.rules(w, revision)
		return
	}
	if !h.http2Calls.begin() {
		relay.WriteRefusal(w, relay.NotRun(outcome.ReasonStopping))
		return
	}
	defer h.http2Calls.end()
	c, refusal := h.readCall(w, r)
	if refusal != nil {
		relay.WriteRefusal(w, refusal)
		return
	}
	started := h.Clock.Now()
	h.Pressure.Begin()
	defer h.Pressure.End()
	answer, refusal := h.do(r.Context(), c)
	h.logCall(from, c, answer, refusal, h.Clock.Now().Sub(started))
	if refusal != nil {
		refusal.RequestID = c.ID
		relay.WriteRefusal(w, refusal)
		return
	}
	if err := relay.WriteResponse(w, r.Method, answer, c.Sending); err != nil {
		// This resets the stream, so that the entry node treats the response as
		// incomplete.
		panic(http.ErrAbortHandler)
	}
}

// do runs a call, and stores the response to an idempotent call for settle
// requests. The caller must have counted the call in Pressure.
func (h *Handler) do(ctx context.Context, c *relay.Call) (answer *relay.Response, refusal *outcome.Refusal) {
	if c.Idempotent {
		recent := h.recent.begin(c.Sending)
		// Deferred so that the entry does not stay for ever if the call panics.
		defer func() { h.recent.end(h.Clock.Now(), recent, answer, refusal) }()
	}
	return h.admit(ctx, c)
}

// decidedByOldRules reports whether a call was routed by rules that no node
// should use any more. The entry node of such a call has lost its connection to
// control without detecting the loss.
func (h *Handler) decidedByOldRules(c *relay.Call) bool {
	return h.RulesGrace > 0 && c.Revision < h.View.Table().Revision() && h.View.RulesAge(h.Clock.Now()) > h.RulesGrace
}

// admit runs a call unless it was routed by old rules or the processor is
// overloaded.
func (h *Handler) admit(ctx context.Context, c *relay.Call) (*relay.Response, *outcome.Refusal) {
	if h.decidedByOldRules(c) {
		return nil, relay.NotRun(outcome.ReasonOldRules)
	}
	if h.Pressure.Overloaded(c.NestingDepth()) {
		r := relay.NotRun(outcome.ReasonProcessorBusy)
		r.RetryAfter = overloadRetryAfter
		return nil, r
	}
	return h.Owner.Do(ctx, c)
}

// authenticate returns a refusal unless the sender has the shared secret or the
// secret of a registered incarnation.
func (h *Handler) authenticate(incarnationText, secret, remote string) *outcome.Refusal {
	if h.SharedSecret != "" && subtle.ConstantTimeCompare([]byte(h.SharedSecret), []byte(secret)) == 1 {
		return nil
	}
	incarnation, err := strconv.ParseUint(incarnationText, 10, 64)
	if err != nil || incarnation == 0 || secret == "" {
		h.Log.Warn().Str("remote", remote).Msg("request on the peer port without valid node credentials")
		return relay.NotRun(outcome.ReasonBadRequest)
	}
	n := h.View.Table().Node(incarnation)
	if n == nil {
		// The sender is not yet in this node's table, or no longer registered.
		return relay.NotRun(outcome.ReasonNoLease)
	}
	if subtle.ConstantTimeCompare([]byte(n.GetPeerSecret()), []byte(secret)) != 1 {
		h.Log.Warn().Str("remote", remote).Uint64("incarnation", incarnation).Msg("request on the peer port with a wrong secret")
		return relay.NotRun(outcome.ReasonBadRequest)
	}
	return nil
}

// readCall decodes a call from the headers of a request.
func (h *Handler) readCall(w http.ResponseWriter, r *http.Request) (*relay.Call, *outcome.Refusal) {
	c, err := DecodeCall(r.Header.Get(headers.PeerCall), h.Clock.Now())
	if err != nil {
		h.Log.Warn().Err(err).Str("remote", r.RemoteAddr).Msg("call from a node cannot be decoded")
		return nil, relay.NotRun(outcome.ReasonBadRequest)
	}
	c.Method, c.URI, c.Host, c.Header = r.Method, r.RequestURI, r.Host, relay.EndToEnd(r.Header)
	if target := r.Header.Get(headers.PeerTarget); target != "" {
		c.URI = target
	}
	setClassFromHeader(c, r.Header)
	if name := r.Header.Get(headers.PeerOrganisation); name != "" && !setOrganisation(c, name) {
		h.Log.Warn().Str("remote", r.RemoteAddr).Msg("call from a node states an invalid organisation")
		return nil, relay.NotRun(outcome.ReasonBadRequest)
	}
	c.Body = requestBody(w, r)
	return c, nil
}

// requestBody returns the body of a call over HTTP/2. The other node sends the
// body only once the call is admitted and this node reads the body.
func requestBody(w http.ResponseWriter, r *http.Request) *relay.Body {
	if r.Body == http.NoBody {
		return &relay.Body{}
	}
	control := http.NewResponseController(w)
	return &relay.Body{Rest: r.Body, Length: r.ContentLength, Abort: func() { _ = control.SetReadDeadline(time.Unix(1, 0)) }}
}

func (h *Handler) settle(w http.ResponseWriter, r *http.Request) {
	var q settleRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 4<<10)).Decode(&q); err != nil || q.Sending == "" {
		relay.WriteRefusal(w, relay.NotRun(outcome.ReasonBadRequest))
		return
	}
	s := settlement{State: outcome.SettleUnknown.String()}
	h.mu.Lock()
	ownSending := slices.Contains(h.ownIncarnations, q.Incarnation)
	h.mu.Unlock()
	switch {
	case ownSending && q.Idempotent:
		var found bool
		if s, found = h.recent.settle(q.Sending); !found {
			s.State = settleAbsent
		}
	case ownSending:
		a := h.Owner.Settle(q.Sending)
		s.State = a.State.String()
		if a.State == outcome.SettleResponse {
			s.Status, s.Body = a.Response.Status, a.Response.Body
			if err := json.Unmarshal(a.Response.Header, &s.Header); err != nil {
				s = settlement{State: outcome.SettleUnknown.String()}
			}
		}
	}
	h.Log.Info().Str("sending", q.Sending).Str("state", s.State).Msg("settled")
	w.Header().Set("Content-Type", "application/json")
	// If the write fails, the other node sends the settle request again.
	_ = json.NewEncoder(w).Encode(s)
}

func (h *Handler) logCall(from string, c *relay.Call, a *relay.Response, refusal *outcome.Refusal, elapsed time.Duration) {
	if refusal == nil && h.Sample.Omit(c.ID, a.Status) {
		return
	}
	e := h.Log.Info().Str("requestId", c.ID).Str("sending", c.Sending).Str("from", from).
		Str("upstream", c.Upstream).Int64("tookMicros", elapsed.Microseconds())
	if c.Keyed {
		e = e.Uint32("partition", c.Partition).Uint64("epoch", c.Epoch)
	}
	if refusal != nil {
		e.Str("decision", "refuse").Str("outcome", refusal.Outcome.String()).Str("reason", string(refusal.Reason)).Msg("owner")
		return
	}
	e.Str("decision", "run").Str("reason", "owned").Int("status", a.Status).Msg("owner")
}
