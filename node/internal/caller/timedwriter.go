package caller

import (
	"net/http"
	"time"
)

// timedWriter sends the response to a caller. It bounds each write by the request's
// deadline or by timeout from now, whichever is later. Over HTTP/2 the bound also
// applies between two writes, in which the rest of the response may arrive until the
// request's deadline.
type timedWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
	// deadline is the request's deadline.
	deadline time.Time
}

// timedWriter returns the writer for the response, with its first bound set.
func (q *request) timedWriter() *timedWriter {
	// The deadline of the call is by the handler's clock.
	remaining := q.call.Deadline.Sub(q.h.cfg.Clock.Now())
	w := &timedWriter{ResponseWriter: q.w, control: q.control, timeout: q.h.cfg.WriteTimeout, deadline: time.Now().Add(remaining)}
	w.renew()
	return w
}

func (w *timedWriter) renew() {
	at := time.Now().Add(w.timeout)
	if w.deadline.After(at) {
		at = w.deadline
	}
	_ = w.control.SetWriteDeadline(at)
}

// Write renews the bound and writes a part of the body.
func (w *timedWriter) Write(p []byte) (int, error) {
	w.renew()
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the writer of the server.
func (w *timedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
