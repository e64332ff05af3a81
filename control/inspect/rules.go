package inspect

import (
	"google.golang.org/protobuf/proto"

	"github.com/jujubeknot/jujubeknot/control/internal/disk"
	"github.com/jujubeknot/jujubeknot/core/cluster"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// lastRules returns the text of the rules after the newest snapshot that can be
// read and the entries that follow it, empty if there are none.
func lastRules(s disk.Inspection) string {
	state := &cluster.State{}
	for _, info := range s.Snapshots {
		message := &wirev1.ClusterState{}
		if info.Snapshot == nil || proto.Unmarshal(info.Snapshot.GetData(), message) != nil {
			continue
		}
		if next, err := cluster.FromSnapshot(message); err == nil && next.Index() >= state.Index() {
			state = next
		}
	}
	for _, e := range s.Entries {
		command := &wirev1.Command{}
		// Entries of a damaged folder can repeat.
		if e.GetKind() != wirev1.Entry_KIND_COMMAND || e.GetIndex() <= state.Index() || proto.Unmarshal(e.GetData(), command) != nil {
			continue
		}
		state, _ = state.Apply(e.GetIndex(), command)
	}
	return state.Rules().GetText()
}
