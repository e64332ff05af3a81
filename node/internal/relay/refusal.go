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

// maxRefusalBytes bounds the body of a refusal that is read from a peer.
const maxRefusalBytes = 4 << 10

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
	case outcome.ReasonUnknownAPIKey:
		return http.StatusUnauthorized
	case outcome.ReasonRateLimit, outcome.ReasonKeyShare, outcome.ReasonQuota:
		return http.StatusTooManyRequests
	case outcome.ReasonDeadline:
		return http.StatusGatewayTimeout
	}
	if r.Outcome == outcome.OutcomeNotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// WriteRefusal sends a refusal as the response to a request.
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
	// A failed write means that the previous hop has disconnected.
	_, _ = w.Write(body)
}

// ReadRefusal returns the refusal in a peer's response, or nil if the response
// comes from a backend server. If the body cannot be decoded, the refusal is
// derived from the outcome header alone.
func ReadRefusal(h http.Header, body io.Reader) *outcome.Refusal {
	result := h.Get(headers.Outcome)
	if result == "" {
		return nil
	}
	r := Unknown(outcome.ReasonConnectionLost)
	if result == outcome.OutcomeNotRun.String() {
		r = NotRun(outcome.ReasonUnreachable)
	}
	var b refusalBody
	if err := json.NewDecoder(io.LimitReader(body, maxRefusalBytes)).Decode(&b); err == nil && b.Reason != "" {
		r.Reason = outcome.Reason(b.Reason)
		r.RetryAfter = time.Duration(max(b.RetryAfterMs, 0)) * time.Millisecond
	}
	return r
}
