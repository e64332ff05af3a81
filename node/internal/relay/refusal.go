package relay

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/wire/headers"
)

// refusalBody is the JSON form of a refusal.
type refusalBody struct {
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason"`
	RetryAfterMs int64  `json:"retryAfterMs"`
	RequestID    string `json:"requestId"`
}

// refusalBytes bounds the refusal body that is read from a peer.
const refusalBytes = 4 << 10

// Status returns the HTTP status of a refusal.
func Status(r *outcome.Refusal) int {
	switch r.Reason {
	case outcome.ReasonNoRoute:
		return http.StatusNotFound
	case outcome.ReasonNoKey, outcome.ReasonBadRequest:
		return http.StatusBadRequest
	case outcome.ReasonBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case outcome.ReasonDepth:
		return http.StatusLoopDetected
	case outcome.ReasonRateLimit, outcome.ReasonKeyShare:
		return http.StatusTooManyRequests
	case outcome.ReasonDeadline:
		return http.StatusGatewayTimeout
	}
	if r.Outcome == outcome.OutcomeNotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// WriteRefusal answers a request with a refusal.
func WriteRefusal(w http.ResponseWriter, r *outcome.Refusal) {
	body, err := json.Marshal(refusalBody{
		Outcome: r.Outcome.String(), Reason: string(r.Reason),
		RetryAfterMs: r.RetryAfter.Milliseconds(), RequestID: r.RequestID,
	})
	if err != nil {
		panic("relay: refusal: " + err.Error())
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(headers.Outcome, r.Outcome.String())
	if r.RequestID != "" {
		h.Set(headers.RequestID, r.RequestID)
	}
	if r.RetryAfter > 0 {
		h.Set(headers.RetryAfterMs, strconv.FormatInt(max(r.RetryAfter.Milliseconds(), 1), 10))
		h.Set("Retry-After", strconv.Itoa(int((r.RetryAfter+time.Second-1)/time.Second)))
	}
	w.WriteHeader(Status(r))
	// A failed write means that the other side has gone.
	_, _ = w.Write(body)
}

// ReadRefusal returns the refusal that a peer answered with, or nil if the
// answer is a backend server's. Without a readable body only the outcome header
// counts.
func ReadRefusal(h http.Header, body io.Reader) *outcome.Refusal {
	said := h.Get(headers.Outcome)
	if said == "" {
		return nil
	}
	r := Unknown(outcome.ReasonConnectionLost)
	if said == outcome.OutcomeNotRun.String() {
		r = NotRun(outcome.ReasonUnreachable)
	}
	var b refusalBody
	if err := json.NewDecoder(io.LimitReader(body, refusalBytes)).Decode(&b); err == nil && b.Reason != "" {
		r.Reason = outcome.Reason(b.Reason)
		r.RetryAfter = time.Duration(max(b.RetryAfterMs, 0)) * time.Millisecond
	}
	return r
}
