package replica

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/jujubeknot/jujubeknot/core/cluster"
	"github.com/jujubeknot/jujubeknot/core/raft"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// step passes an event to the state machine and carries out the effects in
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
			l.confirmed(e.ID, nil)
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

func (l *loop) restore(snapshot *wirev1.Snapshot) error {
	state, err := decodeState(snapshot)
	if err != nil {
		return err
	}
	l.state.Store(state)
	l.applied, l.sinceSnapshot, l.bytesSince = snapshot.Index, 0, 0
	l.membership.Store(snapshot.Membership)
	for index, w := range l.appended {
		if index <= snapshot.Index {
			delete(l.appended, index)
			w.request.answered <- answer{err: ErrOutcomeUnknown}
		}
	}
	l.logger.Info().Uint64("index", snapshot.Index).Msg("restored the state from a snapshot")
	return nil
}

// apply brings committed entries into the state and answers those who wait.
// The state is published before the answers, so that a caller reads its own
// write.
func (l *loop) apply(entries []*wirev1.Entry) {
	state := l.State()
	answers := make([]answer, len(entries))
	for i, e := range entries {
		switch e.Kind {
		case wirev1.Entry_KIND_COMMAND:
			command := &wirev1.Command{}
			if err := proto.Unmarshal(e.Data, command); err != nil {
				// Each member refuses the entry in the same way.
				answers[i].result = cluster.Result{Code: cluster.CodeInvalid, Index: e.Index, Message: "the command cannot be decoded"}
				l.logger.Error().Uint64("index", e.Index).Err(err).Msg("skipped a command that cannot be decoded")
				continue
			}
			state, answers[i].result = state.Apply(e.Index, command)
		case wirev1.Entry_KIND_MEMBERSHIP:
			answers[i].members = l.applyMembership(e)
		}
		l.bytesSince += len(e.Data)
	}
	l.state.Store(state)
	l.applied = entries[len(entries)-1].Index
	l.sinceSnapshot += uint64(len(entries))
	for i, e := range entries {
		w, ok := l.appended[e.Index]
		if !ok {
			continue
		}
		delete(l.appended, e.Index)
		if w.term != e.Term {
			answers[i] = answer{err: ErrOutcomeUnknown}
		}
		if add := w.request.change; add != nil && add.add != nil && answers[i].err == nil {
			// The call returns once the new member is a voter.
			l.joins[add.add.Id] = append(l.joins[add.add.Id], w.request)
			continue
		}
		w.request.answered <- answers[i]
	}
}

// applyMembership publishes a committed membership and answers the calls that
// wait for a member to become a voter.
func (l *loop) applyMembership(e *wirev1.Entry) []*wirev1.Member {
	membership := &wirev1.Membership{}
	if err := proto.Unmarshal(e.Data, membership); err != nil {
		panic(fmt.Sprintf("replica: membership in committed entry %d cannot be decoded: %v", e.Index, err))
	}
	l.membership.Store(membership)
	l.logger.Info().Uint64("index", e.Index).Any("members", membership.Members).Msg("membership committed")
	for id, requests := range l.joins {
		m := findMember(membership, id)
		if m.GetLearner() {
			continue
		}
		delete(l.joins, id)
		for _, q := range requests {
			if m == nil {
				q.answered <- answer{err: &InvalidChangeError{Message: fmt.Sprintf("member %d was removed before it became a voter", id)}}
				continue
			}
			q.answered <- answer{members: membership.Members}
		}
	}
	return membership.Members
}

func (l *loop) proposed(e raft.Proposed) {
	q := l.proposals[e.ID]
	delete(l.proposals, e.ID)
	l.appended[e.Index] = waiting{request: q, term: e.Term}
}

func (l *loop) reject(e raft.Rejected) {
	err := l.rejected(e)
	if q := l.proposals[e.ID]; q != nil {
		delete(l.proposals, e.ID)
		q.answered <- answer{err: err}
		return
	}
	l.confirmed(e.ID, err)
}

func (l *loop) confirmed(id uint64, err error) {
	for _, q := range l.rounds[id] {
		q.answered <- answer{err: err}
	}
	delete(l.rounds, id)
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

// failAppended answers the requests whose entries were not committed when
// leadership ended.
func (l *loop) failAppended(term uint64) {
	for index, w := range l.appended {
		if w.term <= term {
			delete(l.appended, index)
			w.request.answered <- answer{err: ErrOutcomeUnknown}
		}
	}
	for id, requests := range l.joins {
		delete(l.joins, id)
		for _, q := range requests {
			q.answered <- answer{err: ErrOutcomeUnknown}
		}
	}
}

func (l *loop) membershipChanged(e raft.MembershipChanged) {
	if l.membership.Load() == nil {
		l.membership.Store(e.Membership)
	}
	l.transport.SetMembers(e.Membership.Members)
}
