package placement

import (
	"cmp"
	"time"
)

// Defaults of Config.
const (
	// DefaultMovesInFlight lets a quarter of 1,024 partitions be moved within a
	// second if one move takes 100 ms.
	DefaultMovesInFlight       = 128
	DefaultMovesPerServer      = 32
	DefaultChurnPerMinute      = 0.05
	DefaultRebalanceStartRatio = 1.20
	DefaultRebalanceStopRatio  = 1.15
	// DefaultColdRatePerWeight is 2 requests/s for each slot: a cold server starts
	// with 1 request in flight, which at 50 ms each is 20 requests/s.
	DefaultColdRatePerWeight = 2
	// DefaultBaseLoad, in requests/s, keeps the planner from reacting to noise. At
	// a few requests/s, balance is decided by the number of partitions and not by
	// their load.
	DefaultBaseLoad = 0.05
	// DefaultWarmUpTimeout is below the 15 s that a stopping node waits until its
	// partitions have been moved. Moves to cold servers that do not sustain the
	// partitions begin after 10 s, while there is time left to complete them. A
	// node that stopped at its time limit interrupted requests to its keys for
	// 1,236 ms.
	DefaultWarmUpTimeout = 10 * time.Second
	// DefaultMovePause is that of keys that are revoked and granted by heartbeats: a
	// part of an interval for each.
	DefaultMovePause    = 700 * time.Millisecond
	DefaultTransferCost = 50 * time.Millisecond
	// DefaultHotHorizon is below the few seconds that hot keys were seen to last, so
	// that moves whose effect would come too late are not made.
	DefaultHotHorizon  = 4 * time.Second
	DefaultLoadHorizon = 30 * time.Second
	DefaultMinStay     = 5 * time.Second
)

// Config sets the limits of a planner. Zero values mean the defaults.
type Config struct {
	// MovesInFlight is the maximum number of planned moves in flight.
	MovesInFlight int
	// MovesPerServer is the maximum number of planned moves in flight from and to
	// one server.
	MovesPerServer int
	// ChurnPerMinute is the share of the partitions, 0 to 1, that may be moved
	// within any minute to rebalance load. Moves to servers that return to use
	// count as well unless ReturnPerMinute is set.
	ChurnPerMinute float64
	// ReturnPerMinute is the share of the partitions, 0 to 1, that may be moved
	// within any minute to servers that return to use. 0 means that these moves
	// count against ChurnPerMinute.
	ReturnPerMinute float64
	// BudgetWindow is the interval over which both budgets are enforced, 1 minute
	// by default. The limit in one window is the share per minute times the length
	// of the window in minutes. A shorter window keeps part of the budget for
	// events later in the minute, and pauses fewer keys at a time.
	BudgetWindow time.Duration
	// RebalanceStartRatio and RebalanceStopRatio are the ratios of the highest to
	// the mean utilization at which rebalancing starts and stops. Their inverses
	// apply to the ratio of the lowest to the mean.
	RebalanceStartRatio, RebalanceStopRatio float64
	// ColdRatePerWeight is the rate in requests/s, for each unit of weight, that a
	// cold server sustains.
	ColdRatePerWeight float64
	// BaseLoad is added to the load of each partition, in requests/s.
	BaseLoad float64
	// WarmUpTimeout is how long partitions stay at a leaving server if the only
	// other servers are cold and do not sustain them. Server.WarmUpTimeout takes
	// precedence.
	WarmUpTimeout time.Duration
	// MovePause is for how long a planned move pauses the keys of a partition.
	MovePause time.Duration
	// TransferCost is the waiting time that a change of owner costs callers besides
	// the pause, for one partition: its state is handed over and the new owner has
	// served none of its keys.
	TransferCost time.Duration
	// HotHorizon is the shortest time that a hot partition is expected to stay hot,
	// LoadHorizon the time for which other load is expected to stay where it is.
	HotHorizon, LoadHorizon time.Duration
	// MinStay is how long a partition stays where a move for even load has brought
	// it.
	MinStay time.Duration
}

// WithDefaults returns the configuration with the defaults in place of zeros.
func (c Config) WithDefaults() Config {
	return Config{
		MovesInFlight:  cmp.Or(c.MovesInFlight, DefaultMovesInFlight),
		MovesPerServer: cmp.Or(c.MovesPerServer, DefaultMovesPerServer),
		ChurnPerMinute: cmp.Or(c.ChurnPerMinute, DefaultChurnPerMinute), ReturnPerMinute: c.ReturnPerMinute,
		BudgetWindow:        cmp.Or(c.BudgetWindow, time.Minute),
		RebalanceStartRatio: cmp.Or(c.RebalanceStartRatio, DefaultRebalanceStartRatio),
		RebalanceStopRatio:  cmp.Or(c.RebalanceStopRatio, DefaultRebalanceStopRatio),
		ColdRatePerWeight:   cmp.Or(c.ColdRatePerWeight, DefaultColdRatePerWeight),
		BaseLoad:            cmp.Or(c.BaseLoad, DefaultBaseLoad),
		WarmUpTimeout:       cmp.Or(c.WarmUpTimeout, DefaultWarmUpTimeout),
		MovePause:           cmp.Or(c.MovePause, DefaultMovePause),
		TransferCost:        cmp.Or(c.TransferCost, DefaultTransferCost),
		HotHorizon:          cmp.Or(c.HotHorizon, DefaultHotHorizon),
		LoadHorizon:         cmp.Or(c.LoadHorizon, DefaultLoadHorizon),
		MinStay:             cmp.Or(c.MinStay, DefaultMinStay),
	}
}
