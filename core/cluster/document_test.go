package cluster_test

import (
	"testing"

	"github.com/jujubeknot/jujubeknot/core/cluster"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

func document(base, version uint64, text string) *wirev1.Command {
	return &wirev1.Command{Kind: &wirev1.Command_ApplyRules{ApplyRules: &wirev1.ApplyRules{
		BaseRevision: base, Text: text, Document: &wirev1.RulesDocument{Version: version, Content: []byte(text)},
	}}}
}

// TestDocumentVersionRises guards against a document that is replaced by one of the
// same or an older version, and against one that is lost in a snapshot.
func TestDocumentVersionRises(t *testing.T) {
	s := &cluster.State{}
	index := uint64(0)
	for i, c := range []struct {
		base, version uint64
		text          string
		code          cluster.Code
		revision      uint64
	}{
		{0, 5, "a", cluster.CodeApplied, 1},
		{1, 5, "b", cluster.CodeUnchanged, 1},
		{1, 4, "b", cluster.CodeUnchanged, 1},
		{0, 6, "b", cluster.CodeConflict, 1},
		{1, 6, "a", cluster.CodeApplied, 1},
		{1, 9, "b", cluster.CodeApplied, 2},
	} {
		index++
		var result cluster.Result
		s, result = s.Apply(index, document(c.base, c.version, c.text))
		if result.Code != c.code || s.Revision() != c.revision {
			t.Errorf("step %d: %v at revision %d, want %v at %d", i+1, result.Code, s.Revision(), c.code, c.revision)
		}
	}
	again, err := cluster.FromSnapshot(s.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	if d := again.Document(); d.GetVersion() != 9 || string(d.GetContent()) != "b" {
		t.Errorf("document after a snapshot has version %d and content %q, want 9 and \"b\"", d.GetVersion(), d.GetContent())
	}
}

// TestReplacementKeepsPartitions guards against keys that are moved to another
// backend server because the node of their owner was restarted. It also guards
// against an epoch with two owners, and against a backend server that seems to
// have the keys only since the restart.
func TestReplacementKeepsPartitions(t *testing.T) {
	s := &cluster.State{}
	s, first := s.Apply(1, register("s1", 0, ""))
	s, _ = s.Apply(2, assign(&wirev1.AssignChange{Upstream: "desk", Partition: 3, Owner: first.Index}))
	keep := register("s1", first.Index, "")
	keep.GetRegisterNode().KeepsPartitions = true
	s, second := s.Apply(3, keep)
	a := s.Assignment("desk", 3)
	if a.GetOwner() != second.Index || a.GetEpoch() != 2 || a.GetSinceIndex() != 2 {
		t.Errorf("assignment %v, want owner %d at epoch 2 since index 2", a, second.Index)
	}
	if u := s.UpdateSince(2); len(u.GetAssignments()) != 1 {
		t.Errorf("update has %d assignments, want 1", len(u.GetAssignments()))
	}
	if _, err := cluster.FromSnapshot(s.Snapshot()); err != nil {
		t.Error(err)
	}
	s, third := s.Apply(4, register("s1", second.Index, ""))
	if a := s.Assignment("desk", 3); a.GetOwner() == third.Index {
		t.Error("restarted backend server kept its partition, want it without a registered owner")
	}
}
