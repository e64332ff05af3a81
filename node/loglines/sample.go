package loglines

import (
	"sync/atomic"

	"github.com/jujubeknot/jujubeknot/core/keyspace"
)

// errorStatus is the least status of an answer that counts as an error.
const errorStatus = 500

// Sample says which lines of completed routing decisions are written: those of
// one in a number of requests, chosen by a hash of the request id, so that the
// lines of a request at its entry node and at the owner's node are written
// together. A nil Sample writes all. It is safe for concurrent use.
type Sample struct {
	every   uint64
	omitted atomic.Uint64
}

// NewSample returns a Sample that writes the lines of one in every requests. 0
// and 1 mean all.
func NewSample(every int) *Sample {
	return &Sample{every: uint64(max(every, 1))}
}

// Omit reports whether the line of an answered request is left out, and counts
// it then. It must not be asked about refusals, which are written whole. Lines
// of answers with a status from 500 on are never left out.
func (s *Sample) Omit(requestID string, status int) bool {
	if s == nil || s.every <= 1 || status >= errorStatus || keyspace.Hash(requestID)%s.every == 0 {
		return false
	}
	s.omitted.Add(1)
	return true
}

// Omitted returns the number of lines that were left out.
func (s *Sample) Omitted() uint64 {
	if s == nil {
		return 0
	}
	return s.omitted.Load()
}
