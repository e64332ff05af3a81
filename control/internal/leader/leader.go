// Package leader does the work of the control leader: it grants leases to
// nodes, finds the ones that are over, plans placement and carries moves
// through. It runs on every member and is idle where the member does not lead.
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
	// tick bounds the delay in finding an expired lease.
	tick = 25 * time.Millisecond
	// planInterval is the time between plans where nothing else calls for one.
	planInterval = time.Second
	// proposeTimeout bounds one proposal. A leader that has lost its quorum
	// steps down sooner.
	proposeTimeout = 2 * time.Second
	// maxBatch bounds the changes of one assign command: about 64 KB.
	maxBatch = 1024
	// maxReplaced bounds the changes of one command that removes nodes, about
	// 256 KB: the partitions of an availability zone out of 5 fit in.
	maxReplaced = 4096
	// rulesGrace is how long a node may stay behind a rules revision before
	// its lease is no longer renewed.
	rulesGrace = time.Second
	// DefaultMoveTimeout bounds the time that a release may take.
	DefaultMoveTimeout = 2 * time.Second
	// DefaultFirstWait is how long more servers are awaited after the latest
	// registration if over half of an upstream's partitions have no owner.
	// Without it the first server to start is given every partition and the
	// others get them back at the pace of the churn budget.
	DefaultFirstWait = 500 * time.Millisecond
)

// Config configures a Leader.
type Config struct {
	Log   replica.Log
	Clock clock.Clock
	// Wall gives the time that is kept with changes of owners. Default the
	// machine's wall clock.
	Wall      WallClock
	Logger    zerolog.Logger
	Lease     lease.Config
	Placement placement.Config
	// Policy of upstreams whose rules name none. Empty means balanced.
	Policy string
	// MoveTimeout applies where the rules do not set one. 0 means 2 s.
	MoveTimeout time.Duration
	// LoadWindow is the time constant of load averages. 0 means 10 s.
	LoadWindow time.Duration
	// BySpeed gives servers that answer faster a larger share of the load.
	BySpeed bool
	// Processor is the share of a core that the member has, above 0. 0 means a
	// whole one.
	Processor float64
	// FirstWait of 0 means 500 ms.
	FirstWait time.Duration
}

// WallClock tells the time of day, which can go back.
type WallClock interface {
	Now() time.Time
}

type machineTime struct{}

func (machineTime) Now() time.Time { return time.Now() }

// place names a partition of an upstream.
type place struct {
	upstream  string
	partition uint32
}

// Leader is the leader's work on one member. It is safe for concurrent use.
type Leader struct {
	config Config
	// changed wakes the loop.
	changed chan struct{}

	mu sync.Mutex
	// term of leadership that the fields below belong to, 0 for none.
	term    uint64
	granter *lease.Granter
	// began is when the term began.
	began    time.Time
	reports  map[uint64]*report
	updates  map[uint64]*wirev1.UpdateNode
	moves    map[place]*move
	released map[place]*release
	held     map[place]time.Time
	moved    *movedRecords
	planners map[string]*planner
	loads    map[string]*loads
	speeds   map[string]*placement.SpeedEstimator
	seen     map[uint64]time.Time
	dirty    bool
	planned  time.Time
	// planIndex is the index of the state that was last planned for.
	planIndex uint64
	revisions map[uint64]time.Time
	rules     parsedRules
	sinks     map[uint64]*Sink
	updated   changes
}

// parsedRules caches the rules of the current revision.
type parsedRules struct {
	revision uint64
	set      rules.Set
}

// New returns a leader that is idle until Run or Step.
func New(config Config) *Leader {
	if config.MoveTimeout == 0 {
		config.MoveTimeout = DefaultMoveTimeout
	}
	if config.LoadWindow == 0 {
		config.LoadWindow = smoothing
	}
	if config.FirstWait == 0 {
		config.FirstWait = DefaultFirstWait
	}
	if config.Processor <= 0 {
		config.Processor = 1
	}
	if config.Wall == nil {
		config.Wall = machineTime{}
	}
	config.Lease = config.Lease.WithDefaults()
	l := &Leader{
		config:  config,
		changed: make(chan struct{}, 1),
		granter: lease.NewGranter(config.Lease),
		sinks:   map[uint64]*Sink{},
	}
	l.reset()
	return l
}

// reset drops everything that belongs to a term.
func (l *Leader) reset() {
	l.reports = map[uint64]*report{}
	l.updates = map[uint64]*wirev1.UpdateNode{}
	l.moves = map[place]*move{}
	l.released = map[place]*release{}
	l.held = map[place]time.Time{}
	l.moved = newMovedRecords()
	l.planners = map[string]*planner{}
	l.loads = map[string]*loads{}
	l.speeds = map[string]*placement.SpeedEstimator{}
	l.seen = map[uint64]time.Time{}
	l.revisions = map[uint64]time.Time{}
	l.dirty = true
	l.planned = time.Time{}
}

