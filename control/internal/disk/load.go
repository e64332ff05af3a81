package disk

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/jujubeknot/jujubeknot/core/raft"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

func (d *Disk) open() (Contents, error) {
	identity, err := readIdentity(d.files)
	if err != nil {
		return Contents{}, err
	}
	found, err := list(d.files)
	if err != nil {
		return Contents{}, err
	}
	for _, name := range found.temporary {
		if err := d.files.Remove(name); err != nil {
			return Contents{}, fmt.Errorf("remove %s: %w", name, err)
		}
	}
	d.identity = identity
	switch {
	case identity == nil:
		if len(found.segments)+len(found.snapshots) > 0 {
			return Contents{}, &DamageError{File: identityFile, Reason: "identity is missing although a log exists"}
		}
		return Contents{}, nil
	case !identity.Formed:
		return Contents{Identity: identity}, nil
	case len(found.segments) == 0:
		return Contents{}, &DamageError{File: segmentPrefix + "*", Reason: "all segments are missing"}
	}
	contents := Contents{Identity: identity}
	return contents, d.load(found, &contents)
}

// load replays the log and repairs what a crash left behind.
func (d *Disk) load(found listing, contents *Contents) error {
	r, err := replayLog(d.files, found)
	if err != nil {
		return err
	}
	contents.TornFile, contents.TornBytes = segmentName(r.segments[len(r.segments)-1].sequence), r.torn
	d.segments, d.hard, d.last = r.segments, r.hard, r.last()
	snapshot, err := readNewest(d.files, found.snapshots)
	if err != nil {
		return err
	}
	if snapshot == nil && r.base.Index > 0 || snapshot != nil && snapshot.Index < r.base.Index {
		return gap(segmentName(found.segments[0]), r.base.Index, snapshot.GetIndex())
	}
	if err := d.reopen(found, &r); err != nil {
		return err
	}
	if snapshot != nil && !r.has(Position{Index: snapshot.Index, Term: snapshot.Term}) {
		// The process ended between the two steps of a received snapshot.
		r.base, r.entries = Position{Index: snapshot.Index, Term: snapshot.Term}, nil
		if err := d.reset(r.base); err != nil {
			return err
		}
	}
	contents.Stored = raft.StoredState{
		Hard: r.hard, Snapshot: snapshot, BaseIndex: r.base.Index, BaseTerm: r.base.Term, Entries: r.entries,
	}
	return nil
}

// has reports whether the log has an entry, the base included.
func (r *replay) has(p Position) bool {
	if p.Index == r.base.Index {
		return p.Term == r.base.Term
	}
	if p.Index < r.base.Index || p.Index > r.last().Index {
		return false
	}
	return r.entries[p.Index-r.base.Index-1].Term == p.Term
}

func replayLog(files FS, found listing) (replay, error) {
	var r replay
	for i, sequence := range found.segments {
		data, err := files.Read(segmentName(sequence))
		if err != nil {
			return r, fmt.Errorf("read segment: %w", err)
		}
		if err := r.segment(sequence, data, i == len(found.segments)-1); err != nil {
			return r, err
		}
	}
	if r.continued {
		return r, r.missingNext()
	}
	return r, nil
}

// reopen removes a newest segment that was not in use yet, cuts the torn tail
// and opens the log for writing.
func (d *Disk) reopen(found listing, r *replay) error {
	last := r.segments[len(r.segments)-1].sequence
	if newest := found.segments[len(found.segments)-1]; newest != last {
		if err := d.files.Remove(segmentName(newest)); err != nil {
			return fmt.Errorf("remove unused segment: %w", err)
		}
	}
	file, err := d.files.Append(segmentName(last))
	if err != nil {
		return fmt.Errorf("open segment: %w", err)
	}
	d.file, d.size = file, r.end
	if r.torn == 0 {
		return nil
	}
	if err := file.Truncate(r.end); err != nil {
		return fmt.Errorf("truncate torn tail: %w", err)
	}
	if err := file.Sync(); err != nil {
		return fmt.Errorf("sync truncated segment: %w", err)
	}
	return nil
}

// readNewest returns the newest snapshot, nil where there is none.
func readNewest(files FS, indexes []uint64) (*wirev1.Snapshot, error) {
	if len(indexes) == 0 {
		return nil, nil
	}
	index := indexes[len(indexes)-1]
	data, err := files.Read(snapshotName(index))
	if err != nil {
		return nil, fmt.Errorf("read snapshot: %w", err)
	}
	return decodeSnapshot(index, data)
}

func decodeSnapshot(index uint64, data []byte) (*wirev1.Snapshot, error) {
	file := snapshotName(index)
	payload, err := readSingle(file, KindSnapshot, data)
	if err != nil {
		return nil, err
	}
	snapshot := &wirev1.Snapshot{}
	if err := proto.Unmarshal(payload, snapshot); err != nil {
		return nil, &DamageError{File: file, Offset: headerSize, Reason: err.Error()}
	}
	if snapshot.Index != index || snapshot.Membership == nil {
		return nil, &DamageError{File: file, Offset: headerSize, Reason: "snapshot has another index or no membership"}
	}
	return snapshot, nil
}
