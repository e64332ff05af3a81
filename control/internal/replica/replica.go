// Package replica runs one member of the replicated log. It connects the state
// machine of core/raft to the data folder and to the other members.
package replica

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/core/cluster"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// Log gives the other packages access to the replicated log. Implementations
// are safe for concurrent use.
type Log interface {
	// Propose appends a command and waits until it is applied on this member.
	// The error is a *NotLeaderError if this member does not lead. After any
	// other error it is unknown whether the command will be applied.
	Propose(ctx context.Context, command *wirev1.Command) (cluster.Result, error)
	// Confirm returns once a quorum round that began after the call has shown
	// that this member still leads, and all entries committed before the call
	// are applied. The error is a *NotLeaderError if this member does not lead.
	Confirm(ctx context.Context) error
	// State returns the applied state.
	State() *cluster.State
	// Leadership returns the leader as this member currently knows it.
	Leadership() Leadership
	// Subscribe returns a channel that receives a value after each change of the
	// applied state or of leadership. A slow reader may miss values but never the
	// last one. The channel is closed when the context ends.
	Subscribe(ctx context.Context) <-chan struct{}
	// ChangeMembers adds or removes one member and returns the members once the
	// change is committed. A new member is a learner first and becomes a voter
	// when it has synced the log.
	ChangeMembers(ctx context.Context, add *wirev1.Member, remove uint64) ([]*wirev1.Member, error)
	// Addresses returns the addresses in the last membership that is committed on
	// this member.
	Addresses() []string
	// Candidates returns the members that requested to join within the last
	// seconds, by ascending id.
	Candidates() []*wirev1.Member
	// Members returns the members with their progress as the leader knows it.
	Members() []*wirev1.MemberStatus
}

// ErrAbandoned as the cause of the cancellation of Run's context makes Run end
// without a transfer of leadership, as if the process had been killed.
var ErrAbandoned = errors.New("member abandoned")

// Leadership describes the leader of the group.
type Leadership struct {
	// Leading is true if this member leads.
	Leading bool
	Term    uint64
	// Since is the time at which this member became leader, on Config.Clock.
	Since    time.Time
	LeaderID uint64
	// Address of the leader, empty if unknown.
	Address string
	// OperatorAddress is the address at which operators reach the leader, empty if
	// unknown.
	OperatorAddress string
}

// NotLeaderError is returned for requests that only the leader can handle.
type NotLeaderError struct {
	// Address of the leader, empty if unknown.
	Address string
	// OperatorAddress is the address at which operators reach the leader, empty if
	// unknown.
	OperatorAddress string
}

// Error returns a text with the leader's address.
func (e *NotLeaderError) Error() string {
	if e.Address == "" {
		return "not the leader; no leader known"
	}
	return "not the leader; leader is at " + e.Address
}
