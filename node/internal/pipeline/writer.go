package pipeline

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/node/internal/ledger"
)

// maxBufferedBytes bounds the part of a response body that is buffered before
// the header is sent, so that a handler need not wait for earlier responses.
const maxBufferedBytes = 128 << 10

// writer is the http.ResponseWriter of one request. Its methods must be called
// from the goroutine of the request only.
type writer struct {
	c      *conn
	r      *http.Request
	ctx    context.Context
	cancel context.CancelFunc
	header http.Header
	// previous is closed when all earlier responses were sent, done when this
	// one was.
	previous, done chan struct{}
	// bodyRead is closed when the request body was read completely.
	bodyRead chan struct{}

	status int
	// buffered holds the body until the header is sent.
	buffered   bytes.Buffer
	headerSent bool
	// contentLength is the announced length of the body in bytes, -1 for none.
	contentLength int64
	written       int64
	chunkWriter   io.WriteCloser
	// writeTimeout is the time to send the response once all earlier ones were sent,
	// 0 for no bound.
	writeTimeout time.Duration

	// cost is the memory that the connection's entry holds for the request.
	cost int64
	// handlerEnded is true once the handler has returned. The mutex of the connection
	// guards it.
	handlerEnded bool

	mu sync.Mutex
	// closeAfter is true if the connection is closed after this response.
	closeAfter bool
	cause      error
}

func newWriter(c *conn, r *http.Request, previous chan struct{}) *writer {
	w := &writer{c: c, r: r, header: http.Header{}, previous: previous, done: make(chan struct{}), bodyRead: make(chan struct{}), contentLength: -1}
	w.ctx, w.cancel = context.WithCancel(ledger.WithEntry(c.requestCtx, c.entry))
	w.closeAfter = endsConnection(r)
	return w
}

// run calls the handler and sends the response.
func (w *writer) run(h http.Handler, r *http.Request) {
	defer w.complete()
	defer func() {
		if p := recover(); p != nil {
			w.replace(errors.Errorf("handler: %v", p))
			if l := w.c.server.ErrorLog; p != http.ErrAbortHandler && l != nil {
				l.Printf("panic serving %s: %v\n%s", w.r.RemoteAddr, p, debug.Stack())
			}
		}
	}()
	h.ServeHTTP(w, r.WithContext(w.ctx))
	w.c.handlerEnded(w)
	w.finish()
}

// complete allows the next response to be sent. It closes the connection if
// this response failed, and marks the response as the final one if closeAfter
// is set.
func (w *writer) complete() {
	w.cancel()
	w.releaseBuffer()
	w.c.handlerEnded(w)
	w.c.entry.Release(w.cost)
	failed := w.failure() != nil
	if failed {
		w.c.abort()
	}
	if w.headerSent {
		_ = w.c.nc.SetWriteDeadline(time.Time{})
	}
	// The count must be right before the next response is sent, which is the last
	// one if no other request is in flight.
	w.c.requestEnded(!failed && w.shouldClose())
	close(w.done)
}

// Header returns the response header.
func (w *writer) Header() http.Header { return w.header }

// WriteHeader sets the status. Informational (1xx) statuses and repeated calls
// are ignored. It panics for a status that is not between 100 and 999, like the
// writers of net/http: if it were ignored, the response would have status 200.
func (w *writer) WriteHeader(status int) {
	if status < http.StatusContinue || status > 999 {
		panic(fmt.Sprintf("pipeline: invalid status %d", status))
	}
	if w.status != 0 || status < http.StatusOK {
		return
	}
	w.status = status
	if n, err := strconv.ParseInt(w.header.Get("Content-Length"), 10, 64); err == nil && n >= 0 {
		w.contentLength = n
	}
}

// Write buffers or sends a part of the body.
func (w *writer) Write(p []byte) (int, error) {
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	if err := w.failure(); err != nil {
		return 0, err
	}
	if !w.hasBody() {
		return len(p), nil
	}
	if w.contentLength >= 0 && w.written+int64(len(p)) > w.contentLength {
		return 0, http.ErrContentLength
	}
	w.written += int64(len(p))
	if !w.headerSent && w.buffered.Len()+len(p) <= maxBufferedBytes && w.c.server.reserve(w.c.entry, len(p)) {
		return w.buffered.Write(p)
	}
	if err := w.sendHeader(); err != nil {
		return 0, err
	}
	return w.send(p)
}

// FlushError sends the header and the buffered body when all earlier responses
// were sent.
func (w *writer) FlushError() error {
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	return w.sendHeader()
}

// SetReadDeadline sets the deadline for reading the request body. It has no effect once
// the body was read completely, because the reader of the connection then waits for
// the next request.
func (w *writer) SetReadDeadline(at time.Time) error {
	w.c.mu.Lock()
	defer w.c.mu.Unlock()
	select {
	case <-w.bodyRead:
		return nil
	default:
		return w.c.nc.SetReadDeadline(at)
	}
}

// SetWriteDeadline sets the deadline for sending the response. While earlier
// responses are being sent, it only sets how long sending this one may take.
func (w *writer) SetWriteDeadline(at time.Time) error {
	if w.headerSent {
		return w.c.nc.SetWriteDeadline(at)
	}
	w.writeTimeout = 0
	if !at.IsZero() {
		w.writeTimeout = max(time.Until(at), 1)
	}
	return nil
}

// EnableFullDuplex does nothing: the request body may always be read after the
// response has begun.
func (w *writer) EnableFullDuplex() error { return nil }

func (w *writer) hasBody() bool {
	return w.r.Method != http.MethodHead && w.status != http.StatusNoContent && w.status != http.StatusNotModified
}

