// Package disk keeps a member's log and snapshots in one data folder. What a
// call has returned for is synced. A failed write or sync is final: every later
// call fails, and the process must end.
package disk

import (
	"fmt"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/jujubeknot/jujubeknot/core/raft"
)

// DefaultSegmentBytes is the size from which on a new segment is started.
const DefaultSegmentBytes = 8 << 20

// Options of a data folder. Zero values mean the defaults.
type Options struct {
	SegmentBytes int64
}

// Disk is an open data folder. It is not safe for concurrent use.
type Disk struct {
	files    FS
	lock     io.Closer
	options  Options
	identity *Identity
	segments []segment
	file     File
	// size is what was written to the last segment, synced or not.
	size   int64
	last   Position
	hard   raft.HardState
	failed error
}

// Contents is what a data folder held when it was opened.
type Contents struct {
	// Identity is nil for an empty folder.
	Identity *Identity
	// Stored is empty if the identity is not formed.
	Stored raft.StoredState
	// TornFile and TornBytes tell what was cut off the end of the log because
	// it was not synced when the process ended.
	TornFile  string
	TornBytes int64
}

// Open locks and reads a data folder. The error is a *DamageError where the
// folder does not hold what was synced.
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

// SetIdentity makes an empty folder that of a member. It is the first step of Form
// and durable on return, so that the folder id can be told to other members.
func (d *Disk) SetIdentity(identity Identity) error {
	if d.identity != nil {
		return errors.New("the data folder belongs to a member already")
	}
	identity.Formed = false
	if err := writeIdentity(d.files, identity); err != nil {
		return d.fail(err)
	}
	d.identity = &identity
	return nil
}

// CreateLog starts the log of a claimed folder.
func (d *Disk) CreateLog(first raft.StoredState) error {
	if d.identity == nil || d.identity.Formed {
		return errors.New("the data folder is not claimed or has a log already")
	}
	found, err := list(d.files)
	if err != nil {
		return d.fail(err)
	}
	// Segments of an earlier attempt were never used.
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

// Persist writes a hard state and entries and syncs them.
func (d *Disk) Persist(p raft.Persist) error {
	if d.failed != nil {
		return d.failed
	}
	replaced := false
	if len(p.Entries) > 0 && p.Entries[0].Index <= d.last.Index {
		// Each segment has consecutive entries, so that it can be read without
		// the earlier ones. Replaced entries therefore start a new one.
		d.last = Position{Index: p.Entries[0].Index - 1, Term: p.PreviousTerm}
		replaced = true
	}
	if replaced || d.size >= d.options.SegmentBytes {
		if err := d.startSegment(SegmentHeader{Previous: d.last, Hard: d.hard}); err != nil {
			return d.fail(err)
		}
	}
	sequence := d.segments[len(d.segments)-1].sequence
	var buffer []byte
	if p.Hard != nil {
		buffer = appendRecord(buffer, KindHardState, sequence, d.size, encodeHardState(*p.Hard))
		d.hard = *p.Hard
	}
	for _, entry := range p.Entries {
		payload, err := proto.Marshal(entry)
		if err != nil {
			return d.fail(fmt.Errorf("encode entry %d: %w", entry.Index, err))
		}
		buffer = appendRecord(buffer, KindEntry, sequence, d.size, payload)
		d.last = Position{Index: entry.Index, Term: entry.Term}
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
	d.size += int64(len(buffer))
	return nil
}

// PersistSnapshot writes a snapshot, syncs it and removes what is no longer
// needed.
func (d *Disk) PersistSnapshot(p raft.PersistSnapshot) error {
	if d.failed != nil {
		return d.failed
	}
	payload, err := proto.Marshal(p.Snapshot)
	if err != nil {
		return d.fail(fmt.Errorf("encode snapshot: %w", err))
	}
	if len(payload) > maxPayload {
		return d.fail(errors.Errorf("snapshot of %d bytes is over the limit of %d", len(payload), maxPayload))
	}
	if err := writeFile(d.files, snapshotName(p.Snapshot.Index), appendRecord(nil, KindSnapshot, 0, 0, payload)); err != nil {
		return d.fail(err)
	}
	if p.Reset {
		err = d.reset(Position{Index: p.Snapshot.Index, Term: p.Snapshot.Term})
	} else {
		err = d.removeOld(p.Snapshot.Index, p.FirstIndex)
	}
	if err != nil {
		return d.fail(err)
	}
	return nil
}

// reset starts the log anew after a snapshot.
func (d *Disk) reset(base Position) error {
	d.last = base
	if err := d.startSegment(SegmentHeader{Previous: base, Hard: d.hard, Reset: true}); err != nil {
		return err
	}
	return d.removeOld(base.Index, base.Index+1)
}

// removable reports whether the oldest segment is not needed for entries from
// an index on: a later one starts at or before that index, or starts the log
// anew.
func (d *Disk) removable(firstIndex uint64) bool {
	for _, later := range d.segments[1:] {
		if later.previous.Index < firstIndex || later.reset {
			return true
		}
	}
	return false
}

// startSegment begins a new file. The earlier one is complete and synced, and
// gets a mark that another one follows, so that a lost newest segment is
// noticed.
func (d *Disk) startSegment(header SegmentHeader) error {
	sequence := uint32(1)
	if count := len(d.segments); count > 0 {
		sequence = d.segments[count-1].sequence + 1
	}
	file, err := d.files.Create(segmentName(sequence))
	if err != nil {
		return fmt.Errorf("create segment: %w", err)
	}
	previous, size := d.file, d.size
	header.PreviousBytes = size
	d.file, d.size = file, 0
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
		return fmt.Errorf("mark segment as continued: %w", err)
	}
	if err := previous.Sync(); err != nil {
		return fmt.Errorf("sync continued segment: %w", err)
	}
	if err := previous.Close(); err != nil {
		return fmt.Errorf("close segment: %w", err)
	}
	return nil
}

// removeOld removes the snapshots before an index and the oldest segments as
// far as they are not needed.
func (d *Disk) removeOld(snapshot, firstIndex uint64) error {
	found, err := list(d.files)
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
	for d.removable(firstIndex) {
		if err := d.files.Remove(segmentName(d.segments[0].sequence)); err != nil {
			return fmt.Errorf("remove segment: %w", err)
		}
		d.segments = d.segments[1:]
	}
	if err := d.files.SyncDir(); err != nil {
		return fmt.Errorf("sync data folder: %w", err)
	}
	return nil
}

// Identity returns that of the folder, nil if it is empty.
func (d *Disk) Identity() *Identity {
	return d.identity
}

// Close marks the log as closed in order and unlocks the folder.
func (d *Disk) Close() error {
	var err error
	if d.failed == nil && d.file != nil {
		err = d.write(appendRecord(nil, KindClosed, d.segments[len(d.segments)-1].sequence, d.size, nil))
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

func (d *Disk) fail(err error) error {
	if d.failed == nil {
		d.failed = err
	}
	return err
}
