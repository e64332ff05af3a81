package disk_test

import (
	"fmt"
	"testing"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/jujubeknot/jujubeknot/control/internal/disk"
	"github.com/jujubeknot/jujubeknot/core/raft"
	"github.com/jujubeknot/jujubeknot/wire/testkit"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// TestMain fixes the seed of rapid so that each run draws the same cases.
func TestMain(m *testing.M) {
	testkit.Main(m, testkit.Config{})
}

var (
	identity   = disk.Identity{GroupID: "g", MemberID: 1, FolderID: 7}
	membership = &wirev1.Membership{Members: []*wirev1.Member{{Id: 1, Address: "a", Folder: 7}}}
)

// model is the expected content of a data folder.
type model struct {
	hardState raft.HardState
	snapshot  uint64
	// base is the entry before the first one that must be kept.
	base    disk.Position
	entries []*wirev1.Entry
}

func (m model) last() disk.Position {
	if count := len(m.entries); count > 0 {
		return disk.Position{Index: m.entries[count-1].Index, Term: m.entries[count-1].Term}
	}
	return m.base
}

// upTo returns the model with the entries up to an index.
func (m model) upTo(index uint64) model {
	m.entries = append([]*wirev1.Entry(nil), m.entries[:index-m.base.Index]...)
	return m
}

// matches reports whether a folder holds the content of the model. It may hold
// older entries as well.
func (m model) matches(s raft.StoredState) bool {
	if s.Hard != m.hardState || s.Snapshot.GetIndex() != m.snapshot || s.BaseIndex > m.base.Index ||
		s.BaseIndex+uint64(len(s.Entries)) != m.last().Index {
		return false
	}
	for i, e := range m.entries {
		if !proto.Equal(e, s.Entries[m.base.Index-s.BaseIndex+uint64(i)]) {
			return false
		}
	}
	return true
}

// drawPersist draws entries that continue the log or replace its end. It also
// returns the contents that a folder may have if the process ends during the
// call; the last one is the content after a complete call.
func (m model) drawPersist(t *rapid.T) (raft.Persist, []model) {
	var p raft.Persist
	candidates := []model{m}
	after := m
	if rapid.Bool().Draw(t, "hard") {
		after.hardState = raft.HardState{Term: m.hardState.Term + 1, Vote: rapid.Uint64Range(0, 3).Draw(t, "vote")}
		p.Hard = &after.hardState
	}
	first := rapid.Uint64Range(max(m.base.Index, m.snapshot)+1, m.last().Index+1).Draw(t, "first")
	if rapid.Bool().Draw(t, "append") {
		first = m.last().Index + 1
	}
	term := m.last().Term + uint64(rapid.IntRange(0, 1).Draw(t, "newTerm"))
	count := rapid.IntRange(0, 6).Draw(t, "count")
	if count > 0 {
		m, after = m.upTo(first-1), after.upTo(first-1)
		p.PreviousTerm = m.last().Term
		candidates = append(candidates, m)
	}
	candidates = append(candidates, after)
	for i := range count {
		e := &wirev1.Entry{Index: first + uint64(i), Term: term, Data: rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "data")}
		p.Entries = append(p.Entries, e)
		after.entries = append(append([]*wirev1.Entry(nil), after.entries...), e)
		candidates = append(candidates, after)
	}
	return p, candidates
}

// drawSnapshot draws a compaction or a received snapshot. The models are nil if
// no newer snapshot is possible.
func (m model) drawSnapshot(t *rapid.T) (raft.PersistSnapshot, []model) {
	after := m
	var p raft.PersistSnapshot
	if rapid.Bool().Draw(t, "received") {
		after.base = disk.Position{Index: m.last().Index + rapid.Uint64Range(1, 5).Draw(t, "ahead"), Term: m.last().Term + 1}
		after.entries = nil
		p.Reset, after.snapshot = true, after.base.Index
	} else {
		if len(m.entries) == 0 {
			return p, nil
		}
		at := rapid.IntRange(0, len(m.entries)-1).Draw(t, "at")
		keep := rapid.IntRange(0, at+1).Draw(t, "keep")
		after.snapshot = m.entries[at].Index
		if removed := at + 1 - keep; removed > 0 {
			after.base = disk.Position{Index: m.entries[removed-1].Index, Term: m.entries[removed-1].Term}
			after.entries = m.entries[removed:]
		}
	}
	if after.snapshot <= m.snapshot {
		return p, nil
	}
	term := after.base.Term
	for _, e := range after.entries {
		if e.Index <= after.snapshot {
			term = e.Term
		}
	}
	p.FirstIndex = after.base.Index + 1
	p.Snapshot = &wirev1.Snapshot{Index: after.snapshot, Term: term, Membership: membership, Data: []byte("state")}
	return p, []model{m, after}
}

