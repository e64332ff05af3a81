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
)

// errNotRead ends a request behind the last answer of its connection.
var errNotRead = errors.New("the connection ended with an earlier answer")

// keepBytes bounds what is kept of an answer whose turn has not come.
const keepBytes = 128 << 10

// writer is the answer to one request. Its methods are for the goroutine of the
// request.
type writer struct {
	c       *conn
	r       *http.Request
	context context.Context
	cancel  context.CancelFunc
	header  http.Header
	// turn is closed when the answers before have been sent, done when this one
	// has.
	turn, done chan struct{}
	bodyEnd    chan struct{}

	status int
	// kept has the body as long as nothing was sent.
	kept    bytes.Buffer
	started bool
	// declared is the announced length of the body, -1 for none.
	declared int64
	written  int64
	chunks   io.WriteCloser

	mu sync.Mutex
	// last is set if the connection ends with this answer.
	last   bool
	failed error
}

func newWriter(c *conn, r *http.Request, turn chan struct{}) *writer {
	w := &writer{c: c, r: r, header: http.Header{}, turn: turn, done: make(chan struct{}), bodyEnd: make(chan struct{}), declared: -1}
	w.context, w.cancel = context.WithCancel(c.ctx)
	w.last = !r.ProtoAtLeast(1, 1) || r.Close
	return w
}

// run calls the handler and sends the answer.
func (w *writer) run(h http.Handler, r *http.Request) {
	defer w.end()
	defer func() {
		if p := recover(); p != nil {
			w.broken(errors.Errorf("handler: %v", p))
			if l := w.c.server.ErrorLog; p != http.ErrAbortHandler && l != nil {
				l.Printf("panic serving %s: %v\n%s", w.r.RemoteAddr, p, debug.Stack())
			}
		}
	}()
	h.ServeHTTP(w, r.WithContext(w.context))
	w.finish()
}

// end gives the turn on.
func (w *writer) end() {
	w.cancel()
	if err := w.failedWith(); err != nil && err != errNotRead {
		w.c.abort()
	} else if w.isLast() {
		w.c.finish()
	}
	close(w.done)
	w.c.ended()
}

// Header returns the header to be sent.
func (w *writer) Header() http.Header { return w.header }

// WriteHeader sets the status.
func (w *writer) WriteHeader(status int) {
	if w.status != 0 || status < http.StatusOK {
		return
	}
	w.status = status
	if n, err := strconv.ParseInt(w.header.Get("Content-Length"), 10, 64); err == nil && n >= 0 {
		w.declared = n
	}
}

// Write sends or keeps a part of the body.
func (w *writer) Write(p []byte) (int, error) {
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	if err := w.failedWith(); err != nil {
		return 0, err
	}
	if !w.hasBody() {
		return len(p), nil
	}
	if w.declared >= 0 && w.written+int64(len(p)) > w.declared {
		return 0, http.ErrContentLength
	}
	w.written += int64(len(p))
	if !w.started && w.kept.Len()+len(p) <= keepBytes {
		return w.kept.Write(p)
	}
	if err := w.start(); err != nil {
		return 0, err
	}
	return w.send(p)
}

// FlushError sends what was kept, once the turn has come.
func (w *writer) FlushError() error {
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	return w.start()
}

// SetReadDeadline bounds the reading of the body.
func (w *writer) SetReadDeadline(at time.Time) error { return w.c.nc.SetReadDeadline(at) }

// SetWriteDeadline bounds the sending of the answer.
func (w *writer) SetWriteDeadline(at time.Time) error { return w.c.nc.SetWriteDeadline(at) }

// EnableFullDuplex does nothing: the body may always be read after the answer
// has begun.
func (w *writer) EnableFullDuplex() error { return nil }

func (w *writer) hasBody() bool {
	return w.r.Method != http.MethodHead && w.status != http.StatusNoContent && w.status != http.StatusNotModified
}

// interim tells the sender of a body to go on.
func (w *writer) interim() error {
	if !w.c.wait(w.turn) {
		return context.Canceled
	}
	if w.started {
		return nil
	}
	_, err := io.WriteString(w.c.nc, "HTTP/1.1 100 Continue\r\n\r\n")
	return err
}

