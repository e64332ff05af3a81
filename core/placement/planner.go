package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Planner plans the moves of one upstream. It keeps the moves of the last
// budget window and whether rebalancing is in progress, which gives it
// hysteresis. It is not safe for concurrent use.
type Planner struct {
	config    Config
	policy    Policy[Partition]
	balancing bool
	// churnTimes has the times of the moves within the budget window that count
	// against the churn budget.
	churnTimes []time.Time
	// returnTimes has the times of the moves within the budget window that count
	// against Config.ReturnPerMinute.
	returnTimes []time.Time
	// leaving has the time at which each leaving server was first seen as such.
	leaving map[uint64]time.Time
	// returning has the servers that have returned to use and do not have their
	// share yet.
	returning map[uint64]bool
	// movedAt has the time of the latest move for even load of each partition, for
	// MinStay.
	movedAt map[uint32]time.Time
}

// NewPlanner returns a planner for one upstream.
func NewPlanner(config Config, policy Policy[Partition]) *Planner {
	return &Planner{config: config.WithDefaults(), policy: policy, leaving: map[uint64]time.Time{}, returning: map[uint64]bool{}, movedAt: map[uint32]time.Time{}}
}

// SetChurnPerMinute changes the churn budget. Moves within the budget window
// still count.
func (p *Planner) SetChurnPerMinute(perMinute float64) { p.config.ChurnPerMinute = perMinute }

// Balancing reports whether rebalancing is in progress.
func (p *Planner) Balancing() bool { return p.balancing }

// Plan returns the moves to begin now. It first places partitions without a
// living owner, then applies pins, then moves partitions away from leaving
// servers, and rebalances load last. Each returned move counts as begun.
func (p *Planner) Plan(now time.Time, view View) []Move {
	p.expireBudgets(now)
	p.updateLeaving(now, view.Servers)
	t := newPlanTask(p, now, view)
	t.placeUnowned()
	t.placePinned()
	t.evacuate()
	switch {
	case p.policy.Mode() == ModeBalance && (len(t.moves) > 0 || view.LoadsUnknown):
		// The loads are about to change or not known yet.
	case p.policy.Mode() == ModeBalance:
		t.relieve()
		t.rebalance()
		t.warmUp()
	case p.policy.Mode() == ModeReassign:
		t.reassign()
	}
	return t.moves
}

// expireBudgets removes the moves before the budget window.
func (p *Planner) expireBudgets(now time.Time) {
	p.churnTimes = dropUpTo(p.churnTimes, now.Add(-p.config.BudgetWindow))
	p.returnTimes = dropUpTo(p.returnTimes, now.Add(-p.config.BudgetWindow))
	maps.DeleteFunc(p.movedAt, func(number uint32, _ time.Time) bool { return !p.movedLately(number, now) })
}

// movedLately reports whether a partition was moved for even load within MinStay.
func (p *Planner) movedLately(number uint32, now time.Time) bool {
	at, moved := p.movedAt[number]
	return moved && now.Sub(at) < p.config.MinStay
}

// dropUpTo removes the times up to and including a bound from a sorted list.
func dropUpTo(times []time.Time, bound time.Time) []time.Time {
	first := 0
	for first < len(times) && !times[first].After(bound) {
		first++
	}
	return slices.Delete(times, 0, first)
}

// updateLeaving records since when servers are leaving. It also forgets
// returning servers that are gone, lost or leaving again.
func (p *Planner) updateLeaving(now time.Time, servers []Server) {
	since := make(map[uint64]time.Time, len(p.leaving))
	for _, s := range servers {
		if !s.Leaving {
			continue
		}
		since[s.Incarnation] = now
		if t, known := p.leaving[s.Incarnation]; known {
			since[s.Incarnation] = t
		}
	}
	p.leaving = since
	maps.DeleteFunc(p.returning, func(incarnation uint64, _ bool) bool {
		return !slices.ContainsFunc(servers, func(s Server) bool { return s.Incarnation == incarnation && !s.Leaving && !s.Lost })
	})
}