func open(t failer, files disk.FS) (*disk.Disk, disk.Contents) {
	t.Helper()
	return openKeeping(t, files, 0)
}

// openKeeping opens a folder without the entries that the snapshot covers beyond
// keepBytes.
func openKeeping(t failer, files disk.FS, keepBytes int) (*disk.Disk, disk.Contents) {
	t.Helper()
	d, contents, err := disk.Open(files, disk.Options{SegmentBytes: 400, KeepBytes: keepBytes})
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	return d, contents
}

type failer interface {
	Fatalf(format string, args ...any)
	Helper()
}

// newFormed returns an open folder with an empty log.
func newFormed(t failer, files disk.FS) *disk.Disk {
	d, _ := open(t, files)
	if err := d.SetIdentity(identity); err != nil {
		t.Fatalf("set identity: %v", err)
	}
	if err := d.CreateLog(raft.StoredState{}); err != nil {
		t.Fatalf("create log: %v", err)
	}
	return d
}

// TestCrashKeepsSynced guards against lost or invented entries after a crash. A
// crash may happen at any operation on the file system.
func TestCrashKeepsSynced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkCrashes(t, 0) })
}

// checkCrashes draws writes and crashes, and checks what the folder holds when it
// is opened with a limit on the entries that the snapshot covers.
func checkCrashes(t *rapid.T, keepBytes int) {
	files := newMemFS(rapid.Uint64().Draw(t, "seed"))
	d := newFormed(t, files)
	var m model
	for range rapid.IntRange(1, 25).Draw(t, "steps") {
		if rapid.IntRange(0, 3).Draw(t, "crash") == 0 {
			files.failAt = files.operations + rapid.IntRange(0, 14).Draw(t, "operations")
		}
		var candidates []model
		var err error
		if rapid.IntRange(0, 4).Draw(t, "snapshot") == 0 {
			var p raft.PersistSnapshot
			if p, candidates = m.drawSnapshot(t); candidates != nil {
				err = d.PersistSnapshot(p)
			}
		} else {
			var p raft.Persist
			p, candidates = m.drawPersist(t)
			err = d.Persist(p)
		}
		switch {
		case candidates == nil:
			continue
		case err == nil:
			m = candidates[len(candidates)-1]
			candidates = []model{m}
			if rapid.Bool().Draw(t, "continue") {
				continue
			}
		case !errors.Is(err, errCrashed):
			t.Fatalf("write failed with %v, want %v", err, errCrashed)
		case acceptsWrite(d, files, m):
			t.Fatalf("a write after a failed one succeeded, want an error")
		}
		files = files.crash()
		var contents disk.Contents
		d, contents = openKeeping(t, files, keepBytes)
		if keepBytes > 0 {
			candidates = withoutCovered(candidates)
		}
		m = matching(t, candidates, contents.Stored)
	}
}

// acceptsWrite reports whether a folder accepts a write after one has failed and
// the file system works again.
func acceptsWrite(d *disk.Disk, files *memFS, m model) bool {
	files.failAt = -1
	return d.Persist(raft.Persist{Hard: &m.hardState}) == nil
}

// matching returns the latest model that matches the content of a folder.
func matching(t failer, candidates []model, s raft.StoredState) model {
	t.Helper()
	for i := len(candidates) - 1; i >= 0; i-- {
		if candidates[i].matches(s) {
			return candidates[i]
		}
	}
	t.Fatalf("folder holds hard state %v, snapshot %d, entries %d to %d; want one of %s",
		s.Hard, s.Snapshot.GetIndex(), s.BaseIndex+1, s.BaseIndex+uint64(len(s.Entries)), fmt.Sprint(candidates))
	return model{}
}

// filled returns a cleanly closed folder with several segments and a snapshot,
// and its content.
func filled(t failer) (*memFS, raft.StoredState) {
	files := newMemFS(1)
	d := newFormed(t, files)
	for i := uint64(1); i <= 40; i++ {
		p := raft.Persist{Hard: &raft.HardState{Term: i, Vote: 1}, PreviousTerm: i - 1, Entries: []*wirev1.Entry{{Index: i, Term: i, Data: make([]byte, i)}}}
		if err := d.Persist(p); err != nil {
			t.Fatalf("persist: %v", err)
		}
	}
	s := &wirev1.Snapshot{Index: 25, Term: 25, Membership: membership, Data: []byte("state")}
	if err := d.PersistSnapshot(raft.PersistSnapshot{Snapshot: s, FirstIndex: 21}); err != nil {
		t.Fatalf("snapshot: %v", err)
	}
	if err := d.Close(); err != nil {
		t.Fatalf("close: %v", err)
	}
	_, contents := open(t, files.clone())
	return files, contents.Stored
}

