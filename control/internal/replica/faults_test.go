package replica_test

import (
	"fmt"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/control/internal/disk"
	"github.com/jujubeknot/jujubeknot/control/internal/replica"
	"github.com/jujubeknot/jujubeknot/core/cluster"
	"github.com/jujubeknot/jujubeknot/core/raft"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// proposers is the number of goroutines that propose at the same time, each
// for a partition of its own.
const proposers = 50

// assign is a command that raises the epoch of a partition by one. It has no
// effect if it is applied a second time.
func assign(partition uint32, epoch uint64) *wirev1.Command {
	change := &wirev1.AssignChange{Upstream: "u", Partition: partition, ExpectedEpoch: epoch, Reason: "test"}
	return &wirev1.Command{Kind: &wirev1.Command_Assign{Assign: &wirev1.Assign{Changes: []*wirev1.AssignChange{change}}}}
}

// proposeMany proposes commands from several goroutines.
func (g *testGroup) proposeMany(m *running, count int) {
	g.t.Helper()
	var group sync.WaitGroup
	for worker := range proposers {
		group.Go(func() {
			for epoch := range count / proposers {
				result, err := m.Propose(g.t.Context(), assign(uint32(worker), uint64(epoch)))
				if err != nil || result.Code != cluster.CodeApplied {
					g.t.Errorf("partition %d epoch %d: %+v, %v", worker, epoch, result, err)
					return
				}
			}
		})
	}
	group.Wait()
}

// effects confirms and returns how many commands took effect.
func (g *testGroup) effects(m *running) int {
	g.t.Helper()
	if err := m.Confirm(g.t.Context()); err != nil {
		g.t.Fatalf("confirm: %v", err)
	}
	sum := uint64(0)
	for a := range m.State().Assignments("u") {
		sum += a.Epoch
	}
	return int(sum) + m.State().NodeCount()
}

// TestAcknowledgedSurvivesLeader guards against a committed command that the
// next leader does not have.
func TestAcknowledgedSurvivesLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGroup(t, 3, replica.Config{})
		defer g.stopAll()
		id, m := g.leader()
		index := g.propose(m, "one")
		g.cut(id, true)
		_, next := g.leader(id)
		if g.effects(next) != 1 || next.State().Index() < index {
			t.Fatalf("state of the next leader is at %d, command %d was acknowledged", next.State().Index(), index)
		}
	})
}

// TestSilentPartition guards against a leader that answers from old state
// while nobody hears it, and against a member that deposes the leader when it
// comes back.
func TestSilentPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGroup(t, 3, replica.Config{})
		defer g.stopAll()
		id, old := g.leader()
		g.propose(old, "one")
		g.cut(id, true)
		confirmed := make(chan error, 2)
		go func() { confirmed <- old.Confirm(t.Context()) }()
		go func() {
			_, err := old.Propose(t.Context(), register("lost"))
			confirmed <- err
		}()
		_, next := g.leader(id)
		g.propose(next, "two")
		for range 2 {
			if err := <-confirmed; err == nil {
				t.Fatal("a leader without quorum answered")
			}
		}
		if old.Leadership().Leading {
			t.Fatal("a leader without quorum did not step down")
		}
		time.Sleep(10 * time.Minute)
		term := next.Leadership().Term
		g.cut(id, false)
		time.Sleep(5 * time.Second)
		if got := next.Leadership(); !got.Leading || got.Term != term {
			t.Fatalf("leadership went from term %d to %+v when the member came back", term, got)
		}
		var notLeader *replica.NotLeaderError
		if err := old.Confirm(t.Context()); !errors.As(err, &notLeader) || notLeader.Address != next.Leadership().Address {
			t.Fatalf("the returned member confirms with %v", err)
		}
		if old.State().Index() != next.State().Index() {
			t.Fatalf("the returned member is at %d, the leader at %d", old.State().Index(), next.State().Index())
		}
	})
}

// TestEmptiedDiskAndSecondLoss guards against a member that acts under its old
// id without its log, and against a repair that counts before the new member
// has the log: right after the repair another member is lost for good.
func TestEmptiedDiskAndSecondLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGroup(t, 3, replica.Config{SnapshotEntries: 100, KeepEntries: 10})
		defer g.stopAll()
		id, m := g.leader()
		g.proposeMany(m, 250)
		lost := id%3 + 1
		g.stop(lost)
		if err := os.RemoveAll(g.folder(lost)); err != nil {
			t.Fatal(err)
		}
		g.start(lost)
		var halted *replica.HaltedError
		if err := g.wait(lost); !errors.As(err, &halted) || halted.Reason != raft.HaltOtherFolder {
			t.Fatalf("a member with an emptied disk ended with %v", err)
		}
		g.start(4)
		members, err := m.ChangeMembers(t.Context(), &wirev1.Member{Id: 4, Address: "m4"}, 0)
		if err != nil || len(members) != 4 || members[3].Learner || members[3].Folder == 0 {
			t.Fatalf("members after the addition are %v, %v", members, err)
		}
		if _, err := m.ChangeMembers(t.Context(), nil, lost); err != nil {
			t.Fatal(err)
		}
		g.stop(id)
		_, next := g.leader()
		if got := g.effects(next); got != 250 {
			t.Fatalf("%d of 250 acknowledged commands are left", got)
		}
		g.propose(next, "after the second loss")
	})
}

