package peer

import (
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

// creditBytes is how much of a body is taken before the sender is told.
const creditBytes = streamWindow / 4

// incoming is the body of a streamed answer. At most streamWindow bytes wait
// in it.
type incoming struct {
	c  *clientLink
	id uint32

	mu     sync.Mutex
	ready  sync.Cond
	chunks [][]byte
	// waiting bytes are in chunks, taken bytes are read but not yet credited.
	waiting, taken int
	err            error
	trailer        http.Header
	closed         bool
	// stop ends the watch on the call's context.
	stop func()
}

func newIncoming(c *clientLink, id uint32) *incoming {
	b := &incoming{c: c, id: id}
	b.ready.L = &b.mu
	return b
}

// add takes a part of the body. The error means that the sender has exceeded
// the window.
func (b *incoming) add(p []byte) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || b.err != nil {
		b.c.credit(0, len(p))
		return nil
	}
	b.waiting += len(p)
	if b.waiting+b.taken > streamWindow {
		return errors.New("body exceeds the window of its stream")
	}
	b.chunks = append(b.chunks, p)
	b.ready.Signal()
	return nil
}

// end sets what follows the bytes that wait: io.EOF or an error. The first call
// counts.
func (b *incoming) end(err error, trailer http.Header) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == nil {
		b.err, b.trailer = err, trailer
	}
	b.ready.Broadcast()
}

// Read returns what has arrived, and waits if that is nothing. io.EOF follows
// the complete body only.
func (b *incoming) Read(p []byte) (int, error) {
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
	b.waiting -= n
	if b.taken += n; b.taken >= creditBytes {
		b.c.credit(b.id, b.taken)
		b.taken = 0
	}
	return n, nil
}

// watched sets what ends the watch on the call's context.
func (b *incoming) watched(stop func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stop = stop
}

// Close gives up what has not been read, and tells the sender if there may be
// more.
func (b *incoming) Close() error {
	b.mu.Lock()
	first, unread, stop := !b.closed, b.waiting+b.taken, b.stop
	b.closed, b.chunks, b.waiting, b.taken = true, nil, 0, 0
	b.ready.Broadcast()
	b.mu.Unlock()
	if !first {
		return nil
	}
	if stop != nil {
		stop()
	}
	if unread > 0 {
		b.c.credit(0, unread)
	}
	b.c.cancel(b.id)
	return nil
}