func sameStored(a, b raft.StoredState) bool {
	if a.Hard != b.Hard || a.BaseIndex != b.BaseIndex || a.BaseTerm != b.BaseTerm || len(a.Entries) != len(b.Entries) || !proto.Equal(a.Snapshot, b.Snapshot) {
		return false
	}
	for i := range a.Entries {
		if !proto.Equal(a.Entries[i], b.Entries[i]) {
			return false
		}
	}
	return true
}

// TestDamageIsRefused guards against a damaged log that is read as a shorter
// one. A changed byte anywhere must either be reported with its file or have no
// effect.
func TestDamageIsRefused(t *testing.T) {
	files, want := filled(t)
	names, err := files.List()
	if err != nil {
		t.Fatal(err)
	}
	refused := 0
	for _, name := range names {
		for offset := range files.current[name].data {
			damaged := files.clone()
			damaged.current[name].data[offset] ^= 0x41
			_, contents, err := disk.Open(damaged, disk.Options{})
			var damage *disk.DamageError
			switch {
			case errors.As(err, &damage):
				refused++
				if damage.File != name || damage.Offset > int64(offset) {
					t.Errorf("damage of %s at %d: got %v, want this file and an offset up to this one", name, offset, err)
				}
			case err != nil:
				t.Errorf("damage of %s at %d: got error %v, want a DamageError", name, offset, err)
			case !sameStored(want, contents.Stored):
				t.Errorf("damage of %s at %d changed the content without an error", name, offset)
			}
		}
	}
	if refused < 1000 {
		t.Errorf("%d damaged bytes were refused, want at least 1000", refused)
	}
}

// afterSnapshot removes the entries that the snapshot covers.
func afterSnapshot(s raft.StoredState) raft.StoredState {
	s.Entries = s.Entries[s.Snapshot.Index-s.BaseIndex:]
	s.BaseIndex, s.BaseTerm = s.Snapshot.Index, s.Snapshot.Term
	return s
}

// TestMissingFileIsRefused guards against a log with a lost file that is read as
// a shorter one. Only entries that the snapshot covers may be missing.
func TestMissingFileIsRefused(t *testing.T) {
	files, want := filled(t)
	refused := 0
	names, err := files.List()
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		incomplete := files.clone()
		delete(incomplete.current, name)
		_, contents, err := disk.Open(incomplete, disk.Options{})
		var damage *disk.DamageError
		switch {
		case errors.As(err, &damage):
			refused++
		case err != nil || !sameStored(afterSnapshot(want), afterSnapshot(contents.Stored)):
			t.Errorf("without %s: got error %v or other content, want a DamageError or the same content", name, err)
		}
	}
	if refused < len(names)-1 {
		t.Errorf("%d of %d missing files were refused, want at least %d", refused, len(names), len(names)-1)
	}
}

// TestUnknownVersionIsRefused guards against a record of a later format version
// that is taken for a torn tail and truncated.
func TestUnknownVersionIsRefused(t *testing.T) {
	files := newMemFS(1)
	d := newFormed(t, files)
	if err := d.Persist(raft.Persist{Hard: &raft.HardState{Term: 1}}); err != nil {
		t.Fatal(err)
	}
	data := files.current["log-00000001"].data
	last := len(data) - 40
	data[last+8] = 2
	disk.FixChecksum(data[last:])
	_, _, err := disk.Open(files.clone(), disk.Options{})
	if err == nil || err.Error() != fmt.Sprintf("log-00000001 is damaged at offset %d: format version 2 is not supported", last) {
		t.Fatalf("open: got error %v, want damage at offset %d", err, last)
	}
}

// TestLockAndIdentity guards against two processes that use one data folder and
// against a folder whose identity is set twice.
func TestLockAndIdentity(t *testing.T) {
	dir := t.TempDir()
	files, err := disk.OpenOrCreateFolder(dir)
	if err != nil {
		t.Fatal(err)
	}
	d := newFormed(t, files)
	if _, _, err := disk.Open(files, disk.Options{}); err == nil || err.Error() != "data folder "+dir+" is in use by another process" {
		t.Fatalf("second open: got error %v, want that the folder is in use", err)
	}
	if err := d.SetIdentity(identity); err == nil {
		t.Fatal("the second SetIdentity succeeded, want an error")
	}
	if err := d.Close(); err != nil {
		t.Fatal(err)
	}
	_, contents := open(t, files)
	if got := contents.Identity; got.MemberID != 1 || got.GroupID != "g" || got.FolderID != 7 || !got.Formed {
		t.Fatalf("got identity %+v, want %+v formed", got, identity)
	}
}
