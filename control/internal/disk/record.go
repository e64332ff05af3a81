package disk

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// Kind is the type of a record. The values are part of the file format.
type Kind uint8

// Kinds of records.
const (
	// KindHeader is the first record of each segment.
	KindHeader Kind = iota + 1
	// KindHardState holds the member's term and vote.
	KindHardState
	// KindEntry holds a log entry whose index is one above that of the entry
	// before.
	KindEntry
	// KindClosed is written when the log is closed cleanly.
	KindClosed
	// KindContinued is written at the end of a segment once the next one exists.
	KindContinued
	// KindSnapshot is the only record of a snapshot file.
	KindSnapshot
	// KindIdentity is the only record of the identity file.
	KindIdentity
	// KindContacts is the only record of the contacts file.
	KindContacts
	kindEnd
)

// String returns the name that jujubeknotctl inspect prints.
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
	case KindContacts:
		return "contacts"
	}
	return fmt.Sprintf("kind%d", uint8(k))
}

const (
	// formatVersion is the only version of records that is written and read.
	formatVersion = 1
	// recordHeaderSize is the size of a record without its payload: length and
	// CRC32C (4 bytes each), format version, kind, 2 zero bytes, segment
	// (4 bytes), synced offset (8 bytes).
	recordHeaderSize = 24
	// recordAlignment is in bytes. A search for the next record has to look at
	// every eighth byte only.
	recordAlignment = 8
	// maxPayloadBytes is the largest accepted value of a record's length field.
	maxPayloadBytes = 1 << 30
)

// castagnoli is the polynomial table of CRC32C.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Record is a decoded record of a file. Offsets are in bytes from the start of
// the file.
type Record struct {
	Offset int64
	Kind   Kind
	// SyncedOffset is the offset up to which the file was synced when the record
	// was written.
	SyncedOffset int64
	Payload      []byte
	// NextOffset is the offset after the record.
	NextOffset int64
}

// DamageError reports that a file holds other data than was written.
type DamageError struct {
	File   string
	Offset int64
	Reason string
}

// Error returns the file, the offset and the kind of damage.
func (e *DamageError) Error() string {
	return fmt.Sprintf("%s is damaged at offset %d: %s", e.File, e.Offset, e.Reason)
}

// appendRecord appends an encoded record to a buffer and pads it to
// recordAlignment.
func appendRecord(buffer []byte, kind Kind, segment uint32, synced int64, payload []byte) []byte {
	start := len(buffer)
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(payload)))
	buffer = append(buffer, 0, 0, 0, 0, formatVersion, byte(kind), 0, 0)
	buffer = binary.LittleEndian.AppendUint32(buffer, segment)
	buffer = binary.LittleEndian.AppendUint64(buffer, uint64(synced))
	buffer = append(buffer, payload...)
	for (len(buffer)-start)%recordAlignment != 0 {
		buffer = append(buffer, 0)
	}
	binary.LittleEndian.PutUint32(buffer[start+4:], checksum(buffer[start:]))
	return buffer
}

// checksum returns the CRC32C of a whole record with its padding, without the
// checksum field.
func checksum(record []byte) uint32 {
	sum := crc32.Update(0, castagnoli, record[:4])
	return crc32.Update(sum, castagnoli, record[8:])
}

// readRecord decodes the record at an offset. If there is no valid record, the
// reason says why.
func readRecord(data []byte, offset int64, segment uint32) (r Record, reason string) {
	rest := data[offset:]
	if len(rest) < recordHeaderSize {
		return r, "record header is cut off"
	}
	length := int64(binary.LittleEndian.Uint32(rest))
	size := (recordHeaderSize + length + recordAlignment - 1) / recordAlignment * recordAlignment
	if length > maxPayloadBytes || size > int64(len(rest)) {
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
		Payload: rest[recordHeaderSize : recordHeaderSize+length], NextOffset: offset + size,
	}, ""
}

// hasValidChecksum reports whether the record at an offset is complete and its
// checksum matches, whatever its version and kind.
func hasValidChecksum(data []byte, offset int64) bool {
	rest := data[offset:]
	if len(rest) < recordHeaderSize {
		return false
	}
	length := int64(binary.LittleEndian.Uint32(rest))
	size := (recordHeaderSize + length + recordAlignment - 1) / recordAlignment * recordAlignment
	return length <= maxPayloadBytes && size <= int64(len(rest)) && binary.LittleEndian.Uint32(rest[4:]) == checksum(rest[:size])
}

// ScanRecords calls each for every record of a segment file, in order, and
// returns the offset after the last one. The bytes after that offset are the
// torn tail: they were not synced when the process ended. The error is a
// *DamageError if a later record shows that the unreadable bytes had been
// synced, if an unreadable record has a valid checksum, or if each returns an
// error.
func ScanRecords(file string, segment uint32, data []byte, each func(Record) error) (int64, error) {
	offset := int64(0)
	for offset < int64(len(data)) {
		record, reason := readRecord(data, offset, segment)
		if reason != "" {
			if hasValidChecksum(data, offset) || hasRecordSyncedAfter(data, offset, segment) {
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

// hasRecordSyncedAfter reports whether a record behind an offset was written
// after the bytes at the offset had been synced.
func hasRecordSyncedAfter(data []byte, offset int64, segment uint32) bool {
	for at := offset + recordAlignment; at+recordHeaderSize <= int64(len(data)); at += recordAlignment {
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

// readSingleRecord returns the payload of a file that has exactly one record of
// the given kind.
func readSingleRecord(file string, kind Kind, data []byte) ([]byte, error) {
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
