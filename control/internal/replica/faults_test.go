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

// assign returns a command that raises the epoch of a partition by one. It has
// no effect if it is applied a second time.
func assign(partition uint32, epoch uint64) *wirev1.Command {
	change := &wirev1.AssignChange{Upstream: "u", Partition: partition, ExpectedEpoch: epoch, Reason: "test"}
	return &wirev1.Command{Kind: &wirev1.Command_Assign{Assign: &wirev1.Assign{Changes: []*wirev1.AssignChange{change}}}}
}

// proposeMany proposes count commands from several goroutines.
func (g *testGroup) proposeMany(m *running, count int) {
	g.t.Helper()
	var group sync.WaitGroup
	for worker := range proposers {
		group.Go(func() {
			for epoch := range count / proposers {
				result, err := m.Propose(g.t.Context(), assign(uint32(worker), uint64(epoch)))
				if err != nil || result.Code != cluster.CodeApplied {
					g.t.Errorf("partition %d, epoch %d: got %+v, %v, want applied", worker, epoch, result, err)
					return
				}
			}
		})
	}
	group.Wait()
}

// effects confirms leadership and returns how many commands took effect.
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

// TestAcknowledgedCommandSurvivesLeaderLoss guards against an acknowledged
// command that the next leader does not have.
func TestAcknowledgedCommandSurvivesLeaderLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGroup(t, 3, replica.Config{})
		defer g.stopAll()
		id, m := g.leader()
		index := g.propose(m, "one")
		g.setIsolated(id, true)
		_, next := g.leader(id)
		if g.effects(next) != 1 || next.State().Index() < index {
			t.Fatalf("next leader: got state at index %d, want at least acknowledged index %d with its effect", next.State().Index(), index)
		}
	})
}

// TestPartitionedLeaderStepsDown guards against an isolated leader that answers
// from outdated state. It also guards against a member that deposes the leader
// when it is connected again.
func TestPartitionedLeaderStepsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGroup(t, 3, replica.Config{})
		defer g.stopAll()
		id, old := g.leader()
		g.propose(old, "one")
		g.setIsolated(id, true)
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
				t.Fatal("request to a leader without quorum: got success, want an error")
			}
		}
		if old.Leadership().Leading {
			t.Fatal("a leader without quorum still leads, want that it stepped down")
		}
		time.Sleep(10 * time.Minute)
		term := next.Leadership().Term
		g.setIsolated(id, false)
		time.Sleep(5 * time.Second)
		if got := next.Leadership(); !got.Leading || got.Term != term {
			t.Fatalf("leadership after the member returned: got %+v, want the same leader in term %d", got, term)
		}
		var notLeader *replica.NotLeaderError
		if err := old.Confirm(t.Context()); !errors.As(err, &notLeader) || notLeader.Address != next.Leadership().Address {
			t.Fatalf("Confirm on the returned member: got %v, want that another member leads", err)
		}
		if old.State().Index() != next.State().Index() {
			t.Fatalf("index of the returned member: got %d, want %d", old.State().Index(), next.State().Index())
		}
	})
}

// TestMemberReplacementSurvivesSecondLoss guards against a member with an
// emptied disk that continues under its old id without its log. It also guards
// against a replacement that completes before the new member has the log:
// another member is lost permanently right after the replacement.
func TestMemberReplacementSurvivesSecondLoss(t *testing.T) {
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
			t.Fatalf("member with an emptied disk: got %v, want that it is halted", err)
		}
		g.start(4)
		members, err := m.ChangeMembers(t.Context(), &wirev1.Member{Id: 4, Address: "m4"}, 0)
		if err != nil || len(members) != 4 || members[3].Learner || members[3].Folder == 0 {
			t.Fatalf("members after the addition: got %v, %v, want 4 with the new one as voter", members, err)
		}
		if _, err := m.ChangeMembers(t.Context(), nil, lost); err != nil {
			t.Fatal(err)
		}
		g.stop(id)
		_, next := g.leader()
		if got := g.effects(next); got != 250 {
			t.Fatalf("acknowledged commands after the second loss: got %d, want 250", got)
		}
		g.propose(next, "after the second loss")
	})
}

// TestRemovedMemberStops guards against a removed member that continues to run,
// and against a change that fails when it is repeated after a lost response.
func TestRemovedMemberStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGroup(t, 3, replica.Config{})
		defer g.stopAll()
		id, m := g.leader()
		removed := id%3 + 1
		for range 2 {
			if members, err := m.ChangeMembers(t.Context(), nil, removed); err != nil || len(members) != 2 {
				t.Fatalf("members after the removal: got %v, %v, want 2", members, err)
			}
		}
		var halted *replica.HaltedError
		if err := g.wait(removed); !errors.As(err, &halted) || halted.Reason != raft.HaltRemoved {
			t.Fatalf("removed member: got %v, want that it is halted", err)
		}
		var invalid *replica.InvalidChangeError
		if _, err := m.ChangeMembers(t.Context(), &wirev1.Member{Id: removed, Address: "m9"}, 0); !errors.As(err, &invalid) {
			t.Fatalf("addition of a used member id: got %v, want an InvalidChangeError", err)
		}
		term := m.Leadership().Term
		g.propose(m, "one")
		if m.Leadership().Term != term {
			t.Fatal("the removal changed the term, want the same leader")
		}
	})
}

// TestRestart guards against entries that are lost or applied twice by a
// restart, with and without snapshots.
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
						t.Fatalf("commands after a restart: got %d, want %d; before it: %d", got, c.count, before)
					}
				}
				g.propose(m, "after the restarts")
			})
		})
	}
}

// TestOrderlyStopTransfersLeadership guards against a planned stop of the
// leader after which the group waits for an election timeout.
func TestOrderlyStopTransfersLeadership(t *testing.T) {
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
			t.Fatalf("the group had no leader for %v, want less than half an election timeout", took)
		}
	})
}

// TestConfirmSharesRounds guards against a separate quorum round for each
// renewal.
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
			t.Fatalf("heartbeats in a second of confirmations: got %d, want 180 to 204", sent)
		}
	})
}

// failingFS fails all syncs of files while fail is set.
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

// TestFailedSyncEndsTheProcess guards against an acknowledgement after a failed
// sync, and against a process that continues to run after one.
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
			t.Fatalf("proposal after a failed sync: got %v, want %v", err, replica.ErrStopped)
		}
		if err := g.wait(1); err == nil || err.Error() != "sync log: input/output error" {
			t.Fatalf("member after a failed sync: got %v, want the error of the sync", err)
		}
	})
}

// TestDataFolderOfAnotherMemberIsRefused guards against a data folder that is
// used with the settings of another member.
func TestDataFolderOfAnotherMemberIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGroup(t, 1, replica.Config{})
		g.leader()
		g.stopAll()
		files, err := disk.OpenOrCreateFolder(g.folder(1))
		if err != nil {
			t.Fatal(err)
		}
		_, err = replica.New(replica.Config{
			GroupID: "test", MemberID: 2, Address: "m2", Files: files, Clock: systemClock{}, Transport: &testTransport{network: g.network},
		})
		want := `the data folder belongs to member 1 of group "test", the settings name member 2 of group "test"`
		if err == nil || err.Error() != want {
			t.Fatalf("New: got error %v, want %s", err, want)
		}
	})
}
