// Package backend has stand-in backend servers. They speak the protocol of
// backend servers over HTTP/1.1, have slots, bounded connections, cold starts
// and stragglers, misbehave on demand, and record what ran where.
package backend

import (
	"time"
)

// Headers of the laboratory. They are not the project's own, so nodes pass them
// on unchanged.
const (
	// HeaderOperation is the id of what a caller wants done. Resends keep it.
	HeaderOperation = "Bench-Operation"
	// HeaderAttempt is the number of the caller's sending, from 1.
	HeaderAttempt = "Bench-Attempt"
	// HeaderKey is the key that the caller meant.
	HeaderKey = "Bench-Key"
	// HeaderIdempotent is true where the operation may run more than once.
	HeaderIdempotent = "Bench-Idempotent"
	// HeaderBodySum is the xxhash of the request body that arrived, in a
	// response.
	HeaderBodySum = "Bench-Body-Sum"
)

// Defaults of Config.
const (
	DefaultSlots          = 6
	DefaultConnections    = 110
	DefaultConnectionCost = time.Millisecond
	DefaultServiceMean    = 5 * time.Millisecond
	DefaultAnnounceEvery  = time.Second
	DefaultColdWork       = 50
	DefaultColdFailAt     = 30
	DefaultColdRestart    = 500 * time.Millisecond
	DefaultResponseBytes  = 256
)

// Config configures a Server. The zero value of a field means the default.
type Config struct {
	// Name identifies the server in announcements and records.
	Name     string
	Upstream string
	Zone     string
	// Listen is the address to listen on, default 127.0.0.1 with a free port.
	// A restarted server listens on the same port again.
	Listen string
	// Node is the address that announcements and nested calls go to, host and
	// port of the co-located node. Empty means that there is none.
	Node string
	// Announce is the address of the node's listener for backend servers. Empty
	// means that the server does not announce itself.
	Announce string
	// Advertise is the address to announce, where it is not the one listened at.
	Advertise     string
	AnnounceEvery time.Duration
	Slots         int
	Connections   int
	// ConnectionCost delays the first request of each connection. A negative
	// value means none.
	ConnectionCost time.Duration
	// Service is the distribution of service times.
	Service Service
	// ResponseBytes is the size of response bodies.
	ResponseBytes int
	ChecksFences  bool
	Cold          Cold
	// HealthLag and LoadLag are the ages of what the reports say.
	HealthLag time.Duration
	LoadLag   time.Duration
	// Calls are made to the other upstream while a request runs.
	Calls []Call
	Seed  uint64
	// Records takes what ran. Nil means a new Recorder.
	Records *Recorder
}

// Cold describes the cold start.
type Cold struct {
	// Capacity is the number of requests that a cold server runs at once. 0
	// means that the server starts warm.
	Capacity int
	// Work is the number of finished requests that raise the capacity by one.
	Work int
	// FailAt is the number of requests above the capacity within a second at
	// which the cold server fails over: all connections are lost and it starts
	// again after Restart.
	FailAt  int
	Restart time.Duration
}

// Call is a nested call to another upstream.
type Call struct {
	// Share of requests that make the call, 0 to 1.
	Share float64
	// MaxDepth is the highest depth of a request that still makes the call.
	MaxDepth int
	Method   string
	// Path may have the placeholder {key}.
	Path string
	// KeyHeader is the header that takes the key, empty for none.
	KeyHeader string
}

// Faults are misbehaviours with their probability, each from 0 to 1.
type Faults struct {
	// Crossed responses belong to another request.
	Crossed float64
	// Late responses come LateBy after the work, whatever the deadline and
	// cancellations say.
	Late   float64
	LateBy time.Duration
	// Short responses end before the announced length.
	Short float64
	// Shed requests are refused although there is a slot.
	Shed float64
}

func (c Config) withDefaults() Config {
	orDuration := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	orInt := func(i *int, v int) {
		if *i == 0 {
			*i = v
		}
	}
	if c.Listen == "" {
		c.Listen = "127.0.0.1:0"
	}
	orDuration(&c.AnnounceEvery, DefaultAnnounceEvery)
	orInt(&c.Slots, DefaultSlots)
	orInt(&c.Connections, DefaultConnections)
	orDuration(&c.ConnectionCost, DefaultConnectionCost)
	orDuration(&c.Service.Mean, DefaultServiceMean)
	orInt(&c.ResponseBytes, DefaultResponseBytes)
	orInt(&c.Cold.Work, DefaultColdWork)
	orInt(&c.Cold.FailAt, DefaultColdFailAt)
	orDuration(&c.Cold.Restart, DefaultColdRestart)
	if c.Records == nil {
		c.Records = NewRecorder(0)
	}
	return c
}
