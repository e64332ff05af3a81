package raft

import "time"

const (
	// gapWindow is how long a gap between two messages of a leader counts: load
	// that makes a leader late, such as many nodes that register, comes again
	// within that time.
	gapWindow = 30 * time.Second
	// gapFactor is how many times as long as the longest gap a member waits.
	gapFactor = 2
	// patiencePercent bounds the shortest election timeout to this much of its
	// configured value. With the defaults an election begins after 1.05 s at most,
	// which leaves 1.95 s of the 3 s after which keys must be served again for the
	// lease of a lost owner, the log and the spread. A longer gap is a pause or a
	// cut and counts for nothing.
	patiencePercent = 250
)

// gaps keeps the longest gap of the latest one to two windows.
type gaps struct {
	since             time.Time
	current, previous time.Duration
}

func (g *gaps) note(now time.Time, gap time.Duration) {
	g.advance(now)
	g.current = max(g.current, gap)
}

func (g *gaps) longest(now time.Time) time.Duration {
	g.advance(now)
	return max(g.current, g.previous)
}

func (g *gaps) advance(now time.Time) {
	if now.Sub(g.since) < gapWindow {
		return
	}
	g.previous = g.current
	if now.Sub(g.since) >= 2*gapWindow {
		g.previous = 0
	}
	g.since, g.current = now, 0
}

// patience returns how long this member waits for a leader before it may
// campaign: the shortest election timeout, or longer after a leader that lived
// was heard late. A leader without processor time would otherwise be replaced
// by one that has as much to do, and each change stops all moves for a lease.
func (m *Member) patience() time.Duration {
	return min(max(m.config.MinElectionTimeout, gapFactor*m.gaps.longest(m.now)), m.longestPatience())
}

func (m *Member) longestPatience() time.Duration {
	return m.config.MinElectionTimeout * patiencePercent / 100
}

// noteGap notes the time since a leader was last heard, or since this leader
// last sent a heartbeat, when the leader turns out to be alive.
func (m *Member) noteGap(last time.Time) {
	if last.IsZero() {
		return
	}
	if gap := m.now.Sub(last); gap <= m.longestPatience() {
		m.gaps.note(m.now, gap)
	}
}
