package disk

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/jujubeknot/jujubeknot/core/raft"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

const (
	segmentPrefix   = "log-"
	snapshotPrefix  = "snapshot-"
	temporarySuffix = ".tmp"
)

func segmentName(sequence uint32) string {
	return fmt.Sprintf("%s%08x", segmentPrefix, sequence)
}

func snapshotName(index uint64) string {
	return fmt.Sprintf("%s%016x", snapshotPrefix, index)
}

// Position identifies a log entry by index and term.
type Position struct {
	Index uint64
	Term  uint64
}

// SegmentHeader is the first record of a segment. It repeats the state of the
// earlier segments, so that they can be removed.
type SegmentHeader struct {
	// Previous is the entry before the first of the segment. Later entries in
	// earlier segments were replaced.
	Previous Position
	Hard     raft.HardState
	// Reset is true if no entry of an earlier segment is part of the log.
	Reset bool
	// PreviousBytes is the synced size of the segment before, in bytes.
	PreviousBytes int64
}

// segmentHeaderSize is the size of an encoded SegmentHeader in bytes: six
// fields of 8 bytes.
const segmentHeaderSize = 48

func (h SegmentHeader) encode() []byte {
	var b []byte
	for _, v := range []uint64{h.Previous.Index, h.Previous.Term, h.Hard.Term, h.Hard.Vote} {
		b = binary.LittleEndian.AppendUint64(b, v)
	}
	reset := uint64(0)
	if h.Reset {
		reset = 1
	}
	b = binary.LittleEndian.AppendUint64(b, reset)
	return binary.LittleEndian.AppendUint64(b, uint64(h.PreviousBytes))
}

// DecodeSegmentHeader decodes the payload of a KindHeader record.
func DecodeSegmentHeader(payload []byte) (SegmentHeader, error) {
	if len(payload) != segmentHeaderSize {
		return SegmentHeader{}, errors.Errorf("segment header has %d bytes, not %d", len(payload), segmentHeaderSize)
	}
	u := func(i int) uint64 { return binary.LittleEndian.Uint64(payload[8*i:]) }
	if u(4) > 1 {
		return SegmentHeader{}, errors.Errorf("segment header has flags %#x", u(4))
	}
	return SegmentHeader{
		Previous: Position{Index: u(0), Term: u(1)}, Hard: raft.HardState{Term: u(2), Vote: u(3)},
		Reset: u(4) == 1, PreviousBytes: int64(u(5)),
	}, nil
}

func encodeHardState(h raft.HardState) []byte {
	return binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, h.Term), h.Vote)
}

// DecodeHardState decodes the payload of a KindHardState record.
func DecodeHardState(payload []byte) (raft.HardState, error) {
	if len(payload) != 16 {
		return raft.HardState{}, errors.Errorf("hard state has %d bytes, not 16", len(payload))
	}
	return raft.HardState{Term: binary.LittleEndian.Uint64(payload), Vote: binary.LittleEndian.Uint64(payload[8:])}, nil
}

// DecodeEntry decodes the payload of a KindEntry record.
func DecodeEntry(payload []byte) (*wirev1.Entry, error) {
	entry := &wirev1.Entry{}
	if err := proto.Unmarshal(payload, entry); err != nil {
		return nil, fmt.Errorf("decode entry: %w", err)
	}
	return entry, nil
}

// segment describes one file of the log.
type segment struct {
	sequence uint32
	previous Position
	reset    bool
}

// replay rebuilds the log from the records of its segments, read in order.
type replay struct {
	segments  []segment
	base      Position
	hardState raft.HardState
	entries   []*wirev1.Entry
	// expectsNext is true if a further segment must exist.
	expectsNext bool
	// endOffset is the offset after the last record of the last segment
	// replayed. tornBytes is the number of bytes after it.
	endOffset int64
	tornBytes int64
	// previousBytes is PreviousBytes of the header of the last segment replayed.
	previousBytes int64
}

// last returns the position of the last entry, or the base if there is none.
func (r *replay) last() Position {
	if count := len(r.entries); count > 0 {
		return Position{Index: r.entries[count-1].Index, Term: r.entries[count-1].Term}
	}
	return r.base
}

// replaySegment replays one file. Each segment must have a header, except for
// the newest segment, which has none if the process ended before the segment
// was in use.
func (r *replay) replaySegment(sequence uint32, data []byte, newest bool) error {
	file := segmentName(sequence)
	if count := len(r.segments); count > 0 && r.segments[count-1].sequence+1 != sequence {
		return r.missingSegmentError()
	}
	previous := *r
	started := false
	end, err := ScanRecords(file, sequence, data, func(record Record) error {
		if started != (record.Kind != KindHeader) {
			return errors.New("segment header is not the first record or not the only one")
		}
		if !started {
			started, r.expectsNext = true, false
		}
		return r.replayRecord(sequence, record)
	})
	switch {
	case err != nil:
		return err
	case !started && (!newest || previous.expectsNext || len(previous.segments) == 0):
		return &DamageError{File: file, Reason: "segment has no header"}
	case !started:
		return nil
	case len(previous.segments) > 0 && previous.endOffset < r.previousBytes:
		return &DamageError{File: segmentName(sequence - 1), Offset: previous.endOffset, Reason: "segment is cut off"}
	}
	r.endOffset, r.tornBytes = end, int64(len(data))-end
	return nil
}

