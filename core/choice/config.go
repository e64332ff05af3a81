package choice

import "time"

// Defaults of TwoChoicesConfig.
const (
	// DefaultStragglerFactor is above the ratio of latencies between healthy
	// servers and well below a tenfold slowdown.
	DefaultStragglerFactor = 3
	// DefaultProbeInterval lets a server that has recovered get requests again
	// within a second.
	DefaultProbeInterval = 250 * time.Millisecond
	// DefaultProbeShare is so small that probes of slow servers do not raise
	// the 99th percentile of latencies.
	DefaultProbeShare = 0.002
	// DefaultMaxProbeInterval lets a node with little traffic send probes too.
	DefaultMaxProbeInterval = 10 * time.Second
	// DefaultColdInFlight is the number of requests that this node may have in
	// flight at a server in cold start.
	DefaultColdInFlight = 1
	// DefaultBackoff is the time without requests to a server after it shed a
	// request or refused a connection.
	DefaultBackoff = 100 * time.Millisecond
	// DefaultSilenceTimeout is the time without any completion after which a
	// server with requests in flight is a straggler.
	DefaultSilenceTimeout = 200 * time.Millisecond
)

// TwoChoicesConfig configures TwoChoices. A zero field means its default.
type TwoChoicesConfig struct {
	Seed uint64
	// AvailabilityZone is that of this node.
	AvailabilityZone string
	// ZoneFactor is the ratio of costs up to which a server of the own zone is
	// preferred to a cheaper one of another zone. At 0 and 1 the zone matters
	// only between servers of about equal cost.
	ZoneFactor float64
	// StragglerFactor is the ratio of a server's latency to the median of all
	// servers above which it is a straggler and gets only probes. It must be
	// above 1.
	StragglerFactor float64
	// ProbeInterval is the shortest time between two probes of one straggler.
	ProbeInterval time.Duration
	// ProbeShare is the largest share of picks that are probes of one
	// straggler, from 0 to 1.
	ProbeShare float64
	// MaxProbeInterval is the time after which a straggler is probed whatever
	// ProbeShare says.
	MaxProbeInterval time.Duration
	// ColdInFlight is the largest number of requests that this node has in
	// flight at a server in cold start.
	ColdInFlight int
	// Backoff is the time without requests to a server after it shed a request
	// or refused a connection.
	Backoff time.Duration
	// SilenceTimeout is the time without any completion after which a server
	// with requests in flight is a straggler.
	SilenceTimeout time.Duration
}

// NearestZoneFactor is the ZoneFactor of the policy nearest, which is for
// upstreams with large bodies. A server of the own zone is preferred up to
// three times the cost of another server. At this factor, a server of the own
// zone loses requests to other zones long before its queue is full.
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
	if c.SilenceTimeout <= 0 {
		c.SilenceTimeout = DefaultSilenceTimeout
	}
	return c
}
