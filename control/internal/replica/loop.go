package replica

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/jujubeknot/jujubeknot/core/raft"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// loop is the state of the goroutine of Run. It turns requests, messages and
// time-outs into events of the raft state machine and carries out the effects.
type loop struct {
	*Replica
	member *raft.Member
	timer  *time.Timer

	nextID uint64
	// proposals are the requests that wait for raft.Proposed, by request id.
	// appended are those that wait for raft.Apply, by log index.
	proposals map[uint64]*request
	appended  map[uint64]appendedRequest
	// promotions are the requests that wait until a new member is a voter, by
	// member id.
	promotions map[uint64][]*request
	// pendingConfirms wait for the next quorum round. confirmRounds wait for the
	// result of a round, by its id.
	pendingConfirms  []*request
	confirmRounds    map[uint64][]*request
	lastConfirmRound time.Time

	appliedIndex         uint64
	entriesSinceSnapshot uint64
	bytesSinceSnapshot   int
	encodingSnapshot     bool
	snapshots            chan snapshotResult
	halted               *raft.Halted
	requestsClosed       bool
}

// appendedRequest is a request whose entry was appended to the log in a term.
type appendedRequest struct {
	request *request
	term    uint64
}

type snapshotResult struct {
	index uint64
	data  []byte
	err   error
}

func newLoop(r *Replica, m *raft.Member) *loop {
	return &loop{
		Replica: r, member: m, timer: time.NewTimer(time.Hour),
		proposals: map[uint64]*request{}, appended: map[uint64]appendedRequest{}, promotions: map[uint64][]*request{},
		confirmRounds: map[uint64][]*request{}, snapshots: make(chan snapshotResult, 1),
	}
}

func (l *loop) run(ctx context.Context) error {
	defer l.timer.Stop()
	if err := l.step(raft.Tick{}); err != nil {
		return err
	}
	done := ctx.Done()
	var stopAt time.Time
	for {
		batch, ended, err := l.collect(done, stopAt)
		if err != nil {
			return err
		}
		if ended && errors.Is(context.Cause(ctx), ErrAbandoned) {
			return nil
		}
		if ended {
			// Leadership is transferred before the end, so that the group does not
			// have to wait for an election timeout.
			done, l.requestsClosed = nil, true
			stopAt = l.config.Clock.Now().Add(l.config.StopTimeout)
			batch = append(batch, raft.TransferLeadership{})
		}
		if err := l.step(batch); err != nil {
			return err
		}
		if l.halted != nil {
			return &HaltedError{Reason: l.halted.Reason}
		}
		if done == nil && (!l.Leadership().Leading || !l.config.Clock.Now().Before(stopAt) || len(l.member.Membership().Members) < 2) {
			return nil
		}
	}
}

// collect waits for the first request, message, snapshot or time-out and adds
// the requests and messages that are queued, up to maxBatchEvents. It reports
// whether done was closed.
func (l *loop) collect(done <-chan struct{}, stopAt time.Time) (raft.Batch, bool, error) {
	var batch raft.Batch
	select {
	case <-done:
		return batch, true, nil
	case q := <-l.confirms:
		batch = l.request(batch, q)
	case q := <-l.requests:
		batch = l.request(batch, q)
	case messages := <-l.inbox:
		batch = l.messages(batch, messages)
	case s := <-l.snapshots:
		var err error
		if batch, err = l.snapshotDone(batch, s); err != nil {
			return nil, false, err
		}
	case <-l.resetTimer(l.nextDeadline(stopAt)):
	}
	// All queued Confirm requests join the round, however many proposals are
	// queued.
	for n := len(l.confirms); n > 0; n-- {
		batch = l.request(batch, <-l.confirms)
	}
	for len(batch) < maxBatchEvents {
		select {
		case q := <-l.requests:
			batch = l.request(batch, q)
			continue
		case messages := <-l.inbox:
			batch = l.messages(batch, messages)
			continue
		default:
		}
		break
	}
	return append(l.startConfirmRound(batch), raft.Tick{}), false, nil
}

// nextDeadline returns the time at which the loop has to act without a request
// or message.
func (l *loop) nextDeadline(stopAt time.Time) time.Time {
	at := l.member.NextDeadline()
	if len(l.pendingConfirms) > 0 {
		at = earlier(at, l.lastConfirmRound.Add(l.config.ConfirmInterval))
	}
	return earlier(at, stopAt)
}

// earlier returns the earlier of two times. Zero means never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// startConfirmRound starts a quorum round for all pending Confirm requests,
// unless the last round started less than Config.ConfirmInterval ago.
func (l *loop) startConfirmRound(batch raft.Batch) raft.Batch {
	now := l.config.Clock.Now()
	if len(l.pendingConfirms) == 0 || now.Sub(l.lastConfirmRound) < l.config.ConfirmInterval {
		return batch
	}
	l.lastConfirmRound = now
	l.nextID++
	l.confirmRounds[l.nextID], l.pendingConfirms = l.pendingConfirms, nil
	return append(batch, raft.ReadIndex{ID: l.nextID})
}

// messages adds received messages to a batch.
func (l *loop) messages(batch raft.Batch, messages []*wirev1.RaftMessage) raft.Batch {
	for _, m := range messages {
		if m.Snapshot != nil {
			// A snapshot that cannot be decoded must not replace the log.
			if _, err := decodeState(m.Snapshot); err != nil {
				l.logger.Error().Uint64("from", m.From).Err(err).Msg("refused a snapshot that cannot be decoded")
				continue
			}
		}
		batch = append(batch, raft.Receive{Message: m})
	}
	return batch
}

