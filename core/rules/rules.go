// Package rules parses, checks and compares the rules file.
package rules

import "time"

// Set is a checked rules file. The zero value has no rules. A Set is not
// changed after Parse returned it and is safe for concurrent use.
type Set struct {
	Upstreams []Upstream
	Routes    []Route
	Zones     []Zone
	Servers   []Server
	Pins      []Pin
	Options   []Option
}

// Comment says who asked for a rule and why.
type Comment struct {
	Who string
	Why string
}

// Upstream is a group of backend servers that serve the same requests. The
// rules upstream, limit, retry and hedge each set some of its fields.
type Upstream struct {
	Name string
	// Keyed upstreams are divided by key: each key has one owner.
	Keyed      bool
	Partitions uint32
	// Slots and Connections bound what each backend server gets. 0 means as
	// the backend server announced.
	Slots       int
	Connections int
	// Queue bounds the requests that wait at one node. 0 means 4 times slots.
	Queue int
	// Policy names the placement policy of a keyed upstream or the selection
	// policy of another. Empty means the default.
	Policy string
	// RequestsPerSecond bounds the upstream's rate at each node. 0 means none.
	RequestsPerSecond float64
	// KeyShare bounds the share of slots and queue that one key may hold while
	// others wait, 0 to 1. 0 means 0.5.
	KeyShare float64
	// MaxBody bounds request bodies in bytes. 0 means 1 GiB.
	MaxBody int64
	// RetryBudget is the share of requests that may be retries, 0 to 1.
	RetryBudget float64
	// RetryAttempts bounds the sendings of one request, the first included.
	RetryAttempts int
	// HedgeBudget is the share of requests that may be hedged, 0 for none.
	HedgeBudget float64
	// HedgeAfter is the time after which a hedge is sent.
	HedgeAfter time.Duration
	Comment    Comment
}

// KeySource says where a request's key stands.
type KeySource int

// Sources of a key.
const (
	KeySourceNone KeySource = iota
	KeySourceHeader
	KeySourceSegment
	KeySourceQuery
)

// Route sends requests whose path starts with a prefix to an upstream.
type Route struct {
	Prefix   string
	Upstream string
	Source   KeySource
	// Name of the header or the query parameter.
	Name string
	// Segment is the number of the path segment that is the key, from 1.
	Segment int
	Timeout time.Duration
	// Idempotent lists methods that may run more than once, beside GET, HEAD,
	// OPTIONS, PUT and DELETE.
	Idempotent []string
	// Priority from 0 (shed first) to 9. Default 5.
	Priority int
	Comment  Comment
}

// Zone takes an availability zone out of service.
type Zone struct {
	Name    string
	Out     bool
	Comment Comment
}

// Server drains one backend server.
type Server struct {
	Name    string
	Drain   bool
	Comment Comment
}

// Pin places one partition on one backend server.
type Pin struct {
	Upstream string
	// Key is set if the pin names a key; Partition is then derived from it.
	Key       string
	Partition uint32
	Server    string
	Comment   Comment
}

// Option sets one value of the whole system.
type Option struct {
	Name    string
	Value   string
	Comment Comment
}

// Error is one fault in a rules file.
type Error struct {
	Line    int
	Column  int
	Message string
}

// Errors are all faults of one rules file, by line and column.
type Errors []Error
