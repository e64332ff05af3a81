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

// idSource makes request ids that no other process makes: a random prefix for
// the process and a number.
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

// callerID derives the request id from the caller's Idempotency-Key. It
// includes what the request is, so that the same word used for two requests
// does not make one of them take the other's answer.
func callerID(c *relay.Call, key string) string {
	h := sha256.New()
	var n [8]byte
	for _, part := range [...]string{c.Upstream, c.Method, c.URI, key} {
		binary.BigEndian.PutUint64(n[:], uint64(len(part)))
		_, _ = h.Write(n[:])
		_, _ = h.Write([]byte(part))
	}
	binary.BigEndian.PutUint64(n[:], c.KeyHash)
	_, _ = h.Write(n[:])
	return "c" + hex.EncodeToString(h.Sum(nil)[:16])
}
