package disk_test

import (
	"testing"

	"github.com/jujubeknot/jujubeknot/control/internal/disk"
	"github.com/jujubeknot/jujubeknot/core/raft"
)

// FuzzOpen guards against file contents that make the process panic, and against
// a folder whose content differs when it is opened a second time.
func FuzzOpen(f *testing.F) {
	files, _ := filled(f)
	read := func(name string) []byte {
		data, err := files.Read(name)
		if err != nil {
			f.Fatal(err)
		}
		return data
	}
	names, err := files.List()
	if err != nil {
		f.Fatal(err)
	}
	// Names are sorted: identity, segments, snapshot.
	first, last, snapshot := names[1], names[len(names)-2], names[len(names)-1]
	id := read("identity")
	f.Add(id, read(first), read(last), read(snapshot), true)
	f.Add(id, read(first), read(last)[:30], read(snapshot), true)
	f.Add(id, read(first), []byte{}, []byte{}, false)
	f.Add(id[:10], []byte{1}, make([]byte, 64), []byte("snapshot"), false)
	f.Fuzz(func(t *testing.T, id, one, two, snapshot []byte, fix bool) {
		if fix {
			// Without matching checksums almost no input would reach the decoders.
			disk.FixRecords(id, 0)
			disk.FixRecords(one, 1)
			disk.FixRecords(two, 2)
			disk.FixRecords(snapshot, 0)
		}
		files := newMemFS(1)
		for name, data := range map[string][]byte{"identity": id, "log-00000001": one, "log-00000002": two, "snapshot-0000000000000019": snapshot} {
			file := &inode{data: data, synced: data}
			files.current[name], files.durable[name] = file, file
		}
		if _, err := disk.Inspect(files.clone()); err != nil {
			t.Fatalf("inspect: %v", err)
		}
		d, before, err := disk.Open(files, disk.Options{})
		if err != nil || before.Identity == nil || !before.Identity.Formed {
			return
		}
		if err := d.Persist(raft.Persist{Hard: &before.Stored.Hard}); err != nil {
			t.Fatalf("persist: %v", err)
		}
		if err := d.Close(); err != nil {
			t.Fatalf("close: %v", err)
		}
		_, after, err := disk.Open(files, disk.Options{})
		if err != nil || !sameStored(before.Stored, after.Stored) {
			t.Fatalf("second open: got error %v or other content, want the same content", err)
		}
	})
}
