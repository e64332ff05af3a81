package placement

import (
	"cmp"
	"slices"
)

const (
	// returnBelow is the ratio to the mean utilization under which a server
	// counts as returned to use rather than as unevenly loaded.
	returnBelow = 0.5
	// busyAbove is the share of the capacity above which load is evened out. A
	// server with 6 slots lets about one in six requests wait there; below it, a
	// move pauses its keys for longer than it saves.
	busyAbove = 0.6
	// hotAbove is the ratio to the mean cost of a partition above which the
	// heaviest partition of a server stays where it is.
	hotAbove = 2
)

// balance is the work of evening out load between warm servers.
type balance struct {
	*task
	mean float64
	// owned has the partitions of each server, the heaviest first, filled
	// when a server is first looked at.
	owned map[int][]int
	// spent marks servers that have nothing left to give.
	spent map[int]bool
}

// balance moves partitions from the highest to the lowest utilized servers
// while the planner is evening out load.
func (t *task) balance() {
	b := &balance{task: t, spent: map[int]bool{}}
	cost, weight := 0.0, 0.0
	for _, at := range t.pool.warm {
		cost += t.pool.entries[at].cost
		weight += t.pool.entries[at].Weight
	}
	if len(t.pool.warm) < 2 || cost <= 0 {
		t.planner.balancing = false
		return
	}
	b.mean = cost / weight
	if high, low := b.spread(); low < returnBelow || b.busy() && (high > t.config.RebalanceStartRatio || low < 1/t.config.RebalanceStartRatio) {
		t.planner.balancing = true
	}
	for t.planner.balancing {
		if b.even(b.spread()) {
			t.planner.balancing = false
		} else if !b.step() {
			return
		}
	}
}

// warmUp gives cold servers what they sustain of the load of the warm ones,
// within the churn budget. Cold start ends with finished work only: without
// this, servers stayed cold for as long as one warm server was left, and that
// one got all partitions.
func (t *task) warmUp() {
	b := &balance{task: t}
	for _, to := range t.pool.cold {
		for !t.pool.full(to) {
			from := b.busiest()
			if from < 0 {
				return
			}
			i := b.pickCold(from, to)
			if i < 0 || !t.churn(ReasonReturn) {
				break
			}
			t.move(i, to, ReasonReturn, true)
		}
	}
}

// busiest returns the warm server with the highest utilization that takes part
// in further moves, -1 if there is none.
func (b *balance) busiest() int {
	from := -1
	for _, at := range b.pool.warm {
		if !b.pool.full(at) && (from < 0 || b.pool.entries[at].utilization() > b.pool.entries[from].utilization()) {
			from = at
		}
	}
	return from
}

