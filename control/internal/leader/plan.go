package leader

import (
	"time"

	"github.com/jujubeknot/jujubeknot/core/cluster"
	"github.com/jujubeknot/jujubeknot/core/placement"
	"github.com/jujubeknot/jujubeknot/core/rules"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// reasonReleased is the reason of assignments of partitions that an owner
// released for an earlier leader, whose plan is not known.
const reasonReleased placement.Reason = "ownerReleased"

// ruledLeave is how long partitions may wait for cold servers at a server that
// the rules or an operator take out of service: half of the 3 s after which it
// must get no new work. A node that stops by itself waits longer.
const ruledLeave = 1500 * time.Millisecond

// planner is the planner of one upstream with the policy that it was made for.
type planner struct {
	*placement.Planner
	policy string
}

// plan returns assign commands and orders releases.
func (l *Leader) plan(state *cluster.State, now time.Time) []*wirev1.Command {
	return assignCommands(l.changes(state, now))
}

// changes returns the changes of owners that are due and orders releases.
// Nothing is done unless something changed or the interval has passed.
func (l *Leader) changes(state *cluster.State, now time.Time) []*wirev1.AssignChange {
	l.settle(state, now)
	fold := now.Sub(l.planned) >= planInterval
	if !l.dirty && !fold && l.planIndex == state.Index() {
		return nil
	}
	l.dirty, l.planIndex = false, state.Index()
	if fold {
		l.planned = now
		l.forgetSpeeds(state)
	}
	var changes []*wirev1.AssignChange
	for i := range l.rules.set.Upstreams {
		if u := &l.rules.set.Upstreams[i]; u.Keyed {
			if fold || l.loads[u.Name] == nil {
				l.fold(state, now, u)
			}
			changes = append(changes, l.planUpstream(state, now, u)...)
		}
	}
	return changes
}

// assignCommands divides changes into commands of bounded size.
func assignCommands(changes []*wirev1.AssignChange) []*wirev1.Command {
	var commands []*wirev1.Command
	for len(changes) > 0 {
		n := min(len(changes), maxBatch)
		commands = append(commands, &wirev1.Command{Kind: &wirev1.Command_Assign{Assign: &wirev1.Assign{Changes: changes[:n]}}})
		changes = changes[n:]
	}
	return commands
}

func (l *Leader) fold(state *cluster.State, now time.Time, u *rules.Upstream) {
	o := l.loads[u.Name]
	if o == nil {
		o = &loads{window: l.config.LoadWindow}
		l.loads[u.Name] = o
	}
	o.fold(now, state, u.Name, u.Partitions, l.reports)
}

func (l *Leader) planUpstream(state *cluster.State, now time.Time, u *rules.Upstream) []*wirev1.AssignChange {
	view, unowned := l.view(state, now, u)
	changes := l.finish(state, now, u.Name)
	if l.awaitServers(view, unowned, now) {
		l.dirty = true
		return changes
	}
	moves := l.plannerOf(u).Plan(now, view)
	l.logPlan(&view, moves)
	for _, m := range moves {
		at := place{u.Name, m.Partition}
		if m.Planned {
			l.begin(at, m, now)
			continue
		}
		c := &wirev1.AssignChange{Upstream: u.Name, Partition: m.Partition, ExpectedEpoch: m.Epoch, Owner: m.To, Reason: string(m.Reason)}
		if r := l.released[at]; r != nil && r.epoch == m.Epoch {
			c.Reason = string(reasonReleased)
			l.carry(c, r, now)
		}
		changes = append(changes, c)
	}
	return changes
}

// logPlan writes what a plan with moves was decided by: a line for each server.
func (l *Leader) logPlan(view *placement.View, moves []placement.Move) {
	if len(moves) == 0 {
		return
	}
	type sum struct {
		load                    float64
		partitions, gets, gives int
	}
	sums := map[uint64]*sum{}
	of := func(incarnation uint64) *sum {
		if sums[incarnation] == nil {
			sums[incarnation] = &sum{}
		}
		return sums[incarnation]
	}
	for _, p := range view.Partitions {
		s := of(p.Owner)
		s.load += p.Load
		s.partitions++
	}
	for _, m := range moves {
		of(m.From).gives++
		of(m.To).gets++
	}
	for _, s := range view.Servers {
		n := of(s.Incarnation)
		l.config.Logger.Info().Str("upstream", view.Upstream).Str("backendServer", s.Name).Uint64("incarnation", s.Incarnation).
			Float64("weight", s.Weight).Float64("capacity", s.Capacity).Float64("requestsPerSecond", n.load).Int("partitions", n.partitions).
			Int("gets", n.gets).Int("gives", n.gives).Bool("cold", s.Cold).Bool("lost", s.Lost).
			Str("leaves", string(s.LeaveReason)).Bool("loadsKnown", !view.LoadsUnknown).Msg("placement planned")
	}
}

// begin starts a planned move.
func (l *Leader) begin(at place, m placement.Move, now time.Time) {
	moving := &move{from: m.From, to: m.To, epoch: m.Epoch, reason: m.Reason, begun: now, timeout: l.moveTimeout()}
	l.moves[at] = moving
	l.send(m.From, moving.order(at))
	l.config.Logger.Info().Str("upstream", at.upstream).Uint32("partition", at.partition).Uint64("from", m.From).
		Uint64("to", m.To).Uint64("epoch", m.Epoch).Str("reason", string(m.Reason)).Msg("move begun")
}

// finish returns changes for moves whose partition was released.
func (l *Leader) finish(state *cluster.State, now time.Time, upstream string) []*wirev1.AssignChange {
	var changes []*wirev1.AssignChange
	for _, at := range sortedKeys(l.released) {
		r, m := l.released[at], l.moves[at]
		if at.upstream != upstream || m == nil || m.epoch != r.epoch || !r.due(now) || !l.accepts(state, now, m.to) {
			continue
		}
		c := &wirev1.AssignChange{Upstream: at.upstream, Partition: at.partition, ExpectedEpoch: r.epoch, Owner: m.to, Reason: string(m.reason)}
		l.carry(c, r, now)
		changes = append(changes, c)
	}
	return changes
}

// carry marks a change as planned if the request ids are here, and keeps them
// for the new owner's watch stream before the change can be applied.
func (l *Leader) carry(c *wirev1.AssignChange, r *release, now time.Time) {
	c.Planned, c.Handover = r.known, r.handover
	if r.known {
		l.moved.add(now, place{c.GetUpstream(), c.GetPartition()}, c.GetExpectedEpoch()+1, r.records)
	}
}

// accepts reports whether a node may still get a partition that was planned
// for it.
func (l *Leader) accepts(state *cluster.State, now time.Time, incarnation uint64) bool {
	n := state.Node(incarnation)
	return n != nil && !l.granter.Expired(now, incarnation) && l.leaving(n) == ""
}

// leaving returns why a node gets no new work, empty if it does.
func (l *Leader) leaving(n *wirev1.Node) placement.Reason {
	switch {
	case l.rules.set.ZoneOut(n.GetAvailabilityZone()):
		return placement.ReasonZoneOut
	case n.GetDraining() || l.rules.set.ServerDraining(n.GetBackendServer().GetName()):
		return placement.ReasonDrain
	default:
		return ""
	}
}

// view returns the planner's input for an upstream and the number of its
// partitions without a living owner. Partitions that were released and whose
// target is gone count as such.
func (l *Leader) view(state *cluster.State, now time.Time, u *rules.Upstream) (placement.View, int) {
	o := l.loads[u.Name]
	view := placement.View{Upstream: u.Name, LoadsUnknown: !o.known(now), Partitions: make([]placement.Partition, u.Partitions)}
	byName := map[string]uint64{}
	speeds := l.speedsOf(u.Name).Estimates(now)
	alive := map[uint64]bool{}
	for n := range state.Nodes() {
		if n.GetBackendServer().GetUpstream() != u.Name {
			continue
		}
		s := placement.Server{
			Incarnation: n.GetIncarnation(), Name: n.GetBackendServer().GetName(), AvailabilityZone: n.GetAvailabilityZone(),
			Weight: float64(max(1, n.GetBackendServer().GetSlots())), Cold: n.GetCold(),
			LeaveReason: l.leaving(n), Lost: l.granter.Expired(now, n.GetIncarnation()),
		}
		if u.Slots > 0 {
			s.Weight = float64(u.Slots)
		}
		if speed, known := speeds[n.GetIncarnation()]; known {
			s.Capacity = s.Weight / speed.MeanTime.Seconds()
			s.Weight *= speed.Ratio
		}
		s.Leaving = s.LeaveReason != ""
		if s.LeaveReason == placement.ReasonZoneOut || !l.reports[s.Incarnation].draining() {
			s.WarmUpTimeout = ruledLeave
		}
		view.Servers = append(view.Servers, s)
		byName[s.Name], alive[s.Incarnation] = s.Incarnation, !s.Lost
	}
	unowned := 0
	for i := range view.Partitions {
		p := &view.Partitions[i]
		p.Number = uint32(i)
		p.Load = o.rate(p.Number)
	}
	for a := range state.Assignments(u.Name) {
		if a.GetPartition() < u.Partitions {
			p := &view.Partitions[a.GetPartition()]
			p.Owner, p.Epoch = a.GetOwner(), a.GetEpoch()
		}
	}
	for _, p := range view.Partitions {
		if !alive[p.Owner] {
			unowned++
		}
	}
	l.mark(state, now, &view)
	for _, pin := range l.rules.set.Pins {
		if pin.Upstream == u.Name && pin.Partition < u.Partitions {
			view.Partitions[pin.Partition].PinnedTo = byName[pin.Server]
		}
	}
	return view, unowned
}

// mark enters moves in flight, releases and put off moves in a view.
func (l *Leader) mark(state *cluster.State, now time.Time, view *placement.View) {
	entry := func(at place) *placement.Partition {
		if at.upstream != view.Upstream || int(at.partition) >= len(view.Partitions) {
			return nil
		}
		return &view.Partitions[at.partition]
	}
	for at, m := range l.moves {
		if p := entry(at); p != nil {
			p.Moving, p.MovingTo = true, m.to
		}
	}
	for at, r := range l.released {
		p, m := entry(at), l.moves[at]
		switch {
		case p == nil || p.Epoch != r.epoch:
		case m != nil && m.epoch == r.epoch && l.accepts(state, now, m.to):
		case !r.due(now):
			p.MoveDeferred = true
		default:
			p.Owner, p.Moving = 0, false
		}
	}
	for at := range l.held {
		if p := entry(at); p != nil {
			p.MoveDeferred = true
		}
	}
}

// awaitServers reports whether placement should wait for more servers: over
// half of the partitions have no owner and servers are still registering.
func (l *Leader) awaitServers(view placement.View, unowned int, now time.Time) bool {
	if 2*unowned <= len(view.Partitions) {
		return false
	}
	for _, s := range view.Servers {
		if first := l.seen[s.Incarnation]; !s.Lost && now.Sub(first) < l.config.InitialPlacementWait {
			return true
		}
	}
	return false
}

// plannerOf returns the planner of an upstream, a new one if the rules name
// another policy than before.
func (l *Leader) plannerOf(u *rules.Upstream) *planner {
	name := u.Policy
	if name == "" {
		name = l.config.Policy
	}
	p := l.planners[u.Name]
	if p == nil || p.policy != name {
		policy, err := placement.NewPolicy(name, uint64(l.began.UnixNano()))
		if err != nil {
			// The rules come from a version that knows more policies.
			l.config.Logger.Error().Err(err).Str("upstream", u.Name).Msg("the default placement policy is used")
			policy, _ = placement.NewPolicy("", 0)
		}
		p = &planner{placement.NewPlanner(l.config.Placement, policy), name}
		l.planners[u.Name] = p
	}
	churn := l.config.Placement.WithDefaults().ChurnPerMinute
	if share, set := l.rules.set.ChurnPerMinute(); set {
		churn = share
	}
	p.SetChurnPerMinute(churn)
	return p
}

func (l *Leader) moveTimeout() time.Duration {
	for _, o := range l.rules.set.Options {
		if o.Name == string(rules.OptionMoveTimeout) {
			return l.rules.set.MoveTimeout()
		}
	}
	return l.config.MoveTimeout
}
