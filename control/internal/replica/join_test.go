package replica_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/jujubeknot/jujubeknot/control/internal/disk"
	"github.com/jujubeknot/jujubeknot/control/internal/replica"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// fullGroup is a transport to a group that has no room for another member.
type fullGroup struct {
	*testTransport
	leader atomic.Pointer[wirev1.JoinResponse]
}

func (f *fullGroup) Join(context.Context, string, *wirev1.JoinRequest) (*wirev1.JoinResponse, error) {
	if response := f.leader.Load(); response != nil {
		return response, nil
	}
	return nil, errors.New("unreachable")
}

// TestNonMemberReportsLeader guards against operators and nodes that get "no
// leader known" from processes for which the group has no room. With 11 control
// VMs and 7 members this would happen in a third of the attempts.
func TestNonMemberReportsLeader(t *testing.T) {
	files, err := disk.OpenOrCreateFolder(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	group := &fullGroup{testTransport: &testTransport{network: &network{sent: map[wirev1.RaftMessage_Kind]int{}}, address: "m9"}}
	group.leader.Store(&wirev1.JoinResponse{Leader: "10.0.0.1:7000", LeaderOperator: "10.0.0.1:8000", Members: []string{"10.0.0.1:7000"}})
	r, err := replica.New(replica.Config{
		GroupID: "test", Address: "m9", Files: files, Clock: systemClock{}, Logger: zerolog.Nop(), Transport: group,
		Discovery: &replica.Discovery{Seeds: []string{"10.0.0.2:7000"}, TargetVoters: 5},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	defer func() { cancel(); <-done }()
	await := func(what, want string) {
		t.Helper()
		for range 1000 {
			if r.Leadership().OperatorAddress == want {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Fatalf("%s: got operator address %q, want %q", what, r.Leadership().OperatorAddress, want)
	}
	await("a leader was reported", "10.0.0.1:8000")
	for name, submit := range map[string]func() error{
		"confirm": func() error { return r.Confirm(t.Context()) },
		"propose": func() error { _, err := r.Propose(t.Context(), &wirev1.Command{}); return err },
	} {
		var notLeader *replica.NotLeaderError
		if err := submit(); !errors.As(err, &notLeader) || notLeader.OperatorAddress != "10.0.0.1:8000" || notLeader.Address != "10.0.0.1:7000" {
			t.Errorf("%s: got error %v, want one that names the leader at 10.0.0.1:7000, for operators 10.0.0.1:8000", name, err)
		}
	}
	group.leader.Store(&wirev1.JoinResponse{Leader: "10.0.0.3:7000", LeaderOperator: "10.0.0.3:8000"})
	await("another leader was reported", "10.0.0.3:8000")
	group.leader.Store(&wirev1.JoinResponse{Leader: "m9", LeaderOperator: "10.0.0.9:8000"})
	await("the process before this one was reported", "")
	group.leader.Store(&wirev1.JoinResponse{Leader: "10.0.0.3:7000", LeaderOperator: "10.0.0.3:8000"})
	await("the leader was reported again", "10.0.0.3:8000")
	group.leader.Store(nil)
	await("no member is reachable", "")
}