// start sends the header and what was kept. The length is not known then
// unless it was announced.
func (w *writer) start() error {
	if w.started {
		return w.failedWith()
	}
	if !w.c.wait(w.turn) {
		return w.broken(context.Canceled)
	}
	if w.c.closes() {
		return w.broken(errNotRead)
	}
	w.started = true
	chunked := w.hasBody() && w.declared < 0
	if chunked && !w.r.ProtoAtLeast(1, 1) {
		w.setLast()
		chunked = false
	}
	head := w.head(chunked)
	if chunked {
		w.chunks = httputil.NewChunkedWriter(&chunkSink{w})
	}
	if !chunked {
		head = append(head, w.kept.Bytes()...)
	}
	if _, err := w.c.nc.Write(head); err != nil {
		return w.broken(err)
	}
	if chunked && w.kept.Len() > 0 {
		if _, err := w.send(w.kept.Bytes()); err != nil {
			return err
		}
	}
	w.kept = bytes.Buffer{}
	return nil
}

// chunkSink writes chunks to the connection.
type chunkSink struct{ w *writer }

// Write writes a part of a chunk.
func (s *chunkSink) Write(p []byte) (int, error) { return s.w.c.nc.Write(p) }

func (w *writer) send(p []byte) (int, error) {
	var n int
	var err error
	if w.chunks != nil {
		n, err = w.chunks.Write(p)
	} else {
		n, err = w.c.nc.Write(p)
	}
	if err != nil {
		return n, w.broken(err)
	}
	return n, nil
}

// finish sends what has not been sent.
func (w *writer) finish() {
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	if !w.started {
		if w.declared < 0 && w.hasBody() {
			w.declared = int64(w.kept.Len())
			w.header["Content-Length"] = []string{strconv.Itoa(w.kept.Len())}
		}
		if w.start() != nil {
			return
		}
	}
	if w.hasBody() && w.declared >= 0 && w.written != w.declared {
		// The caller must see that the body is short.
		_ = w.broken(http.ErrContentLength)
		return
	}
	if w.chunks != nil {
		w.endChunks()
	}
}

// endChunks sends the last chunk and the trailer.
func (w *writer) endChunks() {
	var b bytes.Buffer
	b.WriteString("0\r\n")
	for name, values := range w.header {
		if trailer, ok := strings.CutPrefix(name, http.TrailerPrefix); ok {
			writeFields(&b, trailer, values)
		}
	}
	b.WriteString("\r\n")
	if _, err := w.c.nc.Write(b.Bytes()); err != nil {
		_ = w.broken(err)
	}
}

// head returns the status line and the header.
func (w *writer) head(chunked bool) []byte {
	var b bytes.Buffer
	b.Grow(512 + w.kept.Len())
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", w.status, http.StatusText(w.status))
	select {
	case <-w.bodyEnd:
	default:
		// The rest of the body would be taken for the next request.
		w.setLast()
	}
	if w.c.endsWithOne() {
		w.setLast()
	}
	for name, values := range w.header {
		switch {
		case name == "Connection":
			if len(values) > 0 && strings.EqualFold(values[0], "close") {
				w.setLast()
			}
		case name == "Transfer-Encoding", strings.HasPrefix(name, http.TrailerPrefix):
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
	if w.isLast() {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// lineBreaks cannot be part of a field.
var lineBreaks = strings.NewReplacer("\r", " ", "\n", " ")

func writeFields(b *bytes.Buffer, name string, values []string) {
	for _, v := range values {
		b.WriteString(name)
		b.WriteString(": ")
		b.WriteString(lineBreaks.Replace(v))
		b.WriteString("\r\n")
	}
}

func (w *writer) setLast() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last = true
}

func (w *writer) isLast() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.last
}

// broken notes that the answer cannot be completed, so that the connection
// ends.
func (w *writer) broken(err error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failed == nil {
		w.failed = err
	}
	w.last = true
	return w.failed
}

func (w *writer) failedWith() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failed
}
