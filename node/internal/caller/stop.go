package caller

import (
	"time"

	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
)

// Stop has the times of a stop of the node.
type Stop struct {
	// End is when the requests that still wait are cut off.
	End time.Time
	// ClosesAt is when the node closes its listeners.
	ClosesAt time.Time
}

// StopAt makes the handler refuse requests whose deadline is after the end of a stop
// of the node. Such a request could be cut off while a backend server runs it, and
// its caller would not know whether it ran.
func (h *Handler) StopAt(s Stop) { h.stop.Store(&s) }

// EndRequests cancels the requests of the servers that Server has returned, so that they
// get a response before the node closes their connections. It does not include the
// requests over HTTP/1.1 of a PipelineServer.
func (h *Handler) EndRequests() { h.cancelRequests() }

// refuseBeyondStop returns a refusal if the request may last longer than the node. The
// caller is to come back, on another connection, once other nodes take its requests.
func (q *request) refuseBeyondStop() *outcome.Refusal {
	stop := q.h.stop.Load()
	if stop == nil || !q.call.Deadline.After(stop.End) {
		return nil
	}
	q.w.Header().Set("Connection", "close")
	refusal := relay.NotRun(outcome.ReasonStopping)
	refusal.RetryAfter = max(stop.ClosesAt.Sub(q.h.cfg.Clock.Now()), 0)
	return refusal
}
