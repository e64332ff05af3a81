package leader

import (
	"math"
	"time"

	"github.com/jujubeknot/jujubeknot/core/cluster"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

const (
	// smoothing is the usual time constant of load averages: renewals come every
	// 400 ms, too few requests of one partition to judge it by.
	smoothing = 10 * time.Second
	// reportMaxAge drops reports of nodes that no longer renew.
	reportMaxAge = 3 * time.Second
)

// loads has the smoothed rate of each partition of one upstream.
type loads struct {
	at    time.Time
	since time.Time
	rates []float64
	// window is the time constant.
	window time.Duration
	// rest is what each partition is taken to get beyond its average: an equal
	// part of the requests that the averages do not show yet. Right after
	// traffic begins, a partition without a request looks as if it cost nothing,
	// and one server got 734 of 1,396 partitions of a zone that was taken out.
	rest float64
}

// known reports whether loads have been observed for long enough to move
// partitions by them.
func (o *loads) known(now time.Time) bool {
	return !o.since.IsZero() && now.Sub(o.since) >= o.window
}

func (o *loads) rate(partition uint32) float64 {
	if int(partition) < len(o.rates) {
		return o.rates[partition] + o.rest
	}
	return o.rest
}

// fold brings in the latest reports. Nodes report a total and their heaviest
// partitions; the rest of the total is spread over their other partitions.
func (o *loads) fold(now time.Time, state *cluster.State, upstream string, partitions uint32, reports map[uint64]*report) {
	if len(o.rates) != int(partitions) {
		*o = loads{rates: make([]float64, partitions), window: o.window}
	}
	weight := 1.0
	if o.since.IsZero() {
		o.since = now
	} else {
		weight = 1 - math.Exp(-now.Sub(o.at).Seconds()/o.window.Seconds())
	}
	o.at = now
	owners := map[uint64]*observed{}
	for a := range state.Assignments(upstream) {
		if owner := owners[a.GetOwner()]; owner != nil {
			owner.partitions++
		} else {
			owners[a.GetOwner()] = &observed{partitions: 1}
		}
	}
	for incarnation, owner := range owners {
		if r := reports[incarnation]; r != nil && now.Sub(r.at) <= reportMaxAge {
			owner.read(state, upstream, incarnation, r.request)
		}
	}
	total, shown := 0.0, 0.0
	for _, owner := range owners {
		total += owner.total
	}
	for a := range state.Assignments(upstream) {
		owner := owners[a.GetOwner()]
		if !owner.fresh || int(a.GetPartition()) >= len(o.rates) {
			continue
		}
		rate, heavy := owner.heaviest[a.GetPartition()]
		if !heavy {
			rate = owner.rest
		}
		o.rates[a.GetPartition()] += weight * (rate - o.rates[a.GetPartition()])
		shown += o.rates[a.GetPartition()]
	}
	o.rest = max(0, total-shown) / float64(max(1, partitions))
}

// observed is what one owner reported of an upstream.
type observed struct {
	partitions int
	fresh      bool
	heaviest   map[uint32]float64
	// rest is the rate of each partition that is not among the heaviest.
	rest float64
	// total is the rate of all of them.
	total float64
}

func (o *observed) read(state *cluster.State, upstream string, incarnation uint64, r *wirev1.RenewRequest) {
	o.fresh = true
	o.heaviest = make(map[uint32]float64, len(r.GetHeaviest()))
	o.total = float64(r.GetRequestsPerSecond())
	left := o.total
	for _, p := range r.GetHeaviest() {
		// A report may be older than a move of the partition.
		if p.GetUpstream() == upstream && state.Assignment(upstream, p.GetPartition()).GetOwner() == incarnation {
			o.heaviest[p.GetPartition()] = max(0, float64(p.GetRequestsPerSecond()))
			left -= float64(p.GetRequestsPerSecond())
		}
	}
	if others := o.partitions - len(o.heaviest); others > 0 && left > 0 {
		o.rest = left / float64(others)
	}
}
