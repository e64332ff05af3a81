package quota

import (
	"cmp"
	"slices"
	"time"
)

// beginClaims claims the organisation from the nodes that may still grant tokens: those
// in passedOn, and those that may not know that this node is registered.
func (h *Home) beginClaims(now time.Time, a *account, settlesAt time.Time, passedOn []uint64) {
	a.claims, a.settlesAt, a.passedOn = true, settlesAt, passedOn
	a.waitsFor, a.parting, a.handedOver, a.released = nil, nil, 0, map[uint64]bool{}
	h.updateClaims(now, a)
}

// updateClaims finds the nodes that must still release the organisation. It takes over
// the bucket if there are none.
func (h *Home) updateClaims(now time.Time, a *account) {
	if !a.claims || a.inCharge {
		return
	}
	candidates := slices.Clone(a.passedOn)
	if now.Before(h.settledAt) {
		candidates = append(candidates, earlierHomes(a.limit.Organisation, h.nodes, h.self, h.ended)...)
	}
	var waitsFor []uint64
	for _, n := range candidates {
		if n == h.self || h.ended[n] || a.released[n] || slices.Contains(waitsFor, n) {
			continue
		}
		waitsFor = append(waitsFor, n)
		if !slices.Contains(a.waitsFor, n) {
			h.toSend = append(h.toSend, Claim{a.limit.Organisation, n})
		}
	}
	if a.waitsFor = waitsFor; len(waitsFor) == 0 {
		a.takeOver(now, max(a.handedOver, initialTokens))
	}
}

// settle takes over the bucket, or begins to claim it, if this node is the home or
// stands in for one that has ended.
func (h *Home) settle(now time.Time, homes []uint64, a *account) {
	switch {
	case a.inCharge || !a.first && !h.standsIn(h.self, homes):
	case !a.claims:
		h.beginClaims(now, a, h.settledAt, nil)
	case !now.Before(a.settlesAt):
		a.takeOver(a.settlesAt, initialTokens)
	}
}

// TakeClaims returns the claims to send, and forgets them.
func (h *Home) TakeClaims() []Claim {
	claims := h.toSend
	h.toSend = nil
	slices.SortFunc(claims, func(a, b Claim) int {
		return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Node, b.Node))
	})
	return claims
}

// Waits reports whether a node must still release an organisation.
func (h *Home) Waits(c Claim) bool {
	a := h.accounts[c.Organisation]
	return a != nil && a.claims && !a.inCharge && slices.Contains(a.waitsFor, c.Node)
}

// Release answers the claim of a node. It reports false if this node does not know yet
// that the other one comes before it.
func (h *Home) Release(organisation string, homes []uint64, to uint64) (Handover, bool) {
	position, own := slices.Index(homes, to), slices.Index(homes, h.self)
	if position < 0 || own >= 0 && own < position {
		return Handover{}, false
	}
	a := h.accounts[organisation]
	if a == nil || a.parting == nil {
		return Handover{}, true
	}
	b := *a.parting
	// The answer may be lost, and the claim repeated. The tokens are handed over once.
	// The nodes that have not released the organisation may still grant some.
	a.parting = &Handover{Waits: b.Waits}
	return b, true
}

// Released records that a node has released an organisation to this one.
func (h *Home) Released(now time.Time, c Claim, b Handover) {
	if !h.Waits(c) {
		return
	}
	a := h.accounts[c.Organisation]
	a.handedOver = max(a.handedOver, b.Level)
	if b.Held > 0 {
		a.held[c.Node] = holding{b.Held, now.Add(lotLifetime)}
	}
	a.passedOn = append(a.passedOn, b.Waits...)
	a.released[c.Node] = true
	h.updateClaims(now, a)
}

// Ended records that a node grants no tokens any more.
func (h *Home) Ended(now time.Time, node uint64) {
	if h.ended == nil {
		h.ended = map[uint64]bool{}
	}
	h.ended[node] = true
	for _, a := range h.accounts {
		h.updateClaims(now, a)
	}
}
