// Package rules parses, checks, formats and compares the operators' rules file.
//
// A rules file has one rule per line. Each rule ends with a comment of the form
// "# who: why". Parse reads a file into a Set, Format writes a Set in its
// canonical form, and Compare lists the rules that differ between two sets.
package rules

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jujubeknot/jujubeknot/core/keyspace"
)

// Default values of settings that a rules file may leave out. Parse fills them
// in, except for KeyShare and MaxBodyBytes, which stay 0.
const (
	DefaultTimeout       = 30 * time.Second
	DefaultPriority      = 5
	DefaultKeyShare      = 0.5
	DefaultMaxBodyBytes  = 1 << 30
	DefaultRetryBudget   = 0.1
	DefaultRetryAttempts = 3
	DefaultHedgeBudget   = 0.05
	DefaultHedgeAfter    = 20 * time.Millisecond
)

// Set holds the rules of a valid rules file. The zero value has no rules. A Set
// must not be modified after Parse has returned it. It is then safe for
// concurrent use.
type Set struct {
	Upstreams []Upstream
	Routes    []Route
	Zones     []Zone
	Servers   []Server
	Pins      []Pin
	Options   []Option
	// Organisations is empty if callers need no API key.
	Organisations []Organisation
}

// Comment records who asked for a rule and why.
type Comment struct {
	Who string
	Why string
	// Line is the line number of the rule in its file, counted from 1. It is 0
	// if the set was not parsed from a file. Compare and Format ignore it.
	Line int
}

// String returns the comment as it is written in a rules file: "# who: why".
func (c Comment) String() string {
	return "# " + c.Who + ": " + c.Why
}

// present reports whether the comment is set. Each rule has a comment, so this
// also tells whether an optional rule, such as limit, is in the file.
func (c Comment) present() bool {
	return c.Who != ""
}

// Upstream is a group of backend servers that serve the same requests. The
// rules upstream, limit, retry, cold and hedge each set some of its fields.
type Upstream struct {
	Name string
	// Keyed is true if requests are partitioned by key, so that each key has
	// one owner.
	Keyed bool
	// NumericKeys is true if keys are numbers from 0 to keyspace.MaxNumericKey
	// and partitions are ranges of numbers. Otherwise keys are hashed.
	NumericKeys bool
	// Partitions is the number of partitions: a power of two for keyed
	// upstreams and 0 for unkeyed ones.
	Partitions uint32
	// Slots limits the requests that one backend server handles at a time, and
	// Connections the connections to it. 0 means the value that the backend
	// server announced.
	Slots       int
	Connections int
	// Queue limits the requests that wait at one node. 0 means 4 times Slots.
	Queue int
	// HealthPath is the path at which a backend server states its health and its
	// name, where a dialect has such a path. Empty means that there is none.
	HealthPath string
	// Policy is the placement policy of a keyed upstream, or the policy by
	// which an unkeyed upstream selects a backend server. Empty means the
	// default.
	Policy string
	// RequestsPerSecond limits the upstream's request rate at each node. 0
	// means no limit.
	RequestsPerSecond float64
	// KeyShare limits the share of slots and queue that one key may occupy
	// while requests for other keys wait. It is between 0 and 1. 0 means
	// DefaultKeyShare.
	KeyShare float64
	// MaxBodyBytes limits the size of request bodies. 0 means
	// DefaultMaxBodyBytes.
	MaxBodyBytes int64
	// MinPriority is the lowest priority of routes whose requests are accepted.
	// 0 accepts all.
	MinPriority int
	// RetryBudget limits the share of requests that are retries. It is between
	// 0 and 1.
	RetryBudget float64
	// RetryBurst is the number of unused retries that a node may accumulate. 0
	// means the default of outcome.Budget.
	RetryBurst int
	// RetryAttempts limits how often one request is sent, including the first
	// attempt.
	RetryAttempts int
	// ColdStartRate limits the requests per second that a backend server
	// receives during cold start. 0 means that the node determines the limit
	// itself.
	ColdStartRate float64
	// HedgeBudget limits the share of requests that are hedged. It is between 0
	// and 1. 0 disables hedging.
	HedgeBudget float64
	// HedgeAfter is how long a node waits for a response before it sends the
	// hedge. 0 means longer than nearly all requests of the route take.
	HedgeAfter time.Duration
	Comment    Comment
	// LimitComment, RetryComment, HedgeComment and ColdStartComment belong to
	// the rules limit, retry, hedge and cold. Each is empty if the file has no
	// such rule for the upstream.
	LimitComment     Comment
	RetryComment     Comment
	HedgeComment     Comment
	ColdStartComment Comment
}