// writeContinue sends "100 Continue" when all earlier responses were sent,
// unless the header of this response was sent already.
func (w *writer) writeContinue() error {
	if !w.c.waitFor(w.previous) {
		return context.Canceled
	}
	if w.headerSent {
		return nil
	}
	_, err := io.WriteString(w.c.nc, "HTTP/1.1 100 Continue\r\n\r\n")
	return err
}

// sendHeader waits for earlier responses and sends the header and the buffered
// body. The body is chunked unless its length was announced.
func (w *writer) sendHeader() error {
	if w.headerSent {
		return w.failure()
	}
	if !w.c.waitFor(w.previous) {
		return w.fail(context.Canceled)
	}
	w.headerSent = true
	if w.writeTimeout > 0 {
		_ = w.c.nc.SetWriteDeadline(time.Now().Add(w.writeTimeout))
	}
	chunked := w.hasBody() && w.contentLength < 0
	if chunked && !w.r.ProtoAtLeast(1, 1) {
		w.setCloseAfter()
		chunked = false
	}
	head := w.formatHeader(chunked)
	if chunked {
		w.chunkWriter = httputil.NewChunkedWriter(&connWriter{w})
	}
	if !chunked {
		head = append(head, w.buffered.Bytes()...)
	}
	if _, err := w.c.nc.Write(head); err != nil {
		return w.fail(err)
	}
	if chunked && w.buffered.Len() > 0 {
		if _, err := w.send(w.buffered.Bytes()); err != nil {
			return err
		}
	}
	w.releaseBuffer()
	return nil
}

// releaseBuffer drops the buffered part of the body.
func (w *writer) releaseBuffer() {
	w.c.server.buffered.Add(-int64(w.buffered.Len()))
	w.c.entry.Release(int64(w.buffered.Len()))
	w.buffered = bytes.Buffer{}
}

// connWriter writes to the connection below the chunk writer.
type connWriter struct{ w *writer }

// Write writes to the connection.
func (s *connWriter) Write(p []byte) (int, error) { return s.w.c.nc.Write(p) }

func (w *writer) send(p []byte) (int, error) {
	var n int
	var err error
	if w.chunkWriter != nil {
		n, err = w.chunkWriter.Write(p)
	} else {
		n, err = w.c.nc.Write(p)
	}
	if err != nil {
		return n, w.fail(err)
	}
	return n, nil
}

// finish sends what was not sent yet. A response that was not sent at all gets
// the length of its buffered body.
func (w *writer) finish() {
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	if !w.headerSent {
		if w.hasBody() && w.contentLength >= 0 && w.written != w.contentLength {
			w.replace(http.ErrContentLength)
			return
		}
		if w.contentLength < 0 && w.hasBody() {
			w.contentLength = int64(w.buffered.Len())
			w.header["Content-Length"] = []string{strconv.Itoa(w.buffered.Len())}
		}
		if w.sendHeader() != nil {
			return
		}
	}
	if w.hasBody() && w.contentLength >= 0 && w.written != w.contentLength {
		w.replace(http.ErrContentLength)
		return
	}
	if w.chunkWriter != nil {
		w.finishChunks()
	}
}

// replace sends a response with status 502 and no body in place of one that cannot be
// completed. If a part of that was sent, it fails, so that the connection is closed
// and the caller detects the truncated response.
func (w *writer) replace(err error) {
	if w.headerSent || w.failure() != nil {
		_ = w.fail(err)
		return
	}
	w.releaseBuffer()
	w.header = http.Header{"Content-Length": {"0"}}
	w.status, w.contentLength, w.written = http.StatusBadGateway, 0, 0
	// A failure is recorded.
	_ = w.sendHeader()
}

// finishChunks sends the last chunk and the trailer.
func (w *writer) finishChunks() {
	var b bytes.Buffer
	b.WriteString("0\r\n")
	for name, values := range w.header {
		if trailer, ok := strings.CutPrefix(name, http.TrailerPrefix); ok {
			writeFields(&b, trailer, values)
		}
	}
	b.WriteString("\r\n")
	if _, err := w.c.nc.Write(b.Bytes()); err != nil {
		_ = w.fail(err)
	}
}

// formatHeader returns the status line and the header.
func (w *writer) formatHeader(chunked bool) []byte {
	var b bytes.Buffer
	b.Grow(512 + w.buffered.Len())
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", w.status, http.StatusText(w.status))
	select {
	case <-w.bodyRead:
	default:
		// The unread rest of the request body would be parsed as the next
		// request.
		w.setCloseAfter()
	}
	if w.c.beginResponse(strings.EqualFold(w.header.Get("Connection"), "close"), w.shouldClose()) {
		w.setCloseAfter()
	}
	for name, values := range w.header {
		switch {
		case name == "Connection", name == "Transfer-Encoding", strings.HasPrefix(name, http.TrailerPrefix):
		default:
			writeFields(&b, name, values)
		}
	}
	if _, set := w.header["Date"]; !set {
		writeFields(&b, "Date", []string{time.Now().UTC().Format(http.TimeFormat)})
	}
	if chunked {
		b.WriteString("Transfer-Encoding: chunked\r\n")
	}
	if w.shouldClose() {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

func (w *writer) setCloseAfter() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closeAfter = true
}

func (w *writer) shouldClose() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closeAfter
}

// fail records that the response cannot be completed, so that the connection is
// closed. It returns the first failure.
func (w *writer) fail(err error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cause == nil {
		w.cause = err
	}
	w.closeAfter = true
	return w.cause
}

func (w *writer) failure() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cause
}
