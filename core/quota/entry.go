package quota

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// demandTime is the time over which demand is averaged.
	demandTime = time.Second
	// aheadTime is the time for whose demand a node asks ahead. It is shorter than
	// lotLifetime, so that most tokens are used.
	aheadTime = 700 * time.Millisecond
	// refusalMemory bounds how long a node refuses requests without asking after the
	// bucket was empty.
	refusalMemory = 200 * time.Millisecond
	// returnLifetime bounds how long a returned token is kept until it is sent.
	returnLifetime = time.Second
	// silence is the time for which a node that has not answered is not asked, and
	// notHomeSilence for one whose routing table differs.
	silence        = 500 * time.Millisecond
	notHomeSilence = 50 * time.Millisecond
	// fallbackNodes is the number of nodes that have a token of their own while no
	// home can be reached, and fallbackShare the part of the rate that all nodes
	// together have then.
	fallbackNodes = 32
	fallbackShare = 0.1
)

// Decision says what to do with a request.
type Decision int

// Decisions about a request.
const (
	// DecisionGranted means that the request has a token.
	DecisionGranted Decision = iota
	// DecisionRefused means that the quota is used up.
	DecisionRefused
	// DecisionAsk means that a home must be asked.
	DecisionAsk
)

// Entry keeps the tokens that a node was granted for the requests that it receives,
// and which homes can be reached. The zero value has none. It is not safe for
// concurrent use.
type Entry struct {
	stocks map[string]*stock
	// nodes are those that have not answered or have ended.
	nodes map[uint64]*reach
}

// stock are the tokens of one organisation.
type stock struct {
	limit Limit
	// lots are ordered by expiry.
	lots []lot
	// demand is the average number of requests a second at demandAt.
	demand   float64
	demandAt time.Time
	// refusedUntil is the time until which the bucket is known to be empty.
	// retryAt is the time at which the next refused request should come back.
	refusedUntil, retryAt time.Time
	returned              int
	returnedAt            time.Time
	fallback              *bucket
}

type lot struct {
	count   int
	expires time.Time
}

type reach struct {
	// ended means that the node grants no tokens any more, notHome that it has
	// answered and its routing table differs.
	ended, notHome bool
	silentUntil    time.Time
}

// Take decides about a request that has arrived.
func (e *Entry) Take(now time.Time, l Limit) (Decision, time.Duration) {
	s := e.stock(l)
	elapsed := now.Sub(s.demandAt)
	s.demand = s.demand*math.Exp(-elapsed.Seconds()/demandTime.Seconds()) + 1/demandTime.Seconds()
	s.demandAt = now
	switch {
	case s.draw(now):
		return DecisionGranted, 0
	case now.Before(s.refusedUntil):
		return DecisionRefused, s.retryAfter(now)
	}
	return DecisionAsk, 0
}

// stock returns the stock of an organisation. Tokens of a higher limit are dropped.
func (e *Entry) stock(l Limit) *stock {
	s := e.stocks[l.Organisation]
	if s == nil {
		if e.stocks == nil {
			e.stocks = map[string]*stock{}
		}
		s = &stock{limit: l}
		e.stocks[l.Organisation] = s
	}
	if l.RequestsPerSecond < s.limit.RequestsPerSecond || l.Burst < s.limit.Burst {
		s.lots, s.fallback, s.returned = nil, nil, 0
	}
	s.limit = l
	return s
}

// Draw takes a token that the node has.
func (e *Entry) Draw(now time.Time, organisation string) bool {
	s := e.stocks[organisation]
	return s != nil && s.draw(now)
}

func (s *stock) draw(now time.Time) bool {
	if s.held(now) == 0 {
		return false
	}
	if s.lots[0].count--; s.lots[0].count == 0 {
		s.lots = s.lots[1:]
	}
	return true
}

// held drops expired tokens and returns the number of the others.
func (s *stock) held(now time.Time) int {
	for len(s.lots) > 0 && !now.Before(s.lots[0].expires) {
		s.lots = s.lots[1:]
	}
	n := 0
	for _, l := range s.lots {
		n += l.count
	}
	return n
}

// ahead returns the number of tokens to ask for ahead of requests.
func (s *stock) ahead(now time.Time) int {
	if now.Before(s.refusedUntil) {
		return 0
	}
	target, held := int(s.demand*aheadTime.Seconds()), s.held(now)
	if held > target/3 {
		return 0
	}
	return target - held
}

// WantsAhead reports whether the node should ask for tokens although no request
// waits.
func (e *Entry) WantsAhead(now time.Time, organisation string) bool {
	s := e.stocks[organisation]
	return s != nil && s.ahead(now) > 0
}

// Ask returns the request for tokens for a number of waiting requests. The returned
// tokens that it reports are no longer kept.
func (e *Entry) Ask(now time.Time, organisation string, need int, skipped []Skipped) Ask {
	s := e.stocks[organisation]
	q := Ask{Limit: s.limit, Need: need, Ahead: s.ahead(now), Held: s.held(now), Skipped: skipped}
	if now.Sub(s.returnedAt) < returnLifetime {
		q.Returned = s.returned
	}
	s.returned = 0
	return q
}

