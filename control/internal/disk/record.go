package disk

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// Kind of a record.
type Kind uint8

// Kinds of records.
const (
	// KindHeader starts each segment.
	KindHeader Kind = iota + 1
	// KindHardState has term and vote.
	KindHardState
	// KindEntry has a log entry, which follows the one before it.
	KindEntry
	// KindClosed is written when the log is closed in order.
	KindClosed
	// KindContinued is written at the end of a segment once the next one exists.
	KindContinued
	// KindSnapshot is the only record of a snapshot file.
	KindSnapshot
	// KindIdentity is the only record of the identity file.
	KindIdentity
	kindEnd
)

// String names the kind.
func (k Kind) String() string {
	switch k {
	case KindHeader:
		return "header"
	case KindHardState:
		return "hardState"
	case KindEntry:
		return "entry"
	case KindClosed:
		return "closed"
	case KindContinued:
		return "continued"
	case KindSnapshot:
		return "snapshot"
	case KindIdentity:
		return "identity"
	}
	return fmt.Sprintf("kind%d", uint8(k))
}

const (
	// formatVersion is that of all records this version writes and reads.
	formatVersion = 1
	// headerSize is the size of a record without its payload: length and
	// CRC32C (4 bytes each), format version, kind, 2 zero bytes, segment
	// (4 bytes), synced offset (8 bytes).
	headerSize = 24
	// alignment of records, so that a search for the next record has to look
	// at every eighth byte only.
	alignment = 8
	// maxPayload bounds what a length field is believed.
	maxPayload = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Record is one unit of a file.
type Record struct {
	Offset int64
	Kind   Kind
	// SyncedOffset is the offset up to which the file was synced when the record was
	// written.
	SyncedOffset int64
	Payload      []byte
	// NextOffset is the offset after the record.
	NextOffset int64
}

// DamageError says that a file holds something other than what was written.
type DamageError struct {
	File   string
	Offset int64
	Reason string
}

// Error names the file, the offset and what is wrong.
func (e *DamageError) Error() string {
	return fmt.Sprintf("%s is damaged at offset %d: %s", e.File, e.Offset, e.Reason)
}

// appendRecord adds a record to a buffer.
func appendRecord(buffer []byte, kind Kind, segment uint32, synced int64, payload []byte) []byte {
	start := len(buffer)
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(payload)))
	buffer = append(buffer, 0, 0, 0, 0, formatVersion, byte(kind), 0, 0)
	buffer = binary.LittleEndian.AppendUint32(buffer, segment)
	buffer = binary.LittleEndian.AppendUint64(buffer, uint64(synced))
	buffer = append(buffer, payload...)
	for (len(buffer)-start)%alignment != 0 {
		buffer = append(buffer, 0)
	}
	binary.LittleEndian.PutUint32(buffer[start+4:], checksum(buffer[start:]))
	return buffer
}

// checksum covers a whole record, padding included, except itself.
func checksum(record []byte) uint32 {
	sum := crc32.Update(0, castagnoli, record[:4])
	return crc32.Update(sum, castagnoli, record[8:])
}

// readRecord decodes the record at an offset. The reason is not empty where
// there is none.
func readRecord(data []byte, offset int64, segment uint32) (r Record, reason string) {
	rest := data[offset:]
	if len(rest) < headerSize {
		return r, "record header is cut off"
	}
	length := int64(binary.LittleEndian.Uint32(rest))
	size := (headerSize + length + alignment - 1) / alignment * alignment
	if length > maxPayload || size > int64(len(rest)) {
		return r, fmt.Sprintf("record of %d bytes is cut off", length)
	}
	if binary.LittleEndian.Uint32(rest[4:]) != checksum(rest[:size]) {
		return r, "checksum differs"
	}
	if rest[8] != formatVersion {
		return r, fmt.Sprintf("format version %d is not supported", rest[8])
	}
	kind := Kind(rest[9])
	if kind == 0 || kind >= kindEnd {
		return r, fmt.Sprintf("record kind %d is unknown", uint8(kind))
	}
	if got := binary.LittleEndian.Uint32(rest[12:]); got != segment {
		return r, fmt.Sprintf("record belongs to segment %d", got)
	}
	return Record{
		Offset: offset, Kind: kind, SyncedOffset: int64(binary.LittleEndian.Uint64(rest[16:])),
		Payload: rest[headerSize : headerSize+length], NextOffset: offset + size,
	}, ""
}

// intact reports whether a record at an offset has a matching checksum,
// whatever its version and kind.
func intact(data []byte, offset int64) bool {
	rest := data[offset:]
	if len(rest) < headerSize {
		return false
	}
	length := int64(binary.LittleEndian.Uint32(rest))
	size := (headerSize + length + alignment - 1) / alignment * alignment
	return length <= maxPayload && size <= int64(len(rest)) && binary.LittleEndian.Uint32(rest[4:]) == checksum(rest[:size])
}

// ScanRecords calls a function for each record of a segment file, in order. It
// returns the offset after the last one. What follows that offset was not
// synced when the process ended: the torn tail. Where a later record shows
// that the unreadable part was synced, or the function returns an error, the
// error is a *DamageError.
func ScanRecords(file string, segment uint32, data []byte, each func(Record) error) (int64, error) {
	offset := int64(0)
	for offset < int64(len(data)) {
		record, reason := readRecord(data, offset, segment)
		if reason != "" {
			if intact(data, offset) || syncedBeyond(data, offset, segment) {
				return offset, &DamageError{File: file, Offset: offset, Reason: reason}
			}
			return offset, nil
		}
		if err := each(record); err != nil {
			return offset, &DamageError{File: file, Offset: offset, Reason: err.Error()}
		}
		offset = record.NextOffset
	}
	return offset, nil
}

// syncedBeyond reports whether a record after an offset was written after the
// bytes at the offset were synced.
func syncedBeyond(data []byte, offset int64, segment uint32) bool {
	for at := offset + alignment; at+headerSize <= int64(len(data)); at += alignment {
		// The checksum is computed only where the fixed fields fit.
		if data[at+8] != formatVersion || data[at+10] != 0 || data[at+11] != 0 {
			continue
		}
		if r, reason := readRecord(data, at, segment); reason == "" && r.SyncedOffset > offset && r.SyncedOffset <= at {
			return true
		}
	}
	return false
}

// readSingle returns the payload of a file that has one record.
func readSingle(file string, kind Kind, data []byte) ([]byte, error) {
	r, reason := readRecord(data, 0, 0)
	switch {
	case reason != "":
	case r.Kind != kind:
		reason = fmt.Sprintf("record is a %v, not a %v", r.Kind, kind)
	case r.NextOffset != int64(len(data)):
		return nil, &DamageError{File: file, Offset: r.NextOffset, Reason: "data after the record"}
	}
	if reason != "" {
		return nil, &DamageError{File: file, Reason: reason}
	}
	return r.Payload, nil
}
