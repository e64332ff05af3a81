package leader

import (
	"math"
	"time"

	"github.com/jujubeknot/jujubeknot/core/cluster"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

const (
	// defaultLoadWindow is the default time constant of load averages. Renewals
	// arrive every 400 ms, and one partition has too few requests between two
	// renewals to estimate its load.
	defaultLoadWindow = 10 * time.Second
	// reportMaxAge is the age above which a report is ignored, because the node
	// that sent it no longer renews its lease.
	reportMaxAge = 3 * time.Second
)

// loadAverages has the smoothed request rate of each partition of one upstream,
// in requests per second.
type loadAverages struct {
	updatedAt   time.Time
	firstUpdate time.Time
	rates       []float64
	// window is the time constant of the averages: after a change of the rate, an
	// average covers 63% of the change within this time.
	window time.Duration
	// baseline is added to the average of each partition, in requests per second.
	// It is an equal part of the reported requests that the averages do not
	// include yet. Without the baseline, a partition that has had no request has a
	// load of 0 right after traffic starts, so that any number of such partitions
	// may be moved to one server. When a zone was taken out at that time, one
	// server got 734 of the zone's 1,396 partitions.
	baseline float64
}

// established reports whether loads have been averaged for at least the time
// constant, which is long enough to base moves of partitions on the averages.
func (o *loadAverages) established(now time.Time) bool {
	return !o.firstUpdate.IsZero() && now.Sub(o.firstUpdate) >= o.window
}

// begin records the first update, and reports whether it is this one.
func (o *loadAverages) begin(now time.Time) bool {
	first := o.firstUpdate.IsZero()
	if first {
		o.firstUpdate = now
	}
	return first
}

// rate returns the averaged rate of a partition in requests per second.
func (o *loadAverages) rate(partition uint32) float64 {
	if int(partition) < len(o.rates) {
		return o.rates[partition] + o.baseline
	}
	return o.baseline
}

// update updates the averages with the latest report of each owner. A report
// has the node's total rate and the rates of its heaviest partitions. The rest
// of the total is divided equally among the other partitions of the node. The
// partitions of an owner without a recent report keep their averages.
func (o *loadAverages) update(now time.Time, state *cluster.State, upstream string, partitions uint32, reports map[uint64]*report) {
	if len(o.rates) != int(partitions) {
		*o = loadAverages{rates: make([]float64, partitions), window: o.window}
	}
	weight := 1.0
	if !o.begin(now) {
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

// ownerReport is the load that one owner reported. Rates are in requests per
// second.
type ownerReport struct {
	// partitions is the number of partitions of the upstream that the owner has.
	partitions int
	// reported is whether there is a recent report. Without one, the rates are 0.
	reported bool
	// heaviest has the rates of the reported partitions by partition number,
	// without those that the owner no longer has.
	heaviest map[uint32]float64
	// otherRate is the rate of each partition that is not in heaviest.
	otherRate float64
	// total is the rate of all requests that the node ran. They belong to one
	// upstream, because a node has one backend server.
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
