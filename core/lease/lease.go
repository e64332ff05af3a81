// Package lease implements the leases that ownership of partitions rests on.
//
// The holder counts a lease from the time at which it sent the renewal. The
// granter counts it from the time at which it answered, and adds drift and
// margin. Every lease therefore ends at the holder before it ends at the
// granter, even if messages are delayed, lost or duplicated.
package lease

import (
	"cmp"
	"time"
)

// Defaults of Config.
const (
	DefaultDuration      = 1500 * time.Millisecond
	DefaultRenewInterval = 400 * time.Millisecond
	DefaultMargin        = 20 * time.Millisecond
	// DefaultDriftPercent bounds how much faster the granter's clock may run
	// than the holder's, in percent of the duration.
	DefaultDriftPercent = 1
)

// Config has the durations of leases. A zero field means its default.
type Config struct {
	// Duration is how long a lease lasts at the holder, counted from the time
	// at which it sent the renewal.
	Duration time.Duration
	// RenewInterval is the time between two renewals of a holder.
	RenewInterval time.Duration
	// Margin is added to the lease at the granter, beyond the clock drift.
	Margin time.Duration
	// DriftPercent is the clock drift that the granter allows for, in percent
	// of Duration.
	DriftPercent int
}

// WithDefaults returns the configuration with the defaults in place of zero
// fields.
func (c Config) WithDefaults() Config {
	c.Duration = cmp.Or(c.Duration, DefaultDuration)
	c.RenewInterval = cmp.Or(c.RenewInterval, DefaultRenewInterval)
	c.Margin = cmp.Or(c.Margin, DefaultMargin)
	c.DriftPercent = cmp.Or(c.DriftPercent, DefaultDriftPercent)
	return c
}

// GranterDuration returns the time from the granter's answer until the lease
// expires by the granter's clock: the duration plus drift and margin.
func (c Config) GranterDuration() time.Duration {
	c = c.WithDefaults()
	return c.Duration + c.Duration*time.Duration(c.DriftPercent)/100 + c.Margin
}
