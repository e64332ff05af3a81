package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Defaults of the configuration.
const (
	// DefaultMovesInFlight lets a quarter of 1,024 partitions leave within a
	// second if one move takes 100 ms.
	DefaultMovesInFlight       = 128
	DefaultMovesPerServer      = 32
	DefaultChurnPerMinute      = 0.05
	DefaultRebalanceStartRatio = 1.20
	DefaultRebalanceStopRatio  = 1.15
	// DefaultColdRatePerWeight is 2 requests/s for each slot: a cold server starts with
	// 1 request in flight, which at 50 ms each is 20 requests/s.
	DefaultColdRatePerWeight = 2
	// DefaultBaseLoad keeps the planner from chasing noise: at a few requests
	// per second the number of partitions decides, not their load.
	DefaultBaseLoad = 0.05
	// DefaultWarmUpTimeout is 10 of the 15 s that a stopping node waits for its
	// partitions to be moved: cold servers get their moves while there is time
	// to carry them out. A stop that ran into its limit interrupted keys for
	// 1,236 ms.
	DefaultWarmUpTimeout = 10 * time.Second
)

// Config bounds what a planner does. The zero value means the defaults.
type Config struct {
	// MovesInFlight bounds planned moves at a time.
	MovesInFlight int
	// MovesPerServer bounds planned moves at a time from and to one server.
	MovesPerServer int
	// ChurnPerMinute is the share of partitions that may be moved within any
	// minute to even out load, and to return servers to use unless
	// ReturnPerMinute is set, 0 to 1.
	ChurnPerMinute float64
	// ReturnPerMinute is the share of partitions that may be moved within any
	// minute to return servers to use, 0 to 1. 0 means that these moves are taken
	// from the churn budget.
	ReturnPerMinute float64
	// BudgetWindow is the time within which the part of both budgets that falls to
	// it may be used up. Default a minute. Shorter ones keep some for what comes
	// later in the minute, and pause keys in turn.
	BudgetWindow time.Duration
	// RebalanceStartRatio and RebalanceStopRatio are the ratios of the highest to the mean
	// utilization at which evening out starts and stops. Their inverses apply
	// to the lowest.
	RebalanceStartRatio, RebalanceStopRatio float64
	// ColdRatePerWeight is what a cold server sustains, in requests/s per weight.
	ColdRatePerWeight float64
	// BaseLoad is counted for each partition in addition to its load, in
	// requests/s.
	BaseLoad float64
	// WarmUpTimeout is how long partitions stay at a leaving server because only
	// cold servers are left that do not sustain them. Server.WarmUpTimeout
	// takes precedence.
	WarmUpTimeout time.Duration
}

// WithDefaults returns the configuration with defaults in place of zeros.
func (c Config) WithDefaults() Config {
	return Config{
		MovesInFlight:  cmp.Or(c.MovesInFlight, DefaultMovesInFlight),
		MovesPerServer: cmp.Or(c.MovesPerServer, DefaultMovesPerServer),
		ChurnPerMinute: cmp.Or(c.ChurnPerMinute, DefaultChurnPerMinute), ReturnPerMinute: c.ReturnPerMinute,
		BudgetWindow:        cmp.Or(c.BudgetWindow, time.Minute),
		RebalanceStartRatio: cmp.Or(c.RebalanceStartRatio, DefaultRebalanceStartRatio),
		RebalanceStopRatio:  cmp.Or(c.RebalanceStopRatio, DefaultRebalanceStopRatio),
		ColdRatePerWeight:   cmp.Or(c.ColdRatePerWeight, DefaultColdRatePerWeight),
		BaseLoad:            cmp.Or(c.BaseLoad, DefaultBaseLoad),
		WarmUpTimeout:       cmp.Or(c.WarmUpTimeout, DefaultWarmUpTimeout),
	}
}

// Planner decides the moves of one upstream. It remembers the moves of the
// last minute and whether it is evening out load. It is not safe for
// concurrent use.
type Planner struct {
	config    Config
	policy    Policy[Partition]
	balancing bool
	// churned has the times of moves that count against the churn budget within
	// its window.
	churned []time.Time
	// returned has the times of moves that count against the budget for returns.
	returned []time.Time
	// leaving has the time since which each leaving server leaves.
	leaving map[uint64]time.Time
	// returning has the servers that get their share after a return to use.
	returning map[uint64]bool
}

