package placement

import (
	"slices"
)

const (
	// returnedUtilizationRatio is the ratio to the mean utilization below which a
	// server counts as returned to use rather than as unevenly loaded.
	returnedUtilizationRatio = 0.5
	// busyCapacityRatio is the share of the capacity above which load is
	// rebalanced. At this share about one in six requests to a server with 6 slots
	// is queued. Below this share, a move pauses the moved keys for longer than it
	// saves.
	busyCapacityRatio = 0.6
	// hotPartitionRatio is the ratio to the mean cost of a server's partitions
	// above which the heaviest of them is hot and is not moved.
	hotPartitionRatio = 2
)

// rebalancer plans moves that even out the load of warm servers.
type rebalancer struct {
	*planTask
	// mean is the mean utilization of the warm servers, without hot partitions: one
	// of these can be more than all else, and makes no other server one that has
	// returned.
	mean float64
	// exhausted marks servers that have no further partition to move.
	exhausted map[int]bool
}

// rebalance moves partitions from the servers with the highest to those with
// the lowest utilization. Hysteresis decides when that starts and stops.
func (t *planTask) rebalance() {
	b := &rebalancer{planTask: t, exhausted: map[int]bool{}}
	cost, weight := 0.0, 0.0
	for _, server := range t.pool.warm {
		cost += t.pool.servers[server].cost - t.pool.servers[server].hotCost
		weight += t.pool.servers[server].Weight
	}
	if len(t.pool.warm) < 2 || cost <= 0 {
		t.planner.balancing = false
		return
	}
	b.mean = cost / weight
	if high, low := b.utilizationRatios(); low < returnedUtilizationRatio || b.busy() && (high > t.config.RebalanceStartRatio || low < 1/t.config.RebalanceStartRatio) {
		t.planner.balancing = true
	}
	for t.planner.balancing {
		if b.withinStopRatio(b.utilizationRatios()) {
			t.planner.balancing = false
		} else if !b.planMove() {
			return
		}
	}
}

// warmUp moves as much load as cold servers sustain from warm servers to them,
// within the churn budget. Only completed requests end cold start. Without
// these moves, servers stayed cold as long as one warm server was left, and
// that warm server got all partitions.
func (t *planTask) warmUp() {
	b := &rebalancer{planTask: t}
	for _, to := range t.pool.cold {
		for !t.pool.atMoveLimit(to) {
			from := b.mostUtilized()
			if from < 0 {
				return
			}
			i := b.pickForCold(from, to)
			if i < 0 || !t.churn(ReasonReturn) {
				break
			}
			t.move(i, to, ReasonReturn, true)
		}
	}
}

// mostUtilized returns the warm server with the highest utilization that is
// below its move limit, -1 if there is none.
func (b *rebalancer) mostUtilized() int {
	from := -1
	for _, server := range b.pool.warm {
		if !b.pool.atMoveLimit(server) && (from < 0 || b.pool.servers[server].utilization() > b.pool.servers[from].utilization()) {
			from = server
		}
	}
	return from
}

// pickForCold returns the heaviest partition of the source server that a cold
// server sustains. The move must leave the cold server no higher in utilization
// than the source. If the cold server sustains none and has no partitions, the
// result is the lightest partition that has load. It is -1 if there is none.
func (b *rebalancer) pickForCold(from, to int) int {
	f, t := &b.pool.servers[from], &b.pool.servers[to]
	lightest := -1
	for _, i := range b.ownedBy(from) {
		part := &b.partitions[i]
		cost := b.cost(part)
		if part.Load <= 0 || !b.movable(i, from) || !b.pool.rangeCounts.fits(part.Number, to, rebalanceRangeLimit) || f.utilization()-cost/f.Weight < t.utilization()+cost/t.Weight {
			continue
		}
		if t.rate+part.Load <= b.config.ColdRatePerWeight*t.Weight {
			return i
		}
		lightest = i
	}
	if lightest >= 0 && b.pool.sustains(to, b.partitions[lightest].Load) {
		return lightest
	}
	return -1
}

// withinStopRatio reports whether utilizations, as ratios to the mean, are even
// enough to stop rebalancing.
func (b *rebalancer) withinStopRatio(high, low float64) bool {
	return high < b.config.RebalanceStopRatio && low > 1/b.config.RebalanceStopRatio
}

// busy reports whether any warm server is loaded so much that rebalancing pays
// off. Servers of unknown capacity count as busy.
func (b *rebalancer) busy() bool {
	return slices.ContainsFunc(b.pool.warm, func(server int) bool {
		e := &b.pool.servers[server]
		return e.Capacity <= 0 || e.peak > busyCapacityRatio*e.Capacity
	})
}

// utilizationRatios returns the highest and the lowest utilization of the warm
// servers as ratios to the mean.
func (b *rebalancer) utilizationRatios() (high, low float64) {
	high, low = 0, 1
	for i, server := range b.pool.warm {
		u := b.pool.servers[server].utilization() / b.mean
		if i == 0 {
			high, low = u, u
		}
		high, low = max(high, u), min(low, u)
	}
	return high, low
}

