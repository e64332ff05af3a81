package disk

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/jujubeknot/jujubeknot/core/raft"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// Inspection is the content of a data folder, read without changing it.
type Inspection struct {
	Identity  *Identity
	Hard      raft.HardState
	Snapshots []SnapshotInfo
	Segments  []SegmentInfo
	// Base is the entry before the first one of the log.
	Base Position
	// Entries are those with which a member would start. In a damaged folder
	// they are all readable entries, including replaced ones.
	Entries []*wirev1.Entry
	// Damage lists the errors that keep a member from starting.
	Damage []error
	// TornBytes is the number of bytes after the last record, which a member
	// truncates when it starts.
	TornBytes int64
}

// SnapshotInfo describes a snapshot file.
type SnapshotInfo struct {
	File  string
	Bytes int
	// Snapshot is nil if the file is damaged.
	Snapshot *wirev1.Snapshot
}

// SegmentInfo describes a segment file of the log.
type SegmentInfo struct {
	File  string
	Bytes int
	// ReadableBytes is the offset after the last readable record.
	ReadableBytes int64
	Records       int
	Header        SegmentHeader
	First         Position
	Last          Position
	// Closed is true if the log was closed cleanly after the last record.
	Closed bool
}

// Empty reports whether the folder has no file of a control member. A member
// whose first start was interrupted has at least an identity.
func (s *Inspection) Empty() bool {
	return s.Identity == nil && len(s.Snapshots) == 0 && len(s.Segments) == 0 && len(s.Damage) == 0
}

// Inspect reads a data folder that no process uses. It continues after damage,
// which it lists in Inspection.Damage.
func Inspect(files FS) (Inspection, error) {
	var s Inspection
	identity, err := readIdentity(files)
	if err != nil {
		s.Damage = append(s.Damage, err)
	}
	s.Identity = identity
	found, err := listFiles(files)
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

func (s *Inspection) readSnapshots(files FS, found fileListing) error {
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

func (s *Inspection) readSegments(files FS, found fileListing) error {
	var r replay
	var readable []*wirev1.Entry
	for i, sequence := range found.segments {
		data, err := files.Read(segmentName(sequence))
		if err != nil {
			return fmt.Errorf("read segment: %w", err)
		}
		if err := r.replaySegment(sequence, data, i == len(found.segments)-1); err != nil {
			s.Damage = append(s.Damage, err)
		}
		info, entries := describeSegment(sequence, data)
		s.Segments, readable = append(s.Segments, info), append(readable, entries...)
	}
	if r.expectsNext {
		s.Damage = append(s.Damage, r.missingSegmentError())
	}
	if len(found.segments) == 0 && s.Identity != nil && s.Identity.Formed {
		s.Damage = append(s.Damage, &DamageError{File: segmentPrefix + "*", Reason: "all segments are missing"})
	}
	s.Hard, s.Base, s.Entries, s.TornBytes = r.hardState, r.base, r.entries, r.tornBytes
	if len(s.Damage) > 0 {
		s.Entries = readable
	}
	return nil
}

// describeSegment reads a segment without the others, up to the first damage.
func describeSegment(sequence uint32, data []byte) (SegmentInfo, []*wirev1.Entry) {
	var entries []*wirev1.Entry
	info := SegmentInfo{File: segmentName(sequence), Bytes: len(data)}
	// The replay has reported the damage already.
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

// checkGap records damage if entries between the newest snapshot and the start
// of the log are missing.
func (s *Inspection) checkGap() {
	if len(s.Damage) > 0 || len(s.Segments) == 0 {
		return
	}
	var index uint64
	if count := len(s.Snapshots); count > 0 {
		index = s.Snapshots[count-1].Snapshot.GetIndex()
	}
	if index < s.Base.Index {
		s.Damage = append(s.Damage, gapError(s.Segments[0].File, s.Base.Index, index))
	}
}

// gapError reports that the log starts after the end of its snapshot.
func gapError(file string, base, snapshot uint64) error {
	return &DamageError{File: file, Reason: fmt.Sprintf("log starts after entry %d but the snapshot ends at %d", base, snapshot)}
}
