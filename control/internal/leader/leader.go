// Package leader implements the duties of the control leader: it grants leases
// to nodes, detects expired leases, plans placement and executes planned moves.
// It runs on every control member and is idle while the member is not the
// leader.
package leader

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/jujubeknot/jujubeknot/control/internal/replica"
	"github.com/jujubeknot/jujubeknot/core/clock"
	"github.com/jujubeknot/jujubeknot/core/cluster"
	"github.com/jujubeknot/jujubeknot/core/lease"
	"github.com/jujubeknot/jujubeknot/core/placement"
	"github.com/jujubeknot/jujubeknot/core/rules"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

const (
	// expiryCheckInterval bounds the delay before an expired lease is detected.
	expiryCheckInterval = 25 * time.Millisecond
	// planInterval is the longest time between two plans. Changes of the state
	// cause a plan earlier.
	planInterval = time.Second
	// proposeTimeout bounds one proposal. A leader that loses its quorum steps
	// down earlier than this.
	proposeTimeout = 2 * time.Second
	// maxAssignChanges limits the changes of one assign command, about 64 KB.
	maxAssignChanges = 1024
	// maxReplaceChanges limits the changes of one command that removes nodes,
	// about 256 KB. The partitions of one of 5 availability zones fit into one
	// such command.
	maxReplaceChanges = 4096
	// rulesUpdateGrace is how long a node may lag behind a rules revision before
	// its lease is no longer renewed.
	rulesUpdateGrace = time.Second
	// DefaultMoveTimeout is the default time limit for the release of a
	// partition.
	DefaultMoveTimeout = 2 * time.Second
	// DefaultInitialPlacementWait is how long placement waits for further servers
	// after the latest registration while over half of an upstream's partitions
	// have no owner. Without it, the first server to start gets every partition,
	// and the others get their part only as fast as the churn budget allows.
	DefaultInitialPlacementWait = 500 * time.Millisecond
)

// Config configures a Leader.
type Config struct {
	Log   replica.Log
	Clock clock.Clock
	// WallClock gives the time that is stored with changes of owners. The default
	// is the machine's wall clock.
	WallClock WallClock
	Logger    zerolog.Logger
	Lease     lease.Config
	Placement placement.Config
	// Policy is the placement policy of upstreams whose rules name none. Empty
	// means balanced.
	Policy string
	// MoveTimeout limits the release of a partition where the rules set no limit.
	// 0 means 2 s.
	MoveTimeout time.Duration
	// LoadWindow is the time constant of load averages. 0 means 10 s.
	LoadWindow time.Duration
	// WeightBySpeed gives servers that answer faster a larger share of the load.
	WeightBySpeed bool
	// ProcessorShare is the part of a processor core that the member may use. 0
	// means a whole core.
	ProcessorShare float64
	// InitialPlacementWait is how long placement waits for further servers after
	// a registration while over half of an upstream's partitions have no owner. 0
	// means 500 ms.
	InitialPlacementWait time.Duration
}

// WallClock returns the time of day, which can go backwards.
type WallClock interface {
	Now() time.Time
}

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

// partitionID identifies a partition of an upstream.
type partitionID struct {
	upstream  string
	partition uint32
}

// Leader performs the duties of the control leader on one member. It is safe
// for concurrent use.
type Leader struct {
	config Config
	// wakeups wakes the loop of Run.
	wakeups chan struct{}

	mu sync.Mutex
	// term is the term of leadership that the fields below belong to, 0 for none.
	term    uint64
	granter *lease.Granter
	// termStarted is when this member noticed that it leads the term.
	termStarted time.Time
	// reports has the latest renewal of each incarnation.
	reports map[uint64]*report
	// nodeUpdates has the changes that nodes reported about themselves and that
	// are not proposed yet, by incarnation.
	nodeUpdates map[uint64]*wirev1.UpdateNode
	// moves are the planned moves in flight.
	moves map[partitionID]*move
	// released are the released partitions that have no new owner yet.
	released map[partitionID]*release
	// deferredUntil is when a partition may be moved again after a deferred move.
	deferredUntil map[partitionID]time.Time
	// movedRequests has the request ids for the new owners of moved partitions.
	movedRequests *movedRequests
	planners      map[string]*planner
	loads         map[string]*loadAverages
	estimates     map[string]*rateEstimates
	// moveCounts has the planned moves by reason, moveGain the sum of their gains.
	// They outlast the term.
	moveCounts map[placement.Reason]int64
	moveGain   time.Duration
	speeds     map[string]*placement.SpeedEstimator
	// firstSeen is when this leader first found each incarnation registered.
	firstSeen map[uint64]time.Time
	// joined has each VM that has registered in this term, with an incarnation below the
	// one that it registered.
	joined map[string]uint64
	// vms has the VM of each incarnation that this leader found registered.
	vms map[uint64]string
	// returns has the return of the servers of each upstream.
	returns map[string]*fleetReturn
	// planDue is whether a plan is due even if the state's index is unchanged and
	// planInterval has not passed.
	planDue bool
	// lastIntervalPlan is when planInterval last caused a plan, which also updates
	// the load averages.
	lastIntervalPlan time.Time
	// planIndex is the index of the state that the latest plan was made for.
	planIndex uint64
	// revisions is when each rules revision took effect on this member.
	revisions map[uint64]time.Time
	rules     parsedRules
	// streams has the open watch stream of each incarnation.
	streams     map[uint64]*WatchStream
	updateCache updateCache
}

