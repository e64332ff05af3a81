package pipeline

import (
	"io"
	"net/http"
	"strings"
	"sync"
)

// trackBody wraps the body of a request so that w.bodyRead is closed when it
// was read completely. The first read sends "100 Continue" if the caller waits
// for it.
func (c *conn) trackBody(w *writer, r *http.Request) {
	if r.Body == http.NoBody {
		close(w.bodyRead)
		return
	}
	b := &body{ReadCloser: r.Body, w: w}
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") && r.ProtoAtLeast(1, 1) {
		b.awaitsContinue = true
	}
	r.Body = b
}

// waitForBody waits until the body of a request was read completely. It reports
// false if the request ended before.
func (c *conn) waitForBody(w *writer) bool {
	select {
	case <-w.bodyRead:
		return true
	default:
	}
	select {
	case <-w.bodyRead:
		return true
	case <-w.done:
		select {
		case <-w.bodyRead:
			return true
		default:
			return false
		}
	case <-c.ctx.Done():
		return false
	}
}

// body is the body of a request. It reports when it was read completely.
type body struct {
	io.ReadCloser
	w              *writer
	awaitsContinue bool
	once           sync.Once
}

// Read sends "100 Continue" first if the caller waits for it.
func (b *body) Read(p []byte) (int, error) {
	if b.awaitsContinue {
		b.awaitsContinue = false
		if err := b.w.writeContinue(); err != nil {
			return 0, err
		}
	}
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.once.Do(func() { close(b.w.bodyRead) })
	}
	return n, err
}

// Close leaves the rest unread. The connection is then closed after the
// response.
func (b *body) Close() error { return nil }
