package admission

import "time"

// maxFlows is the number of organisations from which on those are forgotten that are
// not ahead of their share.
const maxFlows = 1024

// fairOrder orders the requests of one class by start-time fair queueing between
// organisations. A request's tag is the work of its organisation that goes before it,
// on a scale on which all organisations with waiting requests advance alike. An
// organisation that sends more than its share thus waits behind the others, and one
// that sends less does not wait for it. Requests without an organisation count as those
// of one; if there are no others, they stay in the order in which they came.
type fairOrder struct {
	// virtual is the tag of the latest request that started.
	virtual time.Duration
	// next has the tag of the next request of each organisation, unless it is below
	// virtual.
	next map[uint64]time.Duration
	// waiting counts the waiting requests of each organisation.
	waiting map[uint64]int
}

func newFairOrder() fairOrder {
	return fairOrder{next: make(map[uint64]time.Duration), waiting: make(map[uint64]int)}
}

// tag returns the tag that a request of an organisation would get now.
func (f *fairOrder) tag(organisation uint64) time.Duration {
	return max(f.virtual, f.next[organisation])
}

// take returns the tag of a request that is expected to run for the given time.
func (f *fairOrder) take(organisation uint64, work time.Duration) time.Duration {
	tag := f.tag(organisation)
	f.next[organisation] = tag + max(work, 1)
	if len(f.next) > maxFlows {
		for o, next := range f.next {
			if next <= f.virtual {
				delete(f.next, o)
			}
		}
	}
	return tag
}

// giveBack takes back the work of a request that leaves its place without a start.
func (f *fairOrder) giveBack(organisation uint64, work time.Duration) {
	if next, known := f.next[organisation]; known {
		f.next[organisation] = next - max(work, 1)
	}
}

// started records the tag of a request that starts.
func (f *fairOrder) started(tag time.Duration) { f.virtual = max(f.virtual, tag) }

// changeWaiting changes the number of waiting requests of an organisation.
func (f *fairOrder) changeWaiting(organisation uint64, by int) {
	if f.waiting[organisation] += by; f.waiting[organisation] == 0 {
		delete(f.waiting, organisation)
	}
}

const (
	// starvationWindow is the time over which a part of the requests counts as refused
	// more often than the others. It is the shorter half of the time that is counted.
	starvationWindow = 2 * time.Second
	// starvedShare is the share of a part of the requests that is let in, relative to
	// that of all, below which the part goes first.
	starvedShare = 1.0 / 3
	// minStarvationOffers is the number of requests from which on a part can starve.
	minStarvationOffers = 8
	// maxParts bounds the parts that are counted in one window.
	maxParts = 4096
)

// part is a part of the requests: those of a kind, or those of an organisation.
type part struct {
	kind         uint32
	organisation uint64
}

// offers counts the requests of a part and those that were not refused.
type offers struct{ all, letIn int }

func (o offers) with(p offers) offers { return offers{o.all + p.all, o.letIn + p.letIn} }

// starvation finds the kinds and the organisations that would starve. Under sustained
// overload, strict priority lets in nothing of what is less urgent.
type starvation struct {
	begin             time.Time
	current, previous map[part]offers
}

// turn begins a new window if the current one is over.
func (s *starvation) turn(now time.Time) {
	over := now.Sub(s.begin)
	if s.current != nil && over < starvationWindow {
		return
	}
	if s.previous = s.current; over >= 2*starvationWindow {
		s.previous = nil
	}
	s.current, s.begin = make(map[part]offers), now
}

// count counts a request. One that was let in and is refused later is counted once more
// with all = 0 and letIn = -1.
func (s *starvation) count(now time.Time, r Request, o offers) {
	s.turn(now)
	s.add(part{}, o)
	if r.Kind != 0 {
		s.add(part{kind: r.Kind}, o)
	}
	if r.Organisation != 0 {
		s.add(part{organisation: r.Organisation}, o)
	}
}

func (s *starvation) add(p part, o offers) {
	if counted, known := s.current[p]; known || len(s.current) < maxParts {
		s.current[p] = counted.with(o)
	}
}

// starves reports whether the kind or the organisation of a request is let in far less
// often than all requests.
func (s *starvation) starves(now time.Time, r Request) bool {
	s.turn(now)
	all := s.offers(part{})
	for _, p := range [...]part{{kind: r.Kind}, {organisation: r.Organisation}} {
		if o := s.offers(p); (p != part{}) && o.all >= minStarvationOffers && float64(o.letIn)*float64(all.all) < starvedShare*float64(all.letIn)*float64(o.all) {
			return true
		}
	}
	return false
}

func (s *starvation) offers(p part) offers { return s.current[p].with(s.previous[p]) }
