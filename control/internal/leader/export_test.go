package leader

import (
	"time"

	"github.com/jujubeknot/jujubeknot/core/cluster"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// Pause is for tests of what a leader with a share of a core does.
func Pause(processor float64, streams, records int) time.Duration {
	return New(Config{ProcessorShare: processor}).pause(streams, records)
}

// Averages gives tests the load averages of an upstream.
type Averages struct{ loads loads }

// NewAverages returns averages with a time constant.
func NewAverages(window time.Duration) *Averages { return &Averages{loads{window: window}} }

// Fold brings in what nodes report.
func (a *Averages) Fold(now time.Time, state *cluster.State, upstream string, partitions uint32, renewals map[uint64]*wirev1.RenewRequest) {
	reports := map[uint64]*report{}
	for incarnation, r := range renewals {
		reports[incarnation] = &report{at: now, request: r}
	}
	a.loads.fold(now, state, upstream, partitions, reports)
}

// Rate returns the rate of a partition.
func (a *Averages) Rate(partition uint32) float64 { return a.loads.rate(partition) }
