package leader

import (
	"maps"
	"time"

	"github.com/jujubeknot/jujubeknot/core/cluster"
	"github.com/jujubeknot/jujubeknot/core/placement"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// rateEstimates has the estimated rates of the partitions of one upstream. It
// needs each report once, and is used where the servers' capacity is measured.
type rateEstimates struct {
	estimator *placement.RateEstimator
	// pending has the reports since the last update by incarnation.
	pending map[uint64]*placement.OwnerRates
}

// record adds a renewal to the pending reports, and returns the partitions that it
// shows to have become hot.
func (r *rateEstimates) record(state *cluster.State, upstream string, request *wirev1.RenewRequest, elapsed time.Duration) []*wirev1.PartitionLoad {
	report := &placement.OwnerRates{
		Owner: request.GetIncarnation(), Elapsed: elapsed, Total: max(0, float64(request.GetRequestsPerSecond())),
		Partitions: make(map[uint32]float64, len(request.GetHeaviest())),
	}
	var hot []*wirev1.PartitionLoad
	for _, p := range request.GetHeaviest() {
		// The report may be older than the latest move of the partition.
		if p.GetUpstream() == upstream && state.Assignment(upstream, p.GetPartition()).GetOwner() == report.Owner {
			rate := max(0, float64(p.GetRequestsPerSecond()))
			report.Partitions[p.GetPartition()] = rate
			if r.estimator.BecomesHot(p.GetPartition(), rate, elapsed) {
				hot = append(hot, p)
			}
		}
	}
	if earlier := r.pending[report.Owner]; earlier != nil {
		report.Add(earlier)
	}
	r.pending[report.Owner] = report
	return hot
}

// update passes the pending reports on.
func (r *rateEstimates) update(now time.Time, state *cluster.State, upstream string) {
	owners := make([]uint64, r.estimator.Partitions())
	for a := range state.Assignments(upstream) {
		if int(a.GetPartition()) < len(owners) {
			owners[a.GetPartition()] = a.GetOwner()
		}
	}
	reports := make([]placement.OwnerRates, 0, len(r.pending))
	for _, report := range r.pending {
		reports = append(reports, *report)
	}
	clear(r.pending)
	r.estimator.Update(now, owners, reports)
}

// estimatesOf returns the estimates of an upstream, nil if rates are averaged
// instead.
func (l *Leader) estimatesOf(upstream string, partitions uint32) *rateEstimates {
	if !l.config.WeightBySpeed || partitions == 0 {
		return nil
	}
	r := l.estimates[upstream]
	if r == nil || r.estimator.Partitions() != partitions {
		r = &rateEstimates{estimator: placement.NewRateEstimator(partitions), pending: map[uint64]*placement.OwnerRates{}}
		l.estimates[upstream] = r
	}
	return r
}

// observeRates records the rates that a renewal reports. A partition that has
// become hot makes a plan due at once.
func (l *Leader) observeRates(state *cluster.State, node *wirev1.Node, last *report, request *wirev1.RenewRequest, now time.Time) {
	u, found := l.rules.set.Upstream(node.GetBackendServer().GetUpstream())
	if !found || !u.Keyed || last == nil || !now.After(last.receivedAt) {
		return
	}
	r := l.estimatesOf(u.Name, u.Partitions)
	if r == nil {
		return
	}
	for _, p := range r.record(state, u.Name, request, now.Sub(last.receivedAt)) {
		l.config.Logger.Info().Str("upstream", u.Name).Uint32("partition", p.GetPartition()).Uint64("owner", request.GetIncarnation()).
			Float32("requestsPerSecond", p.GetRequestsPerSecond()).Msg("partition hot")
		l.planDue, l.lastIntervalPlan = true, time.Time{}
		l.wake()
	}
}

// PlacementCounts counts what this member has decided about placement since it
// started.
type PlacementCounts struct {
	// Moves has the planned moves by reason.
	Moves map[placement.Reason]int64 `json:"moves"`
	// GainMs is the time that these moves were expected to spare callers, less their
	// price.
	GainMs int64 `json:"gainMs"`
	// HotPartitions is the number of partitions that are hot at present.
	HotPartitions int `json:"hotPartitions"`
}

// PlacementCounts returns the counts of this member. It is safe for concurrent use.
func (l *Leader) PlacementCounts() PlacementCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := PlacementCounts{Moves: maps.Clone(l.moveCounts), GainMs: l.moveGain.Milliseconds()}
	for _, r := range l.estimates {
		c.HotPartitions += r.estimator.HotPartitions()
	}
	return c
}
