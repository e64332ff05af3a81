// Package leader is for clients of a control group: it orders the members to
// ask, and reads which of them an answer names as the leader.
package leader

import (
	"errors"
	"net/netip"
	"slices"

	"connectrpc.com/connect"

	"github.com/jujubeknot/jujubeknot/wire/headers"
)

// FromError returns the address that the error of a member without the lead names as
// the leader's. It is not valid if the error names none.
func FromError(err error) netip.AddrPort {
	var refused *connect.Error
	if !errors.As(err, &refused) {
		return netip.AddrPort{}
	}
	address, parseErr := netip.ParseAddrPort(refused.Meta().Get(headers.Leader))
	if parseErr != nil {
		return netip.AddrPort{}
	}
	return address
}

// Queue has the addresses of members that are still to be asked in one round, of
// which each is asked once. It is not safe for concurrent use.
type Queue[A comparable] struct {
	left  []A
	asked map[A]bool
}

// NewQueue returns a queue of members in their order.
func NewQueue[A comparable](members []A) *Queue[A] {
	return &Queue[A]{left: slices.Clone(members), asked: map[A]bool{}}
}

// Next returns the member to ask now. Ok is false once all were asked.
func (q *Queue[A]) Next() (member A, ok bool) {
	if len(q.left) == 0 {
		return member, false
	}
	member, q.left = q.left[0], q.left[1:]
	q.asked[member] = true
	return member, true
}

// PushFront has a member asked next, which need not be one of the first list. It
// does nothing if the member was asked.
func (q *Queue[A]) PushFront(member A) {
	if q.asked[member] {
		return
	}
	others := slices.DeleteFunc(q.left, func(a A) bool { return a == member })
	q.left = append([]A{member}, others...)
}
