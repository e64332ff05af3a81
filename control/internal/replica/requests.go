package replica

import (
	"context"
	"fmt"
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/jujubeknot/jujubeknot/core/cluster"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// ErrStopped is returned for requests at or after the end of Run.
var ErrStopped = errors.New("the replica has stopped")

// ErrOutcomeUnknown is returned where leadership was lost before an entry was
// committed: the next leader may or may not have it.
var ErrOutcomeUnknown = errors.New("leadership was lost before the entry was committed; it may still be applied")

// ErrBusy is returned where the leader holds too much that is not committed.
var ErrBusy = errors.New("too many uncommitted entries; nothing was appended")

// ErrChangePending is returned where another change of the membership is not
// complete, or the leader is too new to begin one.
var ErrChangePending = errors.New("another change of the members is not complete; nothing was changed")

// InvalidChangeError is returned for a change of the membership that cannot be
// made, now or later.
type InvalidChangeError struct {
	Message string
}

// Error says what is wrong with the change.
func (e *InvalidChangeError) Error() string { return e.Message }

// answer is what a request gets, once.
type answer struct {
	result  cluster.Result
	members []*wirev1.Member
	status  []*wirev1.MemberStatus
	err     error
}

// request is a call that waits for the loop of Run. Exactly one of data,
// change, confirm and status is set.
type request struct {
	data    []byte
	change  *change
	confirm bool
	status  bool
	// answered has room for the only answer, so that the loop never waits.
	answered chan answer
}

type change struct {
	add    *wirev1.Member
	remove uint64
}

// ask passes a request to the loop and waits for the answer.
func (r *Replica) ask(ctx context.Context, q *request) (answer, error) {
	q.answered = make(chan answer, 1)
	queue := r.requests
	if q.confirm {
		queue = r.confirms
	}
	select {
	case queue <- q:
	case <-r.stopped:
		return answer{}, ErrStopped
	case <-ctx.Done():
		return answer{}, ctx.Err()
	}
	select {
	case a := <-q.answered:
		return a, a.err
	case <-ctx.Done():
		return answer{}, ctx.Err()
	case <-r.stopped:
	}
	// The answer may have been given right before the end.
	select {
	case a := <-q.answered:
		return a, a.err
	default:
		return answer{}, ErrStopped
	}
}

// Propose implements Log.
func (r *Replica) Propose(ctx context.Context, command *wirev1.Command) (cluster.Result, error) {
	data, err := proto.Marshal(command)
	if err != nil {
		return cluster.Result{}, fmt.Errorf("encode command: %w", err)
	}
	if len(data) > maxCommandBytes {
		return cluster.Result{}, errors.Errorf("command of %d bytes is over the limit of %d", len(data), maxCommandBytes)
	}
	if data == nil {
		data = []byte{}
	}
	a, err := r.ask(ctx, &request{data: data})
	return a.result, err
}

// Confirm implements Log.
func (r *Replica) Confirm(ctx context.Context) error {
	_, err := r.ask(ctx, &request{confirm: true})
	return err
}

// ChangeMembers implements Log. A repeated call for a change that is under way
// or complete waits for it or returns at once.
func (r *Replica) ChangeMembers(ctx context.Context, add *wirev1.Member, remove uint64) ([]*wirev1.Member, error) {
	if (add == nil) == (remove == 0) {
		return nil, &InvalidChangeError{Message: "exactly one member must be added or removed"}
	}
	a, err := r.ask(ctx, &request{change: &change{add: add, remove: remove}})
	return a.members, err
}

// Members implements Log.
func (r *Replica) Members() []*wirev1.MemberStatus {
	a, err := r.ask(context.Background(), &request{status: true})
	if err != nil {
		return nil
	}
	return a.status
}

// State implements Log.
func (r *Replica) State() *cluster.State {
	return r.state.Load()
}

// Leadership implements Log.
func (r *Replica) Leadership() Leadership {
	return *r.leadership.Load()
}

// Subscribe implements Log.
func (r *Replica) Subscribe(ctx context.Context) <-chan struct{} {
	channel := make(chan struct{}, 1)
	r.subscribersMutex.Lock()
	r.subscribers = append(r.subscribers, channel)
	r.subscribersMutex.Unlock()
	context.AfterFunc(ctx, func() {
		r.subscribersMutex.Lock()
		defer r.subscribersMutex.Unlock()
		r.subscribers = slices.DeleteFunc(r.subscribers, func(c chan struct{}) bool { return c == channel })
		close(channel)
	})
	return channel
}

// notify wakes the subscribers. One that was not read since the last time
// still has its value.
func (r *Replica) notify() {
	r.subscribersMutex.Lock()
	defer r.subscribersMutex.Unlock()
	for _, channel := range r.subscribers {
		select {
		case channel <- struct{}{}:
		default:
		}
	}
}