// planTask is the state of the computation of one plan.
type planTask struct {
	planner    *Planner
	config     Config
	now        time.Time
	partitions []Partition
	pool       *Pool
	// owners has the pool index of the owner of each partition, -1 if it has no
	// owner or a lost one.
	owners []int
	// serverIndexes has the pool index of each incarnation.
	serverIndexes map[uint64]int
	inFlight      int
	moves         []Move
	// hasMove marks the partitions that have a move in this plan.
	hasMove []bool
	// peakRatio is View.PeakRatio, at least 1.
	peakRatio float64
	// owned has the partitions of each server at the start of the plan, the heaviest
	// first. It is filled on first use.
	owned map[int][]int
}

func newPlanTask(p *Planner, now time.Time, view View) *planTask {
	t := &planTask{
		planner: p, config: p.config, now: now, partitions: view.Partitions,
		pool:          newPool(p.config, view.Servers),
		owners:        make([]int, len(view.Partitions)),
		serverIndexes: make(map[uint64]int, len(view.Servers)),
		hasMove:       make([]bool, len(view.Partitions)),
		peakRatio:     max(1, view.PeakRatio),
	}
	for i, s := range view.Servers {
		t.serverIndexes[s.Incarnation] = i
	}
	if _, contiguous := p.policy.(*ranges); contiguous {
		t.pool.rangeCounts = newRangeCounts(len(view.Partitions), len(view.Servers))
	}
	// Adjacent partitions often have the same owner: look it up once.
	last, lastServer := uint64(0), -1
	for i := range view.Partitions {
		part := &view.Partitions[i]
		if part.Owner != last {
			last, lastServer = part.Owner, t.serverIndex(part.Owner)
		}
		server := lastServer
		if server >= 0 && t.pool.servers[server].Lost {
			server = -1
		}
		t.owners[i] = server
		if part.Moving {
			t.inFlight++
			if server >= 0 {
				t.pool.servers[server].moves++
			}
			if server = t.serverIndex(part.MovingTo); server >= 0 {
				t.pool.servers[server].moves++
			}
		}
		t.pool.rangeCounts.assign(part.Number, server)
		if server >= 0 {
			t.pool.add(server, t.load(part), 1)
		}
	}
	t.pool.initQueue()
	total := 0.0
	for i := range view.Partitions {
		total += t.cost(&view.Partitions[i])
	}
	t.pool.setTarget(len(view.Partitions), total)
	return t
}

// serverIndex returns the pool index of an incarnation, -1 if it is not known.
func (t *planTask) serverIndex(incarnation uint64) int {
	if server, known := t.serverIndexes[incarnation]; known && incarnation != 0 {
		return server
	}
	return -1
}

// cost returns the load of a partition plus the base load, in requests/s.
func (t *planTask) cost(part *Partition) float64 { return part.Load + t.config.BaseLoad }

// peak returns the load of a partition that is expected within the next peak, in
// requests/s. A hot partition does not follow the peaks of the others.
func (t *planTask) peak(part *Partition) float64 {
	if !part.HotSince.IsZero() {
		return part.Load
	}
	return part.Load * t.peakRatio
}

func (t *planTask) load(part *Partition) partitionLoad {
	l := partitionLoad{cost: t.cost(part), rate: part.Load, peak: t.peak(part)}
	if !part.HotSince.IsZero() {
		l.hotCost = l.cost
	}
	return l
}

// canMove reports whether a planned move of a partition may begin.
func (t *planTask) canMove(i int) bool {
	from := t.owners[i]
	return !t.partitions[i].Moving && !t.partitions[i].MoveDeferred && !t.hasMove[i] && from >= 0 &&
		t.inFlight < t.config.MovesInFlight && !t.pool.atMoveLimit(from)
}

// move adds a move to the plan. Planned moves count against the move limits of
// both servers.
func (t *planTask) move(i, to int, reason Reason, planned bool) {
	part := &t.partitions[i]
	t.hasMove[i] = true
	m := Move{Partition: part.Number, From: part.Owner, To: t.pool.servers[to].Incarnation, Epoch: part.Epoch, Reason: reason, Planned: planned}
	t.moves = append(t.moves, m)
	if from := t.owners[i]; from >= 0 {
		t.pool.add(from, t.load(part), -1)
	}
	t.pool.add(to, t.load(part), 1)
	t.pool.rangeCounts.assign(part.Number, to)
	if planned {
		t.inFlight++
		t.pool.servers[t.owners[i]].moves++
		t.pool.servers[to].moves++
		t.pool.dequeueAtMoveLimit(t.owners[i])
		t.pool.dequeueAtMoveLimit(to)
	}
}