// KeyHash returns the hash that maps a key to a partition. It returns false if
// the upstream has numeric keys and the key is not a valid number. A nil
// upstream treats keys as hashed.
func (u *Upstream) KeyHash(key string) (uint64, bool) {
	if u == nil || !u.NumericKeys {
		return keyspace.Hash(key), true
	}
	number, err := strconv.ParseUint(key, 10, 16)
	return keyspace.NumericKeyHash(uint16(number)), err == nil
}

// KeySource is the part of a request that contains the key.
type KeySource int

// Values of KeySource.
const (
	KeySourceNone KeySource = iota
	KeySourceHeader
	KeySourceSegment
	KeySourceQuery
)

// Repeat determines which requests of a route may be executed more than once.
type Repeat int

// Values of Repeat.
const (
	// RepeatByMethod decides by the request's method and Route.Idempotent.
	RepeatByMethod Repeat = iota
	RepeatAlways
	RepeatNever
)

// WeightedUpstream is one of several upstreams that share the requests of a
// route.
type WeightedUpstream struct {
	Upstream string
	// Weight is relative to the sum of the weights of the route's upstreams.
	Weight int
}

// Route sends requests whose path starts with Prefix to an upstream.
type Route struct {
	Prefix string
	// Host limits the route to requests for one host, in lower case and without
	// port. Empty means any host that no other route names.
	Host string
	// Upstream receives all requests if WeightedUpstreams is empty. Otherwise
	// it is the first of them.
	Upstream string
	// WeightedUpstreams distributes the requests over several upstreams. It is
	// empty for a route with a single upstream.
	WeightedUpstreams []WeightedUpstream
	KeySource         KeySource
	// KeyName is the name of the header or query parameter that contains the
	// key.
	KeyName string
	// KeySegment is the number of the path segment that is the key, counted
	// from 1.
	KeySegment int
	// Timeout limits the deadline of requests. The default is DefaultTimeout.
	Timeout time.Duration
	// Idempotent lists methods that may be executed more than once, in addition
	// to GET, HEAD, OPTIONS, PUT and DELETE.
	Idempotent []string
	// Repeat takes precedence over Idempotent.
	Repeat Repeat
	// TargetLatency is the time within which callers want the response. 0 means
	// unknown.
	TargetLatency time.Duration
	// MaxAttempts limits how often one request is sent, including the first
	// attempt. 0 means the upstream's RetryAttempts.
	MaxAttempts int
	// Priority is between 0, which is shed first, and 9. The default is
	// DefaultPriority.
	Priority int
	// Public routes accept requests without an API key.
	Public  bool
	Comment Comment
}

// Zone takes an availability zone out of service, or keeps it in service.
type Zone struct {
	Name    string
	Out     bool
	Comment Comment
}

// Server drains one backend server, or keeps it in service.
type Server struct {
	Name    string
	Drain   bool
	Comment Comment
}

// Pin places one partition on one backend server.
type Pin struct {
	Upstream string
	// Key is set if the rule names a key. Partition is then derived from it.
	Key       string
	Partition uint32
	Server    string
	Comment   Comment
}

// Option sets one system-wide value. Options lists the names.
type Option struct {
	Name string
	// Value is in canonical form, such as 1m for a duration of 60s.
	Value   string
	Comment Comment
}

// Error is one error in a rules file.
type Error struct {
	// Line and Column count from 1. Column counts characters, not bytes. Both
	// are 0 for an error that concerns the whole file.
	Line   int
	Column int
	// Message states what was found and what was expected.
	Message string
}

// Error returns the error on one line, such as "line 3, column 9: ...".
func (e Error) Error() string {
	if e.Line == 0 {
		return e.Message
	}
	return fmt.Sprintf("line %d, column %d: %s", e.Line, e.Column, e.Message)
}

// Errors lists the errors of one rules file, sorted by line and column. It
// holds at most MaxErrors of them, followed by an error without a line that
// states how many were left out.
type Errors []Error

// Error returns the errors, one per line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, err := range e {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns e as an error, or nil if e is empty.
func (e Errors) Err() error {
	if len(e) == 0 {
		return nil
	}
	return e
}

// Upstream returns the upstream with the given name and whether it exists.
func (s Set) Upstream(name string) (Upstream, bool) {
	i := slices.IndexFunc(s.Upstreams, func(u Upstream) bool { return u.Name == name })
	if i < 0 {
		return Upstream{}, false
	}
	return s.Upstreams[i], true
}

// ZoneOut reports whether a rule takes the availability zone out of service.
func (s Set) ZoneOut(name string) bool {
	return slices.ContainsFunc(s.Zones, func(z Zone) bool { return z.Name == name && z.Out })
}

// ServerDraining reports whether a rule drains the backend server.
func (s Set) ServerDraining(name string) bool {
	return slices.ContainsFunc(s.Servers, func(v Server) bool { return v.Name == name && v.Drain })
}
