// Package rules parses, checks and compares the rules file.
package rules

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jujubeknot/jujubeknot/core/keyspace"
)

// Defaults of values that a rules file may leave out. Parse fills them in.
const (
	DefaultTimeout       = 30 * time.Second
	DefaultPriority      = 5
	DefaultKeyShare      = 0.5
	DefaultMaxBody       = 1 << 30
	DefaultRetryBudget   = 0.1
	DefaultRetryAttempts = 3
	DefaultHedgeBudget   = 0.05
	DefaultHedgeAfter    = 20 * time.Millisecond
)

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
	// Line of the rule in its file, 0 where the set was not parsed. Compare
	// and Format pass over it.
	Line int
}

// String returns the comment as it stands in a file, without the line.
func (c Comment) String() string {
	return "# " + c.Who + ": " + c.Why
}

// given reports whether there is a comment, and so a rule that it belongs to.
func (c Comment) given() bool {
	return c.Who != ""
}

// Upstream is a group of backend servers that serve the same requests. The
// rules upstream, limit, retry and hedge each set some of its fields.
type Upstream struct {
	Name string
	// Keyed upstreams are divided by key: each key has one owner.
	Keyed bool
	// Numbers says that keys are numbers from 0 to keyspace.MaxNumericKey and that
	// partitions are ranges of them. Otherwise keys are hashed.
	Numbers bool
	// Partitions is a power of two for keyed upstreams and 0 for others.
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
	// MinPriority refuses requests of routes with a lower priority. 0 refuses
	// none.
	MinPriority int
	// RetryBudget is the share of requests that may be retries, 0 to 1.
	RetryBudget float64
	// RetryBurst is the number of retries that a node may save up. 0 means the
	// default of outcome.Budget.
	RetryBurst int
	// RetryAttempts bounds the sendings of one request, the first included.
	RetryAttempts int
	// ColdRate bounds the requests/s that a backend server gets in cold start. 0
	// means that the node finds the bound by itself.
	ColdRate float64
	// HedgeBudget is the share of requests that may be hedged, 0 for none.
	HedgeBudget float64
	// HedgeAfter is the time after which a hedge is sent.
	HedgeAfter time.Duration
	Comment    Comment
	// Comments of the rules limit, retry and hedge, empty where the file has
	// no such rule for the upstream.
	LimitComment Comment
	RetryComment Comment
	HedgeComment Comment
	ColdComment  Comment
}

// KeyHash returns what places a key in a partition. It is false where the
// keys of the upstream are numbers and the key is not one. A nil upstream
// hashes.
func (u *Upstream) KeyHash(key string) (uint64, bool) {
	if u == nil || !u.Numbers {
		return keyspace.Hash(key), true
	}
	number, err := strconv.ParseUint(key, 10, 16)
	return keyspace.NumericKeyHash(uint16(number)), err == nil
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

// Repeat says which requests of a route may run more than once.
type Repeat int

// Kinds of Repeat.
const (
	// RepeatByMethod goes by the method and Route.Idempotent.
	RepeatByMethod Repeat = iota
	RepeatAlways
	RepeatNever
)

// Share is a part of a route's requests.
type Share struct {
	Upstream string
	// Weight is the share of the requests, in proportion to the sum of all.
	Weight int
}

// Route sends requests whose path starts with a prefix to an upstream.
type Route struct {
	Prefix string
	// Host limits the route to requests for one host, without port and in lower
	// case. Empty means any that no other route names.
	Host string
	// Upstream gets all requests, or those of the first of Shares.
	Upstream string
	// Shares divide the requests among upstreams. Empty means that Upstream gets
	// them all.
	Shares []Share
	Source KeySource
	// Name of the header or the query parameter.
	Name string
	// Segment is the number of the path segment that is the key, from 1.
	Segment int
	// Timeout bounds the deadline of requests. Default DefaultTimeout.
	Timeout time.Duration
	// Idempotent lists methods that may run more than once, beside GET, HEAD,
	// OPTIONS, PUT and DELETE.
	Idempotent []string
	// Repeat takes precedence over Idempotent.
	Repeat Repeat
	// Target is the time within which callers want the answer, 0 if not known.
	Target time.Duration
	// Attempts bounds the sendings of one request. 0 means the upstream's bound.
	Attempts int
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

// Option sets one value of the whole system. Options lists the names.
type Option struct {
	Name string
	// Value in the canonical form, such as 1m for a duration of 60s.
	Value   string
	Comment Comment
}

// Error is one fault in a rules file.
type Error struct {
	// Line and Column count from 1, the column in characters. Line is 0 for a
	// fault of the whole file.
	Line   int
	Column int
	// Message says what was found and what was expected.
	Message string
}

// Error returns the fault on one line, such as "line 3, column 9: ...".
func (e Error) Error() string {
	if e.Line == 0 {
		return e.Message
	}
	return fmt.Sprintf("line %d, column %d: %s", e.Line, e.Column, e.Message)
}

// Errors are all faults of one rules file, by line and column. MaxErrors
// bounds them; a last one without a line then says how many are left out.
type Errors []Error

// Error returns one fault per line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, fault := range e {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns the faults as an error, nil if there are none.
func (e Errors) Err() error {
	if len(e) == 0 {
		return nil
	}
	return e
}

// Upstream returns the upstream with a name.
func (s Set) Upstream(name string) (Upstream, bool) {
	i := slices.IndexFunc(s.Upstreams, func(u Upstream) bool { return u.Name == name })
	if i < 0 {
		return Upstream{}, false
	}
	return s.Upstreams[i], true
}

// ZoneOut reports whether an availability zone is taken out of service.
func (s Set) ZoneOut(name string) bool {
	return slices.ContainsFunc(s.Zones, func(z Zone) bool { return z.Name == name && z.Out })
}

// ServerDraining reports whether a rule drains a backend server.
func (s Set) ServerDraining(name string) bool {
	return slices.ContainsFunc(s.Servers, func(v Server) bool { return v.Name == name && v.Drain })
}
