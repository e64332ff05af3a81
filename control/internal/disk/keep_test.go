package disk_test

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/jujubeknot/jujubeknot/control/internal/disk"
	"github.com/jujubeknot/jujubeknot/core/raft"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// withoutCovered returns the models without the entries that their snapshots
// cover.
func withoutCovered(models []model) []model {
	var without []model
	for _, m := range models {
		if covered := int64(m.snapshot) - int64(m.base.Index); covered > 0 {
			last := m.entries[covered-1]
			m.base, m.entries = disk.Position{Index: last.Index, Term: last.Term}, m.entries[covered:]
		}
		without = append(without, m)
	}
	return without
}

// TestCrashKeepsSyncedWithoutCoveredEntries guards against lost or invented
// entries if Open drops entries that the snapshot covers and a crash interrupts
// the removal of their segments.
func TestCrashKeepsSyncedWithoutCoveredEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkCrashes(t, rapid.SampledFrom([]int{1, 60}).Draw(t, "keepBytes")) })
}

// TestOpenDropsCoveredEntries guards against a member that cannot start because
// its folder holds more entries than fit into its memory, or that keeps them on
// its disk.
func TestOpenDropsCoveredEntries(t *testing.T) {
	const count, snapshotAt, keepBytes = 100, 90, 1000
	files := newMemFS(1)
	d := newFormed(t, files)
	for i := uint64(1); i <= count; i++ {
		if err := d.Persist(raft.Persist{Entries: []*wirev1.Entry{{Index: i, Term: 1, Data: make([]byte, 200)}}}); err != nil {
			t.Fatal(err)
		}
	}
	s := &wirev1.Snapshot{Index: snapshotAt, Term: 1, Membership: membership, Data: []byte("state")}
	if err := d.PersistSnapshot(raft.PersistSnapshot{Snapshot: s, FirstIndex: 1}); err != nil {
		t.Fatal(err)
	}
	if err := d.Close(); err != nil {
		t.Fatal(err)
	}
	before := files.size(t)
	d, contents := openKeeping(t, files, keepBytes)
	covered := 0
	for _, e := range contents.Stored.Entries {
		if e.Index <= snapshotAt {
			covered += proto.Size(e)
		}
	}
	last := contents.Stored.BaseIndex + uint64(len(contents.Stored.Entries))
	if covered == 0 || covered > keepBytes || last != count {
		t.Fatalf("got %d bytes of entries up to the snapshot and the last entry %d, want 1 to %d and %d", covered, last, keepBytes, count)
	}
	if after := files.size(t); after > before/4 {
		t.Fatalf("the folder has %d bytes of %d, want at most a quarter", after, before)
	}
	if err := d.Persist(raft.Persist{Entries: []*wirev1.Entry{{Index: count + 1, Term: 1}}}); err != nil {
		t.Fatal(err)
	}
}

// size returns the bytes of all files.
func (f *memFS) size(t failer) int {
	t.Helper()
	names, err := f.List()
	if err != nil {
		t.Fatalf("list: %v", err)
	}
	sum := 0
	for _, name := range names {
		data, err := f.Read(name)
		if err != nil {
			t.Fatalf("read %s: %v", name, err)
		}
		sum += len(data)
	}
	return sum
}
