package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/node/internal/relay"
	"github.com/jujubeknot/jujubeknot/wire/headers"
)

// Limits of what a backend server may send before its final response.
const (
	maxHeaderBytes   = 256 << 10
	maxInformational = 8
)

var (
	errHeaderTooLarge = errors.New("response header over 256 KiB")
	errBodyTooLong    = errors.New("body of a response that is not relayed is over 64 KiB")
	errInvalid        = errors.New("response that the backend server cannot have sent for this request")
	errFraming        = errors.New("response without length or chunks")
	errEarlyResponse  = errors.New("response before the request was sent")
	errMismatchedID   = errors.New("response carries the id of another request")
	errInformational  = errors.New("too many informational responses")
	errStatus         = errors.New("response status is not between 200 and 599")
	errFieldName      = errors.New("response has a header or trailer field whose name is not a token")
)

// pastDeadline is a deadline that ends every read and write at once.
var pastDeadline = time.Unix(1, 0)

// conn is one HTTP/1.1 connection to the backend server. It carries one
// request at a time.
type conn struct {
	nc net.Conn
	br *bufio.Reader
	bw *bufio.Writer
	// generation is the pool's generation in which the connection was opened.
	generation uint64
	// heartbeats is the pool's number of heartbeats when the connection was opened.
	heartbeats uint64
	idleSince  time.Time
	// headerBudget is the number of bytes that may still be read while a header
	// is expected, -1 for no limit.
	headerBudget int
	// written is the number of bytes of the current request that the kernel has
	// accepted.
	written atomic.Int64
	sent    sentIDs
}

func newConn(nc net.Conn, generation uint64) *conn {
	c := &conn{nc: nc, generation: generation, headerBudget: -1}
	c.br = bufio.NewReaderSize((*connReader)(c), 4<<10)
	c.bw = bufio.NewWriterSize((*connWriter)(c), 4<<10)
	return c
}

type connReader conn

// Read counts header bytes against headerBudget.
func (r *connReader) Read(p []byte) (int, error) {
	if r.headerBudget == 0 {
		return 0, errHeaderTooLarge
	}
	if r.headerBudget > 0 && len(p) > r.headerBudget {
		p = p[:r.headerBudget]
	}
	n, err := r.nc.Read(p)
	if r.headerBudget > 0 {
		r.headerBudget -= n
	}
	return n, err
}

type connWriter conn

// Write counts the bytes that the kernel has accepted.
func (w *connWriter) Write(p []byte) (int, error) {
	n, err := w.nc.Write(p)
	w.written.Add(int64(n))
	return n, err
}

// isNew reports whether the connection has not been idle since it was opened.
func (c *conn) isNew() bool { return c.idleSince.IsZero() }

// usable reports whether an idle connection is open and has nothing to read.
// Pending bytes would be taken for the response to the next request.
func (c *conn) usable() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	n, ok, err := c.peek()
	return !ok || n <= 0 && (err == syscall.EAGAIN || err == syscall.EWOULDBLOCK)
}

// endedByPeer reports whether the backend server has closed or reset an idle
// connection.
func (c *conn) endedByPeer() bool {
	n, ok, err := c.peek()
	return ok && (n == 0 && err == nil || err == syscall.ECONNRESET || err == syscall.EPIPE)
}

// peek looks for a byte to read without waiting and without reading it. n is 0
// without an error at the end of the connection. It reports false if the connection
// is not that of a socket.
func (c *conn) peek() (n int, ok bool, err error) {
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return 0, false, nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, true, syscall.EPIPE
	}
	readErr := raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	if readErr != nil {
		return 0, true, syscall.EPIPE
	}
	return n, true, err
}

// exchange is one request and its response on a connection.
type exchange struct {
	c        *conn
	method   string
	response *http.Response
	// bodySent is closed when a streamed body has been written or abandoned. It
	// is nil for bodies in memory.
	bodySent    chan struct{}
	sendErr     error
	aborted     atomic.Bool
	stops       []func() bool
	abortSource func()
	// renameField maps the names of header fields; fields mapped to "" are not
	// sent. It is nil if fields keep their names.
	renameField func(string) string
	// allowUnframed allows a response whose body ends with the connection.
	allowUnframed bool
	// unframed is true if the body of the response ends with the connection.
	unframed bool
}

// watch aborts the exchange when the context ends.
func (x *exchange) watch(ctx context.Context) {
	if ctx == nil || ctx.Done() == nil {
		return
	}
	x.stops = append(x.stops, context.AfterFunc(ctx, x.abort))
}

// abort makes all reads and writes of the exchange return an error.
func (x *exchange) abort() {
	x.aborted.Store(true)
	_ = x.c.nc.SetDeadline(pastDeadline)
}

// stopWatching stops watching contexts. It reports whether the exchange was not
// aborted.
func (x *exchange) stopWatching() bool {
	for _, stop := range x.stops {
		if !stop() {
			x.aborted.Store(true)
		}
	}
	x.stops = nil
	return !x.aborted.Load()
}

// field is a header field that the node adds.
type field struct {
	name  string
	value string
}

