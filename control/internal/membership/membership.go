// Package membership changes the membership of a group that discovers its
// members: it adds processes that request to join and removes unresponsive
// members. Only the leader makes changes.
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
	// checkInterval is the time between two checks of the membership. It is short
	// compared to the time within which a member whose disk was lost must be
	// replaced by a new member, and long compared to the commit of one change.
	// Checks that fall due during the wait for a change are skipped.
	checkInterval = 200 * time.Millisecond
	// changeTimeout limits the wait for one change. Adding a member ends only when
	// the new member has become a voter. It may stay a learner for longer than
	// changeTimeout, so a timeout is not logged as an error.
	changeTimeout = 500 * time.Millisecond
)

// Config has the dependencies and the settings of Run. All are required.
type Config struct {
	Log    replica.Log
	Logger zerolog.Logger
	// TargetVoters is the intended number of voters of the group.
	TargetVoters int
}

// Run checks the membership every checkInterval until the context ends. It
// makes at most one change at a time.
func Run(ctx context.Context, config Config) {
	ticker := time.NewTicker(checkInterval)
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

// step makes the next change of the membership, if there is one.
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
	line, message := config.Logger.Info(), "members changed"
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		message = "change of members not complete yet"
	case err != nil:
		line, message = config.Logger.Warn().Err(err), "change of members failed"
	}
	line.Uint64("added", add.GetId()).Str("address", add.GetAddress()).Uint64("removed", change.Remove).
		Str("reason", string(change.Reason)).Msg(message)
}

// viewOf returns the input for the decision of members.NextChange.
func viewOf(config Config) members.View {
	v := members.View{TargetVoters: config.TargetVoters, MaxMembers: raft.MaxMembers, UnresponsiveAfter: raft.DefaultUnresponsiveAfter}
	for _, s := range config.Log.Members() {
		m := members.Member{ID: s.GetMember().GetId(), Address: s.GetMember().GetAddress(), Learner: s.GetMember().GetLearner()}
		if !s.GetLeader() {
			// members.Member has 0 for the leader only. A response within the last
			// millisecond therefore counts as 1 ns old.
			m.SinceResponse = max(time.Duration(s.GetAnswerAgeMs())*time.Millisecond, 1)
		}
		v.Members = append(v.Members, m)
	}
	for _, c := range config.Log.Candidates() {
		v.Candidates = append(v.Candidates, members.Candidate{ID: c.GetId(), Address: c.GetAddress(), AvailabilityZone: c.GetAvailabilityZone()})
	}
	return v
}
