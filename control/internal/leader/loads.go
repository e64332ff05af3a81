package leader

import (
	"math"
	"time"

	"github.com/jujubeknot/jujubeknot/core/cluster"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

const (
	// defaultLoadWindow is the default time constant of load averages. Renewals
	// arrive every 400 ms, and one partition has too few requests in that time to
	// estimate its load.
	defaultLoadWindow = 10 * time.Second
	// reportMaxAge is the age from which a report is ignored, because its node no
	// longer renews.
	reportMaxAge = 3 * time.Second
)

// loadAverages has the smoothed request rate of each partition of one upstream,
// in requests per second.
type loadAverages struct {
	updatedAt   time.Time
	firstUpdate time.Time
	rates       []float64
	// window is the time constant.
	window time.Duration
	// baseline is added to the average of each partition: an equal part of the
	// requests that the averages do not include yet. Without it, a partition that
	// has had no request appears to cost nothing right after traffic starts, and
	// one server got 734 of 1,396 partitions of a zone that was taken out.
	baseline float64
}

// established reports whether loads have been observed for at least the time
// constant, which is long enough to move partitions by them.
func (o *loadAverages) established(now time.Time) bool {
	return !o.firstUpdate.IsZero() && now.Sub(o.firstUpdate) >= o.window
}

func (o *loadAverages) rate(partition uint32) float64 {
	if int(partition) < len(o.rates) {
		return o.rates[partition] + o.baseline
	}
	return o.baseline
}

// update adds the latest reports to the averages. Nodes report a total and
// their heaviest partitions. The rest of the total is divided equally among
// their other partitions.
func (o *loadAverages) update(now time.Time, state *cluster.State, upstream string, partitions uint32, reports map[uint64]*report) {
	if len(o.rates) != int(partitions) {
		*o = loadAverages{rates: make([]float64, partitions), window: o.window}
	}
	weight := 1.0
	if o.firstUpdate.IsZero() {
		o.firstUpdate = now
	} else {
		weight = 1 - math.Exp(-now.Sub(o.updatedAt).Seconds()/o.window.Seconds())
	}
	o.updatedAt = now
	owners := map[uint64]*ownerReport{}
	for a := range state.Assignments(upstream) {
		if owner := owners[a.GetOwner()]; owner != nil {
			owner.partitions++
		} else {
			owners[a.GetOwner()] = &ownerReport{partitions: 1}
		}
	}
	for incarnation, owner := range owners {
		if r := reports[incarnation]; r != nil && now.Sub(r.receivedAt) <= reportMaxAge {
			owner.apply(state, upstream, incarnation, r.request)
		}
	}
	total, averaged := 0.0, 0.0
	for _, owner := range owners {
		total += owner.total
	}
	for a := range state.Assignments(upstream) {
		owner := owners[a.GetOwner()]
		if !owner.reported || int(a.GetPartition()) >= len(o.rates) {
			continue
		}
		rate, found := owner.heaviest[a.GetPartition()]
		if !found {
			rate = owner.otherRate
		}
		o.rates[a.GetPartition()] += weight * (rate - o.rates[a.GetPartition()])
		averaged += o.rates[a.GetPartition()]
	}
	o.baseline = max(0, total-averaged) / float64(max(1, partitions))
}

// ownerReport is the load that one owner reported for an upstream.
type ownerReport struct {
	partitions int
	reported   bool
	heaviest   map[uint32]float64
	// otherRate is the rate of each partition that is not among the heaviest.
	otherRate float64
	// total is the rate of all partitions of the owner.
	total float64
}

func (o *ownerReport) apply(state *cluster.State, upstream string, incarnation uint64, r *wirev1.RenewRequest) {
	o.reported = true
	o.heaviest = make(map[uint32]float64, len(r.GetHeaviest()))
	o.total = float64(r.GetRequestsPerSecond())
	remaining := o.total
	for _, p := range r.GetHeaviest() {
		// The report may be older than the latest move of the partition.
		if p.GetUpstream() == upstream && state.Assignment(upstream, p.GetPartition()).GetOwner() == incarnation {
			o.heaviest[p.GetPartition()] = max(0, float64(p.GetRequestsPerSecond()))
			remaining -= float64(p.GetRequestsPerSecond())
		}
	}
	if others := o.partitions - len(o.heaviest); others > 0 && remaining > 0 {
		o.otherRate = remaining / float64(others)
	}
}
