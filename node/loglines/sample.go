package loglines

import (
	"sync/atomic"

	"github.com/jujubeknot/jujubeknot/core/keyspace"
)

// minErrorStatus is the lowest HTTP status whose log lines are never omitted.
const minErrorStatus = 500

// Sample selects the requests whose log lines about completed routing decisions
// are written: one in a given number, selected by a hash of the request id. The
// entry node and the owner's node of a request therefore select the same
// requests. A nil Sample selects all. It is safe for concurrent use.
type Sample struct {
	interval uint64
	omitted  atomic.Uint64
}

// NewSample returns a Sample that selects one in interval requests. 0 and 1
// select all.
func NewSample(interval int) *Sample {
	return &Sample{interval: uint64(max(interval, 1))}
}

// Omit reports whether the log line of a request that got a response is
// omitted, and counts it if so. Lines of responses with a status of 500 or
// higher are never omitted. Omit must not be called for refusals, all of which
// are logged.
func (s *Sample) Omit(requestID string, status int) bool {
	if s == nil || s.interval <= 1 || status >= minErrorStatus || keyspace.Hash(requestID)%s.interval == 0 {
		return false
	}
	s.omitted.Add(1)
	return true
}

// Omitted returns the number of omitted lines.
func (s *Sample) Omitted() uint64 {
	if s == nil {
		return 0
	}
	return s.omitted.Load()
}
