// Package comeback decides which partitions wait for their VM while most of a fleet
// returns, as after a loss of power in all availability zones.
//
// In such a return the VMs register one after the other within a second or two, each with
// a backend server that holds nothing. Without this decision the first ones to register
// get the partitions of the others, or partitions are assigned to VMs that have not
// returned, and most wait until no VM has registered for a while. With it each VM has its
// earlier partitions as soon as it registers, spread over servers as they were.
package comeback

import "time"

// DefaultWait is the default of Config.Wait.
const DefaultWait = 500 * time.Millisecond

// Config configures a Return. The zero value means the defaults.
type Config struct {
	// Wait is the time after the latest registration from which the partitions of VMs that
	// have not returned go to others. 0 means DefaultWait.
	Wait time.Duration
}

// Counts are numbers of partitions of one upstream, and the time of the latest
// registration of one of its servers.
type Counts struct {
	Partitions int
	// Present are those whose owner has been heard from by the present leader.
	Present int
	// Reclaimable are those without an owner whose VM has a server of the upstream again.
	Reclaimable int
	// Registered is the time of the latest registration.
	Registered time.Time
}

// Return is the return of the fleet of one upstream, or the wait for one. The zero value
// waits for one. It is deterministic and not safe for concurrent use.
type Return struct {
	active bool
	since  time.Time
	// over is true after a return that took maxReturn. Another one begins only once all
	// partitions have had an owner that is present.
	over bool
}

// Update records the present state and reports whether the fleet is returning. Partitions
// whose VM has returned then go back to it, and all others stay as they are. A return
// begins when a VM has returned while fewer than half of the partitions have an owner that
// is present. It ends when all have one, or Config.Wait after the latest registration.
func (r *Return) Update(now time.Time, config Config, c Counts) bool {
	wait := config.Wait
	if wait <= 0 {
		wait = DefaultWait
	}
	if c.Present >= c.Partitions {
		r.over = false
	}
	if !r.active && !r.over && 2*c.Present < c.Partitions && c.Reclaimable > 0 {
		r.active, r.since = true, now
	}
	if r.active && now.Sub(r.since) >= maxReturn {
		r.over = true
	}
	if r.over || c.Present >= c.Partitions || now.Sub(c.Registered) >= wait {
		r.active = false
	}
	return r.active
}

// maxReturn bounds a return. Nodes that register again and again must not keep the other
// partitions without an owner.
const maxReturn = 3 * time.Second

const (
	// registerTime is the time in which a node that starts alone registers and gets the
	// rules.
	registerTime = 150 * time.Millisecond
	// returnTime is the time from the start of a fleet in which its nodes get the rules: an
	// election of 300 to 600 ms, and the registrations of all nodes.
	returnTime = time.Second
	// minReturnAfter is the least time after which callers return while a fleet returns.
	minReturnAfter = 250 * time.Millisecond
)

// ReturnAfter returns the time after which a request that was refused because its node has
// no rules yet should return, by the time since the node started. Callers have few tries,
// and one that returns before the node has rules has lost another.
func ReturnAfter(sinceStart time.Duration) time.Duration {
	if sinceStart < registerTime {
		return registerTime
	}
	return max(returnTime-sinceStart, minReturnAfter)
}
