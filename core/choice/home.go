package choice

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Rendezvous returns the candidate that a request with the caller's own id goes to,
// so that each sending of it meets the same request table. It is the one with
// the highest hash of id and incarnation, so that the loss of a candidate
// changes only the homes that it was. It is false if there is no candidate.
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

// RendezvousHistory remembers the candidates of an upstream over time, so that a node can
// tell whether an id may have had another home before. The zero value knows of
// no time. It is not safe for concurrent use.
type RendezvousHistory struct {
	spans []homeSpan
}

// homeSpan is a set of candidates and the time from which it held.
type homeSpan struct {
	since      time.Time
	candidates []Candidate
}

// Record records the candidates that hold from now on, and forgets what ended
// before the window.
func (h *RendezvousHistory) Record(now time.Time, candidates []Candidate, window time.Duration) {
	same := func(a, b Candidate) bool { return a.Incarnation == b.Incarnation }
	if n := len(h.spans); n == 0 || !slices.EqualFunc(h.spans[n-1].candidates, candidates, same) {
		h.spans = append(h.spans, homeSpan{now, candidates})
	}
	for len(h.spans) > 1 && !h.spans[1].since.After(now.Add(-window)) {
		h.spans = h.spans[1:]
	}
}

// AlwaysSelected reports whether an incarnation was the home of an id for the whole
// window before now. It is false where the window begins before the first
// call of Record: what was sent elsewhere in that time is not known.
func (h *RendezvousHistory) AlwaysSelected(now time.Time, id string, incarnation uint64, window time.Duration) bool {
	from := now.Add(-window)
	if len(h.spans) == 0 || h.spans[0].since.After(from) {
		return false
	}
	for i, s := range h.spans {
		if i+1 < len(h.spans) && !h.spans[i+1].since.After(from) {
			continue
		}
		if home, ok := Rendezvous(id, s.candidates); !ok || home.Incarnation != incarnation {
			return false
		}
	}
	return true
}
