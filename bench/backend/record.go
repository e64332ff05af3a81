package backend

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jujubeknot/jujubeknot/bench/chunked"
)

// EntryKind says what a record entry is about.
type EntryKind int

// Kinds of entries.
const (
	// EntryStart is the start of a run: from here on the operation counts as run.
	EntryStart EntryKind = iota
	// EntryEnd is the end of a run with a response.
	EntryEnd
	// EntryStopped is the end of a run by cancellation, deadline or crash.
	EntryStopped
	// EntryShed is a request that was refused because of load and did not run.
	EntryShed
	// EntryFenced is a request that was refused for its fencing token.
	EntryFenced
	// EntryBoot is a start of the server.
	EntryBoot
	// EntryCrash is an end of the server that nobody asked for.
	EntryCrash
	// EntryConnection is a connection above the bound, which was closed.
	EntryConnection
)

// String returns the kind for reports.
func (k EntryKind) String() string {
	names := [...]string{"start", "end", "stopped", "shed", "fenced", "boot", "crash", "connection"}
	if int(k) < len(names) {
		return names[k]
	}
	return "unknown"
}

// Entry is one thing that happened at a server.
type Entry struct {
	At       time.Time
	Kind     EntryKind
	Server   string
	BootID   string
	Zone     string
	Upstream string
	// Run pairs the start of a run with its end.
	Run uint64
	// Operation, Attempt, Key and Idempotent are as the caller gave them.
	Operation  string
	Attempt    string
	Key        string
	Idempotent bool
	RequestID  string
	// Keyed is true where the request carried a partition and a fence.
	Keyed     bool
	Partition uint32
	Fence     uint64
	Depth     int
	// InFlight counts the runs of the server including this one, and Capacity is
	// what it sustains at this time.
	InFlight int
	Capacity int
	Cold     bool
}

// DefaultMaxEntries bounds the memory of a Recorder to about 1 GB.
const DefaultMaxEntries = 4_000_000

// Recorder collects entries of any number of servers. It is safe for concurrent
// use.
type Recorder struct {
	max     int
	mu      sync.Mutex
	entries chunked.List[Entry]
	runs    uint64
	dropped int
	// stream takes each entry as a line of JSON, nil for none. failed is the
	// first error of a write.
	stream io.Writer
	failed error
}

// NewRecorder returns a Recorder for at most bound entries, 0 means
// DefaultMaxEntries.
func NewRecorder(bound int) *Recorder {
	if bound <= 0 {
		bound = DefaultMaxEntries
	}
	return &Recorder{max: bound}
}

// Stream makes the Recorder write each further entry to a writer instead of
// keeping it, one line of JSON and one write each, so that nothing is lost when
// the process is killed. Err returns the first failure.
func (r *Recorder) Stream(w io.Writer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stream = w
}

// Err returns the first error of writing to the stream.
func (r *Recorder) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failed
}

// ReadStream returns the entries that a Recorder of one process wrote. Runs are
// numbered anew from first+1 on, so that those of several processes differ.
// Runs that have not ended are stopped at the time of the last entry: the
// process was killed, and would have written another entry otherwise.
func ReadStream(reader io.Reader, first uint64) ([]Entry, error) {
	var entries []Entry
	open := map[uint64]Entry{}
	for decoder := json.NewDecoder(reader); ; {
		var e Entry
		err := decoder.Decode(&e)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, fmt.Errorf("entry %d of the records: %w", len(entries)+1, err)
		}
		if e.Run != 0 {
			e.Run += first
		}
		switch e.Kind {
		case EntryStart:
			open[e.Run] = e
		case EntryEnd, EntryStopped:
			delete(open, e.Run)
		}
		entries = append(entries, e)
	}
	for _, run := range slices.Sorted(maps.Keys(open)) {
		e := open[run]
		e.Kind, e.At = EntryStopped, entries[len(entries)-1].At
		entries = append(entries, e)
	}
	return entries, nil
}

func (r *Recorder) add(e Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stream != nil {
		line, err := json.Marshal(e)
		if err == nil {
			_, err = r.stream.Write(append(line, '\n'))
		}
		if r.failed == nil && err != nil {
			r.failed = fmt.Errorf("write a record: %w", err)
		}
		return
	}
	if r.entries.Len() >= r.max {
		r.dropped++
		return
	}
	r.entries.Append(e)
}

func (r *Recorder) nextRun() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs++
	return r.runs
}

// Entries returns a copy of the entries in the order in which they were added,
// and the number of entries that did not fit.
func (r *Recorder) Entries() (entries []Entry, dropped int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entries.Slice(), r.dropped
}
