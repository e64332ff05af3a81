package lease

import "time"

// Granter is the control leader's side of all leases. It knows only what it
// answered itself during one term of leadership: what earlier leaders granted
// is covered by waiting one whole lease. It is not safe for concurrent use.
type Granter struct {
	config   Config
	leading  bool
	takeover time.Time
	leases   map[uint64]grant
}

type grant struct {
	until time.Time
	// over is final: the incarnation was found expired or returned its lease,
	// and its partitions may have been given away since.
	over bool
}

// NewGranter returns a granter that does not lead.
func NewGranter(config Config) *Granter {
	return &Granter{config: config.WithDefaults()}
}

// Lead begins a term of leadership: everything known from an earlier term is
// forgotten, and each registered incarnation is taken to hold a lease for one
// whole lease from now. The time must not be before the election.
func (g *Granter) Lead(now time.Time, incarnations []uint64) {
	g.leading = true
	g.takeover = now.Add(g.config.GranterDuration())
	g.leases = make(map[uint64]grant, len(incarnations))
	for _, incarnation := range incarnations {
		g.leases[incarnation] = grant{until: g.takeover}
	}
}

// Stop ends the term of leadership. Nothing is granted or found expired until
// the next call of Lead.
func (g *Granter) Stop() {
	g.leading, g.leases = false, nil
}

// Track begins to watch a registered incarnation that is not known yet, as if
// it had been granted a lease now.
func (g *Granter) Track(now time.Time, incarnation uint64) {
	if _, known := g.leases[incarnation]; known || !g.leading {
		return
	}
	g.leases[incarnation] = grant{until: now.Add(g.config.GranterDuration())}
}

// Forget drops an incarnation that is no longer registered.
func (g *Granter) Forget(incarnation uint64) {
	delete(g.leases, incarnation)
}

// Renew grants a lease and returns its duration for the holder. It must be
// called right before the answer is sent, for an incarnation that is
// registered, after a quorum confirmed the leadership. It reports false if
// the lease was over already: that answer never changes.
func (g *Granter) Renew(now time.Time, incarnation uint64) (time.Duration, bool) {
	if !g.leading || g.Expired(now, incarnation) {
		return 0, false
	}
	g.leases[incarnation] = grant{until: now.Add(g.config.GranterDuration())}
	return g.config.Duration, true
}

// Returned records that the holder gave its lease up.
func (g *Granter) Returned(incarnation uint64) {
	if g.leading {
		g.leases[incarnation] = grant{over: true}
	}
}

// Expired reports whether the lease of an incarnation is over, so that its
// partitions may be given to others. It is false for incarnations that are
// not tracked. The first call that finds a lease over makes that final.
func (g *Granter) Expired(now time.Time, incarnation uint64) bool {
	l, known := g.leases[incarnation]
	if !g.leading || !known {
		return false
	}
	if !l.over && !now.Before(l.until) {
		l.over = true
		g.leases[incarnation] = l
	}
	return l.over
}

// Remaining returns the time until the lease of an incarnation is over, 0 if it is
// over or not known.
func (g *Granter) Remaining(now time.Time, incarnation uint64) time.Duration {
	if g.Expired(now, incarnation) {
		return 0
	}
	return max(0, g.leases[incarnation].until.Sub(now))
}

// Next returns the earliest time at which a tracked lease ends unless it is
// renewed, and false if none is tracked.
func (g *Granter) Next() (time.Time, bool) {
	var next time.Time
	for _, l := range g.leases {
		if !l.over && (next.IsZero() || l.until.Before(next)) {
			next = l.until
		}
	}
	return next, !next.IsZero()
}

// TakeoverWait returns the time until this leader may take partitions from
// incarnations that it has not heard of.
func (g *Granter) TakeoverWait(now time.Time) time.Duration {
	if !g.leading {
		return 0
	}
	return max(0, g.takeover.Sub(now))
}
