// Package leader helps clients of a control group to find the leader. It determines
// the order in which to call the members, and reads the address of the leader from
// the error of another member.
package leader

import (
	"errors"
	"net/netip"
	"slices"

	"connectrpc.com/connect"

	"github.com/jujubeknot/jujubeknot/wire/headers"
)

// FromError returns the address of the leader from the error of a member that is
// not the leader. The address is not valid if the error does not contain one.
func FromError(err error) netip.AddrPort {
	var connectErr *connect.Error
	if !errors.As(err, &connectErr) {
		return netip.AddrPort{}
	}
	address, parseErr := netip.ParseAddrPort(connectErr.Meta().Get(headers.Leader))
	if parseErr != nil {
		return netip.AddrPort{}
	}
	return address
}

// Queue holds the members that are still to be called in one round. Each member is
// called at most once. It is not safe for concurrent use.
type Queue[A comparable] struct {
	pending []A
	called  map[A]bool
}

// NewQueue returns a queue of the members in the given order. It does not modify
// members.
func NewQueue[A comparable](members []A) *Queue[A] {
	return &Queue[A]{pending: slices.Clone(members), called: map[A]bool{}}
}

// Next removes the next member from the queue and returns it. ok is false if the
// queue is empty.
func (q *Queue[A]) Next() (member A, ok bool) {
	if len(q.pending) == 0 {
		return member, false
	}
	member, q.pending = q.pending[0], q.pending[1:]
	q.called[member] = true
	return member, true
}

// PushFront makes member the next one, whether or not it is in the queue. It does
// nothing if Next has already returned the member.
func (q *Queue[A]) PushFront(member A) {
	if q.called[member] {
		return
	}
	others := slices.DeleteFunc(q.pending, func(a A) bool { return a == member })
	q.pending = append([]A{member}, others...)
}
