package choice

import "time"

// Defaults of TwoChoicesConfig.
const (
	// DefaultStragglerFactor is above the spread between healthy servers and
	// well below a tenfold slowdown.
	DefaultStragglerFactor = 3
	// DefaultProbeInterval lets a server that has recovered return within a
	// second.
	DefaultProbeInterval = 250 * time.Millisecond
	// DefaultProbeShare keeps probes of slow servers out of the 99th
	// percentile.
	DefaultProbeShare = 0.002
	// DefaultMaxProbeInterval lets a node with little traffic probe too.
	DefaultMaxProbeInterval = 10 * time.Second
	// DefaultColdInFlight is the number of requests that this node keeps in
	// flight at a server in cold start.
	DefaultColdInFlight = 1
	// DefaultBackoff is the time without requests after a shed answer or a
	// refused connection.
	DefaultBackoff = 100 * time.Millisecond
	// DefaultSilence is the time without any completion after which a server
	// with requests in flight counts as a straggler.
	DefaultSilence = 200 * time.Millisecond
)

// TwoChoicesConfig configures TwoChoices. The zero value means the defaults.
type TwoChoicesConfig struct {
	Seed uint64
	// AvailabilityZone is this node's own.
	AvailabilityZone string
	// ZoneFactor is the ratio up to which a server of the own zone may cost more
	// than one of another zone and is still taken. 0 and 1 mean that zones decide
	// between equal costs only.
	ZoneFactor float64
	// StragglerFactor is the ratio of a server's latency to the median of all
	// servers above which it gets only probes, above 1.
	StragglerFactor float64
	// ProbeInterval and ProbeShare bound the probes of one straggler: at least
	// the interval apart, and at most the share of picks, 0 to 1.
	ProbeInterval time.Duration
	ProbeShare    float64
	// MaxProbeInterval is the time after which a straggler is probed whatever
	// the share.
	MaxProbeInterval time.Duration
	ColdInFlight     int
	Backoff          time.Duration
	Silence          time.Duration
}

// NearestZoneFactor is the ZoneFactor of the policy nearest, for upstreams with
// large bodies: a server of the own zone is left at three times the cost of
// another, long before its queue is full.
const NearestZoneFactor = 3

func (c TwoChoicesConfig) withDefaults() TwoChoicesConfig {
	if c.StragglerFactor <= 1 {
		c.StragglerFactor = DefaultStragglerFactor
	}
	if c.ProbeInterval <= 0 {
		c.ProbeInterval = DefaultProbeInterval
	}
	if c.ProbeShare <= 0 {
		c.ProbeShare = DefaultProbeShare
	}
	if c.MaxProbeInterval <= 0 {
		c.MaxProbeInterval = DefaultMaxProbeInterval
	}
	if c.ColdInFlight <= 0 {
		c.ColdInFlight = DefaultColdInFlight
	}
	if c.Backoff <= 0 {
		c.Backoff = DefaultBackoff
	}
	if c.Silence <= 0 {
		c.Silence = DefaultSilence
	}
	return c
}