// pickCold returns the heaviest partition of a server that a cold server
// sustains and that leaves it below the first, -1 if there is none. A cold
// server without partitions gets the lightest that has load if none fits.
func (b *balance) pickCold(from, to int) int {
	f, t := &b.pool.entries[from], &b.pool.entries[to]
	lightest := -1
	for _, i := range b.ownedBy(from) {
		part := &b.partitions[i]
		cost := b.cost(part)
		if part.Load <= 0 || !b.givable(i, from) || !b.pool.rows.fits(part.Number, to, evenRows) || f.utilization()-cost/f.Weight < t.utilization()+cost/t.Weight {
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

// even reports whether utilizations are close enough to stop.
func (b *balance) even(high, low float64) bool {
	return high < b.config.RebalanceStopRatio && low > 1/b.config.RebalanceStopRatio
}

// busy reports whether a warm server has so much load that evening out helps.
func (b *balance) busy() bool {
	return slices.ContainsFunc(b.pool.warm, func(at int) bool {
		e := &b.pool.entries[at]
		return e.Capacity <= 0 || e.rate > busyAbove*e.Capacity
	})
}

// spread returns the highest and lowest utilization of warm servers in
// relation to the mean.
func (b *balance) spread() (high, low float64) {
	high, low = 0, 1
	for i, at := range b.pool.warm {
		u := b.pool.entries[at].utilization() / b.mean
		if i == 0 {
			high, low = u, u
		}
		high, low = max(high, u), min(low, u)
	}
	return high, low
}

// step plans one move and reports whether it found one.
func (b *balance) step() bool {
	from, to := -1, -1
	for _, at := range b.pool.warm {
		e := &b.pool.entries[at]
		if b.pool.full(at) {
			continue
		}
		if !b.spent[at] && (from < 0 || e.utilization() > b.pool.entries[from].utilization()) {
			from = at
		}
		if to < 0 || e.utilization() < b.pool.entries[to].utilization() {
			to = at
		}
	}
	if from < 0 || to < 0 || from == to {
		return false
	}
	high := b.pool.entries[from].utilization() / b.mean
	low := b.pool.entries[to].utilization() / b.mean
	if b.even(high, low) {
		return false
	}
	reason := b.reason(to, low)
	if reason == ReasonRebalance && !b.busy() {
		return false
	}
	var run []int
	if reason == ReasonReturn {
		run = b.pickRun(from, to)
	}
	if len(run) > 0 {
		for _, i := range run {
			if !b.churn(reason) {
				return false
			}
			b.move(i, to, reason, true)
		}
		return true
	}
	i := b.pick(from, to)
	if i < 0 {
		b.spent[from] = true
		return len(b.spent) < len(b.pool.warm)
	}
	if !b.churn(reason) {
		return false
	}
	b.move(i, to, reason, true)
	return true
}

// reason returns why a server with a ratio to the mean utilization gets
// partitions. A server that returns to use counts as such until it has its share.
func (b *balance) reason(to int, ratio float64) Reason {
	incarnation := b.pool.entries[to].Incarnation
	switch {
	case ratio < returnBelow:
		b.planner.returning[incarnation] = true
	case ratio > 1/b.config.RebalanceStopRatio:
		delete(b.planner.returning, incarnation)
	}
	if b.planner.returning[incarnation] {
		return ReasonReturn
	}
	return ReasonRebalance
}

// pickRun returns the heaviest range of a server whose move leaves the target no
// higher than the source, nothing if there is none or ranges do not matter.
// Longer ranges are cut to the length that servers get at first.
func (b *balance) pickRun(from, to int) []int {
	if b.pool.rows == nil || b.pool.rows.counts[to] >= evenRows {
		return nil
	}
	f, t := &b.pool.entries[from], &b.pool.entries[to]
	most := (f.utilization() - t.utilization()) / (1/f.Weight + 1/t.Weight)
	var best []int
	heaviest, longest := 0.0, b.pool.runLength()
	for i := 0; i < len(b.partitions); {
		first, cost := i, 0.0
		for ; i < len(b.partitions) && i-first < longest && b.givable(i, from); i++ {
			cost += b.cost(&b.partitions[i])
		}
		if cost > heaviest && cost <= most && b.divides(first, i, from) {
			best, heaviest = indexes(first, i), cost
		}
		if i == first {
			i++
		}
	}
	return best
}

// divides reports whether a server has room for what is left of its ranges
// without the partitions from first up to last.
func (b *balance) divides(first, last, from int) bool {
	r := b.pool.rows
	return r.owner(first-1) != from || r.owner(last) != from || r.counts[from] < evenRows
}

// givable reports whether a server may give a partition to another.
func (b *balance) givable(i, from int) bool {
	part := &b.partitions[i]
	return b.owners[i] == from && b.free(i) && (part.PinnedTo == 0 || part.PinnedTo != part.Owner)
}

// indexes returns the numbers from first up to last, without last.
func indexes(first, last int) []int {
	list := make([]int, 0, last-first)
	for i := first; i < last; i++ {
		list = append(list, i)
	}
	return list
}

// pick returns the heaviest partition of a server whose move leaves the
// target no higher than the source, -1 if there is none. The heaviest of all
// stays if it is hot: moving it would interrupt the busiest keys and only
// carry the excess elsewhere, so the others move away from it.
func (b *balance) pick(from, to int) int {
	f, t := &b.pool.entries[from], &b.pool.entries[to]
	most := (f.utilization() - t.utilization()) / (1/f.Weight + 1/t.Weight)
	owned := b.ownedBy(from)
	for n, i := range owned {
		part := &b.partitions[i]
		cost := b.cost(part)
		if n == 0 && cost > hotAbove*f.cost/float64(max(1, f.partitions)) {
			continue
		}
		if cost <= most && b.free(i) && part.PinnedTo != part.Owner && b.pool.rows.fits(part.Number, to, evenRows) {
			return i
		}
	}
	return -1
}

func (b *balance) ownedBy(at int) []int {
	if b.owned == nil {
		b.owned = make(map[int][]int, len(b.pool.entries))
		for i, owner := range b.owners {
			if owner >= 0 {
				b.owned[owner] = append(b.owned[owner], i)
			}
		}
		for _, owned := range b.owned {
			slices.SortStableFunc(owned, func(x, y int) int {
				return cmp.Compare(b.partitions[y].Load, b.partitions[x].Load)
			})
		}
	}
	return b.owned[at]
}
