// Package backend has stand-in backend servers, test doubles for measurements.
// They speak the protocol of backend servers over HTTP/1.1 and simulate slots,
// limited connections, cold starts and stragglers. They inject faults on
// demand, and record each request that they run or refuse.
package backend

import (
	"time"
)

// Headers of the load generator and the stand-in backend servers. They do not
// belong to the protocol of nodes, so nodes forward them unchanged.
const (
	// HeaderOperation is the id of the caller's operation. All resends of an
	// operation carry the same id.
	HeaderOperation = "Bench-Operation"
	// HeaderAttempt is the number of the caller's attempt, from 1.
	HeaderAttempt = "Bench-Attempt"
	// HeaderKey is the key of the operation, as the caller chose it.
	HeaderKey = "Bench-Key"
	// HeaderIdempotent is "true" if the operation may run more than once.
	HeaderIdempotent = "Bench-Idempotent"
	// HeaderBodySum is a response header: the xxhash of the request body that
	// the server received, in hexadecimal digits.
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

// Config configures a Server. For fields that have a default, 0 or the empty
// string means the default.
type Config struct {
	// Name identifies the server in announcements and records.
	Name     string
	Upstream string
	Zone     string
	// Listen is the address to listen on, default 127.0.0.1 with a free port.
	// A restarted server listens on the same port again.
	Listen string
	// Node is the address, host and port, of the co-located node's listener for
	// callers. Nested calls go to it. Empty means that there is none.
	Node string
	// Announce is the address of the node's listener for backend servers.
	// Announcements go to it. Empty means that the server does not announce
	// itself.
	Announce string
	// Advertise is the address to announce. Empty means the address that the
	// server listens on.
	Advertise     string
	AnnounceEvery time.Duration
	// Slots is the number of requests that a warm server runs at once.
	Slots int
	// Connections is the number of connections that the server keeps open. It
	// closes any further one at once.
	Connections int
	// ConnectionCost is the time after accepting a connection before its first
	// request is read. A negative value means no delay.
	ConnectionCost time.Duration
	// Service is the distribution of service times.
	Service Service
	// ResponseBytes is the minimum size of response bodies.
	ResponseBytes int
	// ChecksFences makes the server refuse a request whose fencing token does
	// not match the grants of the node.
	ChecksFences bool
	Cold         Cold
	// HealthLag and LoadLag are the ages of the state that GET /v1/health and
	// GET /v1/load report.
	HealthLag time.Duration
	LoadLag   time.Duration
	// Calls are the nested calls that the server makes while it runs a request.
	Calls []Call
	// Seed is the seed of all random decisions, and part of the boot ids.
	Seed uint64
	// Records receives an entry for each event. Nil means a new Recorder.
	Records *Recorder
}

// Cold configures the simulation of a cold start.
type Cold struct {
	// Capacity is the number of requests that a cold server runs at once. 0
	// means that the server starts warm.
	Capacity int
	// Work is the number of finished requests after which the capacity rises by
	// one, until it reaches the slots and the server is warm.
	Work int
	// FailAt is the number of requests above the capacity within a second at
	// which a cold server crashes. It loses all connections and starts again
	// after Restart.
	FailAt  int
	Restart time.Duration
}

// Call is a nested call to another upstream.
type Call struct {
	// Share is the share of requests that make the call, 0 to 1.
	Share float64
	// MaxDepth is the maximum depth of a request that makes the call.
	MaxDepth int
	// Method defaults to GET.
	Method string
	// Path may contain the placeholder {key}.
	Path string
	// KeyHeader is the name of the header that carries the key. Empty means none.
	KeyHeader string
}

// Faults has the probability of each kind of fault, from 0 to 1.
type Faults struct {
	// Crossed is the probability that the server answers with the response to
	// another request.
	Crossed float64
	// Late is the probability that a response comes LateBy after the end of the
	// work. Such a request ignores its deadline and cancellations.
	Late   float64
	LateBy time.Duration
	// Short is the probability that a response ends before its Content-Length.
	Short float64
	// Shed is the probability that a request is refused although a slot is free.
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
