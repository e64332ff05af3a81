package leader

import (
	"time"

	"github.com/jujubeknot/jujubeknot/core/cluster"
	"github.com/jujubeknot/jujubeknot/core/placement"
	"github.com/jujubeknot/jujubeknot/core/rules"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// reasonReleased is the reason for assignments of partitions that an owner
// released on the order of an earlier leader, whose plan is not known.
const reasonReleased placement.Reason = "ownerReleased"

// operatorLeaveWarmUpTimeout is how long partitions may wait for cold servers
// to warm up if the rules or an operator take their server out of service. It
// is half of the 3 s after which that server must receive no new work. The
// partitions of a node that stops by itself wait longer.
const operatorLeaveWarmUpTimeout = 1500 * time.Millisecond

// planner is the planner of one upstream and the name of the policy that it was
// created with.
type planner struct {
	*placement.Planner
	policy string
}

// plan returns the assign commands that are due and sends release orders.
func (l *Leader) plan(state *cluster.State, now time.Time) []*wirev1.Command {
	return assignCommands(l.dueChanges(state, now))
}

// dueChanges returns the changes of owners that are due and sends release
// orders. It returns nil unless something has changed or planInterval has
// passed.
func (l *Leader) dueChanges(state *cluster.State, now time.Time) []*wirev1.AssignChange {
	l.pruneMoves(state, now)
	intervalPassed := now.Sub(l.lastIntervalPlan) >= planInterval
	if !l.planDue && !intervalPassed && l.planIndex == state.Index() {
		return nil
	}
	l.planDue, l.planIndex = false, state.Index()
	if intervalPassed {
		l.lastIntervalPlan = now
		l.removeSpeeds(state)
	}
	var changes []*wirev1.AssignChange
	for i := range l.rules.set.Upstreams {
		if u := &l.rules.set.Upstreams[i]; u.Keyed {
			if intervalPassed || l.loads[u.Name] == nil {
				l.updateLoads(state, now, u)
			}
			changes = append(changes, l.planUpstream(state, now, u)...)
		}
	}
	l.pruneVMs(state)
	return changes
}

// assignCommands divides changes into commands of bounded size.
func assignCommands(changes []*wirev1.AssignChange) []*wirev1.Command {
	var commands []*wirev1.Command
	for len(changes) > 0 {
		n := min(len(changes), maxAssignChanges)
		commands = append(commands, &wirev1.Command{Kind: &wirev1.Command_Assign{Assign: &wirev1.Assign{Changes: changes[:n]}}})
		changes = changes[n:]
	}
	return commands
}

func (l *Leader) updateLoads(state *cluster.State, now time.Time, u *rules.Upstream) {
	o := l.loads[u.Name]
	if o == nil {
		o = &loadAverages{window: l.config.LoadWindow}
		l.loads[u.Name] = o
	}
	if r := l.estimatesOf(u.Name, u.Partitions); r != nil {
		o.begin(now)
		r.update(now, state, u.Name)
		return
	}
	o.update(now, state, u.Name, u.Partitions, l.reports)
}

func (l *Leader) planUpstream(state *cluster.State, now time.Time, u *rules.Upstream) []*wirev1.AssignChange {
	view, unowned := l.plannerView(state, now, u)
	changes := l.completedMoves(state, now, u.Name)
	if reclaimed, returning := l.reclaim(state, now, u, &view); returning {
		l.planDue = true
		return append(changes, reclaimed...)
	}
	if l.awaitServers(view, unowned, now) {
		l.planDue = true
		return changes
	}
	moves := l.plannerOf(u).Plan(now, view)
	l.logPlan(&view, moves)
	for _, m := range moves {
		id := partitionID{u.Name, m.Partition}
		if m.Planned {
			l.startMove(id, m, now)
			continue
		}
		c := &wirev1.AssignChange{Upstream: u.Name, Partition: m.Partition, ExpectedEpoch: m.Epoch, Owner: m.To, Reason: string(m.Reason)}
		if r := l.released[id]; r != nil && r.epoch == m.Epoch {
			c.Reason = string(reasonReleased)
			l.markPlanned(c, r, now)
		}
		changes = append(changes, c)
	}
	return changes
}

// logPlan logs the input of a plan that has moves, one line for each server.
func (l *Leader) logPlan(view *placement.View, moves []placement.Move) {
	if len(moves) == 0 {
		return
	}
	type sum struct {
		load                           float64
		partitions, receives, releases int
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
		of(m.From).releases++
		of(m.To).receives++
	}
	for _, s := range view.Servers {
		n := of(s.Incarnation)
		l.config.Logger.Info().Str("upstream", view.Upstream).Str("backendServer", s.Name).Uint64("incarnation", s.Incarnation).
			Float64("weight", s.Weight).Float64("capacity", s.Capacity).Float64("requestsPerSecond", n.load).Int("partitions", n.partitions).
			Int("gets", n.receives).Int("gives", n.releases).Bool("cold", s.Cold).Bool("lost", s.Lost).
			Str("leaves", string(s.LeaveReason)).Bool("loadsKnown", !view.LoadsUnknown).Msg("placement planned")
	}
}

// startMove records a planned move and orders its owner to release the
// partition.
func (l *Leader) startMove(id partitionID, m placement.Move, now time.Time) {
	started := &move{from: m.From, to: m.To, epoch: m.Epoch, reason: m.Reason, gain: m.Gain, startedAt: now, timeout: l.moveTimeout()}
	l.moves[id] = started
	l.moveCounts[m.Reason]++
	l.moveGain += m.Gain
	l.queueRelease(m.From, started.order(id))
	l.config.Logger.Info().Str("upstream", id.upstream).Uint32("partition", id.partition).Uint64("from", m.From).
		Uint64("to", m.To).Uint64("epoch", m.Epoch).Str("reason", string(m.Reason)).Dur("gain", m.Gain).Msg("move started")
}

// completedMoves returns the changes of owner for moves whose partition was
// released.
func (l *Leader) completedMoves(state *cluster.State, now time.Time, upstream string) []*wirev1.AssignChange {
	var changes []*wirev1.AssignChange
	for _, id := range sortedPartitions(l.released) {
		r, m := l.released[id], l.moves[id]
		if id.upstream != upstream || m == nil || m.epoch != r.epoch || !r.ready(now) || !l.canReceive(state, now, m.to) {
			continue
		}
		c := &wirev1.AssignChange{Upstream: id.upstream, Partition: id.partition, ExpectedEpoch: r.epoch, Owner: m.to, Reason: string(m.reason)}
		l.markPlanned(c, r, now)
		changes = append(changes, c)
	}
	return changes
}

// markPlanned marks a change as planned if the request ids of the released
// partition have arrived. It stores these ids for the new owner's watch stream
// before the change can be applied.
func (l *Leader) markPlanned(c *wirev1.AssignChange, r *release, now time.Time) {
	c.Planned, c.Handover = r.hasRecords, r.handover
	if r.hasRecords {
		l.movedRequests.add(now, partitionID{c.GetUpstream(), c.GetPartition()}, c.GetExpectedEpoch()+1, r.records)
	}
}

// canReceive reports whether a node may still receive a partition that was
// planned for it.
func (l *Leader) canReceive(state *cluster.State, now time.Time, incarnation uint64) bool {
	n := state.Node(incarnation)
	return n != nil && !l.granter.Expired(now, incarnation) && l.leaveReason(n) == ""
}

// leaveReason returns why a node gets no new work. It is empty if the node gets
// new work.
func (l *Leader) leaveReason(n *wirev1.Node) placement.Reason {
	switch {
	case l.rules.set.ZoneOut(n.GetAvailabilityZone()):
		return placement.ReasonZoneOut
	case n.GetDraining() || l.rules.set.ServerDraining(n.GetBackendServer().GetName()):
		return placement.ReasonDrain
	default:
		return ""
	}
}

// plannerView returns the planner's input for an upstream and the number of
// partitions whose owner is not registered or has lost its lease. The input
// shows no owner for a released partition whose target can no longer receive
// it.
func (l *Leader) plannerView(state *cluster.State, now time.Time, u *rules.Upstream) (placement.View, int) {
	o, estimates := l.loads[u.Name], l.estimatesOf(u.Name, u.Partitions)
	view := placement.View{Upstream: u.Name, LoadsUnknown: !o.established(now), Partitions: make([]placement.Partition, u.Partitions)}
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
			LeaveReason: l.leaveReason(n), Lost: l.granter.Expired(now, n.GetIncarnation()),
		}
		if u.Slots > 0 {
			s.Weight = float64(u.Slots)
		}
		s.Slots = s.Weight
		if speed, known := speeds[n.GetIncarnation()]; known {
			s.Capacity = s.Weight / speed.MeanTime.Seconds()
			s.Weight *= speed.Ratio
		}
		s.Leaving = s.LeaveReason != ""
		if s.LeaveReason == placement.ReasonZoneOut || !l.reports[s.Incarnation].draining() {
			s.WarmUpTimeout = operatorLeaveWarmUpTimeout
		}
		view.Servers = append(view.Servers, s)
		byName[s.Name], alive[s.Incarnation] = s.Incarnation, !s.Lost
	}
	unowned := 0
	for i := range view.Partitions {
		p := &view.Partitions[i]
		p.Number = uint32(i)
		p.Load = o.rate(p.Number)
		if estimates != nil {
			p.Load, p.HotSince = estimates.estimator.Rate(p.Number)
		}
	}
	if estimates != nil {
		view.PeakRatio = estimates.estimator.PeakRatio()
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
	l.markMoves(state, now, &view)
	for _, pin := range l.rules.set.Pins {
		if pin.Upstream == u.Name && pin.Partition < u.Partitions {
			view.Partitions[pin.Partition].PinnedTo = byName[pin.Server]
		}
	}
	return view, unowned
}

