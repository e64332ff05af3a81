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
	// pingPath is answered to everyone with 204: it shows no more than that the
	// connection works.
	pingPath = "/jujubeknot/ping"
	// settleAbsent is the state of an idempotent sending that is not known: it
	// has not begun, did not run, or was forgotten. It is not barred.
	settleAbsent = "absent"
	// settleBytes bounds a settlement: a stored response of relay.MaxBufferedBytes in
	// base64 with its header.
	settleBytes = 256 << 10
	// maxTrusted bounds the own incarnations that are remembered.
	maxTrusted = 64
	// overRetryAfter is told to callers who were refused for overload.
	overRetryAfter = 100 * time.Millisecond
	// openTimeout bounds the time for the first bytes of a connection, and for
	// a header, to arrive. The other node sends them at once.
	openTimeout = 5 * time.Second
)

// settleQuestion is the body of POST /jujubeknot/settle.
type settleQuestion struct {
	Sending string `json:"sending"`
	// Incarnation that the sending was addressed to.
	Incarnation uint64 `json:"incarnation"`
	// Idempotent sendings are looked up among the recent calls and not barred.
	Idempotent bool `json:"idempotent,omitempty"`
}

// settlement is the answer to it.
type settlement struct {
	State  string      `json:"state"`
	Status int         `json:"status,omitempty"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// Owner runs calls and settles them.
type Owner interface {
	relay.Target
	// Settle says what became of a sending, and bars it if it has not begun.
	Settle(sending string) outcome.SettleAnswer
}

// Handler serves other nodes. Log, Clock, View and Owner are required.
type Handler struct {
	Log zerolog.Logger
	// Sample says which routing decisions get a line. Nil means all.
	Sample *loglines.Sample
	Clock  clock.Clock
	View   *view.View
	Owner  Owner
	// SharedSecret is trusted whatever the sender's incarnation. Empty means that
	// only registered nodes are trusted.
	SharedSecret string
	// RulesGrace is how long calls that were decided by older rules than this
	// node's are still run. 0 means for ever.
	RulesGrace time.Duration
	// Pressure refuses calls while the processor is overloaded. Nil means one
	// that refuses none.
	Pressure *pressure.Monitor

	mu sync.Mutex
	// own has the incarnations of this process, the latest last.
	own []uint64
	// recent has the idempotent calls, which the request table leaves out.
	recent recentCalls

	watched connections
}

// connKey is the context key of the connection that a request came on.
type connKey struct{}

func withConn(ctx context.Context, nc net.Conn) context.Context {
	if b, ok := nc.(*begunConn); ok {
		nc = b.Conn
	}
	return context.WithValue(ctx, connKey{}, nc)
}

// watchedListener has connections that Handler.Run watches.
type watchedListener struct {
	net.Listener
	watched *connections
}

// Accept waits for a connection.
func (l *watchedListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		// Serve of net/http looks at the type of the error.
		return nil, err
	}
	return l.watched.add(nc, "", nil), nil
}

// Run closes connections that have calls under way and went silent, until the
// context ends.
func (h *Handler) Run(ctx context.Context) {
	w := &watcher{clock: h.Clock, log: h.Log, set: &h.watched, look: (*pulse).listen}
	w.run(ctx)
}

// httpServer serves calls whose body is streamed, and questions about lost ones.
func (h *Handler) httpServer() *http.Server {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler: h, Protocols: protocols, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: openTimeout,
		IdleTimeout: 2 * idleTimeout, ConnContext: withConn,
		HTTP2: &http.HTTP2Config{
			MaxEncoderHeaderTableSize: headerTable, MaxConcurrentStreams: maxStreams,
			MaxReceiveBufferPerStream: streamWindow, MaxReceiveBufferPerConnection: connectionWindow,
		},
	}
}

// Registered notes an incarnation of this process. Only sendings to one of
// them can be settled here.
func (h *Handler) Registered(incarnation uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.own = append(h.own, incarnation)
	if len(h.own) > maxTrusted {
		h.own = slices.Delete(h.own, 0, 1)
	}
}

// ServeHTTP runs a call of another node or settles one.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call := r.Header.Get(headers.PeerCall) != ""
	if r.URL.Path == pingPath && !call {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	if c, ok := r.Context().Value(connKey{}).(*watchedConn); ok {
		defer h.watched.end(h.watched.on(c))
	}
	from := r.Header.Get(headers.PeerIncarnation)
	if refusal := h.trust(from, r.Header.Get(headers.PeerSecret), r.RemoteAddr); refusal != nil {
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
	c, refusal := h.call(w, r)
	if refusal != nil {
		relay.WriteRefusal(w, refusal)
		return
	}
	started := h.Clock.Now()
	h.Pressure.Enter()
	defer h.Pressure.Leave()
	answer, refusal := h.do(r.Context(), c)
	h.logCall(from, c, answer, refusal, h.Clock.Now().Sub(started))
	if refusal != nil {
		refusal.RequestID = c.ID
		relay.WriteRefusal(w, refusal)
		return
	}
	if err := relay.WriteResponse(w, r.Method, answer, c.Sending); err != nil {
		// Resets the stream, so that the entry node sees an incomplete answer.
		panic(http.ErrAbortHandler)
	}
}

// do runs a call, and keeps the answer to an idempotent one for a settlement.
// The call must have been counted.
func (h *Handler) do(ctx context.Context, c *relay.Call) (answer *relay.Response, refusal *outcome.Refusal) {
	if c.Idempotent {
		recent := h.recent.begin(c.Sending)
		// Also where the call panics, so that it does not stay for ever.
		defer func() { h.recent.end(h.Clock.Now(), recent, answer, refusal) }()
	}
	return h.admit(ctx, c)
}

// oldRules reports whether a call was decided by rules that should be out of
// force everywhere: its entry node has lost control without noticing.
func (h *Handler) oldRules(c *relay.Call) bool {
	return h.RulesGrace > 0 && c.Revision < h.View.Table().Revision() && h.View.RulesAge(h.Clock.Now()) > h.RulesGrace
}

// admit runs a call unless it was decided by old rules or the processor is
// overloaded.
func (h *Handler) admit(ctx context.Context, c *relay.Call) (*relay.Response, *outcome.Refusal) {
	if h.oldRules(c) {
		return nil, relay.NotRun(outcome.ReasonOldRules)
	}
	if h.Pressure.Over(c.Depth) {
		r := relay.NotRun(outcome.ReasonProcessorBusy)
		r.RetryAfter = overRetryAfter
		return nil, r
	}
	return h.Owner.Do(ctx, c)
}

// trust checks that the sender is a registered incarnation.
func (h *Handler) trust(shown, secret, remote string) *outcome.Refusal {
	if h.SharedSecret != "" && subtle.ConstantTimeCompare([]byte(h.SharedSecret), []byte(secret)) == 1 {
		return nil
	}
	incarnation, err := strconv.ParseUint(shown, 10, 64)
	if err != nil || incarnation == 0 || secret == "" {
		h.Log.Warn().Str("remote", remote).Msg("request without a node's credentials on the peer port")
		return relay.NotRun(outcome.ReasonBadRequest)
	}
	n := h.View.Table().Node(incarnation)
	if n == nil {
		// The sender registered a moment ago, or is no longer registered.
		return relay.NotRun(outcome.ReasonNoLease)
	}
	if subtle.ConstantTimeCompare([]byte(n.GetPeerSecret()), []byte(secret)) != 1 {
		h.Log.Warn().Str("remote", remote).Uint64("incarnation", incarnation).Msg("request with a wrong secret on the peer port")
		return relay.NotRun(outcome.ReasonBadRequest)
	}
	return nil
}

// call reads a call from its headers.
func (h *Handler) call(w http.ResponseWriter, r *http.Request) (*relay.Call, *outcome.Refusal) {
	c, err := DecodeCall(r.Header.Get(headers.PeerCall), h.Clock.Now())
	if err != nil {
		h.Log.Warn().Err(err).Str("remote", r.RemoteAddr).Msg("request of another node cannot be read")
		return nil, relay.NotRun(outcome.ReasonBadRequest)
	}
	c.Method, c.URI, c.Host, c.Header = r.Method, r.URL.RequestURI(), r.Host, relay.EndToEnd(r.Header)
	c.Body = body(w, r)
	return c, nil
}

// body returns the body of a call over HTTP/2. It is sent only once the call is
// admitted and something reads it.
func body(w http.ResponseWriter, r *http.Request) *relay.Body {
	if r.Body == http.NoBody {
		return &relay.Body{}
	}
	control := http.NewResponseController(w)
	return &relay.Body{Rest: r.Body, Length: r.ContentLength, Abort: func() { _ = control.SetReadDeadline(time.Unix(1, 0)) }}
}

func (h *Handler) settle(w http.ResponseWriter, r *http.Request) {
	var q settleQuestion
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 4<<10)).Decode(&q); err != nil || q.Sending == "" {
		relay.WriteRefusal(w, relay.NotRun(outcome.ReasonBadRequest))
		return
	}
	s := settlement{State: outcome.SettleUnknown.String()}
	h.mu.Lock()
	mine := slices.Contains(h.own, q.Incarnation)
	h.mu.Unlock()
	switch {
	case mine && q.Idempotent:
		var found bool
		if s, found = h.recent.settle(q.Sending); !found {
			s.State = settleAbsent
		}
	case mine:
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
	// A failed write means that the other node asks again.
	_ = json.NewEncoder(w).Encode(s)
}

func (h *Handler) logCall(from string, c *relay.Call, a *relay.Response, refusal *outcome.Refusal, took time.Duration) {
	if refusal == nil && h.Sample.Omit(c.ID, a.Status) {
		return
	}
	e := h.Log.Info().Str("requestId", c.ID).Str("sending", c.Sending).Str("from", from).
		Str("upstream", c.Upstream).Int64("tookMicros", took.Microseconds())
	if c.Keyed {
		e = e.Uint32("partition", c.Partition).Uint64("epoch", c.Epoch)
	}
	if refusal != nil {
		e.Str("decision", "refuse").Str("outcome", refusal.Outcome.String()).Str("reason", string(refusal.Reason)).Msg("owner")
		return
	}
	e.Str("decision", "run").Str("reason", "owned").Int("status", a.Status).Msg("owner")
}
