package caller

import (
	"sync/atomic"

	"github.com/jujubeknot/jujubeknot/node/internal/relay"
)

const (
	// maxReadAheadBytes is the size of the largest body that is read before its
	// request is sent. Until the whole body has been read, a caller that
	// disconnects is not detected, and the request cannot be sent again.
	maxReadAheadBytes = 1 << 20
	// maxReadAheadTotalBytes bounds the memory that such bodies take together,
	// apart from the short ones that relay.ReadBody buffers. It is a sixth of
	// node.MemoryLimit.
	maxReadAheadTotalBytes = 32 << 20
)

// bodyBudget bounds the memory for bodies that are read ahead. It is safe for
// concurrent use.
type bodyBudget struct{ used atomic.Int64 }

func (b *bodyBudget) acquire(n int64) bool {
	if b.used.Add(n) <= maxReadAheadTotalBytes {
		return true
	}
	b.used.Add(-n)
	return false
}

func (b *bodyBudget) release(n int64) { b.used.Add(-n) }

// readAhead reads a long body into memory if the budget allows it. It leaves
// the body unread if the request has an Expect header, because such a caller
// waits for admission. ServeHTTP releases q.readAheadBytes at the end of the
// request.
func (q *request) readAhead(b *relay.Body) error {
	need := b.Size()
	if need < 0 {
		need = maxReadAheadBytes
	}
	if need > maxReadAheadBytes || q.r.Header.Get("Expect") != "" || !q.h.bodyMemory.acquire(need) {
		return nil
	}
	q.readAheadBytes = need
	return b.Buffer(maxReadAheadBytes)
}
