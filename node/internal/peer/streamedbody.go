package peer

import (
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

// creditBytes is how much of a body is taken before the sender is told.
const windowUpdateBytes = streamWindow / 4

// incoming is the body of a streamed answer. At most streamWindow bytes wait
// in it.
type streamedBody struct {
	conn *clientConn
	id   uint32

	mu     sync.Mutex
	ready  sync.Cond
	chunks [][]byte
	// waiting bytes are in chunks, taken bytes are read but not yet credited.
	buffered, uncredited int
	err                  error
	trailer              http.Header
	closed               bool
	// stop ends the watch on the call's context.
	onClose func()
}

func newStreamedBody(c *clientConn, id uint32) *streamedBody {
	b := &streamedBody{conn: c, id: id}
	b.ready.L = &b.mu
	return b
}

// add takes a part of the body. The error means that the sender has exceeded
// the window.
func (b *streamedBody) add(p []byte) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || b.err != nil {
		b.conn.sendWindowUpdate(0, len(p))
		return nil
	}
	b.buffered += len(p)
	if b.buffered+b.uncredited > streamWindow {
		return errors.New("body exceeds the window of its stream")
	}
	b.chunks = append(b.chunks, p)
	b.ready.Signal()
	return nil
}

// end sets what follows the bytes that wait: io.EOF or an error. The first call
// counts.
func (b *streamedBody) end(err error, trailer http.Header) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == nil {
		b.err, b.trailer = err, trailer
	}
	b.ready.Broadcast()
}

// Read returns what has arrived, and waits if that is nothing. io.EOF follows
// the complete body only.
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

// watched sets what ends the watch on the call's context.
func (b *streamedBody) setOnClose(onClose func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.onClose = onClose
}

// Close gives up what has not been read, and tells the sender if there may be
// more.
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
