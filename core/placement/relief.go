package placement

import (
	"cmp"
	"slices"
	"time"
)

const (
	// reliefShare is the share of the mean utilization below which nothing is moved
	// away from a server to spare callers time. It is above the share below which a
	// server counts as returned to use and gets load back.
	reliefShare = 0.6
	// maxUnfit is the number of partitions of a server that are passed over because
	// their moves would give a server too many ranges.
	maxUnfit = 64
)

// relief moves load to where callers spend less time on it: away from servers that
// are above what they sustain, or slower than others that have room. Where that is
// due to a hot partition and another server bears it, the hot partition itself is
// moved; otherwise its neighbours are moved away from it. Each move must save more
// time than it costs (see minGain).
type relief struct {
	*planTask
	// relieved is the number of moves of this plan that count against planShare.
	relieved int
}

// maxRelieved returns the limit of relieved.
func (r *relief) maxRelieved() int {
	return max(1, int(planShare*float64(r.churnBudget(r.config.ChurnPerMinute))))
}

// relieve plans the moves of all servers, the slowest for a further request first.
func (t *planTask) relieve() {
	if len(t.pool.warm) < 2 || t.pool.servers[t.pool.warm[0]].time.capacity <= 0 {
		return
	}
	r := &relief{planTask: t}
	if !r.moveHotPartitions() {
		return
	}
	mean, heaviest := r.meanUtilization(), r.heaviest()
	from := slices.Clone(t.pool.warm)
	slices.SortStableFunc(from, func(a, b int) int {
		return cmp.Compare(t.pool.servers[b].timeAdded(1), t.pool.servers[a].timeAdded(1))
	})
	for _, server := range from {
		if i := heaviest[server]; i >= 0 {
			if _, gain := r.bestTarget(i, server, r.config.LoadHorizon); gain < 0 {
				// No lighter partition saves enough either.
				continue
			}
		}
		if !r.relieveServer(server, mean) {
			return
		}
	}
}

// heaviest returns the heaviest partition that is not hot of each server, -1 for
// none.
func (r *relief) heaviest() []int {
	heaviest := make([]int, len(r.pool.servers))
	for server := range heaviest {
		heaviest[server] = -1
	}
	for i, server := range r.owners {
		if server < 0 || !r.partitions[i].HotSince.IsZero() || !r.movable(i, server) || r.planner.movedLately(r.partitions[i].Number, r.now) {
			continue
		}
		if h := heaviest[server]; h < 0 || r.partitions[i].Load > r.partitions[h].Load {
			heaviest[server] = i
		}
	}
	return heaviest
}

// meanUtilization returns the mean utilization of the warm servers without hot
// partitions.
func (t *planTask) meanUtilization() float64 {
	cost, weight := 0.0, 0.0
	for _, server := range t.pool.warm {
		cost += t.pool.servers[server].cost - t.pool.servers[server].hotCost
		weight += t.pool.servers[server].Weight
	}
	return cost / max(weight, 1)
}

// moveHotPartitions moves hot partitions to servers that bear them, and reports
// whether the budget leaves room for further moves.
func (r *relief) moveHotPartitions() bool {
	for i := range r.partitions {
		from := r.owners[i]
		if r.partitions[i].HotSince.IsZero() || from < 0 || !r.pool.servers[from].eligible || r.pool.servers[from].Cold {
			continue
		}
		to, gain := r.bestTarget(i, from, r.config.horizon(r.now, r.partitions[i].HotSince))
		if to < 0 {
			continue
		}
		if !r.churn(ReasonHotKey) {
			return false
		}
		r.moveForGain(i, to, ReasonHotKey, gain)
	}
	return true
}

