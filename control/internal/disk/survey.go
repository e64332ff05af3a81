package disk

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/jujubeknot/jujubeknot/core/raft"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// Inspection is what a data folder holds, read without changing it.
type Inspection struct {
	Identity  *Identity
	Hard      raft.HardState
	Snapshots []SnapshotInfo
	Segments  []SegmentInfo
	// Entries are those that a member would start with. In a damaged folder
	// they are all that can be read, replaced ones included.
	Base    Position
	Entries []*wirev1.Entry
	// Damage lists what keeps a member from starting.
	Damage []error
	// TornBytes has the bytes after the last record, which a member cuts off.
	TornBytes int64
}

// SnapshotInfo describes a snapshot file. Snapshot is nil if it is damaged.
type SnapshotInfo struct {
	File     string
	Bytes    int
	Snapshot *wirev1.Snapshot
}

// SegmentInfo describes a file of the log.
type SegmentInfo struct {
	File  string
	Bytes int
	// ReadableBytes is the offset after the last record.
	ReadableBytes int64
	Records       int
	Header        SegmentHeader
	First         Position
	Last          Position
	// Closed says that the log was closed in order after the last record.
	Closed bool
}

// Empty reports whether the folder has no file of a control member. Even one
// whose start was interrupted has an identity.
func (s *Inspection) Empty() bool {
	return s.Identity == nil && len(s.Snapshots) == 0 && len(s.Segments) == 0 && len(s.Damage) == 0
}

// Inspect reads a data folder that no process uses. It reads on after damage.
func Inspect(files FS) (Inspection, error) {
	var s Inspection
	identity, err := readIdentity(files)
	if err != nil {
		s.Damage = append(s.Damage, err)
	}
	s.Identity = identity
	found, err := list(files)
	if err != nil {
		return s, err
	}
	if identity == nil && err == nil && len(found.segments)+len(found.snapshots) > 0 && len(s.Damage) == 0 {
		s.Damage = append(s.Damage, &DamageError{File: identityFile, Reason: "identity is missing although a log exists"})
	}
	if err := s.readSnapshots(files, found); err != nil {
		return s, err
	}
	if err := s.readSegments(files, found); err != nil {
		return s, err
	}
	s.checkGap()
	return s, nil
}

func (s *Inspection) readSnapshots(files FS, found listing) error {
	for _, index := range found.snapshots {
		data, err := files.Read(snapshotName(index))
		if err != nil {
			return fmt.Errorf("read snapshot: %w", err)
		}
		snapshot, err := decodeSnapshot(index, data)
		if err != nil {
			s.Damage = append(s.Damage, err)
		}
		s.Snapshots = append(s.Snapshots, SnapshotInfo{File: snapshotName(index), Bytes: len(data), Snapshot: snapshot})
	}
	return nil
}

func (s *Inspection) readSegments(files FS, found listing) error {
	var r replay
	var readable []*wirev1.Entry
	for i, sequence := range found.segments {
		data, err := files.Read(segmentName(sequence))
		if err != nil {
			return fmt.Errorf("read segment: %w", err)
		}
		if err := r.segment(sequence, data, i == len(found.segments)-1); err != nil {
			s.Damage = append(s.Damage, err)
		}
		info, entries := describeSegment(sequence, data)
		s.Segments, readable = append(s.Segments, info), append(readable, entries...)
	}
	if r.continued {
		s.Damage = append(s.Damage, r.missingNext())
	}
	if len(found.segments) == 0 && s.Identity != nil && s.Identity.Formed {
		s.Damage = append(s.Damage, &DamageError{File: segmentPrefix + "*", Reason: "all segments are missing"})
	}
	s.Hard, s.Base, s.Entries, s.TornBytes = r.hard, r.base, r.entries, r.torn
	if len(s.Damage) > 0 {
		s.Entries = readable
	}
	return nil
}

// describeSegment reads a segment on its own, up to the first damage.
func describeSegment(sequence uint32, data []byte) (SegmentInfo, []*wirev1.Entry) {
	var entries []*wirev1.Entry
	info := SegmentInfo{File: segmentName(sequence), Bytes: len(data)}
	// Damage was reported by the replay; here the readable part counts.
	info.ReadableBytes, _ = ScanRecords(info.File, sequence, data, func(record Record) error {
		info.Records++
		info.Closed = record.Kind == KindClosed
		switch record.Kind {
		case KindHeader:
			header, err := DecodeSegmentHeader(record.Payload)
			info.Header = header
			return err
		case KindEntry:
			entry := &wirev1.Entry{}
			if err := proto.Unmarshal(record.Payload, entry); err != nil {
				return err
			}
			entries = append(entries, entry)
			info.Last = Position{Index: entry.Index, Term: entry.Term}
			if info.First.Index == 0 {
				info.First = info.Last
			}
		}
		return nil
	})
	return info, entries
}

// checkGap compares the newest snapshot with the start of the log.
func (s *Inspection) checkGap() {
	if len(s.Damage) > 0 || len(s.Segments) == 0 {
		return
	}
	var index uint64
	if count := len(s.Snapshots); count > 0 {
		index = s.Snapshots[count-1].Snapshot.GetIndex()
	}
	if index < s.Base.Index {
		s.Damage = append(s.Damage, gap(s.Segments[0].File, s.Base.Index, index))
	}
}

// gap is the damage of a log that starts after its snapshot.
func gap(file string, base, snapshot uint64) error {
	return &DamageError{File: file, Reason: fmt.Sprintf("log starts after entry %d but the snapshot ends at %d", base, snapshot)}
}
