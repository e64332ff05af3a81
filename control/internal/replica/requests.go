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

// ErrOutcomeUnknown is returned if leadership was lost before an entry was
// committed. The next leader may or may not have the entry.
var ErrOutcomeUnknown = errors.New("leadership was lost before the entry was committed; it may still be applied")

// ErrBusy is returned if the leader has too many uncommitted entries.
var ErrBusy = errors.New("too many uncommitted entries; nothing was appended")

// ErrChangePending is returned if another change of the membership is not
// complete, or if the leader has not yet committed an entry of its term.
var ErrChangePending = errors.New("another change of the members is not complete; nothing was changed")

// InvalidChangeError is returned for a change of the membership that is not
// possible, now or later.
type InvalidChangeError struct {
	Message string
}

// Error returns the reason why the change is not possible.
func (e *InvalidChangeError) Error() string { return e.Message }

// reply is the result of a request.
type reply struct {
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
	// replyTo has room for the only reply, so that the loop never blocks.
	replyTo chan reply
}

// change is a change of the membership that adds or removes one member.
type change struct {
	add    *wirev1.Member
	remove uint64
}

// submit passes a request to the loop and waits for the reply.
func (r *Replica) submit(ctx context.Context, q *request) (reply, error) {
	q.replyTo = make(chan reply, 1)
	queue := r.requests
	if q.confirm {
		queue = r.confirms
	}
	select {
	case queue <- q:
	case <-r.stopped:
		return reply{}, ErrStopped
	case <-ctx.Done():
		return reply{}, ctx.Err()
	}
	select {
	case a := <-q.replyTo:
		return a, a.err
	case <-ctx.Done():
		return reply{}, ctx.Err()
	case <-r.stopped:
	}
	// The reply may have been sent right before the loop ended.
	select {
	case a := <-q.replyTo:
		return a, a.err
	default:
		return reply{}, ErrStopped
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
	a, err := r.submit(ctx, &request{data: data})
	return a.result, err
}

// Confirm implements Log.
func (r *Replica) Confirm(ctx context.Context) error {
	_, err := r.submit(ctx, &request{confirm: true})
	return err
}

// ChangeMembers implements Log. A repeated call waits for the change if it is
// in progress and returns at once if it is complete.
func (r *Replica) ChangeMembers(ctx context.Context, add *wirev1.Member, remove uint64) ([]*wirev1.Member, error) {
	if (add == nil) == (remove == 0) {
		return nil, &InvalidChangeError{Message: "exactly one member must be added or removed"}
	}
	a, err := r.submit(ctx, &request{change: &change{add: add, remove: remove}})
	return a.members, err
}

// Members implements Log.
func (r *Replica) Members() []*wirev1.MemberStatus {
	a, err := r.submit(context.Background(), &request{status: true})
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

// notify sends a value to each subscriber. A channel that was not read since
// the last call still holds a value.
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
