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

// TestDocumentsRiseInVersion guards against a document that an older or an equal
// version replaces, and against one that is lost with a snapshot.
func TestDocumentsRiseInVersion(t *testing.T) {
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
		t.Errorf("after a snapshot the document is version %d, %q", d.GetVersion(), d.GetContent())
	}
}

// TestRegistrationKeepsPartitions guards against keys that change hands because
// the node beside their holder was restarted, against an epoch with two owners,
// and against a holder that is taken to have the keys only since the restart.
func TestRegistrationKeepsPartitions(t *testing.T) {
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
		t.Errorf("nodes are told of %d assignments, want 1", len(u.GetAssignments()))
	}
	if _, err := cluster.FromSnapshot(s.Snapshot()); err != nil {
		t.Error(err)
	}
	s, third := s.Apply(4, register("s1", second.Index, ""))
	if a := s.Assignment("desk", 3); a.GetOwner() == third.Index {
		t.Error("a restarted backend server keeps what it held")
	}
}
