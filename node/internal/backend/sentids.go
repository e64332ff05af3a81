package backend

import (
	"hash/maphash"
	"slices"
)

// maxSentIDs is the number of ids that a connection remembers. A call is repeated
// with the same id within its deadline, and a connection carries one request at a
// time.
const maxSentIDs = 512

var sentIDSeed = maphash.MakeSeed()

// sentIDs has the request ids that were sent on a connection most recently. A
// response repeats the id of its request, so the id tells late copies of earlier
// responses apart, but not two responses to requests of the same id. A connection
// therefore carries no id twice. Ids are kept as hashes: a collision makes a call use
// another connection. The zero value is empty.
type sentIDs struct {
	hashes []uint64
	next   int
}

// add records an id and drops the oldest one beyond maxSentIDs.
func (s *sentIDs) add(id string) {
	h := maphash.String(sentIDSeed, id)
	if len(s.hashes) < maxSentIDs {
		s.hashes = append(s.hashes, h)
		return
	}
	s.hashes[s.next] = h
	s.next = (s.next + 1) % maxSentIDs
}

// has reports whether an id was recorded.
func (s *sentIDs) has(id string) bool {
	return slices.Contains(s.hashes, maphash.String(sentIDSeed, id))
}
