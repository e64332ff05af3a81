// Package replica runs this process's member of the replicated log: it drives
// core/raft with the disk and the other members.
package replica

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/core/cluster"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// Log is the replicated log as the rest of the program sees it.
// Implementations are safe for concurrent use.
type Log interface {
	// Propose appends a command and waits until it is applied here. The error
	// is a *NotLeaderError where this member does not lead; any other error
	// leaves open whether the command will be applied.
	Propose(ctx context.Context, command *wirev1.Command) (cluster.Result, error)
	// Confirm returns once a quorum round that began after the call has shown
	// that this member still leads, and everything committed before the call
	// is applied. The error is a *NotLeaderError where it does not lead.
	Confirm(ctx context.Context) error
	// State returns the applied state.
	State() *cluster.State
	// Leadership returns the current view of the group.
	Leadership() Leadership
	// Subscribe returns a channel that gets a value after each change of the
	// applied state or of leadership. A slow reader misses values, never the
	// last one. The channel is closed when the context ends.
	Subscribe(ctx context.Context) <-chan struct{}
	// ChangeMembers adds a member (as a learner, then as a voter once it has
	// synced the log) or removes one, and returns when that is committed.
	ChangeMembers(ctx context.Context, add *wirev1.Member, remove uint64) ([]*wirev1.Member, error)
	// Addresses returns the addresses of the members as last committed here.
	Addresses() []string
	// Candidates returns the members that asked to join within the last seconds.
	Candidates() []*wirev1.Member
	// Members returns the members with what the leader knows of them.
	Members() []*wirev1.MemberStatus
}

// ErrAbandoned as the cause of the end of Run's context keeps the member from
// handing leadership over, as if the process had been lost.
var ErrAbandoned = errors.New("member abandoned")

// Leadership says who leads the group.
type Leadership struct {
	Leading bool
	Term    uint64
	// Since is the time at which this member became leader, by the clock of
	// the configuration.
	Since    time.Time
	LeaderID uint64
	// Address of the leader, empty if unknown.
	Address string
	// OperatorAddress is the address at which operators reach the leader, empty if
	// unknown.
	OperatorAddress string
}

// NotLeaderError is returned where only the leader can answer.
type NotLeaderError struct {
	// Address of the leader, empty if unknown.
	Address string
	// OperatorAddress is the address at which operators reach the leader, empty if
	// unknown.
	OperatorAddress string
}

// Error names the leader's address.
func (e *NotLeaderError) Error() string {
	if e.Address == "" {
		return "not the leader; no leader known"
	}
	return "not the leader; leader is at " + e.Address
}
