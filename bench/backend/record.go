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

// EntryKind is the kind of event that an Entry records. Its number stands in
// the JSON that Recorder.Stream writes, so the order of the kinds must not
// change.
type EntryKind int

// Kinds of entries.
const (
	// EntryStart is the start of a run. From then on the operation counts as run.
	EntryStart EntryKind = iota
	// EntryEnd is the end of a run that produced a response.
	EntryEnd
	// EntryStopped is the end of a run by cancellation, deadline or crash, without
	// a result.
	EntryStopped
	// EntryShed is a request that was refused by load shedding and did not run.
	EntryShed
	// EntryFenced is a request that was refused because of its fencing token and
	// did not run.
	EntryFenced
	// EntryBoot is a start of the server.
	EntryBoot
	// EntryCrash is an end of the server: by Kill, Leave, Close or an overload
	// while it is cold.
	EntryCrash
	// EntryConnection is a connection above the limit, which was closed.
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

// Entry is one event at a server. The names of its fields are the keys of the
// JSON that Recorder.Stream writes.
type Entry struct {
	At       time.Time
	Kind     EntryKind
	Server   string
	BootID   string
	Zone     string
	Upstream string
	// Run is the number of the run, the same at its start and its end. 0 means
	// that the entry belongs to no run.
	Run uint64
	// Operation, Attempt, Key and Idempotent are from the headers of the caller.
	Operation  string
	Attempt    string
	Key        string
	Idempotent bool
	RequestID  string
	// Keyed is true if the request carried a fencing token. Partition and Fence
	// are valid only then.
	Keyed     bool
	Partition uint32
	Fence     uint64
	Depth     int
	// InFlight is the number of runs in flight including this request, and
	// Capacity the number that the server can run at once, both when the request
	// arrived.
	InFlight int
	Capacity int
	Cold     bool
}

// DefaultMaxEntries limits the memory of a Recorder to about 1 GB.
const DefaultMaxEntries = 4_000_000

// Recorder collects the entries of one or more servers. It is safe for
// concurrent use.
type Recorder struct {
	max     int
	mu      sync.Mutex
	entries chunked.List[Entry]
	runs    uint64
	dropped int
	// stream receives each entry as a line of JSON. It is nil if the entries are
	// kept in memory.
	stream io.Writer
	// failed is the first error of writing to stream.
	failed error
}

// NewRecorder returns a Recorder that keeps at most maxEntries entries. 0 or
// less means DefaultMaxEntries.
func NewRecorder(maxEntries int) *Recorder {
	if maxEntries <= 0 {
		maxEntries = DefaultMaxEntries
	}
	return &Recorder{max: maxEntries}
}

// Stream makes the Recorder write each further entry to w instead of keeping it
// in memory. Each entry is one line of JSON and one call of Write, so no entry
// is lost when the process is killed. Err returns the first error of a write.
func (r *Recorder) Stream(w io.Writer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stream = w
}

// Err returns the first error of writing to the stream, or nil.
func (r *Recorder) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failed
}

// ReadStream returns the entries that the Recorder of one process wrote. It
// adds first to the number of each run, so that the runs of several processes
// have different numbers. For each run without an end it adds an EntryStopped
// at the time of the last entry: the process was killed at about that time,
// since it would have written further entries otherwise.
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
			return nil, fmt.Errorf("read entry %d of the record stream: %w", len(entries)+1, err)
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
			r.failed = fmt.Errorf("write record stream: %w", err)
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

// Entries returns a copy of the kept entries in the order in which they were
// added. dropped is the number of entries that exceeded the Recorder's maximum.
func (r *Recorder) Entries() (entries []Entry, dropped int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entries.Slice(), r.dropped
}
