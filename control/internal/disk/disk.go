// Package disk stores the replicated log and the snapshots of a control member
// in one data folder. Data is synced before the call that writes it returns. A
// failed write or sync is final: every later write fails, and the process must
// end.
package disk

import (
	"fmt"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/jujubeknot/jujubeknot/core/raft"
)

// DefaultSegmentBytes is the default of Options.SegmentBytes.
const DefaultSegmentBytes = 8 << 20

// Options configures a data folder. Zero values mean the defaults.
type Options struct {
	// SegmentBytes is the size in bytes at which a new log segment is started.
	SegmentBytes int64
	// KeepBytes limits the size of the entries that Open returns although the
	// snapshot covers them. The segments of older ones are removed. 0 means no
	// limit.
	KeepBytes int
}

// Disk is an open data folder. It is not safe for concurrent use.
type Disk struct {
	files    FS
	lock     io.Closer
	options  Options
	identity *Identity
	segments []segment
	file     File
	// fileSize is the number of bytes written to the last segment, synced or
	// not.
	fileSize  int64
	lastEntry Position
	hardState raft.HardState
	failed    error
}

// Contents is the content of a data folder at the time of opening.
type Contents struct {
	// Identity is nil for an empty folder.
	Identity *Identity
	// Stored is the state from which the member starts. It is empty if the
	// folder has no log yet.
	Stored raft.StoredState
	// TornFile is the newest segment. TornBytes is the number of bytes that were
	// truncated from its end because they were not synced when the process
	// ended.
	TornFile  string
	TornBytes int64
}

// Open locks and reads a data folder. It truncates a torn tail and completes an
// interrupted snapshot. The error is a *DamageError if the folder does not hold
// the data that was synced.
func Open(files FS, options Options) (*Disk, Contents, error) {
	if options.SegmentBytes == 0 {
		options.SegmentBytes = DefaultSegmentBytes
	}
	lock, err := files.Lock()
	if err != nil {
		return nil, Contents{}, err
	}
	d := &Disk{files: files, lock: lock, options: options}
	contents, err := d.open()
	if err != nil {
		if d.file != nil {
			_ = d.file.Close()
		}
		_ = lock.Close()
		return nil, Contents{}, err
	}
	return d, contents, nil
}

// SetIdentity assigns an empty data folder to a member. It must be called
// before CreateLog. The identity is durable on return, so that the folder id
// can be sent to other members.
func (d *Disk) SetIdentity(identity Identity) error {
	if d.identity != nil {
		return errors.New("set identity: the data folder belongs to a member already")
	}
	identity.Formed = false
	if err := writeIdentity(d.files, identity); err != nil {
		return d.fail(err)
	}
	d.identity = &identity
	return nil
}

// CreateLog writes the first log of a data folder that has an identity but no
// log.
func (d *Disk) CreateLog(first raft.StoredState) error {
	if d.identity == nil || d.identity.Formed {
		return errors.New("create log: the data folder has no identity or has a log already")
	}
	found, err := listFiles(d.files)
	if err != nil {
		return d.fail(err)
	}
	// Segments of an earlier attempt were never used: the identity did not say
	// that the folder has a log.
	for _, sequence := range found.segments {
		if err := d.files.Remove(segmentName(sequence)); err != nil {
			return d.fail(fmt.Errorf("remove unused segment: %w", err))
		}
	}
	if err := d.startSegment(SegmentHeader{Hard: first.Hard}); err != nil {
		return d.fail(err)
	}
	if err := d.Persist(raft.Persist{Hard: &first.Hard, Entries: first.Entries}); err != nil {
		return err
	}
	identity := *d.identity
	identity.Formed = true
	if err := writeIdentity(d.files, identity); err != nil {
		return d.fail(err)
	}
	d.identity = &identity
	return nil
}

// Persist appends a hard state and log entries and syncs them. Entries replace
// stored ones from the first index on.
func (d *Disk) Persist(p raft.Persist) error {
	if d.failed != nil {
		return d.failed
	}
	replaced := false
	if len(p.Entries) > 0 && p.Entries[0].Index <= d.lastEntry.Index {
		// Each segment has consecutive entries, so that it can be read without
		// the earlier segments. Entries that replace others therefore start a new
		// segment.
		d.lastEntry = Position{Index: p.Entries[0].Index - 1, Term: p.PreviousTerm}
		replaced = true
	}
	if replaced || d.fileSize >= d.options.SegmentBytes {
		if err := d.startSegment(SegmentHeader{Previous: d.lastEntry, Hard: d.hardState}); err != nil {
			return d.fail(err)
		}
	}
	sequence := d.segments[len(d.segments)-1].sequence
	var buffer []byte
	if p.Hard != nil {
		buffer = appendRecord(buffer, KindHardState, sequence, d.fileSize, encodeHardState(*p.Hard))
		d.hardState = *p.Hard
	}
	for _, entry := range p.Entries {
		payload, err := proto.Marshal(entry)
		if err != nil {
			return d.fail(fmt.Errorf("encode entry %d: %w", entry.Index, err))
		}
		buffer = appendRecord(buffer, KindEntry, sequence, d.fileSize, payload)
		d.lastEntry = Position{Index: entry.Index, Term: entry.Term}
	}
	return d.write(buffer)
}

