// Package membership keeps the membership of a group that finds its members
// itself: it takes in processes that ask and gives up members that are gone.
// It acts on the leader only.
package membership

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/jujubeknot/jujubeknot/control/internal/replica"
	"github.com/jujubeknot/jujubeknot/core/members"
	"github.com/jujubeknot/jujubeknot/core/raft"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

const (
	// interval is short against the time within which a lost disk must be
	// replaced, and long against a change of the membership.
	interval = 200 * time.Millisecond
	// changeTimeout bounds the wait for a change. A learner that does not
	// become a voter at once is no failure.
	changeTimeout = 500 * time.Millisecond
)

// Config has the dependencies and the settings of Run. All are required.
type Config struct {
	Log    replica.Log
	Logger zerolog.Logger
	// TargetVoters is the number of voters wanted.
	TargetVoters int
}

// Run keeps the membership until the context ends.
func Run(ctx context.Context, config Config) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if config.Log.Leadership().Leading {
				step(ctx, config)
			}
		}
	}
}

func step(ctx context.Context, config Config) {
	change := members.NextChange(viewOf(config))
	if change.Add == nil && change.Remove == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	var add *wirev1.Member
	if change.Add != nil {
		add = &wirev1.Member{Id: change.Add.ID, Address: change.Add.Address, AvailabilityZone: change.Add.AvailabilityZone}
	}
	_, err := config.Log.ChangeMembers(ctx, add, change.Remove)
	if errors.Is(err, context.DeadlineExceeded) {
		err = nil
	}
	config.Logger.Info().Err(err).Uint64("added", add.GetId()).Str("address", add.GetAddress()).Uint64("removed", change.Remove).
		Str("reason", string(change.Reason)).Msg("members changed")
}

func viewOf(config Config) members.View {
	v := members.View{TargetVoters: config.TargetVoters, MaxMembers: raft.MaxMembers, UnresponsiveAfter: raft.DefaultUnresponsiveAfter}
	for _, s := range config.Log.Members() {
		m := members.Member{ID: s.GetMember().GetId(), Address: s.GetMember().GetAddress(), Learner: s.GetMember().GetLearner()}
		if !s.GetLeader() {
			m.SinceResponse = max(time.Duration(s.GetAnswerAgeMs())*time.Millisecond, 1)
		}
		v.Members = append(v.Members, m)
	}
	for _, c := range config.Log.Candidates() {
		v.Candidates = append(v.Candidates, members.Candidate{ID: c.GetId(), Address: c.GetAddress(), AvailabilityZone: c.GetAvailabilityZone()})
	}
	return v
}
