package disk_test

import (
	"testing"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/control/internal/disk"
	"github.com/jujubeknot/jujubeknot/core/raft"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// manySegments returns an open folder whose log has many segments and an old
// snapshot, and its content.
func manySegments(t *testing.T) (*memFS, *disk.Disk, model) {
	t.Helper()
	files := newMemFS(1)
	d := newFormed(t, files)
	var m model
	for i := uint64(1); i <= 40; i++ {
		m.hardState = raft.HardState{Term: i, Vote: 1}
		e := &wirev1.Entry{Index: i, Term: i, Data: make([]byte, i)}
		m.entries = append(m.entries, e)
		if err := d.Persist(raft.Persist{Hard: &m.hardState, PreviousTerm: i - 1, Entries: []*wirev1.Entry{e}}); err != nil {
			t.Fatalf("persist: %v", err)
		}
		if i == 3 {
			m.snapshot = 3
			if err := d.PersistSnapshot(raft.PersistSnapshot{Snapshot: snapshotAt(3), FirstIndex: 1}); err != nil {
				t.Fatalf("snapshot: %v", err)
			}
		}
	}
	return files, d, m
}

func snapshotAt(index uint64) *wirev1.Snapshot {
	return &wirev1.Snapshot{Index: index, Term: index, Membership: membership, Data: []byte("state")}
}

// TestLossOfPowerKeepsLog guards against a folder that is taken for damaged, and
// erased, after power was lost while old segments were removed: names that were not
// synced may come back in any combination.
func TestLossOfPowerKeepsLog(t *testing.T) {
	for name, p := range map[string]raft.PersistSnapshot{
		"compaction": {Snapshot: snapshotAt(36), FirstIndex: 33},
		"received":   {Snapshot: snapshotAt(45), Reset: true},
	} {
		tried := 0
		for step := 0; ; step++ {
			files, d, before := manySegments(t)
			after := before
			after.snapshot = p.Snapshot.Index
			if p.Reset {
				after.base, after.entries = disk.Position{Index: 45, Term: 45}, nil
			} else {
				after.base, after.entries = disk.Position{Index: 32, Term: 32}, before.entries[32:]
			}
			files.failAt = files.operations + step
			err := d.PersistSnapshot(p)
			if err != nil && !errors.Is(err, errCrashed) {
				t.Fatalf("%s, step %d: got error %v, want %v", name, step, err, errCrashed)
			}
			for bits := range uint64(1) << len(files.changes) {
				tried++
				restarted := files.crashKeeping(bits)
				d, contents, err := disk.Open(restarted, disk.Options{SegmentBytes: 400})
				if err != nil {
					t.Fatalf("%s: power lost after %d operations, changes %b of %d kept: %v", name, step, bits, len(files.changes), err)
				}
				matching(t, []model{before, after}, contents.Stored)
				if err := d.PersistSnapshot(p); err != nil {
					t.Fatalf("%s, step %d: snapshot after the restart: %v", name, step, err)
				}
				_, contents = open(t, restarted.crashKeeping(0))
				matching(t, []model{after}, contents.Stored)
			}
			if err == nil {
				break
			}
		}
		t.Logf("%s: %d states after a loss of power", name, tried)
	}
}

// form gives an empty folder an identity and a first log, or completes an earlier
// attempt.
func form(d *disk.Disk, contents disk.Contents) error {
	if contents.Identity == nil {
		if err := d.SetIdentity(identity); err != nil {
			return err
		}
	}
	if contents.Identity != nil && contents.Identity.Formed {
		return nil
	}
	return d.CreateLog(raft.StoredState{Hard: raft.HardState{Term: 1}, Entries: []*wirev1.Entry{{Index: 1, Term: 1}}})
}

// TestLossOfPowerWhileForming guards against a new folder that is taken for damaged
// after power was lost, also twice, before its log was complete.
func TestLossOfPowerWhileForming(t *testing.T) {
	tried := 0
	// again crashes at each step of forming a folder and calls then with each state of
	// the files that is possible afterwards.
	again := func(begin func() *memFS, then func(*memFS)) {
		for step := 0; ; step++ {
			files := begin()
			files.failAt = step
			d, contents, err := disk.Open(files, disk.Options{SegmentBytes: 400})
			if err == nil {
				err = form(d, contents)
			}
			if err != nil && !errors.Is(err, errCrashed) {
				t.Fatalf("step %d: got error %v, want %v", step, err, errCrashed)
			}
			for bits := range uint64(1) << len(files.changes) {
				then(files.crashKeeping(bits))
			}
			if err == nil {
				return
			}
		}
	}
	again(func() *memFS { return newMemFS(1) }, func(once *memFS) {
		again(once.clone, func(twice *memFS) {
			tried++
			d, contents := open(t, twice)
			if err := form(d, contents); err != nil {
				t.Fatalf("form: %v", err)
			}
			_, contents = open(t, twice.crashKeeping(0))
			if s := contents.Stored; s.Hard.Term != 1 || len(s.Entries) != 1 {
				t.Fatalf("folder holds hard state %v and %d entries, want term 1 and 1 entry", s.Hard, len(s.Entries))
			}
		})
	})
	t.Logf("%d states after two losses of power", tried)
}
