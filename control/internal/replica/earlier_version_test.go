package replica_test

import (
	"os"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/jujubeknot/jujubeknot/control/internal/disk"
	"github.com/jujubeknot/jujubeknot/control/internal/replica"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// TestOpensDataFolderOfEarlierVersion guards against a change that makes data
// folders of an earlier version unreadable. The folder was written before the
// command ReplaceNodes existed and has every kind of command of that version:
// registrations, updates, removals, assignments and rules. The last command has
// index 12. After all commands, one node is registered and the rules have
// revision 1.
func TestOpensDataFolderOfEarlierVersion(t *testing.T) {
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS("testdata/earlier_version")); err != nil {
		t.Fatal(err)
	}
	files, err := disk.OpenOrCreateFolder(dir)
	if err != nil {
		t.Fatal(err)
	}
	g := &testGroup{t: t, running: map[uint64]*running{}, network: &network{replicas: map[string]*replica.Replica{}, sent: map[wirev1.RaftMessage_Kind]int{}}}
	r, err := replica.New(replica.Config{
		GroupID: "earlier", MemberID: 1, Address: "127.0.0.1:27001", Files: files, Clock: systemClock{}, Seed: 1,
		Logger: zerolog.Nop(), Transport: &testTransport{network: g.network, address: "127.0.0.1:27001"},
	})
	if err != nil {
		t.Fatal(err)
	}
	g.run(1, r)
	defer g.stopAll()
	_, m := g.leader()
	// Once Confirm succeeds, all committed entries of the folder are applied. It
	// fails while the member does not lead.
	for m.Confirm(t.Context()) != nil {
		time.Sleep(time.Millisecond)
	}
	s := m.State()
	if s.Revision() != 1 || s.NodeCount() != 1 || s.Index() < 12 {
		t.Fatalf("got index %d, rules revision %d, %d nodes; want index at least 12, rules revision 1, 1 node", s.Index(), s.Revision(), s.NodeCount())
	}
	for n := range s.Nodes() {
		for a := range s.Assignments("applications") {
			if a.GetSinceUnixMs() != 0 {
				t.Errorf("partition %d: got sinceUnixMs %d, want 0: the earlier version did not store the time of an assignment", a.GetPartition(), a.GetSinceUnixMs())
			}
			if a.GetOwner() != n.GetIncarnation() {
				t.Errorf("partition %d: got owner %d, want %d", a.GetPartition(), a.GetOwner(), n.GetIncarnation())
			}
		}
		result, err := m.Propose(t.Context(), &wirev1.Command{Kind: &wirev1.Command_ReplaceNodes{ReplaceNodes: &wirev1.ReplaceNodes{Removed: []uint64{n.GetIncarnation()}}}})
		if err != nil || len(result.Delta.GetRemovedNodes()) != 1 {
			t.Errorf("ReplaceNodes after the commands of the earlier version: got %+v, %v, want one removed node", result, err)
		}
	}
}