// NewPlanner returns a planner for one upstream.
func NewPlanner(config Config, policy Policy[Partition]) *Planner {
	return &Planner{config: config.WithDefaults(), policy: policy, leaving: map[uint64]time.Time{}, returning: map[uint64]bool{}}
}

// SetChurnPerMinute changes the churn budget; moves within its window still count.
func (p *Planner) SetChurnPerMinute(perMinute float64) { p.config.ChurnPerMinute = perMinute }

// Balancing reports whether the planner is evening out load.
func (p *Planner) Balancing() bool { return p.balancing }

// Plan returns the moves to begin now: first those of partitions without a
// living owner, then pins, then moves away from leaving servers, then those
// that even out load. Each returned move counts as begun.
func (p *Planner) Plan(now time.Time, view View) []Move {
	p.forget(now)
	p.noteLeaving(now, view.Servers)
	t := newTask(p, now, view)
	t.placeLost()
	t.placePinned()
	t.empty()
	switch {
	case p.policy.Mode() == ModeBalance && (len(t.moves) > 0 || view.LoadsUnknown):
		// Loads are about to change or not known yet.
	case p.policy.Mode() == ModeBalance:
		t.balance()
		t.warmUp()
	case p.policy.Mode() == ModeReassign:
		t.follow()
	}
	return t.moves
}

// forget drops moves from the budgets that no longer count.
func (p *Planner) forget(now time.Time) {
	p.churned = recent(p.churned, now.Add(-p.config.BudgetWindow))
	p.returned = recent(p.returned, now.Add(-p.config.BudgetWindow))
}

// recent drops times up to a bound from a list in order.
func recent(times []time.Time, bound time.Time) []time.Time {
	first := 0
	for first < len(times) && !times[first].After(bound) {
		first++
	}
	return slices.Delete(times, 0, first)
}

