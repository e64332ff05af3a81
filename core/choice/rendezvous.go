package choice

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Rendezvous selects the candidate for a request with an id from its caller, so
// that each sending of the request goes to the same request table. It selects
// the one with the highest hash of id and incarnation (rendezvous hashing): the
// loss of a candidate moves only the ids that it was selected for. Rendezvous
// reports false if there are no candidates.
func Rendezvous(id string, candidates []Candidate) (Candidate, bool) {
	var best Candidate
	var highest uint64
	var number [8]byte
	for i, c := range candidates {
		binary.LittleEndian.PutUint64(number[:], c.Incarnation)
		d := xxhash.New()
		_, _ = d.WriteString(id)
		_, _ = d.Write(number[:])
		if sum := d.Sum64(); i == 0 || sum > highest {
			best, highest = c, sum
		}
	}
	return best, len(candidates) > 0
}

// RendezvousHistory records the candidates of an upstream over time. It lets a
// node tell whether Rendezvous may have selected another node for an id before.
// The zero value has no history. It is not safe for concurrent use.
type RendezvousHistory struct {
	spans []candidateSpan
}

// candidateSpan is a set of candidates with the time from which on it was
// current.
type candidateSpan struct {
	since      time.Time
	candidates []Candidate
}

// Record records the candidates that are current from now on. It drops sets of
// candidates that were replaced longer than the window ago.
func (h *RendezvousHistory) Record(now time.Time, candidates []Candidate, window time.Duration) {
	same := func(a, b Candidate) bool { return a.Incarnation == b.Incarnation }
	if n := len(h.spans); n == 0 || !slices.EqualFunc(h.spans[n-1].candidates, candidates, same) {
		h.spans = append(h.spans, candidateSpan{now, candidates})
	}
	for len(h.spans) > 1 && !h.spans[1].since.After(now.Add(-window)) {
		h.spans = h.spans[1:]
	}
}

// AlwaysSelected reports whether Rendezvous selected an incarnation for an id
// during the whole window before now. It is false if the window begins before
// the first call of Record, because sendings to other nodes in that time are
// not known.
func (h *RendezvousHistory) AlwaysSelected(now time.Time, id string, incarnation uint64, window time.Duration) bool {
	from := now.Add(-window)
	if len(h.spans) == 0 || h.spans[0].since.After(from) {
		return false
	}
	for i, s := range h.spans {
		if i+1 < len(h.spans) && !h.spans[i+1].since.After(from) {
			continue
		}
		if selected, ok := Rendezvous(id, s.candidates); !ok || selected.Incarnation != incarnation {
			return false
		}
	}
	return true
}
