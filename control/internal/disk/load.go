package disk

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/jujubeknot/jujubeknot/core/raft"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// open reads the data folder and removes temporary files left by a crash.
func (d *Disk) open() (Contents, error) {
	identity, err := readIdentity(d.files)
	if err != nil {
		return Contents{}, err
	}
	found, err := listFiles(d.files)
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

// load replays the log and repairs the effects of a crash.
func (d *Disk) load(found fileListing, contents *Contents) error {
	snapshot, err := readNewestSnapshot(d.files, found.snapshots)
	if err != nil {
		return err
	}
	r, err := replayLog(d.files, found, func(r *replay) { r.dropCovered(snapshot.GetIndex(), d.options.KeepBytes) })
	if err != nil {
		return err
	}
	contents.TornFile, contents.TornBytes = segmentName(r.segments[len(r.segments)-1].sequence), r.tornBytes
	d.segments, d.hardState, d.lastEntry = r.segments, r.hardState, r.last()
	if snapshot == nil && r.base.Index > 0 || snapshot != nil && snapshot.Index < r.base.Index {
		return gapError(segmentName(found.segments[0]), r.base.Index, snapshot.GetIndex())
	}
	if err := d.reopen(found, &r); err != nil {
		return err
	}
	if snapshot != nil && !r.contains(Position{Index: snapshot.Index, Term: snapshot.Term}) {
		// The process ended after a received snapshot was written and before the
		// log was reset.
		r.base, r.entries = Position{Index: snapshot.Index, Term: snapshot.Term}, nil
		if err := d.reset(r.base); err != nil {
			return err
		}
	} else if snapshot != nil {
		if err := d.removeObsolete(snapshot.Index, r.base.Index+1); err != nil {
			return err
		}
	}
	contents.Stored = raft.StoredState{
		Hard: r.hardState, Snapshot: snapshot, BaseIndex: r.base.Index, BaseTerm: r.base.Term, Entries: r.entries,
	}
	return nil
}

// contains reports whether the log has the entry at a position, or starts right
// after it.
func (r *replay) contains(p Position) bool {
	if p.Index == r.base.Index {
		return p.Term == r.base.Term
	}
	if p.Index < r.base.Index || p.Index > r.last().Index {
		return false
	}
	return r.entries[p.Index-r.base.Index-1].Term == p.Term
}

// replayLog reads all segments and calls shorten after each. The newest may have
// a torn tail.
func replayLog(files FS, found fileListing, shorten func(*replay)) (replay, error) {
	var r replay
	for i, sequence := range found.segments {
		data, err := files.Read(segmentName(sequence))
		if err != nil {
			return r, fmt.Errorf("read segment: %w", err)
		}
		if err := r.replaySegment(sequence, data, i == len(found.segments)-1); err != nil {
			return r, err
		}
		shorten(&r)
	}
	if r.expectsNext {
		return r, r.missingSegmentError()
	}
	return r, nil
}

// reopen opens the log for writing and truncates its torn tail. A newest
// segment without a complete header was not in use yet and is removed.
func (d *Disk) reopen(found fileListing, r *replay) error {
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
	d.file, d.fileSize = file, r.endOffset
	if r.tornBytes == 0 {
		return nil
	}
	if err := file.Truncate(r.endOffset); err != nil {
		return fmt.Errorf("truncate torn tail: %w", err)
	}
	if err := file.Sync(); err != nil {
		return fmt.Errorf("sync truncated segment: %w", err)
	}
	return nil
}

// readNewestSnapshot returns the newest snapshot, or nil if there is none.
func readNewestSnapshot(files FS, indexes []uint64) (*wirev1.Snapshot, error) {
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
	payload, err := readSingleRecord(file, KindSnapshot, data)
	if err != nil {
		return nil, err
	}
	snapshot := &wirev1.Snapshot{}
	if err := proto.Unmarshal(payload, snapshot); err != nil {
		return nil, &DamageError{File: file, Offset: recordHeaderSize, Reason: err.Error()}
	}
	if snapshot.Index != index || snapshot.Membership == nil {
		return nil, &DamageError{File: file, Offset: recordHeaderSize, Reason: "snapshot has another index or no membership"}
	}
	return snapshot, nil
}
