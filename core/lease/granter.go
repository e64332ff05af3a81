package lease

import "time"

// Granter is the control leader's side of all leases. It knows only the leases
// that it granted itself during the current term of leadership. Leases granted
// by earlier leaders are covered by waiting GranterDuration after the election.
// It is not safe for concurrent use.
type Granter struct {
	config  Config
	leading bool
	// takeover is the time at which all leases of earlier leaders have ended.
	takeover time.Time
	// leases are by incarnation.
	leases map[uint64]grant
}

// grant is the lease of one incarnation.
type grant struct {
	until time.Time
	// ended is true once the lease was found expired or was returned. It is not
	// reset during the term, because the partitions of the lease may have been
	// assigned to others since.
	ended bool
}

// NewGranter returns a granter that does not lead.
func NewGranter(config Config) *Granter {
	return &Granter{config: config.WithDefaults()}
}

// Lead begins a term of leadership. It discards the leases of an earlier term
// and assumes that each registered incarnation was granted a lease now. The
// argument now must not be before the election.
func (g *Granter) Lead(now time.Time, incarnations []uint64) {
	g.leading = true
	g.takeover = now.Add(g.config.GranterDuration())
	g.leases = make(map[uint64]grant, len(incarnations))
	for _, incarnation := range incarnations {
		g.leases[incarnation] = grant{until: g.takeover}
	}
}

// Stop ends the term of leadership. No lease is granted or found expired until
// the next call of Lead.
func (g *Granter) Stop() {
	g.leading, g.leases = false, nil
}

// Track adds a registered incarnation as if it had been granted a lease now. An
// incarnation that is already tracked does not change.
func (g *Granter) Track(now time.Time, incarnation uint64) {
	if _, known := g.leases[incarnation]; known || !g.leading {
		return
	}
	g.leases[incarnation] = grant{until: now.Add(g.config.GranterDuration())}
}

// Forget removes an incarnation that is no longer registered.
func (g *Granter) Forget(incarnation uint64) {
	delete(g.leases, incarnation)
}

// Renew grants a lease and returns its duration for the holder. It must be
// called right before the answer is sent, after a quorum confirmed the
// leadership, and only for a registered incarnation. It reports false if the
// lease has ended, and does so for the rest of the term.
func (g *Granter) Renew(now time.Time, incarnation uint64) (time.Duration, bool) {
	if !g.leading || g.Expired(now, incarnation) {
		return 0, false
	}
	g.leases[incarnation] = grant{until: now.Add(g.config.GranterDuration())}
	return g.config.Duration, true
}

// Returned records that the holder returned its lease before it expired.
func (g *Granter) Returned(incarnation uint64) {
	if g.leading {
		g.leases[incarnation] = grant{ended: true}
	}
}

// Expired reports whether the lease of an incarnation has ended, so that its
// partitions may be assigned to others. It is false for incarnations that are
// not tracked. The first call that finds a lease expired ends it for good.
func (g *Granter) Expired(now time.Time, incarnation uint64) bool {
	l, known := g.leases[incarnation]
	if !g.leading || !known {
		return false
	}
	if !l.ended && !now.Before(l.until) {
		l.ended = true
		g.leases[incarnation] = l
	}
	return l.ended
}

// Remaining returns the time until the lease of an incarnation ends. It is 0 if
// the lease has ended or the incarnation is not tracked.
func (g *Granter) Remaining(now time.Time, incarnation uint64) time.Duration {
	if g.Expired(now, incarnation) {
		return 0
	}
	return max(0, g.leases[incarnation].until.Sub(now))
}

// Next returns the earliest time at which a tracked lease ends unless it is
// renewed. It reports false if all tracked leases have ended or none is
// tracked.
func (g *Granter) Next() (time.Time, bool) {
	var next time.Time
	for _, l := range g.leases {
		if !l.ended && (next.IsZero() || l.until.Before(next)) {
			next = l.until
		}
	}
	return next, !next.IsZero()
}

// TakeoverWait returns the time until this leader may reassign partitions of
// incarnations that have not renewed their lease during its term.
func (g *Granter) TakeoverWait(now time.Time) time.Duration {
	if !g.leading {
		return 0
	}
	return max(0, g.takeover.Sub(now))
}
