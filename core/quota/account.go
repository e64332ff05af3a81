package quota

import "time"

const (
	// aheadShare is the part of a bucket's level that one node gets ahead of
	// requests. It leaves tokens to the other nodes.
	aheadShare = 0.25
	// maxRetryAfter bounds RetryAfter.
	maxRetryAfter = 2 * time.Second
)

// Shares of the rate, and numbers of tokens, that are granted beside the bucket.
// Together with those of Entry they stay within half the rate and 20 requests in
// each 5 s, even if the home grants its whole bucket at the same time.
const (
	// A node that stands in for a home that has not answered grants this much, since
	// the home may still grant tokens to other nodes.
	uncertainBurstTime  = 0.08 // seconds of the rate
	uncertainBurst      = 5
	uncertainRefillTime = 10 * time.Second
	// Tokens that are returned after a long wait would add to those that accrued in
	// the meantime.
	returnedBurstTime = 0.03 // seconds of the rate
	returnedBurst     = 2
	returnedShare     = 0.04
)

// account is the bucket of one organisation.
type account struct {
	limit                       Limit
	tokens, uncertain, returned bucket
	// inCharge is true while no other node grants tokens from a bucket of the
	// organisation: this node is the home, or all nodes before it have ended.
	inCharge bool
	// first is true while this node is the home.
	first bool
	// claims is true from the time at which this node claims the organisation from
	// waitsFor. It takes over the bucket when these have released it, at the latest at
	// settlesAt.
	claims    bool
	waitsFor  []uint64
	settlesAt time.Time
	// released are the nodes that have released it, passedOn those from which earlier
	// ones had claimed it. handedOver is the level of the bucket that one of them had.
	released   map[uint64]bool
	passedOn   []uint64
	handedOver float64
	// parting is what this node has to hand over since another one comes before it.
	parting *Handover
	// held are the tokens that were granted ahead, by asking node.
	held map[uint64]holding
	// refused has the requests that were refused and may come back. It drains at the
	// rate of the quota.
	refused bucket
	asked   time.Time
	granted uint64
	denied  uint64
}

type holding struct {
	count   int
	expires time.Time
}

// takeOver begins a bucket.
func (a *account) takeOver(at time.Time, level float64) {
	a.inCharge, a.claims, a.waitsFor = true, false, nil
	a.tokens = bucket{min(a.limit.size(), level), at}
}

// part ends the bucket, or the claims, as another node comes before this one.
func (a *account) part(now time.Time) {
	a.parting = &Handover{Waits: a.waitsFor}
	if a.inCharge {
		a.refill(now)
		a.parting = &Handover{Level: a.tokens.level, Held: a.heldCount(now)}
	}
	a.inCharge, a.claims, a.waitsFor = false, false, nil
}

// setLimit replaces the limit unless it is of an older revision of the rules.
func (a *account) setLimit(now time.Time, l Limit) {
	if l.Revision < a.limit.Revision || l == a.limit {
		return
	}
	a.refill(now)
	a.limit = l
	a.refill(now)
}

func (a *account) uncertainSize() float64 {
	return a.limit.RequestsPerSecond*uncertainBurstTime + uncertainBurst
}

func (a *account) returnedSize() float64 {
	return a.limit.RequestsPerSecond*returnedBurstTime + returnedBurst
}

// refill adds the tokens that have accrued. The tokens that nodes hold count as if
// they were in the bucket: otherwise they would add to a full one.
func (a *account) refill(now time.Time) {
	rate := a.limit.RequestsPerSecond
	a.tokens.refill(now, rate, a.limit.size()-float64(a.heldCount(now)))
	a.uncertain.refill(now, a.uncertainSize()/uncertainRefillTime.Seconds(), a.uncertainSize())
	a.returned.refill(now, rate*returnedShare, a.returnedSize())
	a.refused.level = max(a.refused.level-rate*now.Sub(a.refused.at).Seconds(), 0)
	a.refused.at = now
}

func (a *account) heldCount(now time.Time) int {
	held := 0
	for n, h := range a.held {
		if now.Before(h.expires) {
			held += h.count
			continue
		}
		delete(a.held, n)
	}
	return held
}

func (a *account) grant(now time.Time, from uint64, q Ask) Answer {
	delete(a.held, from)
	if q.Held > 0 {
		a.held[from] = holding{q.Held, now.Add(lotLifetime)}
	}
	a.refill(now)
	a.tokens.level += float64(a.returned.take(q.Returned))
	a.refill(now)
	if !a.inCharge {
		return a.answer(a.uncertain.take(q.Need), q.Need)
	}
	granted := a.tokens.take(q.Need)
	if granted == q.Need {
		ahead := a.tokens.take(min(q.Ahead, int(a.tokens.level*aheadShare)))
		if ahead > 0 {
			a.held[from] = holding{q.Held + ahead, now.Add(lotLifetime)}
		}
		granted += ahead
	}
	return a.answer(granted, q.Need)
}

// answer returns an answer. Each refused request is told a later time than those
// refused before, so that they do not come back all at once.
func (a *account) answer(granted, need int) Answer {
	a.granted += uint64(granted)
	r := Answer{Granted: granted}
	if missing := need - granted; missing > 0 {
		a.denied += uint64(missing)
		seconds := (a.refused.level + 1 - min(a.tokens.level, 1)) / a.limit.RequestsPerSecond
		r.RetryAfter = max(min(time.Duration(seconds*float64(time.Second)), maxRetryAfter), time.Millisecond)
		a.refused.level = min(a.refused.level+float64(missing), a.limit.RequestsPerSecond*maxRetryAfter.Seconds()+1)
	}
	return r
}
