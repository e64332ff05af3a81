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

// tester is what *testing.T and *rapid.T have in common.
type tester interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

var errLost = errors.New("the answer was lost")

// group is a control group whose log is a single state. Members that were
// replaced as leader go on believing that they lead until they are told.
type group struct {
	now     time.Duration
	state   *cluster.State
	index   uint64
	term    uint64
	members []*member
	// leads is the member that leads term.
	leads int
	// afterConfirm runs after each quorum round that succeeded, before the
	// caller goes on.
	afterConfirm func()
	// beforePropose runs before each proposal is applied.
	beforePropose func()
	// lost decides whether the answer to an applied proposal is lost.
	lost func() bool
}

// member implements replica.Log.
type member struct {
	group  *group
	number int
	view   replica.Leadership
	leader *leader.Leader
}

func newGroup(members int) *group {
	g := &group{state: &cluster.State{}, lost: func() bool { return false }, afterConfirm: func() {}, beforePropose: func() {}}
	for i := range members {
		m := &member{group: g, number: i}
		m.leader = leader.New(leader.Config{Log: m, Clock: g, Wall: wall{g}, Logger: zerolog.Nop()})
		g.members = append(g.members, m)
	}
	g.elect(0)
	return g
}

// Now implements clock.Clock.
func (g *group) Now() time.Time { return time.Unix(1000, 0).Add(g.now) }

// wall is the wall clock of a group.
type wall struct{ group *group }

// Now implements leader.WallClock.
func (w wall) Now() time.Time { return time.UnixMilli(1796379000000).Add(w.group.now) }

// elect makes a member leader. The one before it is not told.
func (g *group) elect(number int) {
	g.term++
	g.leads = number
	g.members[number].view = replica.Leadership{Leading: true, Term: g.term, Since: g.Now(), LeaderID: uint64(number + 1)}
}

func (g *group) current() *member { return g.members[g.leads] }

func (g *group) apply(command *wirev1.Command) cluster.Result {
	g.index++
	next, result := g.state.Apply(g.index, command)
	g.state = next
	return result
}

// leads reports whether a member leads in fact; it learns it if not.
func (m *member) leads() bool {
	if m.view.Leading && m.view.Term == m.group.term && m.group.leads == m.number {
		return true
	}
	m.view = replica.Leadership{}
	return false
}

// Addresses implements replica.Log.
func (m *member) Addresses() []string { return nil }

// Candidates implements replica.Log.
func (m *member) Candidates() []*wirev1.Member { return nil }

func (m *member) Propose(_ context.Context, command *wirev1.Command) (cluster.Result, error) {
	if !m.leads() {
		return cluster.Result{}, &replica.NotLeaderError{}
	}
	m.group.beforePropose()
	result := m.group.apply(command)
	if m.group.lost() {
		return cluster.Result{}, errLost
	}
	return result, nil
}

func (m *member) Confirm(context.Context) error {
	if !m.leads() {
		return &replica.NotLeaderError{Address: "127.0.0.1:9"}
	}
	m.group.afterConfirm()
	return nil
}

func (m *member) State() *cluster.State          { return m.group.state }
func (m *member) Leadership() replica.Leadership { return m.view }
func (m *member) Members() []*wirev1.MemberStatus {
	return nil
}

func (m *member) Subscribe(context.Context) <-chan struct{} { return nil }

func (m *member) ChangeMembers(context.Context, *wirev1.Member, uint64) ([]*wirev1.Member, error) {
	return nil, errors.New("no members to change")
}

// work lets the current leader do all that is due.
func (g *group) work(t tester) {
	t.Helper()
	for range 100 {
		if busy, err := g.current().leader.Step(context.Background()); err != nil {
			t.Fatal(err)
		} else if !busy {
			return
		}
	}
	t.Fatal("the leader's work does not end")
}

func (g *group) applyRules(t tester, text string) {
	t.Helper()
	result := g.apply(&wirev1.Command{Kind: &wirev1.Command_ApplyRules{ApplyRules: &wirev1.ApplyRules{BaseRevision: g.state.Revision(), Text: text}}})
	if result.Code != cluster.CodeApplied {
		t.Fatalf("rules: %+v", result)
	}
}

func nodeOf(server, zone string) *wirev1.Node {
	return &wirev1.Node{
		Name: "node-" + server, PeerAddress: "127.0.0.1:1", AvailabilityZone: zone,
		BackendServer: &wirev1.BackendServer{Name: server, Upstream: "desk", Slots: 18},
	}
}
