// Package metrics has the counters of a node. Each node has its own set, so
// that several nodes can run in one process.
package metrics

import (
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jujubeknot/jujubeknot/core/outcome"
)

// Bounds of the latency histogram in microseconds, with 2 significant digits.
const (
	minLatencyMicros  = 1
	maxLatencyMicros  = 600_000_000
	significantDigits = 2
)

// Set has the counters of one node. It must be created by New. It is safe for
// concurrent use.
type Set struct {
	// Requests counts the responses to callers by result: "ok" or
	// "outcome/reason".
	Requests expvar.Map
	// Organisations counts the responses to callers by organisation and result, as
	// "name/result" with the results of Requests.
	Organisations expvar.Map
	// Attempts counts sent attempts by destination ("local", "peer") and by
	// cause ("retry", "hedge", "hold", "settle").
	Attempts expvar.Map
	// InFlight is the number of requests of callers that are not answered yet.
	InFlight atomic.Int64
	// Connections is the number of open connections of callers.
	// ConnectionsClosed counts the connections that were closed at once because
	// the number of open ones exceeded the bound.
	Connections       atomic.Int64
	ConnectionsClosed expvar.Int
	// Dropped counts the connections and streams that were closed because callers held
	// too much memory or too many connections, by what they waited for ("header",
	// "body", "answer", "idle").
	Dropped expvar.Map

	// organisations are the names that Organisations counts.
	organisations boundedNames

	mu      sync.Mutex
	latency *hdrhistogram.Histogram
}

// New returns a set whose counters are 0.
func New() *Set {
	s := &Set{latency: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)}
	s.Requests.Init()
	s.Organisations.Init()
	s.Attempts.Init()
	s.Dropped.Init()
	return s
}

// RecordResponse counts the response to a caller and its latency. A nil refusal
// means that the request succeeded.
func (s *Set) RecordResponse(r *outcome.Refusal, latency time.Duration) {
	s.Requests.Add(result(r), 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	// RecordValue fails for latencies above the highest bound. Such latencies
	// are left out.
	_ = s.latency.RecordValue(max(latency.Microseconds(), minLatencyMicros))
}

// Latency is a summary of the latency histogram in microseconds.
type Latency struct {
	Count   int64    `json:"count"`
	Mean    float64  `json:"mean"`
	P50     int64    `json:"p50"`
	P90     int64    `json:"p90"`
	P99     int64    `json:"p99"`
	P999    int64    `json:"p999"`
	Max     int64    `json:"max"`
	Buckets []Bucket `json:"histogram"`
	Unit    string   `json:"unit"`
}

// Bucket counts the requests with a latency up to UpperBound and above the
// bound of the bucket before.
type Bucket struct {
	UpperBound int64 `json:"upTo"`
	Count      int64 `json:"count"`
}

// Latency returns the summary of all requests since the start of the node.
func (s *Set) Latency() Latency {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.latency
	l := Latency{
		Count: h.TotalCount(), Mean: h.Mean(), P50: h.ValueAtQuantile(50), P90: h.ValueAtQuantile(90),
		P99: h.ValueAtQuantile(99), P999: h.ValueAtQuantile(99.9), Max: h.Max(), Unit: "microseconds",
	}
	// The upper bounds double: 20 buckets span 100 microseconds to a minute.
	bound, count := int64(100), int64(0)
	for _, b := range h.Distribution() {
		for b.To > bound {
			l.Buckets, count = append(l.Buckets, Bucket{bound, count}), 0
			bound *= 2
		}
		count += b.Count
	}
	l.Buckets = append(l.Buckets, Bucket{bound, count})
	return l
}
