package cluster

import (
	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/core/keyspace"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// checkSnapshot returns an error if no sequence of commands can lead to a
// snapshot.
func checkSnapshot(snapshot *wirev1.ClusterState) error {
	if snapshot == nil {
		return errors.New("state is missing")
	}
	index := snapshot.GetAppliedIndex()
	last := uint64(0)
	for _, n := range snapshot.GetNodes() {
		if n.GetIncarnation() <= last || n.GetIncarnation() > index {
			return errors.Errorf("node incarnation %d follows %d at index %d", n.GetIncarnation(), last, index)
		}
		last = n.GetIncarnation()
	}
	if err := checkAssignments(snapshot); err != nil {
		return err
	}
	revision := uint64(0)
	for _, r := range snapshot.GetHistory() {
		if r.GetRevision() <= revision {
			return errors.Errorf("rules revision %d follows %d in the history", r.GetRevision(), revision)
		}
		revision = r.GetRevision()
	}
	if revision > 0 && snapshot.GetRules().GetRevision() <= revision {
		return errors.Errorf("current rules revision %d is not above %d of the history", snapshot.GetRules().GetRevision(), revision)
	}
	return nil
}

// checkAssignments checks the current and earlier assignments of a snapshot.
func checkAssignments(snapshot *wirev1.ClusterState) error {
	type partitionID struct {
		upstream  string
		partition uint32
	}
	epochs := make(map[partitionID]uint64, len(snapshot.GetAssignments()))
	for _, a := range snapshot.GetAssignments() {
		at := partitionID{a.GetUpstream(), a.GetPartition()}
		if a.GetPartition() >= keyspace.MaxPartitions || a.GetSinceIndex() > snapshot.GetAppliedIndex() {
			return errors.Errorf("assignment of %s/%d since index %d is out of range", at.upstream, at.partition, a.GetSinceIndex())
		}
		if _, twice := epochs[at]; twice {
			return errors.Errorf("%s/%d is assigned twice", at.upstream, at.partition)
		}
		epochs[at] = a.GetEpoch()
	}
	for _, a := range snapshot.GetEarlierAssignments() {
		at := partitionID{a.GetUpstream(), a.GetPartition()}
		if epoch, known := epochs[at]; !known || a.GetEpoch() >= epoch {
			return errors.Errorf("earlier assignment of %s/%d has epoch %d, the current one %d", at.upstream, at.partition, a.GetEpoch(), epoch)
		}
	}
	return nil
}
