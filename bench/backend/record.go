package backend

import (
	"sync"
	"time"
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
	entries []Entry
	runs    uint64
	dropped int
}

// NewRecorder returns a Recorder for at most bound entries, 0 means
// DefaultMaxEntries.
func NewRecorder(bound int) *Recorder {
	if bound <= 0 {
		bound = DefaultMaxEntries
	}
	return &Recorder{max: bound}
}

func (r *Recorder) add(e Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.entries) >= r.max {
		r.dropped++
		return
	}
	r.entries = append(r.entries, e)
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
	return append([]Entry(nil), r.entries...), r.dropped
}
