package quota

import (
	"cmp"
	"slices"
	"time"
)

// unusedAfter is the time without an Ask after which a node forgets the bucket of an
// organisation that it is not the home of.
const unusedAfter = 10 * time.Second

// Home keeps the buckets of the organisations whose tokens a node grants. The zero
// value has none. It is not safe for concurrent use.
type Home struct {
	accounts map[string]*account
	// ended has the nodes that grant no tokens any more.
	ended map[uint64]bool
	// orders are the homes by the latest table.
	orders map[string][]uint64
	// self is this node and nodes are the candidates by that table.
	self  uint64
	nodes []uint64
	// settledAt is the time from which no other node grants tokens because it does
	// not know that this node is registered.
	settledAt time.Time
	// toSend are the claims that were not sent yet.
	toSend []Claim
}

// Change is an organisation of which a node became the home or ceased to be it.
type Change struct {
	Organisation string
	Home         bool
	// Claim are the nodes that must release the organisation to the new home.
	Claim []uint64
}

// Claim asks a node to release an organisation.
type Claim struct {
	Organisation string
	Node         uint64
}

// Handover is the bucket of a home that has ceased to be it. It is zero if there was none.
type Handover struct {
	Level float64
	// Held is the number of tokens that other nodes hold.
	Held int
	// Waits are the nodes that had not released the organisation to this home.
	Waits []uint64
}

// Table is what a routing table says about homes.
type Table struct {
	// Self is this node, registered at a time.
	Self         uint64
	RegisteredAt time.Time
	// Settle is the time after which nodes that have not heard of a change have no
	// lease any more.
	Settle time.Duration
	Limits []Limit
	// Homes returns the nodes that may grant tokens of an organisation.
	Homes func(organisation string) []uint64
	// Nodes are the candidates for homes, ordered by incarnation.
	Nodes []uint64
	// IsRegistered reports whether a node is registered.
	IsRegistered func(node uint64) bool
	// IsNew reports whether an organisation had no quota before.
	IsNew func(organisation string) bool
}

// SetHomes applies a routing table. A node that becomes the home grants no tokens from
// a bucket while another one may do so that does not know it yet: until that one has
// released the organisation, or its lease must have ended. A bucket that is not handed
// over begins almost empty, because the whole burst may have been granted just before.
func (h *Home) SetHomes(now time.Time, t Table) []Change {
	for n := range h.ended {
		if !t.IsRegistered(n) {
			delete(h.ended, n)
		}
	}
	h.self, h.nodes, h.settledAt = t.Self, t.Nodes, t.RegisteredAt.Add(t.Settle)
	for _, a := range h.accounts {
		a.passedOn = slices.DeleteFunc(a.passedOn, func(n uint64) bool { return !t.IsRegistered(n) })
		h.updateClaims(now, a)
	}
	orders := make(map[string][]uint64, len(t.Limits))
	var changes []Change
	for _, l := range t.Limits {
		order := t.Homes(l.Organisation)
		orders[l.Organisation] = order
		first := len(order) > 0 && order[0] == t.Self
		a := h.accounts[l.Organisation]
		if a == nil && !first {
			continue
		}
		if a == nil {
			a = h.open(now, l)
		}
		a.setLimit(now, l)
		c := Change{Organisation: l.Organisation, Home: first}
		switch {
		case first && !a.first:
			h.becomeFirst(now, a, t)
			c.Claim = slices.Clone(a.waitsFor)
		case !first && (a.first || a.inCharge || a.claims) && !h.standsIn(t.Self, order):
			a.part(now)
		}
		if a.first != first {
			a.first, a.asked = first, now
			changes = append(changes, c)
		}
	}
	for name, a := range h.accounts {
		if orders[name] == nil || !a.first && now.Sub(a.asked) > unusedAfter {
			delete(h.accounts, name)
		}
	}
	h.orders = orders
	return changes
}

func (h *Home) becomeFirst(now time.Time, a *account, t Table) {
	if t.IsNew(a.limit.Organisation) {
		a.takeOver(now, a.limit.size())
	}
	if a.inCharge {
		return
	}
	// Nodes that were before this one, are registered and yet no candidates leave, and
	// may not know it.
	before := h.orders[a.limit.Organisation]
	if i := slices.Index(before, t.Self); i >= 0 {
		before = before[:i]
	}
	before = slices.DeleteFunc(slices.Clone(before), func(n uint64) bool { return !t.IsRegistered(n) || h.ended[n] })
	settlesAt := h.settledAt
	if len(before) > 0 {
		settlesAt = now.Add(t.Settle)
	}
	if a.claims {
		// What others have released to this node as a stand-in still holds.
		a.passedOn = append(a.passedOn, before...)
		if settlesAt.After(a.settlesAt) {
			a.settlesAt = settlesAt
		}
		h.updateClaims(now, a)
		return
	}
	h.beginClaims(now, a, settlesAt, before)
}

// standsIn reports whether all nodes before this one have ended.
func (h *Home) standsIn(self uint64, homes []uint64) bool {
	position := slices.Index(homes, self)
	return position >= 0 && !slices.ContainsFunc(homes[:position], func(n uint64) bool { return !h.ended[n] })
}

// Forget drops all buckets. It is called when the node's lease has ended.
func (h *Home) Forget() { *h = Home{} }

func (h *Home) open(now time.Time, l Limit) *account {
	if h.accounts == nil {
		h.accounts = map[string]*account{}
	}
	a := &account{limit: l, asked: now, held: map[uint64]holding{}}
	a.uncertain = bucket{a.uncertainSize(), now}
	a.returned = bucket{a.returnedSize(), now}
	a.refused.at = now
	h.accounts[l.Organisation] = a
	return a
}

// Grant answers a request for tokens. self is the asked node, homes the nodes that
// may grant tokens of the organisation by its routing table.
func (h *Home) Grant(now time.Time, self uint64, homes []uint64, from uint64, q Ask) Answer {
	position := slices.Index(homes, self)
	if position < 0 {
		return Answer{Status: StatusNotHome}
	}
	for _, n := range homes[:position] {
		i := slices.IndexFunc(q.Skipped, func(s Skipped) bool { return s.Node == n })
		if i < 0 && !h.ended[n] {
			return Answer{Status: StatusNotHome}
		}
		if i >= 0 && q.Skipped[i].Ended && !h.ended[n] {
			h.Ended(now, n)
		}
	}
	a := h.accounts[q.Organisation]
	if a == nil {
		a = h.open(now, q.Limit)
	}
	a.setLimit(now, q.Limit)
	a.asked = now
	h.settle(now, homes, a)
	return a.grant(now, from, q)
}

// Usage is the state of a bucket for operators.
type Usage struct {
	Limit
	// Home is false for a node that stands in for the home.
	Home            bool
	Level           float64
	Granted, Denied uint64
}

// Usage returns the state of all buckets, ordered by organisation.
func (h *Home) Usage(now time.Time) []Usage {
	list := make([]Usage, 0, len(h.accounts))
	for _, a := range h.accounts {
		a.refill(now)
		list = append(list, Usage{a.limit, a.first, a.tokens.level, a.granted, a.denied})
	}
	slices.SortFunc(list, func(a, b Usage) int { return cmp.Compare(a.Organisation, b.Organisation) })
	return list
}
