package raft

import "time"

const (
	// gapRetention is the minimum time for which a gap between two messages of a
	// leader extends the election timeout. Load that delays a leader, such as many
	// nodes that register, recurs within that time.
	gapRetention = 30 * time.Second
	// timeoutPerGap is the ratio of the minimum election timeout to the longest
	// recent gap.
	timeoutPerGap = 2
	// maxAdaptiveTimeoutPercent bounds the extended minimum election timeout, in
	// percent of its configured value. With the defaults an election begins after
	// at most 1.05 s. Keys must be served again within 3 s of the loss of their
	// owner, which leaves 1.95 s for the lease of a lost owner, for the log and
	// for distributing the assignments. A gap above the bound is a pause or a
	// network cut and is ignored.
	maxAdaptiveTimeoutPercent = 250
)

// gapTracker keeps the longest gap between messages of a leader in the last one
// to two periods of gapRetention.
type gapTracker struct {
	since             time.Time
	current, previous time.Duration
}

func (g *gapTracker) record(now time.Time, gap time.Duration) {
	g.advance(now)
	g.current = max(g.current, gap)
}

func (g *gapTracker) longest(now time.Time) time.Duration {
	g.advance(now)
	return max(g.current, g.previous)
}

func (g *gapTracker) advance(now time.Time) {
	if now.Sub(g.since) < gapRetention {
		return
	}
	g.previous = g.current
	if now.Sub(g.since) >= 2*gapRetention {
		g.previous = 0
	}
	g.since, g.current = now, 0
}

// adaptiveMinTimeout returns the minimum time that this member waits for a
// leader before it campaigns. It is the configured minimum election timeout,
// extended if messages of a live leader were late. A leader short of processor
// time would otherwise be replaced by one under the same load, and each change
// of leader stops all moves for the duration of a lease.
func (m *Member) adaptiveMinTimeout() time.Duration {
	return min(max(m.config.MinElectionTimeout, timeoutPerGap*m.contactGaps.longest(m.now)), m.maxAdaptiveTimeout())
}

func (m *Member) maxAdaptiveTimeout() time.Duration {
	return m.config.MinElectionTimeout * maxAdaptiveTimeoutPercent / 100
}

// recordGap records the time since the last message of a leader that has proved
// to be alive. A leader records the time since its own last heartbeat.
func (m *Member) recordGap(last time.Time) {
	if last.IsZero() {
		return
	}
	if gap := m.now.Sub(last); gap <= m.maxAdaptiveTimeout() {
		m.contactGaps.record(m.now, gap)
	}
}
