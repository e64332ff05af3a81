package caller

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strconv"
	"sync/atomic"

	"github.com/jujubeknot/jujubeknot/node/internal/relay"
)

// idSource generates request ids that are unique across processes. An id
// consists of a random prefix, which all ids of the process share, and a
// number. It is safe for concurrent use.
type idSource struct {
	prefix string
	last   *atomic.Uint64
}

func newIDSource() idSource {
	var b [8]byte
	// Read never returns an error.
	_, _ = rand.Read(b[:])
	return idSource{prefix: hex.EncodeToString(b[:]) + "-", last: new(atomic.Uint64)}
}

func (s idSource) next() string {
	return s.prefix + strconv.FormatUint(s.last.Add(1), 36)
}

// idFromKey derives the request id from the caller's Idempotency-Key. The id
// also depends on the organisation, upstream, method, URI and routing key of the
// request, so that two different requests with the same Idempotency-Key never
// receive each other's response.
func idFromKey(c *relay.Call, key string) string {
	h := sha256.New()
	var n [8]byte
	parts := []string{c.Upstream, c.Method, c.URI, key}
	if c.Organisation != "" {
		parts = append(parts, c.Organisation)
	}
	for _, part := range parts {
		binary.BigEndian.PutUint64(n[:], uint64(len(part)))
		_, _ = h.Write(n[:])
		_, _ = h.Write([]byte(part))
	}
	binary.BigEndian.PutUint64(n[:], c.KeyHash)
	_, _ = h.Write(n[:])
	return "c" + hex.EncodeToString(h.Sum(nil)[:16])
}
