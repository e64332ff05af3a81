package caller

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/core/rules"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
)

// readBody takes in a short body, so that the request can be sent again, and
// prepares a long one for streaming.
func (q *request) readBody() *outcome.Refusal {
	r := q.r
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		q.call.Body = &relay.Body{}
		return nil
	}
	limit := q.upstream.MaxBodyBytes
	if limit == 0 {
		limit = rules.DefaultMaxBodyBytes
	}
	q.body = &slowBody{r: http.MaxBytesReader(q.w, r.Body, limit), control: q.control, timeout: q.h.cfg.BodyTimeout}
	if r.ContentLength > limit {
		return relay.NotRun(outcome.ReasonBodyTooLarge)
	}
	abort := func() { _ = q.control.SetReadDeadline(time.Unix(1, 0)) }
	q.body.length = r.ContentLength
	b, err := relay.ReadBody(q.body, r.ContentLength, abort)
	if err == nil && b.Streamed() {
		err = q.keepBody(b)
	}
	if err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return relay.NotRun(outcome.ReasonBodyTooLarge)
		}
		return relay.NotRun(outcome.ReasonBadRequest)
	}
	if b.Streamed() {
		// The answer may come before the body has been read to its end. Only
		// HTTP/1.1 needs this.
		_ = q.control.EnableFullDuplex()
	} else {
		_ = q.control.SetReadDeadline(time.Time{})
	}
	q.call.Body = b
	return nil
}

// slowBody bounds the time that each read of a body may take.
type slowBody struct {
	r       io.Reader
	control *http.ResponseController
	timeout time.Duration
	// length as announced, -1 if unknown.
	length int64
	read   int64
	ended  atomic.Bool
}

// Read reads a part of the body.
func (b *slowBody) Read(p []byte) (int, error) {
	_ = b.control.SetReadDeadline(time.Now().Add(b.timeout))
	n, err := b.r.Read(p)
	b.read += int64(n)
	if err == io.EOF || err == nil && b.read == b.length {
		b.ended.Store(true)
	}
	return n, err
}

// closeUnlessRead makes an HTTP/1.1 connection end after the answer if the
// body was not read to its end. net/http would otherwise take the rest of the
// body for the next request, because full duplex keeps it from looking, and
// without full duplex it would wait for a slow sender before the answer.
func (q *request) closeUnlessRead() {
	if q.r.ProtoMajor != 1 || q.r.ContentLength == 0 || q.body != nil && q.body.ended.Load() {
		return
	}
	q.w.Header().Set("Connection", "close")
	_ = q.control.EnableFullDuplex()
	_ = q.control.SetReadDeadline(time.Now().Add(q.h.cfg.BodyTimeout))
}
