package replica

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/jujubeknot/jujubeknot/core/cluster"
	"github.com/jujubeknot/jujubeknot/core/raft"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// step passes an event to the raft state machine and carries out the effects in
// order.
func (l *loop) step(event raft.Event) error {
	changed := false
	for _, effect := range l.member.Step(l.config.Clock.Now(), event) {
		switch e := effect.(type) {
		case raft.Persist:
			if err := l.disk.Persist(e); err != nil {
				return err
			}
		case raft.PersistSnapshot:
			if err := l.disk.PersistSnapshot(e); err != nil {
				return err
			}
		case raft.Send:
			l.transport.Send(e.Message)
		case raft.Restore:
			if err := l.restore(e.Snapshot); err != nil {
				return err
			}
			changed = true
		case raft.Apply:
			l.apply(e.Entries)
			changed = true
		case raft.Proposed:
			l.proposed(e)
		case raft.Rejected:
			l.reject(e)
		case raft.ReadReady:
			l.finishConfirmRound(e.ID, nil)
		case raft.RoleChanged:
			l.roleChanged(e)
			changed = true
		case raft.MembershipChanged:
			l.membershipChanged(e)
		case raft.Halted:
			l.halted = &e
		default:
			panic(fmt.Sprintf("replica: unknown effect %T", effect))
		}
	}
	if changed {
		// The channels of Subscribe get one value for all effects of the event.
		l.notify()
		l.takeSnapshot()
	}
	return nil
}

// restore replaces the applied state by that of a snapshot. Requests whose
// entries the snapshot covers get ErrOutcomeUnknown.
func (l *loop) restore(snapshot *wirev1.Snapshot) error {
	state, err := decodeState(snapshot)
	if err != nil {
		return err
	}
	l.state.Store(state)
	l.appliedIndex, l.entriesSinceSnapshot, l.bytesSinceSnapshot = snapshot.Index, 0, 0
	l.membership.Store(snapshot.Membership)
	for index, a := range l.appended {
		if index <= snapshot.Index {
			delete(l.appended, index)
			a.request.replyTo <- reply{err: ErrOutcomeUnknown}
		}
	}
	l.logger.Info().Uint64("index", snapshot.Index).Msg("restored the state from a snapshot")
	return nil
}

// apply applies committed entries to the state and replies to the requests that
// proposed them. The state is published before the replies, so that a caller
// reads its own write.
func (l *loop) apply(entries []*wirev1.Entry) {
	state := l.State()
	replies := make([]reply, len(entries))
	for i, e := range entries {
		switch e.Kind {
		case wirev1.Entry_KIND_COMMAND:
			command := &wirev1.Command{}
			if err := proto.Unmarshal(e.Data, command); err != nil {
				// The entry is committed, so every member has it. All of them
				// skip it, so that their states stay equal and the group
				// continues to work.
				replies[i].result = cluster.Result{Code: cluster.CodeInvalid, Index: e.Index, Message: "the command cannot be decoded"}
				l.logger.Error().Uint64("index", e.Index).Err(err).Msg("skipped a committed command that cannot be decoded")
				continue
			}
			state, replies[i].result = state.Apply(e.Index, command)
		case wirev1.Entry_KIND_MEMBERSHIP:
			replies[i].members = l.applyMembership(e)
		}
		l.bytesSinceSnapshot += len(e.Data)
	}
	l.state.Store(state)
	l.appliedIndex = entries[len(entries)-1].Index
	l.entriesSinceSnapshot += uint64(len(entries))
	for i, e := range entries {
		appended, ok := l.appended[e.Index]
		if !ok {
			continue
		}
		delete(l.appended, e.Index)
		if appended.term != e.Term {
			// The entry is one of another leader. The request gets the same error
			// as any other whose entry was not committed when leadership was lost.
			replies[i] = reply{err: ErrOutcomeUnknown}
		}
		if change := appended.request.change; change != nil && change.add != nil && replies[i].err == nil {
			// ChangeMembers returns once the new member is a voter.
			l.promotions[change.add.Id] = append(l.promotions[change.add.Id], appended.request)
			continue
		}
		appended.request.replyTo <- replies[i]
	}
}

