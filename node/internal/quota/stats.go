package quota

import (
	"time"

	"github.com/jujubeknot/jujubeknot/core/quota"
)

const (
	// maxCounted is the number of organisations that are counted by name. The others
	// are counted as otherOrganisations.
	maxCounted         = 256
	otherOrganisations = "(others)"
	// limitLogInterval is the least time between two log lines on refusals of one
	// organisation.
	limitLogInterval = 10 * time.Second
)

// counters are the requests of one organisation since the start of the node.
type counters struct {
	taken, refused, fallback, fallbackRefused, returned, granted uint64
	// logged is the time of the latest log line on refusals.
	logged time.Time
}

// Stats is the state of all quotas at a node, for operators. The keys of all maps are
// the names of organisations.
type Stats struct {
	// Taken and OverQuota count the requests that this node received.
	Taken     map[string]uint64 `json:"taken,omitempty"`
	OverQuota map[string]uint64 `json:"overQuota,omitempty"`
	// FallbackTaken and FallbackRefused count those of them that were decided while
	// no home could be reached.
	FallbackTaken   map[string]uint64 `json:"fallbackTaken,omitempty"`
	FallbackRefused map[string]uint64 `json:"fallbackRefused,omitempty"`
	// TokensReturned counts the tokens of requests that did not run, TokensReceived
	// those that this node was granted.
	TokensReturned map[string]uint64 `json:"tokensReturned,omitempty"`
	TokensReceived map[string]uint64 `json:"tokensReceived,omitempty"`
	// The organisations of the fields below have this node as their home, or as the
	// node that stands in for it. BucketTokens is the level of the bucket.
	BucketTokens  map[string]float64 `json:"bucketTokens,omitempty"`
	BucketRate    map[string]float64 `json:"bucketRate,omitempty"`
	BucketBurst   map[string]float64 `json:"bucketBurst,omitempty"`
	BucketGranted map[string]uint64  `json:"bucketGranted,omitempty"`
	BucketRefused map[string]uint64  `json:"bucketRefused,omitempty"`
}

// MetricLabels has the keys of Stats for the text exposition.
func MetricLabels() map[string]string {
	labels := map[string]string{}
	for _, key := range []string{
		"taken", "overQuota", "fallbackTaken", "fallbackRefused", "tokensReturned", "tokensReceived",
		"bucketTokens", "bucketRate", "bucketBurst", "bucketGranted", "bucketRefused",
	} {
		labels[key] = "organisation"
	}
	return labels
}

// Stats returns the state of all quotas at this node. Counters of 0 are left out.
func (l *Limiter) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	var s Stats
	for name, c := range l.stats {
		put(&s.Taken, name, c.taken)
		put(&s.OverQuota, name, c.refused)
		put(&s.FallbackTaken, name, c.fallback)
		put(&s.FallbackRefused, name, c.fallbackRefused)
		put(&s.TokensReturned, name, c.returned)
		put(&s.TokensReceived, name, c.granted)
	}
	usage := l.home.Usage(l.cfg.Clock.Now())
	for _, u := range usage[:min(len(usage), maxCounted)] {
		put(&s.BucketTokens, u.Organisation, u.Level)
		put(&s.BucketRate, u.Organisation, u.RequestsPerSecond)
		put(&s.BucketBurst, u.Organisation, u.Burst)
		put(&s.BucketGranted, u.Organisation, u.Granted)
		put(&s.BucketRefused, u.Organisation, u.Denied)
	}
	return s
}

// put sets a value that is not 0.
func put[V uint64 | float64](m *map[string]V, name string, v V) {
	if v == 0 {
		return
	}
	if *m == nil {
		*m = map[string]V{}
	}
	(*m)[name] = v
}

// count returns the counters of an organisation. l.mu is held.
func (l *Limiter) count(organisation string) *counters {
	c := l.stats[organisation]
	if c == nil && len(l.stats) >= maxCounted {
		organisation = otherOrganisations
		c = l.stats[organisation]
	}
	if c == nil {
		c = &counters{}
		l.stats[organisation] = c
	}
	return c
}

// logLimit logs that an organisation is at its limit, at most once for each
// limitLogInterval. l.mu is held.
func (l *Limiter) logLimit(now time.Time, q quota.Ask, a quota.Answer) {
	if a.Granted >= q.Need {
		return
	}
	c := l.count(q.Organisation)
	if !c.logged.IsZero() && now.Sub(c.logged) < limitLogInterval {
		return
	}
	c.logged = now
	l.cfg.Log.Info().Str("organisation", q.Organisation).Float64("requestsPerSecond", q.RequestsPerSecond).Float64("burst", q.Burst).
		Uint64("rulesRevision", q.Revision).Int64("retryAfterMs", a.RetryAfter.Milliseconds()).Msg("organisation at its quota")
}