// writeField ignores errors, because Flush returns the first one.
func writeField(w *bufio.Writer, name, value string) {
	_, _ = w.WriteString(name)
	_, _ = w.WriteString(": ")
	_, _ = w.WriteString(value)
	_, _ = w.WriteString("\r\n")
}

// writeRequest sends header and body. The fields in added follow those of the
// call. A streamed body is sent by a goroutine that ends before finishBody
// returns.
func (x *exchange) writeRequest(call *relay.Call, added []field) error {
	w := x.c.bw
	_, _ = w.WriteString(call.Method)
	_ = w.WriteByte(' ')
	_, _ = w.WriteString(call.URI)
	_, _ = w.WriteString(" HTTP/1.1\r\nHost: ")
	_, _ = w.WriteString(call.Host)
	_, _ = w.WriteString("\r\n")
	for name, values := range call.Header {
		if x.renameField != nil {
			if name = x.renameField(name); name == "" {
				continue
			}
		}
		for _, v := range values {
			writeField(w, name, v)
		}
	}
	for _, f := range added {
		writeField(w, f.name, f.value)
	}
	size := call.Body.Size()
	switch {
	case size < 0:
		writeField(w, "Transfer-Encoding", "chunked")
	case size > 0 || call.Method == http.MethodPost || call.Method == http.MethodPut || call.Method == http.MethodPatch:
		writeField(w, "Content-Length", strconv.FormatInt(size, 10))
	}
	_, _ = w.WriteString("\r\n")
	if !call.Body.Streamed() {
		_, _ = w.Write(call.Body.Buffered)
		return w.Flush()
	}
	// The header is sent together with the first part of the body. The backend server
	// may run a request as soon as it has the header, and entry nodes rely on
	// relay.Body.BytesBeforeRun.
	x.bodySent, x.abortSource = make(chan struct{}), call.Body.Abort
	go func() {
		defer close(x.bodySent)
		if x.sendErr = x.streamBody(call.Body); x.sendErr != nil {
			// The backend server must see a truncated body, and the goroutine
			// that waits for the response must stop waiting.
			x.abort()
		}
	}()
	return nil
}

func (x *exchange) streamBody(b *relay.Body) error {
	w := x.c.bw
	if b.Length < 0 {
		chunks := httputil.NewChunkedWriter(w)
		if _, err := relay.Copy(chunks, b.Reader(), w.Flush); err != nil {
			return err
		}
		_ = chunks.Close()
		_, _ = w.WriteString("\r\n")
		return w.Flush()
	}
	n, err := relay.Copy(w, b.Reader(), nil)
	if err != nil {
		return err
	}
	if n != b.Length {
		return io.ErrUnexpectedEOF
	}
	return w.Flush()
}

// readResponse reads the header of the final response and skips informational
// ones.
func (x *exchange) readResponse() error {
	x.c.headerBudget = maxHeaderBytes
	for range maxInformational {
		response, err := http.ReadResponse(x.c.br, &http.Request{Method: x.method})
		if err != nil {
			return err
		}
		if !validNames(response.Header) {
			return errFieldName
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			continue
		}
		if !relay.FinalStatus(response.StatusCode) {
			return errStatus
		}
		x.c.headerBudget = -1
		x.response = response
		if len(response.TransferEncoding) > 0 && response.Body != http.NoBody {
			response.Body = &trailerChecker{response.Body, response}
		}
		if response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody {
			// A body that ends with the connection cannot be distinguished from
			// a truncated one, unless truncation causes a connection reset.
			if !x.allowUnframed {
				return errFraming
			}
			response.Close, x.unframed = true, true
		}
		return nil
	}
	return errInformational
}

// validNames reports whether the names of all fields with a value are tokens.
// http.ReadResponse accepts names with spaces. It takes "Content-Length : 1" and
// "Content Length: 1" for fields that do not concern the length of the body,
// which other recipients may not.
func validNames(h http.Header) bool {
	for name, values := range h {
		if len(values) > 0 && !headers.ValidName(name) {
			return false
		}
	}
	return true
}

// trailerChecker is the body of a response with chunks. It returns errFieldName
// in place of io.EOF if the trailer is invalid.
type trailerChecker struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (c *trailerChecker) Read(p []byte) (int, error) {
	n, err := c.ReadCloser.Read(p)
	if err == io.EOF && !validNames(c.response.Trailer) {
		err = errFieldName
	}
	return n, err
}

// ambiguousEnd reports whether the end of the connection may hide a reset. The kernel
// reports a reset once. If a write of the request body gets it, the reader of the
// response sees an ordinary end. The end is reliable only once the whole request was
// sent.
func (x *exchange) ambiguousEnd() bool {
	if !x.unframed || x.bodySent == nil {
		return false
	}
	select {
	case <-x.bodySent:
		return x.sendErr != nil
	default:
		return true
	}
}

// finishBody waits for the goroutine that streams the body. If the goroutine is
// still sending, it is aborted. Early is true if the body was not sent
// completely.
func (x *exchange) finishBody() (early bool) {
	if x.bodySent == nil {
		return false
	}
	select {
	case <-x.bodySent:
	default:
		x.abort()
		x.abortSource()
		<-x.bodySent
		return true
	}
	return x.sendErr != nil
}