// planMove plans the next move, or that of a whole range, and reports whether
// to go on.
func (b *rebalancer) planMove() bool {
	from, to := -1, -1
	for _, server := range b.pool.warm {
		e := &b.pool.servers[server]
		if b.pool.atMoveLimit(server) {
			continue
		}
		if !b.exhausted[server] && (from < 0 || e.utilization() > b.pool.servers[from].utilization()) {
			from = server
		}
		if to < 0 || e.utilization() < b.pool.servers[to].utilization() {
			to = server
		}
	}
	if from < 0 || to < 0 || from == to {
		return false
	}
	high := b.pool.servers[from].utilization() / b.mean
	low := b.pool.servers[to].utilization() / b.mean
	if b.withinStopRatio(high, low) {
		return false
	}
	reason := b.reason(to, low)
	if reason == ReasonRebalance && !b.busy() {
		return false
	}
	var adjacent []int
	if reason == ReasonReturn {
		adjacent = b.pickRange(from, to)
	}
	if len(adjacent) > 0 {
		for _, i := range adjacent {
			if !b.churn(reason) {
				return false
			}
			b.move(i, to, reason, true)
		}
		return true
	}
	i := b.pickPartition(from, to, reason)
	if i < 0 {
		b.exhausted[from] = true
		return len(b.exhausted) < len(b.pool.warm)
	}
	if !b.churn(reason) {
		return false
	}
	b.move(i, to, reason, true)
	if reason == ReasonRebalance {
		b.planner.movedAt[b.partitions[i].Number] = b.now
	}
	return true
}

// reason returns the reason for moves to a server. ratio is the server's
// utilization as a ratio to the mean. A server that has returned to use counts
// as returning until it has its share.
func (b *rebalancer) reason(to int, ratio float64) Reason {
	incarnation := b.pool.servers[to].Incarnation
	switch {
	case ratio < returnedUtilizationRatio:
		b.planner.returning[incarnation] = true
	case ratio > 1/b.config.RebalanceStopRatio:
		delete(b.planner.returning, incarnation)
	}
	if b.planner.returning[incarnation] {
		return ReasonReturn
	}
	return ReasonRebalance
}

// pickRange returns the heaviest range of adjacent partitions of a server whose
// move leaves the target no higher in utilization than the source. It returns
// nothing if there is none or the policy does not count ranges. The length of a
// range is limited to that of the initial assignment.
func (b *rebalancer) pickRange(from, to int) []int {
	if b.pool.rangeCounts == nil || b.pool.rangeCounts.counts[to] >= rebalanceRangeLimit {
		return nil
	}
	f, t := &b.pool.servers[from], &b.pool.servers[to]
	maxCost := (f.utilization() - t.utilization()) / (1/f.Weight + 1/t.Weight)
	var best []int
	heaviest, longest := 0.0, b.pool.maxRangeLength()
	for i := 0; i < len(b.partitions); {
		first, cost := i, 0.0
		for ; i < len(b.partitions) && i-first < longest && b.movable(i, from); i++ {
			cost += b.cost(&b.partitions[i])
		}
		if cost > heaviest && cost <= maxCost && b.canSplitRanges(first, i, from) {
			best, heaviest = indexRange(first, i), cost
		}
		if i == first {
			i++
		}
	}
	return best
}

// canSplitRanges reports whether a server stays within the limit of ranges when
// it gives away the partitions from first up to, but not including, last.
func (b *rebalancer) canSplitRanges(first, last, from int) bool {
	r := b.pool.rangeCounts
	return r.owner(first-1) != from || r.owner(last) != from || r.counts[from] < rebalanceRangeLimit
}

// indexRange returns the integers from first up to, but not including, last.
func indexRange(first, last int) []int {
	list := make([]int, 0, last-first)
	for i := first; i < last; i++ {
		list = append(list, i)
	}
	return list
}

// pickPartition returns the heaviest partition of a server whose move leaves
// the target no higher in utilization than the source, -1 if there is none. The
// heaviest of all is skipped if it is hot: moving it would interrupt the
// busiest keys and only shift the excess load to another server. The server's
// other partitions are moved away instead.
func (b *rebalancer) pickPartition(from, to int, reason Reason) int {
	f, t := &b.pool.servers[from], &b.pool.servers[to]
	maxCost := (f.utilization() - t.utilization()) / (1/f.Weight + 1/t.Weight)
	owned := b.ownedBy(from)
	for n, i := range owned {
		part := &b.partitions[i]
		cost := b.cost(part)
		if n == 0 && cost > hotPartitionRatio*f.cost/float64(max(1, f.partitions)) {
			continue
		}
		if reason == ReasonRebalance && (!part.HotSince.IsZero() || b.planner.movedLately(part.Number, b.now)) {
			continue
		}
		if reason == ReasonRebalance && !b.worthwhile(i, from, to) {
			// No lighter partition saves enough either.
			return -1
		}
		if cost <= maxCost && b.canMove(i) && part.PinnedTo != part.Owner && b.pool.rangeCounts.fits(part.Number, to, rebalanceRangeLimit) {
			return i
		}
	}
	return -1
}
