// Package lease grants and holds the leases that ownership rests on.
//
// A holder counts a lease from the time at which it sent the renewal, the
// granter from the time at which it answered, plus drift and margin. Every
// lease therefore ends at the holder before it ends at the granter, whatever
// messages are late, lost or repeated.
package lease

import (
	"cmp"
	"time"
)

// Defaults of the configuration.
const (
	DefaultDuration      = 1500 * time.Millisecond
	DefaultRenewInterval = 400 * time.Millisecond
	DefaultMargin        = 20 * time.Millisecond
	// DefaultDriftPercent bounds how much faster the granter's clock may run
	// than the holder's, in percent of the duration.
	DefaultDriftPercent = 1
)

// Config has the durations of leases. The zero value means the defaults.
type Config struct {
	Duration      time.Duration
	RenewInterval time.Duration
	Margin        time.Duration
	DriftPercent  int
}

// WithDefaults returns the configuration with defaults in place of zeros.
func (c Config) WithDefaults() Config {
	c.Duration = cmp.Or(c.Duration, DefaultDuration)
	c.RenewInterval = cmp.Or(c.RenewInterval, DefaultRenewInterval)
	c.Margin = cmp.Or(c.Margin, DefaultMargin)
	c.DriftPercent = cmp.Or(c.DriftPercent, DefaultDriftPercent)
	return c
}

// GranterDuration returns the time from the granter's answer until the lease is over by
// the granter's clock: the duration plus drift and margin.
func (c Config) GranterDuration() time.Duration {
	c = c.WithDefaults()
	return c.Duration + c.Duration*time.Duration(c.DriftPercent)/100 + c.Margin
}