// enter takes the lock and makes the fields those of the current term. It
// returns a *replica.NotLeaderError, with the lock released, where this member
// does not lead. What is known from an earlier term is never used: another
// leader may have granted leases since.
func (l *Leader) enter() (*cluster.State, time.Time, error) {
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
		l.term, l.began = leadership.Term, now
		var incarnations []uint64
		for n := range state.Nodes() {
			incarnations = append(incarnations, n.GetIncarnation())
		}
		l.granter.Lead(now, incarnations)
		l.config.Logger.Info().Uint64("term", l.term).Int("nodes", len(incarnations)).
			Dur("takeoverWait", l.granter.TakeoverWait(now)).Msg("leadership began")
	}
	l.noteRevision(state, now)
	return state, now, nil
}

// noteRevision remembers since when each rules revision applies here.
func (l *Leader) noteRevision(state *cluster.State, now time.Time) {
	revision := state.Revision()
	if revision == 0 || l.rules.revision == revision && !l.revisions[revision].IsZero() {
		return
	}
	l.revisions[revision] = now
	set, faults := rules.Parse(state.Rules().GetText())
	if err := faults.Err(); err != nil {
		// Members of different versions may differ in what they accept: what
		// this one understands is in effect here.
		l.config.Logger.Error().Err(err).Uint64("revision", revision).Msg("accepted rules have faults for this version")
	}
	l.rules = parsedRules{revision: revision, set: set}
	l.dirty = true
	// Rules do not wait for the pause after an earlier update.
	for _, s := range l.sinks {
		s.wake()
	}
}

// Rules returns the rules that are in effect here and their revision.
func (l *Leader) Rules() (rules.Set, uint64) {
	_, _, err := l.enter()
	if err != nil {
		return rules.Set{}, 0
	}
	defer l.mu.Unlock()
	return l.rules.set, l.rules.revision
}

// wake makes the loop run soon.
func (l *Leader) wake() {
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// Run does the leader's work until the context ends.
func (l *Leader) Run(ctx context.Context) {
	changes := l.config.Log.Subscribe(ctx)
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		busy, err := l.Step(ctx)
		var notLeader *replica.NotLeaderError
		if err != nil && ctx.Err() == nil && !errors.As(err, &notLeader) {
			l.config.Logger.Warn().Err(err).Msg("leader's work was interrupted")
		}
		if busy && err == nil {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-changes:
		case <-l.changed:
		case <-ticker.C:
		}
	}
}

// Step does what is due now and reports whether it changed the state, so that
// more may be due.
func (l *Leader) Step(ctx context.Context) (bool, error) {
	state, now, err := l.enter()
	if err != nil {
		return false, err
	}
	var commands []*wirev1.Command
	if expired := l.expire(state, now); len(expired) > 0 {
		commands = l.replace(state, now, expired)
	}
	commands = append(commands, l.takeUpdates(state)...)
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

// propose appends one command of the leader's own and logs its effect.
func (l *Leader) propose(ctx context.Context, command *wirev1.Command) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	command.ProposedUnixMs = l.config.Wall.Now().UnixMilli()
	result, err := l.config.Log.Propose(ctx, command)
	if err != nil {
		return fmt.Errorf("propose: %w", err)
	}
	l.mu.Lock()
	l.dirty = true
	l.mu.Unlock()
	switch kind := command.GetKind().(type) {
	case *wirev1.Command_Assign:
		l.assigned(kind.Assign.GetChanges(), result)
	case *wirev1.Command_ReplaceNodes:
		for _, incarnation := range kind.ReplaceNodes.GetRemoved() {
			l.config.Logger.Info().Uint64("incarnation", incarnation).Str("reason", kind.ReplaceNodes.GetReason()).
				Stringer("result", result.Code).Msg("node removed")
		}
		l.assigned(kind.ReplaceNodes.GetChanges(), result)
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

// assigned ends the moves that a command carried out and logs one line for
// each of its changes, without the lock: renewals do not wait for 4,096 lines.
func (l *Leader) assigned(changes []*wirev1.AssignChange, result cluster.Result) {
	refused := make(map[int]bool, len(result.RefusedChanges))
	for _, i := range result.RefusedChanges {
		refused[i] = true
	}
	ended := map[place]*move{}
	l.mu.Lock()
	for i, c := range changes {
		at := place{c.GetUpstream(), c.GetPartition()}
		if result.Code != cluster.CodeApplied || refused[i] {
			continue
		}
		if m := l.moves[at]; m != nil {
			ended[at] = m
		}
		delete(l.moves, at)
		delete(l.released, at)
	}
	l.mu.Unlock()
	now := l.config.Clock.Now()
	for i, c := range changes {
		at := place{c.GetUpstream(), c.GetPartition()}
		line := l.config.Logger.Info().Str("upstream", at.upstream).Uint32("partition", at.partition).
			Uint64("owner", c.GetOwner()).Uint64("epoch", c.GetExpectedEpoch()+1).Str("reason", c.GetReason()).Bool("planned", c.GetPlanned())
		if result.Code != cluster.CodeApplied || refused[i] {
			line.Str("refused", result.Message).Msg("partition not assigned")
			continue
		}
		if m := ended[at]; m != nil {
			line.Uint64("from", m.from).Dur("took", now.Sub(m.begun))
		}
		line.Msg("partition assigned")
	}
}
