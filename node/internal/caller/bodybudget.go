package caller

import (
	"sync/atomic"

	"github.com/jujubeknot/jujubeknot/node/internal/relay"
)

const (
	// keptBodyBytes is the longest body that is read before its request is sent.
	// While a body is unread nobody sees that its caller has gone, and the
	// request cannot be sent again.
	keptBodyBytes = 1 << 20
	// keptBodiesBytes bounds what such bodies take together, beyond the short
	// ones: a sixth of a node's memory.
	keptBodiesBytes = 32 << 20
)

// bodyBudget bounds the memory for bodies that are read ahead. It is safe for
// concurrent use.
type bodyBudget struct{ used atomic.Int64 }

func (b *bodyBudget) take(n int64) bool {
	if b.used.Add(n) <= keptBodiesBytes {
		return true
	}
	b.used.Add(-n)
	return false
}

func (b *bodyBudget) give(n int64) { b.used.Add(-n) }

// keepBody reads a long body into memory if there is room and the caller does not
// wait for admission. The caller gives q.keptBody back.
func (q *request) keepBody(b *relay.Body) error {
	need := b.Size()
	if need < 0 {
		need = keptBodyBytes
	}
	if need > keptBodyBytes || q.r.Header.Get("Expect") != "" || !q.h.bodies.take(need) {
		return nil
	}
	q.keptBody = need
	return b.Buffer(keptBodyBytes)
}