// TestRemovedMemberStops guards against a removed member that goes on, and
// against a change that fails when it is repeated after a lost answer.
func TestRemovedMemberStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGroup(t, 3, replica.Config{})
		defer g.stopAll()
		id, m := g.leader()
		removed := id%3 + 1
		for range 2 {
			if members, err := m.ChangeMembers(t.Context(), nil, removed); err != nil || len(members) != 2 {
				t.Fatalf("members are %v, %v", members, err)
			}
		}
		var halted *replica.HaltedError
		if err := g.wait(removed); !errors.As(err, &halted) || halted.Reason != raft.HaltRemoved {
			t.Fatalf("the removed member ended with %v", err)
		}
		var invalid *replica.InvalidChangeError
		if _, err := m.ChangeMembers(t.Context(), &wirev1.Member{Id: removed, Address: "m9"}, 0); !errors.As(err, &invalid) {
			t.Fatalf("a used member id gets %v", err)
		}
		term := m.Leadership().Term
		g.propose(m, "one")
		if m.Leadership().Term != term {
			t.Fatal("the removal changed the leader")
		}
	})
}

// TestRestart guards against entries that are lost or applied twice by a
// restart, with the log alone and with snapshots.
func TestRestart(t *testing.T) {
	for _, c := range []struct {
		count     int
		snapshots uint64
	}{{300, 1 << 40}, {300, 100}, {20_000, 1 << 40}, {20_000, 3_000}} {
		t.Run(fmt.Sprintf("%d entries, snapshot after %d", c.count, c.snapshots), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newTestGroup(t, 1, replica.Config{SnapshotEntries: c.snapshots, KeepEntries: 10, SegmentBytes: 100_000})
				defer g.stopAll()
				_, m := g.leader()
				g.proposeMany(m, c.count)
				for range 3 {
					before := g.effects(m)
					g.stop(1)
					g.start(1)
					_, m = g.leader()
					if got := g.effects(m); got != before || got != c.count {
						t.Fatalf("%d of %d commands after a restart, %d before", got, c.count, before)
					}
				}
				g.propose(m, "after the restarts")
			})
		})
	}
}

// TestOrderlyStopHandsOver guards against a planned stop of the leader that
// costs the group an election timeout.
func TestOrderlyStopHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGroup(t, 3, replica.Config{})
		defer g.stopAll()
		id, m := g.leader()
		g.propose(m, "one")
		before := time.Now()
		g.stop(id)
		_, next := g.leader()
		if err := next.Confirm(t.Context()); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(before); took >= raft.DefaultMinElectionTimeout/2 {
			t.Fatalf("the group was without leader for %v", took)
		}
	})
}

// TestConfirmSharesRounds guards against a quorum round for each renewal.
func TestConfirmSharesRounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGroup(t, 3, replica.Config{})
		defer g.stopAll()
		_, m := g.leader()
		g.propose(m, "one")
		g.network.mutex.Lock()
		g.network.sent[wirev1.RaftMessage_KIND_HEARTBEAT] = 0
		g.network.mutex.Unlock()
		end := time.Now().Add(time.Second)
		var calls sync.WaitGroup
		for range 100 {
			calls.Go(func() {
				for time.Now().Before(end) {
					if err := m.Confirm(t.Context()); err != nil {
						t.Error(err)
						return
					}
				}
			})
		}
		calls.Wait()
		g.network.mutex.Lock()
		defer g.network.mutex.Unlock()
		// One message to each of two members every 10 ms.
		if sent := g.network.sent[wirev1.RaftMessage_KIND_HEARTBEAT]; sent < 180 || sent > 204 {
			t.Fatalf("%d heartbeats in a second of confirmations", sent)
		}
	})
}

// failingFS fails all syncs once told so.
type failingFS struct {
	disk.FS
	mutex sync.Mutex
	fail  bool
}

type failingFile struct {
	disk.File
	files *failingFS
}

func (f *failingFS) Create(name string) (disk.File, error) {
	file, err := f.FS.Create(name)
	return failingFile{file, f}, err
}

func (f failingFile) Sync() error {
	f.files.mutex.Lock()
	defer f.files.mutex.Unlock()
	if f.files.fail {
		return errors.New("input/output error")
	}
	return f.File.Sync()
}

// TestFailedSyncEndsTheProcess guards against an acknowledgement, or a process
// that goes on, after a failed sync.
func TestFailedSyncEndsTheProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGroup(t, 0, replica.Config{})
		defer g.stopAll()
		g.initial = []*wirev1.Member{{Id: 1, Address: "m1"}}
		folder, err := disk.OpenOrCreateFolder(g.folder(1))
		if err != nil {
			t.Fatal(err)
		}
		files := &failingFS{FS: folder}
		g.startWith(1, files)
		_, m := g.leader()
		g.propose(m, "one")
		files.mutex.Lock()
		files.fail = true
		files.mutex.Unlock()
		if _, err := m.Propose(t.Context(), register("two")); !errors.Is(err, replica.ErrStopped) {
			t.Fatalf("a proposal without sync returns %v", err)
		}
		if err := g.wait(1); err == nil || err.Error() != "sync log: input/output error" {
			t.Fatalf("the member ended with %v", err)
		}
	})
}

// TestSettingsOfAnotherMember guards against a data folder used under another
// member's id.
func TestSettingsOfAnotherMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGroup(t, 1, replica.Config{})
		g.leader()
		g.stopAll()
		files, err := disk.OpenOrCreateFolder(g.folder(1))
		if err != nil {
			t.Fatal(err)
		}
		_, err = replica.New(replica.Config{
			GroupID: "test", MemberID: 2, Address: "m2", Files: files, Clock: systemClock{}, Transport: &wire{network: g.network},
		})
		want := `the data folder belongs to member 1 of group "test", the settings name member 2 of group "test"`
		if err == nil || err.Error() != want {
			t.Fatalf("start gives %v", err)
		}
	})
}