// missingSegmentError reports that the segment after the last one replayed is
// missing.
func (r *replay) missingSegmentError() error {
	return &DamageError{File: segmentName(r.segments[len(r.segments)-1].sequence + 1), Reason: "segment is missing"}
}

func (r *replay) replayRecord(sequence uint32, record Record) error {
	switch record.Kind {
	case KindHeader:
		header, err := DecodeSegmentHeader(record.Payload)
		if err != nil {
			return err
		}
		return r.replayHeader(sequence, header)
	case KindHardState:
		hard, err := DecodeHardState(record.Payload)
		if err != nil {
			return err
		}
		r.hardState = hard
	case KindEntry:
		entry, err := DecodeEntry(record.Payload)
		if err != nil {
			return err
		}
		return r.replayEntry(entry)
	case KindClosed:
	case KindContinued:
		r.expectsNext = true
	default:
		return errors.Errorf("segment contains a record of kind %v", record.Kind)
	}
	return nil
}

func (r *replay) replayHeader(sequence uint32, header SegmentHeader) error {
	switch {
	case len(r.segments) == 0 || header.Reset || header.Previous.Index < r.base.Index:
		// The last condition holds after an interrupted removal of old segments: this
		// segment replaced all entries of the old segments that are left.
		r.base, r.entries = header.Previous, nil
	case !r.contains(header.Previous):
		return errors.Errorf("segment continues entry %v, which is not in the log up to %v", header.Previous, r.last())
	default:
		r.entries = r.entries[:header.Previous.Index-r.base.Index]
	}
	r.hardState, r.previousBytes = header.Hard, header.PreviousBytes
	r.segments = append(r.segments, segment{sequence: sequence, previous: header.Previous, reset: header.Reset})
	return nil
}

func (r *replay) replayEntry(entry *wirev1.Entry) error {
	if last := r.last(); entry.Index != last.Index+1 || entry.Term < last.Term {
		return errors.Errorf("entry %d of term %d does not follow entry %d of term %d", entry.Index, entry.Term, last.Index, last.Term)
	}
	r.entries = append(r.entries, entry)
	return nil
}

// dropCovered drops the oldest entries up to an index for which a snapshot
// exists, as long as all entries up to it are over keepBytes. keepBytes 0 means
// no limit. A later segment that replaces a dropped entry replaces all entries
// that are left, which replayHeader allows for.
func (r *replay) dropCovered(snapshot uint64, keepBytes int) {
	if keepBytes == 0 || snapshot <= r.base.Index {
		return
	}
	first, size := int(min(snapshot-r.base.Index, uint64(len(r.entries)))), 0
	for first > 0 {
		size += proto.Size(r.entries[first-1])
		if size > keepBytes {
			break
		}
		first--
	}
	if first > 0 {
		r.base = Position{Index: r.entries[first-1].Index, Term: r.entries[first-1].Term}
		r.entries = slices.Clone(r.entries[first:])
	}
}

// fileListing has the files of a data folder by kind, each kind in ascending
// order.
type fileListing struct {
	segments  []uint32
	snapshots []uint64
	temporary []string
}

func listFiles(files FS) (fileListing, error) {
	names, err := files.List()
	if err != nil {
		return fileListing{}, fmt.Errorf("list data folder: %w", err)
	}
	slices.Sort(names)
	var l fileListing
	for _, name := range names {
		switch {
		case strings.HasSuffix(name, temporarySuffix):
			l.temporary = append(l.temporary, name)
		case strings.HasPrefix(name, segmentPrefix):
			sequence, err := strconv.ParseUint(name[len(segmentPrefix):], 16, 32)
			if err != nil || segmentName(uint32(sequence)) != name {
				return l, errors.Errorf("list data folder: %s is not a valid segment name", name)
			}
			l.segments = append(l.segments, uint32(sequence))
		case strings.HasPrefix(name, snapshotPrefix):
			index, err := strconv.ParseUint(name[len(snapshotPrefix):], 16, 64)
			if err != nil || snapshotName(index) != name {
				return l, errors.Errorf("list data folder: %s is not a valid snapshot name", name)
			}
			l.snapshots = append(l.snapshots, index)
		}
	}
	return l, nil
}