// parsedRules caches the rules of the current revision.
type parsedRules struct {
	revision uint64
	set      rules.Set
}

// New returns a Leader that does nothing until Run or Step is called.
func New(config Config) *Leader {
	if config.MoveTimeout == 0 {
		config.MoveTimeout = DefaultMoveTimeout
	}
	if config.LoadWindow == 0 {
		config.LoadWindow = defaultLoadWindow
	}
	if config.InitialPlacementWait == 0 {
		config.InitialPlacementWait = DefaultInitialPlacementWait
	}
	if config.ProcessorShare <= 0 {
		config.ProcessorShare = 1
	}
	if config.WallClock == nil {
		config.WallClock = systemClock{}
	}
	config.Lease = config.Lease.WithDefaults()
	l := &Leader{
		config:  config,
		wakeups: make(chan struct{}, 1),
		granter: lease.NewGranter(config.Lease),
		streams: map[uint64]*WatchStream{}, moveCounts: map[placement.Reason]int64{},
	}
	l.reset()
	return l
}

// reset discards everything that belongs to a term.
func (l *Leader) reset() {
	l.reports = map[uint64]*report{}
	l.nodeUpdates = map[uint64]*wirev1.UpdateNode{}
	l.moves = map[partitionID]*move{}
	l.released = map[partitionID]*release{}
	l.deferredUntil = map[partitionID]time.Time{}
	l.movedRequests = newMovedRequests()
	l.planners = map[string]*planner{}
	l.loads = map[string]*loadAverages{}
	l.estimates = map[string]*rateEstimates{}
	l.speeds = map[string]*placement.SpeedEstimator{}
	l.firstSeen = map[uint64]time.Time{}
	l.joined = map[string]uint64{}
	l.vms = map[uint64]string{}
	l.returns = map[string]*fleetReturn{}
	l.revisions = map[uint64]time.Time{}
	l.planDue = true
	l.lastIntervalPlan = time.Time{}
}

// lockCurrentTerm locks mu and resets the fields if the term has changed. If
// this member is not the leader, it returns a *replica.NotLeaderError with mu
// unlocked. Data from an earlier term is never used, because another leader may
// have granted leases since.
func (l *Leader) lockCurrentTerm() (*cluster.State, time.Time, error) {
	l.mu.Lock()
	leadership := l.config.Log.Leadership()
	if !leadership.Leading {
		if l.term != 0 {
			l.config.Logger.Info().Uint64("term", l.term).Str("leader", leadership.Address).Msg("leadership ended")
			l.term = 0
			l.granter.Stop()
			l.reset()
		}
		l.mu.Unlock()
		return nil, time.Time{}, &replica.NotLeaderError{Address: leadership.Address, OperatorAddress: leadership.OperatorAddress}
	}
	state := l.config.Log.State()
	now := l.config.Clock.Now()
	if leadership.Term != l.term {
		l.reset()
		l.term, l.termStarted = leadership.Term, now
		var incarnations []uint64
		for n := range state.Nodes() {
			incarnations = append(incarnations, n.GetIncarnation())
		}
		l.granter.Lead(now, incarnations)
		l.config.Logger.Info().Uint64("term", l.term).Int("nodes", len(incarnations)).
			Dur("takeoverWait", l.granter.TakeoverWait(now)).Msg("leadership began")
	}
	l.recordRevision(state, now)
	return state, now, nil
}

// recordRevision records the time from which each rules revision is in effect
// on this member.
func (l *Leader) recordRevision(state *cluster.State, now time.Time) {
	revision := state.Revision()
	if revision == 0 || l.rules.revision == revision && !l.revisions[revision].IsZero() {
		return
	}
	l.revisions[revision] = now
	set, errs := rules.Parse(state.Rules().GetText())
	if err := errs.Err(); err != nil {
		// Members of different versions may accept different rules. The part that
		// this version understands is in effect here.
		l.config.Logger.Error().Err(err).Uint64("revision", revision).Msg("accepted rules contain errors for this version")
	}
	l.rules = parsedRules{revision: revision, set: set}
	l.planDue = true
	// Rules are sent without waiting for the pause after an earlier update.
	for _, s := range l.streams {
		s.wake()
	}
}