// applyMembership publishes a committed membership and replies to the requests
// that wait for a member to become a voter. A membership that cannot be decoded
// is a fault of this program, because the raft state machine decodes each one
// before it accepts the entry. Therefore applyMembership panics then, whereas
// apply skips a command that cannot be decoded.
func (l *loop) applyMembership(e *wirev1.Entry) []*wirev1.Member {
	membership := &wirev1.Membership{}
	if err := proto.Unmarshal(e.Data, membership); err != nil {
		panic(fmt.Sprintf("replica: membership in committed entry %d cannot be decoded: %v", e.Index, err))
	}
	l.membership.Store(membership)
	l.logger.Info().Uint64("index", e.Index).Any("members", membership.Members).Msg("membership committed")
	for id, requests := range l.promotions {
		m := findMember(membership, id)
		if m.GetLearner() {
			continue
		}
		delete(l.promotions, id)
		for _, r := range requests {
			if m == nil {
				r.replyTo <- reply{err: &InvalidChangeError{Message: fmt.Sprintf("member %d was removed before it became a voter", id)}}
				continue
			}
			r.replyTo <- reply{members: membership.Members}
		}
	}
	return membership.Members
}

// proposed stores the index and the term with which a request's entry was
// appended to the log.
func (l *loop) proposed(e raft.Proposed) {
	proposal := l.proposals[e.ID]
	delete(l.proposals, e.ID)
	l.appended[e.Index] = appendedRequest{request: proposal, term: e.Term}
}

// reject replies with an error to a proposal, or to the Confirm requests of a
// quorum round.
func (l *loop) reject(e raft.Rejected) {
	err := l.rejectionError(e)
	if proposal := l.proposals[e.ID]; proposal != nil {
		delete(l.proposals, e.ID)
		proposal.replyTo <- reply{err: err}
		return
	}
	l.finishConfirmRound(e.ID, err)
}

// finishConfirmRound replies to the Confirm requests that share the quorum
// round with the given id.
func (l *loop) finishConfirmRound(id uint64, err error) {
	for _, r := range l.confirmRounds[id] {
		r.replyTo <- reply{err: err}
	}
	delete(l.confirmRounds, id)
}

// roleChanged publishes the new leadership. If this member led before, it ends
// the requests that were not complete.
func (l *loop) roleChanged(e raft.RoleChanged) {
	before := l.Leadership()
	now := Leadership{
		Leading: e.Role == raft.RoleLeader, Term: e.Term, LeaderID: e.Leader,
		Address: findMember(l.member.Membership(), e.Leader).GetAddress(), OperatorAddress: l.transport.OperatorAddress(e.Leader),
	}
	if now.Leading {
		now.Since = l.config.Clock.Now()
	}
	l.leadership.Store(&now)
	l.logger.Info().Stringer("role", e.Role).Uint64("term", e.Term).Uint64("leader", e.Leader).Msg("role changed")
	if before.Leading {
		l.failIncomplete(before.Term)
	}
}

// failIncomplete replies with ErrOutcomeUnknown to the requests that were not
// complete when leadership in the given term ended: those whose entries were
// not applied, and those that wait for a new member to become a voter.
func (l *loop) failIncomplete(term uint64) {
	for index, a := range l.appended {
		if a.term <= term {
			delete(l.appended, index)
			a.request.replyTo <- reply{err: ErrOutcomeUnknown}
		}
	}
	for id, requests := range l.promotions {
		delete(l.promotions, id)
		for _, r := range requests {
			r.replyTo <- reply{err: ErrOutcomeUnknown}
		}
	}
}

// membershipChanged passes the membership in force to the transport. The
// published membership is otherwise set only when a membership is committed.
// The first one in force is published at once, so that this member knows its
// group before the first commit.
func (l *loop) membershipChanged(e raft.MembershipChanged) {
	if l.membership.Load() == nil {
		l.membership.Store(e.Membership)
	}
	l.transport.SetMembers(e.Membership.Members)
	// A member that was just added receives the leader's messages before the
	// membership that has the leader's address.
	if now := l.Leadership(); now.LeaderID != 0 {
		if address := findMember(e.Membership, now.LeaderID).GetAddress(); address != now.Address {
			now.Address = address
			l.leadership.Store(&now)
			l.notify()
		}
	}
}
