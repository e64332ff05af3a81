// Package backend is the node's side of the backend server on its own VM:
// announcements, health, grants, and the requests themselves, which pass the
// guard first.
package backend

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/jujubeknot/jujubeknot/core/admission"
	"github.com/jujubeknot/jujubeknot/core/clock"
	"github.com/jujubeknot/jujubeknot/core/rules"
	"github.com/jujubeknot/jujubeknot/node/dialect"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// Defaults of the configuration.
const (
	DefaultHealthInterval = 250 * time.Millisecond
	// quietIntervals is above the 400 ms between two extensions of the lease and
	// well below DefaultLostAfter.
	quietIntervals        = 2
	DefaultConnectTimeout = 500 * time.Millisecond
	// DefaultLostAfter is the time without any sign of life after which the
	// node gives up its lease. Announcements come every second, health
	// answers every DefaultHealthInterval.
	DefaultLostAfter = time.Second
	// DefaultCancelHold bounds the time for which the slot of a cancelled
	// request is kept. A backend server that does not answer for longer says
	// nothing about its slots.
	DefaultCancelHold = 100 * time.Millisecond
)

// warmSpare is the number of connections kept open beyond the slots, for
// requests that start while others end.
const warmSpare = 2

// Config has the parts and settings of a Server. Clock is required; the zero
// value of the others means the default.
type Config struct {
	Clock          clock.Clock
	Log            zerolog.Logger
	HealthInterval time.Duration
	ConnectTimeout time.Duration
	LostAfter      time.Duration
	CancelHold     time.Duration
	// LinkRate is that of the VM's link in bytes/s, 0 if it is not known.
	LinkRate float64
	// Dialect is nil for the project's own protocol. With a dialect the backend
	// server reports by beats and is asked for nothing.
	Dialect *dialect.Dialect
	// HoldsUntil returns when a backend server that reports by beats holds no
	// keys any more unless another beat comes. It is required with Dialect.
	HoldsUntil func() time.Time
	// OnChange is called without locks held after the backend server appeared,
	// restarted, changed its announcement, or was lost. It must not block.
	OnChange func()
}

// Server is the backend server beside the node. It is safe for concurrent use.
type Server struct {
	cfg    Config
	log    zerolog.Logger
	guard  *guard
	intake *intake
	pool   pool
	client *http.Client
	// refusedUntil is when a refused connection stops to count, in nanoseconds
	// by the clock.
	refusedUntil atomic.Int64
	// unreachable is true from a refused connection to the next response.
	unreachable atomic.Bool
	// confirming is true while a refused connection is tried again.
	confirming atomic.Bool
	// cancels are requests that the backend server is told to cancel.
	cancels chan cancellation
	grants  grants

	mu        sync.Mutex
	announced *wirev1.BackendServer
	alive     time.Time
	lost      bool
	// silent is true if it was lost because it said nothing: it may go on.
	silent  bool
	leaving bool
	// leavingSince is when the leaving was first said.
	leavingSince time.Time
	// outSince is when the rules took it out of service, zero if they did not.
	outSince time.Time
	// adopted is set while no beat has come since the node's process started.
	adopted adoption
	// started and sequence are those of the latest beat.
	started  time.Time
	sequence uint64
	upstream rules.Upstream
	load     Load
	// left reports what still keeps a leaving backend server from stopping.
	left func() (partitions int)
}

// New returns a server that nothing has announced yet. It panics without a
// clock.
func New(cfg Config) *Server {
	if cfg.Clock == nil {
		panic("backend: no clock")
	}
	if cfg.HealthInterval == 0 {
		cfg.HealthInterval = DefaultHealthInterval
	}
	if cfg.ConnectTimeout == 0 {
		cfg.ConnectTimeout = DefaultConnectTimeout
	}
	if cfg.LostAfter == 0 {
		cfg.LostAfter = DefaultLostAfter
	}
	if cfg.CancelHold == 0 {
		cfg.CancelHold = DefaultCancelHold
	}
	if cfg.OnChange == nil {
		cfg.OnChange = func() {}
	}
	return &Server{
		cfg: cfg, log: cfg.Log, pool: pool{timeout: cfg.ConnectTimeout}, cancels: make(chan cancellation, 256),
		guard:  newGuard(cfg.Clock, admission.Config{}),
		intake: newIntake(cfg.Clock, cfg.LinkRate),
		grants: grants{sending: make(chan struct{}, 1)},
		client: &http.Client{
			Transport: &http.Transport{MaxConnsPerHost: 2, MaxIdleConnsPerHost: 2, DisableCompression: true},
		},
		left: func() int { return 0 },
	}
}

// SetPartitionCounter sets the function that counts the partitions which a leaving backend
// server still owns. Set it before Run.
func (s *Server) SetPartitionCounter(left func() (partitions int)) { s.left = left }