// Rules returns the rules that are in effect on this member and their revision.
// It returns no rules and revision 0 if the member is not the leader.
func (l *Leader) Rules() (rules.Set, uint64) {
	_, _, err := l.lockCurrentTerm()
	if err != nil {
		return rules.Set{}, 0
	}
	defer l.mu.Unlock()
	return l.rules.set, l.rules.revision
}

// wake makes Run call Step without waiting for the next tick.
func (l *Leader) wake() {
	select {
	case l.wakeups <- struct{}{}:
	default:
	}
}

// Run performs the leader's duties until the context is done.
func (l *Leader) Run(ctx context.Context) {
	changes := l.config.Log.Subscribe(ctx)
	ticker := time.NewTicker(expiryCheckInterval)
	defer ticker.Stop()
	for {
		busy, err := l.Step(ctx)
		var notLeader *replica.NotLeaderError
		if err != nil && ctx.Err() == nil && !errors.As(err, &notLeader) {
			l.config.Logger.Warn().Err(err).Msg("leader step failed")
		}
		if busy && err == nil {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-changes:
		case <-l.wakeups:
		case <-ticker.C:
		}
	}
}

// Step does what is due now. It reports whether it proposed changes of the
// state, after which more may be due.
func (l *Leader) Step(ctx context.Context) (bool, error) {
	state, now, err := l.lockCurrentTerm()
	if err != nil {
		return false, err
	}
	var commands []*wirev1.Command
	if expired := l.expiredNodes(state, now); len(expired) > 0 {
		commands = l.replaceCommands(state, now, expired)
	}
	commands = append(commands, l.nodeUpdateCommands(state)...)
	if len(commands) == 0 {
		commands = l.plan(state, now)
	}
	l.mu.Unlock()
	for i, c := range commands {
		if err := l.propose(ctx, c); err != nil {
			return i > 0, err
		}
	}
	return len(commands) > 0, nil
}

// propose proposes one command of the leader and logs its effect.
func (l *Leader) propose(ctx context.Context, command *wirev1.Command) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	command.ProposedUnixMs = l.config.WallClock.Now().UnixMilli()
	result, err := l.config.Log.Propose(ctx, command)
	if err != nil {
		return fmt.Errorf("propose command of the leader: %w", err)
	}
	l.mu.Lock()
	l.planDue = true
	l.mu.Unlock()
	switch kind := command.GetKind().(type) {
	case *wirev1.Command_Assign:
		l.completeMoves(kind.Assign.GetChanges(), result)
	case *wirev1.Command_ReplaceNodes:
		for _, incarnation := range kind.ReplaceNodes.GetRemoved() {
			l.config.Logger.Info().Uint64("incarnation", incarnation).Str("reason", kind.ReplaceNodes.GetReason()).
				Stringer("result", result.Code).Msg("node removed")
		}
		l.completeMoves(kind.ReplaceNodes.GetChanges(), result)
	case *wirev1.Command_RemoveNode:
		l.config.Logger.Info().Uint64("incarnation", kind.RemoveNode.GetIncarnation()).
			Str("reason", kind.RemoveNode.GetReason()).Stringer("result", result.Code).Msg("node removed")
	case *wirev1.Command_UpdateNode:
		l.config.Logger.Info().Uint64("incarnation", kind.UpdateNode.GetIncarnation()).
			Bool("draining", kind.UpdateNode.GetDraining()).Bool("cold", kind.UpdateNode.GetCold()).
			Stringer("result", result.Code).Msg("node updated")
	}
	return nil
}

// completeMoves removes the moves that a command completed and logs one line
// for each change of the command. It logs without the lock, so that renewals do
// not wait while up to 4,096 lines are written.
func (l *Leader) completeMoves(changes []*wirev1.AssignChange, result cluster.Result) {
	refused := make(map[int]bool, len(result.RefusedChanges))
	for _, i := range result.RefusedChanges {
		refused[i] = true
	}
	completed := map[partitionID]*move{}
	l.mu.Lock()
	for i, c := range changes {
		id := partitionID{c.GetUpstream(), c.GetPartition()}
		if result.Code != cluster.CodeApplied || refused[i] {
			continue
		}
		if m := l.moves[id]; m != nil {
			completed[id] = m
		}
		delete(l.moves, id)
		delete(l.released, id)
	}
	l.mu.Unlock()
	now := l.config.Clock.Now()
	for i, c := range changes {
		id := partitionID{c.GetUpstream(), c.GetPartition()}
		event := l.config.Logger.Info().Str("upstream", id.upstream).Uint32("partition", id.partition).
			Uint64("owner", c.GetOwner()).Uint64("epoch", c.GetExpectedEpoch()+1).Str("reason", c.GetReason()).Bool("planned", c.GetPlanned())
		if result.Code != cluster.CodeApplied || refused[i] {
			event.Str("refused", result.Message).Msg("partition not assigned")
			continue
		}
		if m := completed[id]; m != nil {
			event.Uint64("from", m.from).Dur("took", now.Sub(m.startedAt))
		}
		event.Msg("partition assigned")
	}
}
