package inspect

import (
	"google.golang.org/protobuf/proto"

	"github.com/jujubeknot/jujubeknot/control/internal/disk"
	"github.com/jujubeknot/jujubeknot/core/cluster"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// lastRules returns the text of the rules. It applies the entries after the
// newest readable snapshot to the state of that snapshot. The text is empty if
// there are no rules.
func lastRules(inspection disk.Inspection) string {
	state := &cluster.State{}
	for _, info := range inspection.Snapshots {
		message := &wirev1.ClusterState{}
		if info.Snapshot == nil || proto.Unmarshal(info.Snapshot.GetData(), message) != nil {
			continue
		}
		if next, err := cluster.FromSnapshot(message); err == nil && next.Index() >= state.Index() {
			state = next
		}
	}
	for _, e := range inspection.Entries {
		command := &wirev1.Command{}
		// A damaged folder can yield several entries with the same index.
		if e.GetKind() != wirev1.Entry_KIND_COMMAND || e.GetIndex() <= state.Index() || proto.Unmarshal(e.GetData(), command) != nil {
			continue
		}
		state, _ = state.Apply(e.GetIndex(), command)
	}
	return state.Rules().GetText()
}
