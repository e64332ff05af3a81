package caller

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/core/intake"
	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/core/rules"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
)

// readBody reads what must be read of the body before the request is sent.
func (q *request) readBody() *outcome.Refusal {
	refusal := q.bufferBody()
	// The ledger drops a connection or stream only before this.
	if !q.memory.Enter(intake.StageRunning) {
		return noMemory()
	}
	return refusal
}

// bufferBody buffers a short body, so that the request can be sent again, and
// prepares a long one for streaming.
func (q *request) bufferBody() *outcome.Refusal {
	r := q.r
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		q.call.Body = &relay.Body{}
		return nil
	}
	limit := q.upstream.MaxBodyBytes
	if limit == 0 {
		limit = rules.DefaultMaxBodyBytes
	}
	// The deadline of the call is by the handler's clock.
	remaining := q.call.Deadline.Sub(q.h.cfg.Clock.Now())
	q.body = &timedBody{r: http.MaxBytesReader(q.w, r.Body, limit), control: q.control, timeout: q.h.cfg.BodyTimeout, deadline: time.Now().Add(remaining)}
	if r.ContentLength > limit {
		return relay.NotRun(outcome.ReasonBodyTooLarge)
	}
	if !q.holdBody(r.ContentLength) {
		return noMemory()
	}
	abort := func() { _ = q.control.SetReadDeadline(time.Unix(1, 0)) }
	q.body.length = r.ContentLength
	b, err := relay.ReadBody(q.body, r.ContentLength, abort)
	if err == nil && b.Streamed() {
		err = q.readAhead(b)
	}
	if err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return relay.NotRun(outcome.ReasonBodyTooLarge)
		}
		if !time.Now().Before(q.body.deadline) {
			return relay.NotRun(outcome.ReasonDeadline)
		}
		return relay.NotRun(outcome.ReasonBadRequest)
	}
	if b.Streamed() {
		// The response may be sent before the body has been read completely. Only
		// HTTP/1.1 needs this call.
		_ = q.control.EnableFullDuplex()
	} else {
		_ = q.control.SetReadDeadline(time.Time{})
	}
	q.call.Body = b
	return nil
}

// timedBody is a request body that bounds the time of each read, and of all reads by the
// deadline of the request. A body that arrives later is of no use.
type timedBody struct {
	r       io.Reader
	control *http.ResponseController
	timeout time.Duration
	// deadline is the deadline of the request.
	deadline time.Time
	// length is the announced length in bytes, -1 if unknown. read is the number
	// of bytes read.
	length   int64
	read     int64
	complete atomic.Bool
}

// Read reads a part of the body. It fails if no data arrives within the
// timeout.
func (b *timedBody) Read(p []byte) (int, error) {
	at := time.Now().Add(b.timeout)
	if b.deadline.Before(at) {
		at = b.deadline
	}
	_ = b.control.SetReadDeadline(at)
	n, err := b.r.Read(p)
	b.read += int64(n)
	if err == io.EOF || err == nil && b.read == b.length {
		b.complete.Store(true)
	}
	return n, err
}

// closeUnlessBodyRead closes an HTTP/1.1 connection after the response if the
// body was not read completely. With full duplex, net/http does not discard the
// rest of the body and would parse it as the next request. Without full duplex,
// net/http would wait for a slow sender before it sends the response.
func (q *request) closeUnlessBodyRead() {
	if q.r.ProtoMajor != 1 || q.r.ContentLength == 0 || q.body != nil && q.body.complete.Load() {
		return
	}
	q.w.Header().Set("Connection", "close")
	_ = q.control.EnableFullDuplex()
	_ = q.control.SetReadDeadline(time.Now().Add(q.h.cfg.BodyTimeout))
}