// Answered records the answer to a request for tokens that was sent at a time.
func (e *Entry) Answered(now, sent time.Time, q Ask, a Answer) {
	s := e.stocks[q.Organisation]
	granted := a.Granted
	if q.RequestsPerSecond > s.limit.RequestsPerSecond || q.Burst > s.limit.Burst {
		granted = min(granted, q.Need)
	}
	if granted > 0 {
		// Counted from the sending, so that the tokens expire before the home stops
		// counting them.
		s.lots = append(s.lots, lot{granted, sent.Add(lotLifetime)})
	}
	if a.Granted < q.Need {
		s.refusedUntil = now.Add(min(a.RetryAfter, refusalMemory))
		if at := now.Add(a.RetryAfter); at.After(s.retryAt) {
			s.retryAt = at
		}
	}
}

// WasRefused reports whether a home has refused requests of an organisation just now.
func (e *Entry) WasRefused(now time.Time, organisation string) bool {
	s := e.stocks[organisation]
	return s != nil && now.Before(s.refusedUntil)
}

// RetryAfter returns the time after which a refused request should come back.
func (e *Entry) RetryAfter(now time.Time, organisation string) time.Duration {
	return e.stocks[organisation].retryAfter(now)
}

// retryAfter returns a later time for each refused request, at the demand that the
// node has seen: the bucket fills no faster than that for this node.
func (s *stock) retryAfter(now time.Time) time.Duration {
	if !s.retryAt.After(now) {
		s.retryAt = now.Add(time.Millisecond)
	}
	after := s.retryAt.Sub(now)
	step := time.Duration(float64(time.Second) / max(min(s.demand, s.limit.RequestsPerSecond), 1))
	s.retryAt = s.retryAt.Add(step)
	if limit := now.Add(maxRetryAfter); s.retryAt.After(limit) {
		s.retryAt = limit
	}
	return after
}

// Return gives back the token of a request that did not run.
func (e *Entry) Return(now time.Time, organisation string) {
	if s := e.stocks[organisation]; s != nil {
		if now.Sub(s.returnedAt) >= returnLifetime {
			s.returned = 0
		}
		s.returned++
		s.returnedAt = now
	}
}

// Fallback decides about a request while no home can be reached. self is this node
// and nodes the number of nodes.
func (e *Entry) Fallback(now time.Time, organisation string, self uint64, nodes int) bool {
	s := e.stocks[organisation]
	nodes = max(nodes, 1)
	if s.fallback == nil {
		s.fallback = &bucket{at: now}
		if position := xxhash.Sum64String(organisation) + self; position%uint64(nodes) < fallbackNodes {
			s.fallback.level = 1
		}
	}
	s.fallback.refill(now, s.limit.RequestsPerSecond*fallbackShare/float64(nodes), 1)
	return s.fallback.take(1) == 1
}

// Choice is the way to a home.
type Choice struct {
	// To is the node to ask, 0 if none can be asked now.
	To uint64
	// Skipped are the nodes before it.
	Skipped []Skipped
	// Trial is one of them that has not answered for a while and should be asked
	// whether it does again, 0 for none.
	Trial uint64
	// Soon means that there is none to ask until routing tables agree, which they
	// usually do a moment later.
	Soon bool
}

// Choose returns the way to a home.
func (e *Entry) Choose(now time.Time, homes []uint64) Choice {
	var c Choice
	for _, n := range homes {
		r := e.nodes[n]
		if r == nil || r.notHome && !now.Before(r.silentUntil) {
			c.To = n
			return c
		}
		if !r.ended && !now.Before(r.silentUntil) {
			r.silentUntil = now.Add(silence)
			c.Trial = n
		}
		c.Soon = c.Soon || r.notHome
		c.Skipped = append(c.Skipped, Skipped{n, r.ended})
	}
	return c
}

// Reached records that a node has answered.
func (e *Entry) Reached(node uint64) { delete(e.nodes, node) }

// Failed records that a node has not answered, or with which status it has not
// decided.
func (e *Entry) Failed(now time.Time, node uint64, status Status) {
	r := e.nodes[node]
	if r == nil {
		if e.nodes == nil {
			e.nodes = map[uint64]*reach{}
		}
		r = &reach{}
		e.nodes[node] = r
	}
	r.ended = r.ended || status == StatusEnded
	r.silentUntil = now.Add(silence)
	if r.notHome = status == StatusNotHome; r.notHome {
		r.silentUntil = now.Add(notHomeSilence)
	}
}

// Keep forgets the organisations without a quota and the nodes that are not
// registered any more.
func (e *Entry) Keep(organisation func(name string) bool, registered func(node uint64) bool) {
	for name := range e.stocks {
		if !organisation(name) {
			delete(e.stocks, name)
		}
	}
	for n := range e.nodes {
		if !registered(n) {
			delete(e.nodes, n)
		}
	}
}