// noteLeaving remembers since when servers leave.
func (p *Planner) noteLeaving(now time.Time, servers []Server) {
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

// task is the work on one plan.
type task struct {
	planner    *Planner
	config     Config
	now        time.Time
	partitions []Partition
	pool       *Pool
	// owners has the position of each partition's owner in the pool, -1 for
	// owners that are lost.
	owners   []int
	position map[uint64]int
	inFlight int
	moves    []Move
	// taken marks partitions that have a move in this plan.
	taken []bool
}

func newTask(p *Planner, now time.Time, view View) *task {
	t := &task{
		planner: p, config: p.config, now: now, partitions: view.Partitions,
		pool:     newPool(p.config, view.Servers),
		owners:   make([]int, len(view.Partitions)),
		position: make(map[uint64]int, len(view.Servers)),
		taken:    make([]bool, len(view.Partitions)),
	}
	for i, s := range view.Servers {
		t.position[s.Incarnation] = i
	}
	if _, together := p.policy.(*ranges); together {
		t.pool.rows = newRows(len(view.Partitions), len(view.Servers))
	}
	// Neighbouring partitions often have the same owner.
	last, lastAt := uint64(0), -1
	for i := range view.Partitions {
		part := &view.Partitions[i]
		if part.Owner != last {
			last, lastAt = part.Owner, t.lookUp(part.Owner)
		}
		at := lastAt
		if at >= 0 && t.pool.entries[at].Lost {
			at = -1
		}
		t.owners[i] = at
		if part.Moving {
			t.inFlight++
			if at >= 0 {
				t.pool.entries[at].moves++
			}
			if at = t.lookUp(part.MovingTo); at >= 0 {
				t.pool.entries[at].moves++
			}
		}
		t.pool.rows.give(part.Number, at)
		if at >= 0 {
			t.pool.add(at, t.cost(part), part.Load, 1)
		}
	}
	t.pool.start()
	total := 0.0
	for i := range view.Partitions {
		total += t.cost(&view.Partitions[i])
	}
	t.pool.setGoal(len(view.Partitions), total)
	return t
}

func (t *task) lookUp(incarnation uint64) int {
	if at, known := t.position[incarnation]; known && incarnation != 0 {
		return at
	}
	return -1
}

func (t *task) cost(part *Partition) float64 { return part.Load + t.config.BaseLoad }

// free reports whether a planned move of a partition may begin.
func (t *task) free(i int) bool {
	from := t.owners[i]
	return !t.partitions[i].Moving && !t.partitions[i].MoveDeferred && !t.taken[i] && from >= 0 &&
		t.inFlight < t.config.MovesInFlight && !t.pool.full(from)
}

// move adds a move to the plan. Planned moves take a slot of both servers.
func (t *task) move(i, to int, reason Reason, planned bool) {
	part := &t.partitions[i]
	t.taken[i] = true
	m := Move{Partition: part.Number, From: part.Owner, To: t.pool.entries[to].Incarnation, Epoch: part.Epoch, Reason: reason, Planned: planned}
	t.moves = append(t.moves, m)
	if from := t.owners[i]; from >= 0 {
		t.pool.add(from, t.cost(part), part.Load, -1)
	}
	t.pool.add(to, t.cost(part), part.Load, 1)
	t.pool.rows.give(part.Number, to)
	if planned {
		t.inFlight++
		t.pool.entries[t.owners[i]].moves++
		t.pool.entries[to].moves++
		t.pool.dropFull(t.owners[i])
		t.pool.dropFull(to)
	}
}

// placeLost gives partitions without a living owner to others at once, the
// heaviest first, or in their order where neighbours stay together. Their moves need no release and are not bounded.
func (t *task) placeLost() {
	var lost []int
	for i, at := range t.owners {
		if at < 0 {
			lost = append(lost, i)
		}
	}
	if _, together := t.planner.policy.(*ranges); !together {
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
	// From here on moves are planned and servers without a free slot drop out.
	for at := range t.pool.entries {
		t.pool.dropFull(at)
	}
}

// pinTarget returns the server that a partition is pinned to if it may get it.
func (t *task) pinTarget(part *Partition) int {
	at := t.lookUp(part.PinnedTo)
	if at < 0 || !t.pool.sustains(at, part.Load) {
		return -1
	}
	return at
}

// placePinned moves pinned partitions to their servers.
func (t *task) placePinned() {
	for i := range t.partitions {
		part := &t.partitions[i]
		if part.PinnedTo == 0 || part.PinnedTo == part.Owner || !t.free(i) {
			continue
		}
		if to := t.pinTarget(part); to >= 0 {
			t.move(i, to, ReasonPin, true)
		}
	}
}

// empty moves partitions away from leaving servers. Those that no server
// sustains stay until the time to leave has passed.
func (t *task) empty() {
	defer func() { t.pool.urgent = false }()
	for i := range t.partitions {
		at := t.owners[i]
		if at < 0 || !t.pool.entries[at].Leaving || !t.free(i) {
			continue
		}
		e := &t.pool.entries[at]
		t.pool.urgent = t.now.Sub(t.planner.leaving[e.Incarnation]) >= cmp.Or(e.WarmUpTimeout, t.config.WarmUpTimeout)
		if to := t.planner.policy.Choose(t.partitions[i], t.pool); to >= 0 {
			t.move(i, to, cmp.Or(t.pool.entries[at].LeaveReason, ReasonDrain), true)
		}
	}
}

// churn takes one move for a reason from its budget and reports whether it was
// left.
func (t *task) churn(reason Reason) bool {
	perMinute, used := t.config.ChurnPerMinute, &t.planner.churned
	if reason == ReasonReturn && t.config.ReturnPerMinute > 0 {
		perMinute, used = t.config.ReturnPerMinute, &t.planner.returned
	}
	share := perMinute * t.config.BudgetWindow.Minutes()
	if len(*used) >= max(1, int(share*float64(len(t.partitions)))) {
		return false
	}
	*used = append(*used, t.now)
	return true
}

// follow moves partitions to the servers that the policy names.
func (t *task) follow() {
	for i := range t.partitions {
		part := &t.partitions[i]
		if !t.free(i) || part.PinnedTo == part.Owner && part.PinnedTo != 0 {
			continue
		}
		to := t.planner.policy.Choose(*part, t.pool)
		if to < 0 || to == t.owners[i] || t.pool.full(to) {
			continue
		}
		if !t.churn(ReasonRebalance) {
			return
		}
		t.move(i, to, ReasonRebalance, true)
	}
}
