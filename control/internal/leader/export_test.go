package leader

import (
	"time"

	"github.com/jujubeknot/jujubeknot/core/cluster"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// Pause exposes pause for a leader with the given share of a core.
func Pause(processor float64, streams, records int) time.Duration {
	return New(Config{ProcessorShare: processor}).pause(streams, records)
}

// Averages exposes the load averages of an upstream.
type Averages struct{ loads loadAverages }

// NewAverages returns Averages with the given time constant.
func NewAverages(window time.Duration) *Averages { return &Averages{loadAverages{window: window}} }

// Update adds the given renewals to the averages, as received at now.
func (a *Averages) Update(now time.Time, state *cluster.State, upstream string, partitions uint32, renewals map[uint64]*wirev1.RenewRequest) {
	reports := map[uint64]*report{}
	for incarnation, r := range renewals {
		reports[incarnation] = &report{receivedAt: now, request: r}
	}
	a.loads.update(now, state, upstream, partitions, reports)
}

// Rate returns the averaged rate of a partition in requests per second.
func (a *Averages) Rate(partition uint32) float64 { return a.loads.rate(partition) }