// Unresponsive reports whether the backend server is lost and may go on with what it was
// granted: it said nothing, but nothing said that it has ended.
func (s *Server) Unresponsive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost && s.silent
}

// Announced returns the backend server, or nil if there is none or it is lost.
func (s *Server) Announced() *wirev1.BackendServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost {
		return nil
	}
	return s.announced
}

// Leaving reports whether the backend server has said that it leaves.
func (s *Server) Leaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// Cold reports whether the backend server is in cold start.
func (s *Server) Cold() bool { return s.guard.cold() }

// Configure applies the rules of the backend server's upstream.
func (s *Server) Configure(u rules.Upstream) {
	s.mu.Lock()
	s.upstream = u
	s.mu.Unlock()
	s.apply(false)
}

// apply passes announcement and rules on to pool and guard.
func (s *Server) apply(restarted bool) {
	s.mu.Lock()
	b, u := s.announced, s.upstream
	s.mu.Unlock()
	if b == nil {
		s.pool.configure("", 0, true)
		return
	}
	s.pool.configure(b.GetAddress(), connections(b, u), restarted)
	s.guard.configure(guardConfig(b, u, s.cfg.Dialect != nil))
}

func connections(b *wirev1.BackendServer, u rules.Upstream) int {
	return least(int(b.GetConnections()), u.Connections, 1)
}

func slots(b *wirev1.BackendServer, u rules.Upstream) int {
	return min(least(int(b.GetSlots()), u.Slots, 1), connections(b, u))
}

// least returns the smaller of two bounds where 0 means no bound.
func least(announced, ruled, otherwise int) int {
	switch {
	case announced > 0 && ruled > 0:
		return min(announced, ruled)
	case announced+ruled > 0:
		return announced + ruled
	}
	return otherwise
}

// heard notes a sign of life with the boot id that came with it, empty if none
// did.
func (s *Server) heard(bootID string) {
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	s.alive = now
	found, restarted := s.lost, false
	s.lost = false
	if bootID != "" && s.announced != nil && bootID != s.announced.GetBootId() {
		b := proto.CloneOf(s.announced)
		b.BootId = bootID
		s.announced, restarted = b, true
	}
	s.mu.Unlock()
	if !found && !restarted {
		return
	}
	s.apply(restarted)
	if restarted {
		s.log.Warn().Str("bootId", bootID).Msg("backend server restarted")
		s.guard.backendStarted(bootID)
	}
	s.cfg.OnChange()
}

// Run probes the backend server until the context ends.
func (s *Server) Run(ctx context.Context) {
	probe := time.NewTicker(s.cfg.HealthInterval)
	defer probe.Stop()
	second := time.NewTicker(time.Second)
	defer second.Stop()
	defer s.client.CloseIdleConnections()
	defer s.pool.close()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.sendCancels(ctx)
	}()
	defer func() { <-ended }()
	for {
		select {
		case <-ctx.Done():
			return
		case <-probe.C:
			if s.cfg.Dialect != nil {
				s.checkSilent()
			} else if s.quiet() {
				s.probe(ctx)
			}
		case <-second.C:
			if s.cfg.Dialect != nil {
				s.pool.closeIdle()
				continue
			}
			s.readLoad(ctx)
			s.keepWarm(ctx)
		}
	}
}

// quiet reports whether health must be asked for: without a sign of life for
// quietIntervals, or half of LostAfter if that is shorter. An idle node hears of its backend server with each extension
// of the lease, so that further questions would cost processor time only.
func (s *Server) quiet() bool {
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.alive) >= min(quietIntervals*s.cfg.HealthInterval, s.cfg.LostAfter/2)
}

func (s *Server) keepWarm(ctx context.Context) {
	s.mu.Lock()
	b, u, lost := s.announced, s.upstream, s.lost
	s.mu.Unlock()
	if b != nil && !lost {
		s.pool.warm(ctx, slots(b, u)+warmSpare)
	}
}

// Stats are the figures of the guard and the pool for operators.
type Stats struct {
	Limit           int  `json:"limit"`
	InFlight        int  `json:"inFlight"`
	Queued          int  `json:"queued"`
	ConnectionsOpen int  `json:"connectionsOpen"`
	ConnectionsUsed int  `json:"connectionsUsed"`
	Cold            bool `json:"cold"`
	Lost            bool `json:"lost"`
	// Reported is the backend server's own report.
	Reported Load `json:"reported"`
}

// ServiceTime returns the mean time that the backend server takes for a
// request, 0 if it is not known.
func (s *Server) ServiceTime() time.Duration { return s.guard.serviceTime() }

// Stats returns the current figures.
func (s *Server) Stats() Stats {
	var t Stats
	t.ConnectionsOpen, t.ConnectionsUsed = s.pool.counts()
	t.Limit, t.InFlight, t.Queued, t.Cold = s.guard.figures()
	s.mu.Lock()
	defer s.mu.Unlock()
	t.Lost, t.Reported = s.lost, s.load
	return t
}
