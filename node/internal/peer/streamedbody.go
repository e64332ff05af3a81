package peer

import (
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

// windowUpdateBytes is the number of bytes read from a body after which the
// receiver sends a window update.
const windowUpdateBytes = streamWindow / 4

// streamedBody is the body of a streamed response. It buffers at most
// streamWindow bytes. It is safe for concurrent use.
type streamedBody struct {
	conn *clientConn
	id   uint32

	mu     sync.Mutex
	ready  sync.Cond
	chunks [][]byte
	// buffered is the number of bytes in chunks, uncredited the number of bytes
	// that were read but not yet returned to the sender's window.
	buffered, uncredited int
	err                  error
	trailer              http.Header
	closed               bool
	// onClose is called at Close if set. It releases the call's context.
	onClose func()
}

func newStreamedBody(c *clientConn, id uint32) *streamedBody {
	b := &streamedBody{conn: c, id: id}
	b.ready.L = &b.mu
	return b
}

// add buffers a part of the body. It returns an error if the sender has
// exceeded the window.
func (b *streamedBody) add(p []byte) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || b.err != nil {
		b.conn.sendWindowUpdate(0, len(p))
		return nil
	}
	b.buffered += len(p)
	if b.buffered+b.uncredited > streamWindow {
		return errors.New("response body exceeds the flow control window of its stream")
	}
	b.chunks = append(b.chunks, p)
	b.ready.Signal()
	return nil
}

// end sets the error that Read returns after the buffered bytes, io.EOF for a
// complete body. Only the first call has an effect.
func (b *streamedBody) end(err error, trailer http.Header) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == nil {
		b.err, b.trailer = err, trailer
	}
	b.ready.Broadcast()
}

// Read returns buffered bytes, and waits if there are none. It returns io.EOF
// only after a complete body.
func (b *streamedBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.chunks) == 0 && b.err == nil && !b.closed {
		b.ready.Wait()
	}
	switch {
	case b.closed:
		return 0, io.ErrClosedPipe
	case len(b.chunks) == 0:
		return 0, b.err
	}
	n := copy(p, b.chunks[0])
	if b.chunks[0] = b.chunks[0][n:]; len(b.chunks[0]) == 0 {
		b.chunks[0] = nil
		b.chunks = b.chunks[1:]
	}
	b.buffered -= n
	if b.uncredited += n; b.uncredited >= windowUpdateBytes {
		b.conn.sendWindowUpdate(b.id, b.uncredited)
		b.uncredited = 0
	}
	return n, nil
}

// setOnClose sets the function that Close calls.
func (b *streamedBody) setOnClose(onClose func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.onClose = onClose
}

// Close discards unread bytes and returns them to the connection's window. It
// cancels the call if the response is not complete.
func (b *streamedBody) Close() error {
	b.mu.Lock()
	first, unread, onClose := !b.closed, b.buffered+b.uncredited, b.onClose
	b.closed, b.chunks, b.buffered, b.uncredited = true, nil, 0, 0
	b.ready.Broadcast()
	b.mu.Unlock()
	if !first {
		return nil
	}
	if onClose != nil {
		onClose()
	}
	if unread > 0 {
		b.conn.sendWindowUpdate(0, unread)
	}
	b.conn.cancel(b.id)
	return nil
}
