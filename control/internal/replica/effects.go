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
			l.finishRound(e.ID, nil)
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
	for index, w := range l.appended {
		if index <= snapshot.Index {
			delete(l.appended, index)
			w.request.replyTo <- reply{err: ErrOutcomeUnknown}
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
				// All members skip the entry, so that their states stay equal.
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
		w, ok := l.appended[e.Index]
		if !ok {
			continue
		}
		delete(l.appended, e.Index)
		if w.term != e.Term {
			replies[i] = reply{err: ErrOutcomeUnknown}
		}
		if add := w.request.change; add != nil && add.add != nil && replies[i].err == nil {
			// ChangeMembers returns once the new member is a voter.
			l.promotions[add.add.Id] = append(l.promotions[add.add.Id], w.request)
			continue
		}
		w.request.replyTo <- replies[i]
	}
}

// applyMembership publishes a committed membership and replies to the requests
// that wait for a member to become a voter.
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
		for _, q := range requests {
			if m == nil {
				q.replyTo <- reply{err: &InvalidChangeError{Message: fmt.Sprintf("member %d was removed before it became a voter", id)}}
				continue
			}
			q.replyTo <- reply{members: membership.Members}
		}
	}
	return membership.Members
}

// proposed stores the index at which a request's entry was appended.
func (l *loop) proposed(e raft.Proposed) {
	q := l.proposals[e.ID]
	delete(l.proposals, e.ID)
	l.appended[e.Index] = appendedRequest{request: q, term: e.Term}
}

// reject replies with an error to a proposal or to the requests of a quorum
// round.
func (l *loop) reject(e raft.Rejected) {
	err := l.rejectionError(e)
	if q := l.proposals[e.ID]; q != nil {
		delete(l.proposals, e.ID)
		q.replyTo <- reply{err: err}
		return
	}
	l.finishRound(e.ID, err)
}

// finishRound replies to the Confirm requests that share a quorum round.
func (l *loop) finishRound(id uint64, err error) {
	for _, q := range l.confirmRounds[id] {
		q.replyTo <- reply{err: err}
	}
	delete(l.confirmRounds, id)
}

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
		l.failAppended(before.Term)
	}
}

// failAppended replies with ErrOutcomeUnknown to the requests whose entries or
// membership changes were not complete when leadership ended.
func (l *loop) failAppended(term uint64) {
	for index, w := range l.appended {
		if w.term <= term {
			delete(l.appended, index)
			w.request.replyTo <- reply{err: ErrOutcomeUnknown}
		}
	}
	for id, requests := range l.promotions {
		delete(l.promotions, id)
		for _, q := range requests {
			q.replyTo <- reply{err: ErrOutcomeUnknown}
		}
	}
}

func (l *loop) membershipChanged(e raft.MembershipChanged) {
	if l.membership.Load() == nil {
		l.membership.Store(e.Membership)
	}
	l.transport.SetMembers(e.Membership.Members)
}