func (d *Disk) write(buffer []byte) error {
	if len(buffer) == 0 {
		return nil
	}
	if _, err := d.file.Write(buffer); err != nil {
		return d.fail(fmt.Errorf("write log: %w", err))
	}
	if err := d.file.Sync(); err != nil {
		return d.fail(fmt.Errorf("sync log: %w", err))
	}
	d.fileSize += int64(len(buffer))
	return nil
}

// PersistSnapshot writes and syncs a snapshot, then removes older snapshots and
// the segments that are no longer needed.
func (d *Disk) PersistSnapshot(p raft.PersistSnapshot) error {
	if d.failed != nil {
		return d.failed
	}
	payload, err := proto.Marshal(p.Snapshot)
	if err != nil {
		return d.fail(fmt.Errorf("encode snapshot: %w", err))
	}
	if len(payload) > maxPayloadBytes {
		return d.fail(errors.Errorf("snapshot of %d bytes is over the limit of %d", len(payload), maxPayloadBytes))
	}
	if err := writeFile(d.files, snapshotName(p.Snapshot.Index), appendRecord(nil, KindSnapshot, 0, 0, payload)); err != nil {
		return d.fail(err)
	}
	if p.Reset {
		err = d.reset(Position{Index: p.Snapshot.Index, Term: p.Snapshot.Term})
	} else {
		err = d.removeObsolete(p.Snapshot.Index, p.FirstIndex)
	}
	if err != nil {
		return d.fail(err)
	}
	return nil
}

// reset starts an empty log after a snapshot.
func (d *Disk) reset(base Position) error {
	d.lastEntry = base
	if err := d.startSegment(SegmentHeader{Previous: base, Hard: d.hardState, Reset: true}); err != nil {
		return err
	}
	return d.removeObsolete(base.Index, base.Index+1)
}

// canRemoveOldest reports whether the entries from an index on can be read
// without the oldest segment. This is possible if a later segment starts at or
// before that index or starts an empty log.
func (d *Disk) canRemoveOldest(firstIndex uint64) bool {
	for _, later := range d.segments[1:] {
		if later.previous.Index < firstIndex || later.reset {
			return true
		}
	}
	return false
}

// startSegment creates the next segment file. The segment before it is complete
// and synced. It gets a KindContinued record, so that the loss of the newest
// segment is detected.
func (d *Disk) startSegment(header SegmentHeader) error {
	sequence := uint32(1)
	if count := len(d.segments); count > 0 {
		sequence = d.segments[count-1].sequence + 1
	}
	file, err := d.files.Create(segmentName(sequence))
	if err != nil {
		return fmt.Errorf("create segment: %w", err)
	}
	previous, size := d.file, d.fileSize
	header.PreviousBytes = size
	d.file, d.fileSize = file, 0
	if err := d.write(appendRecord(nil, KindHeader, sequence, 0, header.encode())); err != nil {
		return err
	}
	if err := d.files.SyncDir(); err != nil {
		return fmt.Errorf("sync data folder: %w", err)
	}
	d.segments = append(d.segments, segment{sequence: sequence, previous: header.Previous, reset: header.Reset})
	if previous == nil {
		return nil
	}
	if _, err := previous.Write(appendRecord(nil, KindContinued, sequence-1, size, nil)); err != nil {
		return fmt.Errorf("write continued record: %w", err)
	}
	if err := previous.Sync(); err != nil {
		return fmt.Errorf("sync continued segment: %w", err)
	}
	if err := previous.Close(); err != nil {
		return fmt.Errorf("close segment: %w", err)
	}
	return nil
}

// removeObsolete removes the snapshots whose index is below the given one, and
// the oldest segments that are not needed for entries from firstIndex on.
func (d *Disk) removeObsolete(snapshot, firstIndex uint64) error {
	found, err := listFiles(d.files)
	if err != nil {
		return err
	}
	for _, index := range found.snapshots {
		if index < snapshot {
			if err := d.files.Remove(snapshotName(index)); err != nil {
				return fmt.Errorf("remove snapshot: %w", err)
			}
		}
	}
	// Each removal is durable before the next one. If power was lost, the folder could
	// otherwise lack a segment and still have an older one.
	for d.canRemoveOldest(firstIndex) {
		if err := d.files.Remove(segmentName(d.segments[0].sequence)); err != nil {
			return fmt.Errorf("remove segment: %w", err)
		}
		d.segments = d.segments[1:]
		if err := d.files.SyncDir(); err != nil {
			return fmt.Errorf("sync data folder: %w", err)
		}
	}
	return nil
}

// Identity returns the identity of the data folder, or nil if it is empty.
func (d *Disk) Identity() *Identity {
	return d.identity
}

// Close marks the log as cleanly closed and unlocks the data folder.
func (d *Disk) Close() error {
	var err error
	if d.failed == nil && d.file != nil {
		err = d.write(appendRecord(nil, KindClosed, d.segments[len(d.segments)-1].sequence, d.fileSize, nil))
	}
	if d.file != nil {
		err = firstError(err, d.file.Close())
	}
	return firstError(err, d.lock.Close())
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// fail records the first error, with which all later writes fail.
func (d *Disk) fail(err error) error {
	if d.failed == nil {
		d.failed = err
	}
	return err
}
