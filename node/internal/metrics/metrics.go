// Package metrics counts what a node does. Each node has its own set, so that
// several can run in one process.
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
	lowestMicros  = 1
	highestMicros = 600_000_000
	digits        = 2
)

// Set has the figures of one node. It is safe for concurrent use. Use New.
type Set struct {
	// Requests counts what callers were answered: "ok" or "outcome/reason".
	Requests expvar.Map
	// Attempts counts sendings by where they went: "local", "peer", and
	// "retry", "hedge", "hold", "settle" for why.
	Attempts expvar.Map
	// InFlight counts callers' requests that are not answered yet.
	InFlight atomic.Int64
	// Connections counts callers' open connections, and ConnectionsClosed those
	// that were closed because they were above the bound.
	Connections       atomic.Int64
	ConnectionsClosed expvar.Int

	mu      sync.Mutex
	latency *hdrhistogram.Histogram
}

// New returns a set of zeros.
func New() *Set {
	s := &Set{latency: hdrhistogram.New(lowestMicros, highestMicros, digits)}
	s.Requests.Init()
	s.Attempts.Init()
	return s
}

// RecordResponse counts an answered request and its latency.
func (s *Set) RecordResponse(r *outcome.Refusal, latency time.Duration) {
	if r == nil {
		s.Requests.Add("ok", 1)
	} else {
		s.Requests.Add(r.Outcome.String()+"/"+string(r.Reason), 1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// Values beyond the bounds are left out.
	_ = s.latency.RecordValue(max(latency.Microseconds(), lowestMicros))
}

// Latency is a summary of the histogram in microseconds.
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

// Bucket counts the requests up to a latency and above that of the bar before.
type Bucket struct {
	UpperBound int64 `json:"upTo"`
	Count      int64 `json:"count"`
}

// Latency returns the summary since the start of the node.
func (s *Set) Latency() Latency {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.latency
	l := Latency{
		Count: h.TotalCount(), Mean: h.Mean(), P50: h.ValueAtQuantile(50), P90: h.ValueAtQuantile(90),
		P99: h.ValueAtQuantile(99), P999: h.ValueAtQuantile(99.9), Max: h.Max(), Unit: "microseconds",
	}
	// Buckets double in width: 20 of them span 100 microseconds to a minute.
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
