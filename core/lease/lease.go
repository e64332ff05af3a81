// Package lease grants and holds the leases that ownership rests on.
package lease

import "time"

// Defaults of the configuration.
const (
	DefaultDuration      = 1500 * time.Millisecond
	DefaultRenewInterval = 400 * time.Millisecond
	DefaultMargin        = 20 * time.Millisecond
	// DefaultDriftPercent bounds how much faster the holder's clock may be
	// than the granter's, in percent of the duration.
	DefaultDriftPercent = 1
)

// Config has the durations of leases. The zero value means the defaults.
type Config struct {
	Duration      time.Duration
	RenewInterval time.Duration
	Margin        time.Duration
	DriftPercent  int
}
