package caller

import (
	"net/http"
	"time"

	"github.com/jujubeknot/jujubeknot/core/intake"
	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/node/internal/ledger"
	"github.com/jujubeknot/jujubeknot/node/internal/pipeline"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
)

const (
	// maxReadAheadBytes is the size of the largest body that is read before its
	// request is sent. Until the whole body has been read, a caller that
	// disconnects is not detected, and the request cannot be sent again.
	maxReadAheadBytes = 1 << 20
	// unknownBodyBytes is what is held for the receive window of a stream whose
	// body has no announced length.
	unknownBodyBytes = 64 << 10
	// memoryRetryAfter is the time after which stalled callers have been dropped.
	memoryRetryAfter = 250 * time.Millisecond
)

// noMemory returns the refusal of a request for which callers hold too much memory.
func noMemory() *outcome.Refusal {
	r := relay.NotRun(outcome.ReasonMemoryBusy)
	r.RetryAfter = memoryRetryAfter
	return r
}

// openMemory finds what the request holds its memory at: the connection, or over HTTP/2 an
// entry of its own. It reports false if there is no room.
func (q *request) openMemory() bool {
	l := q.h.cfg.Ledger
	if l == nil || q.r.ProtoMajor < 2 {
		q.memory = ledger.FromContext(q.r.Context())
		return true
	}
	stage, window := intake.StageRunning, int64(0)
	if q.r.Body != nil && q.r.Body != http.NoBody {
		stage, window = intake.StageBody, min(q.r.ContentLength, streamWindowBytes)
		if window < 0 {
			window = unknownBodyBytes
		}
	}
	bytes, fields := len(q.r.RequestURI)+len(q.r.Host), 1
	for name, values := range q.r.Header {
		fields += len(values)
		for _, v := range values {
			bytes += len(name) + len(v)
		}
	}
	control := q.control
	// What the connection holds for the header is released only then.
	defer pipeline.HTTP2RequestBegun(q.r.Context())
	q.memory = l.OpenStream(q.r.RemoteAddr, stage, intake.RequestCost+intake.HeaderCost(bytes, fields)+window, func() {
		// Ends the read of the body.
		_ = control.SetReadDeadline(time.Unix(1, 0))
	})
	q.ownsMemory = q.memory != nil
	return q.ownsMemory
}

// closeMemory releases what the request holds.
func (q *request) closeMemory() {
	if q.ownsMemory {
		q.memory.Close()
		return
	}
	q.memory.Release(q.bodyBytes)
}

// holdBody holds the memory of a body that is read completely before the request is sent,
// whose length is -1 if unknown.
func (q *request) holdBody(length int64) bool {
	switch {
	case length > relay.MaxBufferedBytes:
		return true
	case length < 0:
		length = relay.MaxBufferedBytes
	}
	if !q.memory.Hold(length) {
		return false
	}
	q.bodyBytes += length
	return true
}

// readAhead reads a long body into memory if callers hold little memory. It leaves
// the body unread if the request has an Expect header, because such a caller
// waits for admission.
func (q *request) readAhead(b *relay.Body) error {
	need := b.Size()
	if need < 0 {
		need = maxReadAheadBytes
	}
	if need > maxReadAheadBytes || q.r.Header.Get("Expect") != "" || !q.memory.TryHold(need) {
		return nil
	}
	q.bodyBytes += need
	return b.Buffer(maxReadAheadBytes)
}
