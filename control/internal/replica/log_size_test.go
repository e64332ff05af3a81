package replica_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jujubeknot/jujubeknot/control/internal/disk"
	"github.com/jujubeknot/jujubeknot/control/internal/replica"
	"github.com/jujubeknot/jujubeknot/core/cluster"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// proposeDocuments proposes documents with rules of 600 KB each, the versions in
// order from first to last.
func (g *testGroup) proposeDocuments(m *running, first, last uint64) {
	g.t.Helper()
	filler := strings.Repeat("# filler\n", 600_000/9)
	for version := first; version <= last; version++ {
		text := filler[version:]
		command := &wirev1.ApplyRules{
			Text: text, BaseRevision: m.State().Revision(),
			Document: &wirev1.RulesDocument{Version: version, Content: []byte(text)},
		}
		result, err := m.Propose(g.t.Context(), &wirev1.Command{Kind: &wirev1.Command_ApplyRules{ApplyRules: command}})
		if err != nil || result.Code != cluster.CodeApplied {
			g.t.Fatalf("document %d: got %+v, %v, want applied", version, result, err)
		}
	}
}

// folderBytes returns the size of a member's folder.
func (g *testGroup) folderBytes(id uint64) int64 {
	g.t.Helper()
	files, err := os.ReadDir(g.folder(id))
	if err != nil {
		g.t.Fatal(err)
	}
	sum := int64(0)
	for _, f := range files {
		info, err := os.Stat(filepath.Join(g.folder(id), f.Name()))
		if err != nil {
			g.t.Fatal(err)
		}
		sum += info.Size()
	}
	return sum
}

// TestLargeDocumentsAreBoundedInBytes guards against members that run out of
// memory and disk after some hundred changes of a large configuration, because
// their log keeps a number of entries whatever their size.
func TestLargeDocumentsAreBoundedInBytes(t *testing.T) {
	// The log and the snapshots need 41 MiB: 16 MiB until the next snapshot, 8 MiB
	// before it, a segment of 8 MiB at each end and two snapshots.
	const limit, changes = 48 << 20, 60
	synctest.Test(t, func(t *testing.T) {
		g := newTestGroup(t, 3, replica.Config{})
		defer g.stopAll()
		id, m := g.leader()
		lagging := id%3 + 1
		g.setIsolated(lagging, true)
		g.proposeDocuments(m, 1, changes)
		for member := range g.running {
			if size := g.folderBytes(member); size > limit {
				t.Errorf("member %d has %d bytes on disk after %d documents, want at most %d", member, size, changes, limit)
			}
		}
		g.setIsolated(lagging, false)
		for range 100 {
			if g.running[lagging].State().Index() == m.State().Index() {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		if got, want, snapshots := g.running[lagging].State().Index(), m.State().Index(), g.sentCount(wirev1.RaftMessage_KIND_SNAPSHOT); got != want || snapshots == 0 {
			t.Fatalf("the member that was away is at index %d after %d snapshots, want %d and a snapshot", got, snapshots, want)
		}
		g.stopAll()
		for _, member := range g.initial {
			if size := g.storedBytes(member.Id); size > limit {
				t.Errorf("member %d starts with %d bytes of entries, want at most %d", member.Id, size, limit)
			}
		}
	})
}

// sentCount returns the number of messages of a kind that the members sent.
func (g *testGroup) sentCount(kind wirev1.RaftMessage_Kind) int {
	g.network.mutex.Lock()
	defer g.network.mutex.Unlock()
	return g.network.sent[kind]
}

// storedBytes returns the size of the entries that a stopped member starts with.
func (g *testGroup) storedBytes(id uint64) int {
	g.t.Helper()
	files, err := disk.OpenFolder(g.folder(id))
	if err != nil {
		g.t.Fatal(err)
	}
	d, contents, err := disk.Open(files, disk.Options{})
	if err != nil {
		g.t.Fatal(err)
	}
	if err := d.Close(); err != nil {
		g.t.Fatal(err)
	}
	sum := 0
	for _, e := range contents.Stored.Entries {
		sum += proto.Size(e)
	}
	return sum
}