// relieveServer moves the partitions that are not hot away from one server, the
// heaviest first, and reports whether the budget leaves room for further moves.
func (r *relief) relieveServer(from int, mean float64) bool {
	e, horizon, unfit := &r.pool.servers[from], r.config.LoadHorizon, 0
	for _, i := range r.ownedBy(from) {
		if hotSince := r.partitions[i].HotSince; !hotSince.IsZero() {
			horizon = min(horizon, r.config.horizon(r.now, hotSince))
		}
	}
	for _, i := range r.ownedBy(from) {
		if e.utilization() <= reliefShare*mean || unfit >= maxUnfit {
			return true
		}
		if r.hasMove[i] || !r.partitions[i].HotSince.IsZero() || !r.movable(i, from) || r.planner.movedLately(r.partitions[i].Number, r.now) {
			continue
		}
		to, gain := r.bestTarget(i, from, horizon)
		switch {
		case to >= 0 && (r.relieved >= r.maxRelieved() || !r.churn(ReasonRelief)):
			return false
		case to >= 0:
			r.relieved++
			r.moveForGain(i, to, ReasonRelief, gain)
		case gain < 0:
			// All further partitions are lighter.
			return true
		default:
			unfit++
		}
	}
	return true
}

// bestTarget returns the server to which a move of a partition saves most time,
// and what it saves less its price. The server is -1 if the moves that save enough
// would split ranges too far, or if none saves enough: then gain is negative.
func (r *relief) bestTarget(i, from int, horizon time.Duration) (to int, gain time.Duration) {
	part, load := &r.partitions[i], r.peak(&r.partitions[i])
	if !r.movable(i, from) || r.planner.movedLately(part.Number, r.now) {
		return -1, 0
	}
	before := -r.pool.servers[from].timeAdded(-load)
	least, saved, enough := r.minGain(part), 0.0, false
	to = -1
	for _, server := range r.pool.warm {
		if server == from || r.pool.atMoveLimit(server) {
			continue
		}
		added := r.pool.servers[server].timeAdded(load)
		s := horizon.Seconds() * (before - added)
		if s <= least || before < timeRatio*added {
			continue
		}
		enough = true
		if s > saved && r.pool.rangeCounts.fits(part.Number, server, rebalanceRangeLimit) {
			to, saved = server, s
		}
	}
	switch {
	case to >= 0:
		return to, time.Duration((saved - r.config.movePrice(part.Load)) * float64(time.Second))
	case enough:
		return -1, 0
	default:
		return -1, -1
	}
}

// worthwhile reports whether a move for even load between two servers saves
// callers more time than it costs them. Servers of unknown capacity are evened out
// without regard to that.
func (t *planTask) worthwhile(i, from, to int) bool {
	if t.pool.servers[from].time.capacity <= 0 {
		return true
	}
	part, load := &t.partitions[i], t.peak(&t.partitions[i])
	before, added := -t.pool.servers[from].timeAdded(-load), t.pool.servers[to].timeAdded(load)
	return before > timeRatio*added && t.config.LoadHorizon.Seconds()*(before-added) > t.minGain(part)
}

// minGain returns the time that a move for even load must save callers, in
// seconds. It is a multiple of the move's price, which grows as the churn budget of
// the window is used up: what is left is for the moves that save most.
func (t *planTask) minGain(part *Partition) float64 {
	least := gainMargin * t.config.movePrice(part.Load)
	if !part.HotSince.IsZero() {
		return least
	}
	left := 1 - float64(len(t.planner.churnTimes))/float64(t.churnBudget(t.config.ChurnPerMinute))
	return least / max(left, hotReserve)
}

// moveForGain adds a move for even load with its expected gain.
func (t *planTask) moveForGain(i, to int, reason Reason, gain time.Duration) {
	t.move(i, to, reason, true)
	t.moves[len(t.moves)-1].Gain = gain
	t.planner.movedAt[t.partitions[i].Number] = t.now
}

// movable reports whether a partition may be moved away from a server. The
// server must own the partition, the partition must not be pinned to it, and a
// planned move of the partition must be allowed to begin.
func (t *planTask) movable(i, from int) bool {
	part := &t.partitions[i]
	return t.owners[i] == from && t.canMove(i) && (part.PinnedTo == 0 || part.PinnedTo != part.Owner)
}

// ownedBy returns the partitions of a server, the heaviest first.
func (t *planTask) ownedBy(server int) []int {
	if t.owned == nil {
		t.owned = make(map[int][]int, len(t.pool.servers))
		for i, owner := range t.owners {
			if owner >= 0 {
				t.owned[owner] = append(t.owned[owner], i)
			}
		}
		for _, owned := range t.owned {
			slices.SortStableFunc(owned, func(x, y int) int {
				return cmp.Compare(t.partitions[y].Load, t.partitions[x].Load)
			})
		}
	}
	return t.owned[server]
}