// placeUnowned assigns partitions without a living owner at once: the heaviest
// first, or by number if the policy keeps adjacent partitions together. These
// moves need no release and their number is not limited.
func (t *planTask) placeUnowned() {
	var lost []int
	for i, server := range t.owners {
		if server < 0 {
			lost = append(lost, i)
		}
	}
	if _, contiguous := t.planner.policy.(*ranges); !contiguous {
		slices.SortStableFunc(lost, func(a, b int) int {
			return cmp.Compare(t.partitions[b].Load, t.partitions[a].Load)
		})
	}
	t.pool.unowned = true
	for _, i := range lost {
		part := t.partitions[i]
		to := t.pinTarget(&part)
		if to < 0 {
			to = t.planner.policy.Choose(part, t.pool)
		}
		if to < 0 {
			continue
		}
		reason := ReasonOwnerLost
		if part.Epoch == 0 {
			reason = ReasonFirstAssignment
		}
		t.move(i, to, reason, false)
	}
	t.pool.unowned = false
	// All further moves are planned: servers at their move limit leave the queue.
	for server := range t.pool.servers {
		t.pool.dequeueAtMoveLimit(server)
	}
}

// pinTarget returns the server that a partition is pinned to, -1 if there is
// none or it must not get the partition.
func (t *planTask) pinTarget(part *Partition) int {
	server := t.serverIndex(part.PinnedTo)
	if server < 0 || !t.pool.sustains(server, part.Load) {
		return -1
	}
	return server
}

// placePinned moves pinned partitions to their servers.
func (t *planTask) placePinned() {
	for i := range t.partitions {
		part := &t.partitions[i]
		if part.PinnedTo == 0 || part.PinnedTo == part.Owner || !t.canMove(i) {
			continue
		}
		if to := t.pinTarget(part); to >= 0 {
			t.move(i, to, ReasonPin, true)
		}
	}
}

// evacuate moves partitions away from leaving servers. Partitions that no other
// server sustains stay until the warm-up timeout has passed.
func (t *planTask) evacuate() {
	defer func() { t.pool.urgent = false }()
	for i := range t.partitions {
		server := t.owners[i]
		if server < 0 || !t.pool.servers[server].Leaving || !t.canMove(i) {
			continue
		}
		e := &t.pool.servers[server]
		t.pool.urgent = t.now.Sub(t.planner.leaving[e.Incarnation]) >= cmp.Or(e.WarmUpTimeout, t.config.WarmUpTimeout)
		if to := t.planner.policy.Choose(t.partitions[i], t.pool); to >= 0 {
			t.move(i, to, cmp.Or(t.pool.servers[server].LeaveReason, ReasonDrain), true)
		}
	}
}

// churn takes one move from the budget for a reason and reports whether the
// budget allowed it.
func (t *planTask) churn(reason Reason) bool {
	perMinute, used := t.config.ChurnPerMinute, &t.planner.churnTimes
	if reason == ReasonReturn && t.config.ReturnPerMinute > 0 {
		perMinute, used = t.config.ReturnPerMinute, &t.planner.returnTimes
	}
	budget := t.churnBudget(perMinute)
	if reason == ReasonRelief {
		budget = max(1, int((1-hotReserve)*float64(budget)))
	}
	if len(*used) >= budget {
		return false
	}
	*used = append(*used, t.now)
	return true
}

// churnBudget returns the number of moves that a budget per minute allows within
// the budget window.
func (t *planTask) churnBudget(perMinute float64) int {
	return max(1, int(perMinute*t.config.BudgetWindow.Minutes()*float64(len(t.partitions))))
}

// reassign moves each partition to the server that the policy names.
func (t *planTask) reassign() {
	for i := range t.partitions {
		part := &t.partitions[i]
		if !t.canMove(i) || part.PinnedTo == part.Owner && part.PinnedTo != 0 {
			continue
		}
		to := t.planner.policy.Choose(*part, t.pool)
		if to < 0 || to == t.owners[i] || t.pool.atMoveLimit(to) {
			continue
		}
		if !t.churn(ReasonRebalance) {
			return
		}
		t.move(i, to, ReasonRebalance, true)
	}
}
