package leader_test

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/jujubeknot/jujubeknot/control/internal/leader"
	"github.com/jujubeknot/jujubeknot/control/internal/replica"
	"github.com/jujubeknot/jujubeknot/core/cluster"
	"github.com/jujubeknot/jujubeknot/wire/testkit"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// TestMain fixes rapid's seed so that each run draws the same cases.
func TestMain(m *testing.M) {
	testkit.Main(m, testkit.Config{})
}

// testingT is implemented by *testing.T and *rapid.T.
type testingT interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

var errResponseLost = errors.New("response lost")

// group is a control group whose log is a single state. A former leader
// continues to act as leader until it uses the log.
type group struct {
	now     time.Duration
	state   *cluster.State
	index   uint64
	term    uint64
	members []*member
	// leaderNumber is the number of the member that leads term.
	leaderNumber int
	// afterConfirm runs after each successful quorum round, before Confirm
	// returns.
	afterConfirm func()
	// beforePropose runs before each proposal is applied.
	beforePropose func()
	// dropResponse reports whether the response to an applied proposal is lost.
	dropResponse func() bool
}

// member implements replica.Log.
type member struct {
	group      *group
	number     int
	leadership replica.Leadership
	leader     *leader.Leader
}

func newGroup(members int) *group {
	g := &group{state: &cluster.State{}, dropResponse: func() bool { return false }, afterConfirm: func() {}, beforePropose: func() {}}
	for i := range members {
		m := &member{group: g, number: i}
		m.leader = leader.New(leader.Config{Log: m, Clock: g, WallClock: wallClock{g}, Logger: zerolog.Nop()})
		g.members = append(g.members, m)
	}
	g.elect(0)
	return g
}

// Now implements clock.Clock.
func (g *group) Now() time.Time { return time.Unix(1000, 0).Add(g.now) }

// wall is the wall clock of a group.
type wallClock struct{ group *group }

// Now implements leader.WallClock.
func (w wallClock) Now() time.Time { return time.UnixMilli(1796379000000).Add(w.group.now) }

// elect makes a member leader. The former leader is not notified.
func (g *group) elect(number int) {
	g.term++
	g.leaderNumber = number
	g.members[number].leadership = replica.Leadership{Leading: true, Term: g.term, Since: g.Now(), LeaderID: uint64(number + 1)}
}

func (g *group) currentLeader() *member { return g.members[g.leaderNumber] }

func (g *group) apply(command *wirev1.Command) cluster.Result {
	g.index++
	next, result := g.state.Apply(g.index, command)
	g.state = next
	return result
}

// isLeader reports whether the member is the leader. If not, the member stops
// acting as leader.
func (m *member) isLeader() bool {
	if m.leadership.Leading && m.leadership.Term == m.group.term && m.group.leaderNumber == m.number {
		return true
	}
	m.leadership = replica.Leadership{}
	return false
}

// Addresses implements replica.Log.
func (m *member) Addresses() []string { return nil }

// Candidates implements replica.Log.
func (m *member) Candidates() []*wirev1.Member { return nil }

func (m *member) Propose(_ context.Context, command *wirev1.Command) (cluster.Result, error) {
	if !m.isLeader() {
		return cluster.Result{}, &replica.NotLeaderError{}
	}
	m.group.beforePropose()
	result := m.group.apply(command)
	if m.group.dropResponse() {
		return cluster.Result{}, errResponseLost
	}
	return result, nil
}

func (m *member) Confirm(context.Context) error {
	if !m.isLeader() {
		return &replica.NotLeaderError{Address: "127.0.0.1:9"}
	}
	m.group.afterConfirm()
	return nil
}

func (m *member) State() *cluster.State          { return m.group.state }
func (m *member) Leadership() replica.Leadership { return m.leadership }
func (m *member) Members() []*wirev1.MemberStatus {
	return nil
}

func (m *member) Subscribe(context.Context) <-chan struct{} { return nil }

func (m *member) ChangeMembers(context.Context, *wirev1.Member, uint64) ([]*wirev1.Member, error) {
	return nil, errors.New("no members to change")
}

// runLeader runs steps of the current leader until nothing is due.
func (g *group) runLeader(t testingT) {
	t.Helper()
	for range 100 {
		if busy, err := g.currentLeader().leader.Step(context.Background()); err != nil {
			t.Fatal(err)
		} else if !busy {
			return
		}
	}
	t.Fatal("leader is still busy after 100 steps")
}

func (g *group) applyRules(t testingT, text string) {
	t.Helper()
	result := g.apply(&wirev1.Command{Kind: &wirev1.Command_ApplyRules{ApplyRules: &wirev1.ApplyRules{BaseRevision: g.state.Revision(), Text: text}}})
	if result.Code != cluster.CodeApplied {
		t.Fatalf("apply rules: %+v", result)
	}
}

func nodeOf(server, zone string) *wirev1.Node {
	return &wirev1.Node{
		Name: "node-" + server, PeerAddress: "127.0.0.1:1", AvailabilityZone: zone,
		BackendServer: &wirev1.BackendServer{Name: server, Upstream: "desk", Slots: 18},
	}
}