// markMoves adds moves in flight, releases and deferred moves to the planner's
// input.
func (l *Leader) markMoves(state *cluster.State, now time.Time, view *placement.View) {
	partition := func(id partitionID) *placement.Partition {
		if id.upstream != view.Upstream || int(id.partition) >= len(view.Partitions) {
			return nil
		}
		return &view.Partitions[id.partition]
	}
	for id, m := range l.moves {
		if p := partition(id); p != nil {
			p.Moving, p.MovingTo = true, m.to
		}
	}
	for id, r := range l.released {
		p, m := partition(id), l.moves[id]
		switch {
		case p == nil || p.Epoch != r.epoch:
		case m != nil && m.epoch == r.epoch && l.canReceive(state, now, m.to):
		case !r.ready(now):
			p.MoveDeferred = true
		default:
			p.Owner, p.Moving = 0, false
		}
	}
	for id := range l.deferredUntil {
		if p := partition(id); p != nil {
			p.MoveDeferred = true
		}
	}
}

// awaitServers reports whether placement should wait for further servers: over
// half of the partitions have no owner, and a server has registered within
// InitialPlacementWait.
func (l *Leader) awaitServers(view placement.View, unowned int, now time.Time) bool {
	if 2*unowned <= len(view.Partitions) {
		return false
	}
	for _, s := range view.Servers {
		if first := l.firstSeen[s.Incarnation]; !s.Lost && now.Sub(first) < l.config.InitialPlacementWait {
			return true
		}
	}
	return false
}

// plannerOf returns the planner of an upstream. It creates one if there is none
// or if the rules name a different policy than before.
func (l *Leader) plannerOf(u *rules.Upstream) *planner {
	name := u.Policy
	if name == "" {
		name = l.config.Policy
	}
	p := l.planners[u.Name]
	if p == nil || p.policy != name {
		policy, err := placement.NewPolicy(name, uint64(l.termStarted.UnixNano()))
		if err != nil {
			// The rules were accepted by a version that knows more policies.
			l.config.Logger.Error().Err(err).Str("upstream", u.Name).Msg("unknown placement policy; using the default one")
			policy, _ = placement.NewPolicy("", 0)
		}
		p = &planner{placement.NewPlanner(l.config.Placement, policy), name}
		l.planners[u.Name] = p
	}
	churn := l.config.Placement.WithDefaults().ChurnPerMinute
	if configured, set := l.rules.set.ChurnPerMinute(); set {
		churn = configured
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
