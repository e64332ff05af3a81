package membership_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/jujubeknot/jujubeknot/control/internal/membership"
	"github.com/jujubeknot/jujubeknot/control/internal/replica"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// slowLog leads a group of one member that another process requests to join. A change
// of the members does not complete.
type slowLog struct {
	replica.Log
	ended chan struct{}
}

func (l *slowLog) Leadership() replica.Leadership {
	return replica.Leadership{Leading: true, LeaderID: 1}
}

func (l *slowLog) Members() []*wirev1.MemberStatus {
	return []*wirev1.MemberStatus{{Member: &wirev1.Member{Id: 1, Address: "10.0.0.1:7101"}}}
}

func (l *slowLog) Candidates() []*wirev1.Member {
	return []*wirev1.Member{{Id: 2, Address: "10.0.0.2:7101"}}
}

func (l *slowLog) ChangeMembers(ctx context.Context, _ *wirev1.Member, _ uint64) ([]*wirev1.Member, error) {
	<-ctx.Done()
	select {
	case l.ended <- struct{}{}:
	default:
	}
	return nil, ctx.Err()
}

// TestUnfinishedChangeIsNotLoggedAsDone guards against a log which says that the members
// have changed although the change was still running.
func TestUnfinishedChangeIsNotLoggedAsDone(t *testing.T) {
	var lines bytes.Buffer
	l := &slowLog{ended: make(chan struct{}, 1)}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		membership.Run(ctx, membership.Config{Log: l, Logger: zerolog.New(&lines), TargetVoters: 3})
	}()
	select {
	case <-l.ended:
	case <-time.After(10 * time.Second):
		t.Error("no change of the members within 10 s")
	}
	cancel()
	<-done
	if text := lines.String(); strings.Contains(text, "members changed") || !strings.Contains(text, "change of members not complete") {
		t.Errorf("log %q, want that the change is not complete", text)
	}
}