// request adds the event for a request to a batch, or replies at once.
func (l *loop) request(batch raft.Batch, q *request) raft.Batch {
	switch {
	case q.status:
		q.replyTo <- reply{status: l.memberStatus()}
		return batch
	case l.requestsClosed:
		q.replyTo <- reply{err: ErrStopped}
		return batch
	case q.confirm:
		l.pendingConfirms = append(l.pendingConfirms, q)
		return batch
	case q.change != nil:
		return l.changeRequest(batch, q)
	}
	l.nextID++
	l.proposals[l.nextID] = q
	return append(batch, raft.Propose{ID: l.nextID, Data: q.data})
}

// changeRequest proposes a change of the membership. If the change is in
// progress, the request waits for it; if it is complete, the reply is sent at
// once.
func (l *loop) changeRequest(batch raft.Batch, q *request) raft.Batch {
	current := l.member.Membership()
	if l.Leadership().Leading {
		if q.change.remove != 0 && slices.Contains(l.membership.Load().GetRemovedIds(), q.change.remove) {
			q.replyTo <- reply{members: l.membership.Load().Members}
			return batch
		}
		for _, m := range current.Members {
			if q.change.add == nil || m.Id != q.change.add.Id || m.Address != q.change.add.Address {
				continue
			}
			if m.Learner || findMember(l.membership.Load(), m.Id).GetLearner() {
				l.promotions[m.Id] = append(l.promotions[m.Id], q)
			} else {
				q.replyTo <- reply{members: current.Members}
			}
			return batch
		}
	}
	l.nextID++
	l.proposals[l.nextID] = q
	return append(batch, raft.ProposeMembership{ID: l.nextID, Add: q.change.add, Remove: q.change.remove})
}

func findMember(membership *wirev1.Membership, id uint64) *wirev1.Member {
	for _, m := range membership.GetMembers() {
		if m.Id == id {
			return m
		}
	}
	return nil
}

// memberStatus returns the members with their progress.
func (l *loop) memberStatus() []*wirev1.MemberStatus {
	status, now := l.member.Status(), l.config.Clock.Now()
	var list []*wirev1.MemberStatus
	for _, m := range l.member.Membership().Members {
		s := &wirev1.MemberStatus{Member: m, Leader: m.Id == status.Leader}
		if m.Id == l.config.MemberID {
			s.MatchIndex = status.LastIndex
		}
		for _, p := range status.Progress {
			if p.ID == m.Id {
				s.MatchIndex, s.AnswerAgeMs = p.MatchIndex, uint64(max(0, now.Sub(p.LastResponse)).Milliseconds())
			}
		}
		list = append(list, s)
	}
	return list
}

// takeSnapshot encodes the state in the background if enough entries or bytes
// were applied since the last snapshot. Applied states are immutable.
func (l *loop) takeSnapshot() {
	if l.encodingSnapshot || l.entriesSinceSnapshot < l.config.SnapshotEntries && l.bytesSinceSnapshot < l.config.SnapshotBytes {
		return
	}
	l.encodingSnapshot, l.entriesSinceSnapshot, l.bytesSinceSnapshot = true, 0, 0
	index, state, results := l.appliedIndex, l.State(), l.snapshots
	go func() {
		data, err := proto.Marshal(state.Snapshot())
		results <- snapshotResult{index: index, data: data, err: err}
	}()
}

// snapshotDone compacts the log with an encoded snapshot.
func (l *loop) snapshotDone(batch raft.Batch, s snapshotResult) (raft.Batch, error) {
	l.encodingSnapshot = false
	if s.err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", s.err)
	}
	l.logger.Info().Uint64("index", s.index).Int("bytes", len(s.data)).Msg("compacting the log with a snapshot")
	return append(batch, raft.Compact{Index: s.index, Data: s.data, Keep: l.config.KeepEntries, KeepBytes: l.config.KeepBytes}), nil
}

// rejectionError returns the error for a request that the log rejected.
func (l *loop) rejectionError(e raft.Rejected) error {
	switch e.Reason {
	case raft.ReasonTransferring:
		// The known leader is this member itself, so no address is returned.
		return &NotLeaderError{}
	case raft.ReasonNotLeader:
		return l.notLeaderError(e.Leader)
	case raft.ReasonBusy:
		return ErrBusy
	case raft.ReasonChangePending:
		return ErrChangePending
	case raft.ReasonInvalidChange:
		return &InvalidChangeError{Message: e.Detail}
	}
	return errors.New(e.Reason.String())
}

// notLeaderError returns the error that refers to the leader with the given id, 0 for
// none. A process that the group has not added has no leader in its log and refers to
// the one that members reported.
func (l *loop) notLeaderError(leader uint64) error {
	if leader != 0 {
		return &NotLeaderError{Address: findMember(l.member.Membership(), leader).GetAddress(), OperatorAddress: l.transport.OperatorAddress(leader)}
	}
	if known := l.Leadership(); known.LeaderID == 0 && !known.Leading {
		return &NotLeaderError{Address: known.Address, OperatorAddress: known.OperatorAddress}
	}
	return &NotLeaderError{}
}
