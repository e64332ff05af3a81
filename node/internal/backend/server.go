// Package backend connects the node to the one backend server on the same VM.
// It handles the backend server's announcements or heartbeats, its health and
// its grants, and sends it the requests that admission control admits.
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

// Default values of Config.
const (
	DefaultHealthInterval = 250 * time.Millisecond
	// probeAfterIntervals is the time without contact after which health is
	// requested, in health intervals. With the defaults this time is 500 ms:
	// above the 400 ms between two extensions of the lease and well below
	// DefaultLostAfter.
	probeAfterIntervals   = 2
	DefaultConnectTimeout = 500 * time.Millisecond
	// DefaultLostAfter is the time without contact after which the backend
	// server is lost and the node releases its lease. Announcements arrive
	// every second, health responses every DefaultHealthInterval.
	DefaultLostAfter = time.Second
	// DefaultCancelHold bounds the time for which the slot of a cancelled
	// request stays taken. If the backend server has not responded by then, the
	// state of its slots is unknown and waiting longer gains nothing.
	DefaultCancelHold = 100 * time.Millisecond
)

// spareConnections is the number of connections that are kept open beyond the
// slots, for requests that start while others end.
const spareConnections = 2

// Config configures a Server. Clock is required. RequestClock defaults to it. For other fields with a
// default, zero means the default.
type Config struct {
	Clock clock.Clock
	// RequestClock measures requests. It may notice a suspension of the machine a
	// few ms later than Clock, by which leases and grants are measured.
	RequestClock   clock.Clock
	Log            zerolog.Logger
	HealthInterval time.Duration
	ConnectTimeout time.Duration
	LostAfter      time.Duration
	CancelHold     time.Duration
	// LinkRate is the rate of the VM's network link in bytes/s, 0 if unknown.
	LinkRate float64
	// Memory bounds the memory for bodies of calls. Nil means that it is not bounded.
	Memory Memory
	// Dialect is nil for the project's own protocol. With a dialect the backend
	// server reports by heartbeats, and the node makes no control calls to it.
	Dialect *dialect.Dialect
	// HeartbeatInterval is the usual time between two heartbeats of the backend
	// server. It is used with Dialect only.
	HeartbeatInterval time.Duration
	// HoldsUntil returns the time from which a backend server that reports by
	// heartbeats holds no keys, unless another heartbeat arrives before. It is
	// required with Dialect.
	HoldsUntil func() time.Time
	// OnChange is called after the backend server appeared, restarted, changed
	// its announcement, began to leave, or was lost. No locks are held during
	// the call. It must not block. Nil means no notification.
	OnChange func()
}

// Server represents the backend server beside the node. It is safe for
// concurrent use.
type Server struct {
	cfg       Config
	log       zerolog.Logger
	admission *admissionController
	bodies    *bodyReceiver
	pool      pool
	client    *http.Client
	running   runningCalls
	hedges    hedges
	// refusedUntil is the end of the back-off after a refused connection, as
	// Unix time in nanoseconds by Config.Clock.
	refusedUntil atomic.Int64
	// unreachable is true from a refused connection to the next response or accepted
	// connection.
	unreachable atomic.Bool
	// confirming is true while a second connection attempt checks a refusal.
	confirming atomic.Bool
	// cancels queues the cancellations to send to the backend server.
	cancels chan cancellation
	grants  grants

	mu          sync.Mutex
	announced   *wirev1.BackendServer
	lastContact time.Time
	lost        bool
	// unresponsive is true if the backend server was lost because it did not
	// respond. It may still be running.
	unresponsive bool
	leaving      bool
	// leavingStored is true once control has stored that the backend server leaves.
	leavingStored bool
	// leavingSince is when the backend server first reported that it leaves.
	leavingSince time.Time
	// outOfServiceSince is when the backend server was taken out of service,
	// zero if it is in service.
	outOfServiceSince time.Time
	// serviceKnown is true after the first call of SetOutOfService.
	serviceKnown bool
	// adopted is zero for a backend server that no earlier process of the node
	// served.
	adopted adoption
	// started and sequence are those of the latest heartbeat, which arrived at
	// lastHeartbeat.
	started       time.Time
	sequence      uint64
	lastHeartbeat time.Time
	// claim is the latest claim that was not accepted.
	claim claim
	// lastIdentified is the time of the latest request for the name of a backend
	// server.
	lastIdentified time.Time
	upstream       rules.Upstream
	load           Load
	// countPartitions returns the number of partitions that keep a leaving
	// backend server from stopping.
	countPartitions func() (partitions int)
}

// New returns a Server for which no backend server has been announced yet. It
// panics if Config.Clock is nil.
func New(cfg Config) *Server {
	if cfg.Clock == nil {
		panic("backend: no clock")
	}
	if cfg.RequestClock == nil {
		cfg.RequestClock = cfg.Clock
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
		admission: newAdmissionController(cfg.RequestClock, admission.Config{}),
		bodies:    newBodyReceiver(cfg.RequestClock, cfg.LinkRate, cfg.Memory),
		grants:    grants{sending: make(chan struct{}, 1)},
		client: &http.Client{
			Transport:     &http.Transport{MaxConnsPerHost: 2, MaxIdleConnsPerHost: 2, DisableCompression: true, MaxResponseHeaderBytes: maxCallBytes},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		countPartitions: func() int { return 0 },
	}
}

// SetPartitionCounter sets the function that counts the partitions which a
// leaving backend server still owns. It must be called before Run.
func (s *Server) SetPartitionCounter(count func() (partitions int)) { s.countPartitions = count }

// Unresponsive reports whether the backend server was lost because it did not
// respond. It may still be running and using its grants, because nothing showed
// that it has ended.
func (s *Server) Unresponsive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost && s.unresponsive
}

// Announced returns the announced backend server, or nil if there is none or it
// is lost. The caller must not change the result.
func (s *Server) Announced() *wirev1.BackendServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost {
		return nil
	}
	return s.announced
}

// Leaving reports whether the backend server has announced that it leaves.
func (s *Server) Leaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// Cold reports whether the backend server is in cold start.
func (s *Server) Cold() bool { return s.admission.cold() }

// Configure applies the rules of the backend server's upstream.
func (s *Server) Configure(u rules.Upstream) {
	s.mu.Lock()
	s.upstream = u
	s.mu.Unlock()
	s.hedges.configure(u)
	s.applyConfig(false)
}

// applyConfig applies announcement and rules to the connection pool and to
// admission control.
func (s *Server) applyConfig(restarted bool) {
	s.mu.Lock()
	b, u := s.announced, s.upstream
	s.mu.Unlock()
	if b == nil {
		s.pool.configure("", 0, true)
		return
	}
	s.pool.configure(b.GetAddress(), connectionLimit(b, u), restarted)
	s.admission.configure(admissionConfig(b, u, s.cfg.Dialect))
}

func connectionLimit(b *wirev1.BackendServer, u rules.Upstream) int {
	return tighterLimit(int(b.GetConnections()), u.Connections, 1)
}

func slotLimit(b *wirev1.BackendServer, u rules.Upstream) int {
	return min(tighterLimit(int(b.GetSlots()), u.Slots, 1), connectionLimit(b, u))
}

// tighterLimit returns the smaller of two limits, of which 0 means no limit. It
// returns fallback if neither is set.
func tighterLimit(announced, configured, fallback int) int {
	switch {
	case announced > 0 && configured > 0:
		return min(announced, configured)
	case announced+configured > 0:
		return announced + configured
	}
	return fallback
}

// recordResponse records contact with the backend server. A bootID other than
// the known one means that the backend server restarted. bootID is empty if the
// response had none.
func (s *Server) recordResponse(bootID string) {
	now := s.cfg.RequestClock.Now()
	s.mu.Lock()
	s.lastContact = now
	found, restarted := s.lost, false
	s.lost = false
	if bootID != "" && s.announced != nil && bootID != s.announced.GetBootId() {
		b := proto.CloneOf(s.announced)
		b.BootId, b.Leaving = bootID, false
		s.announced, restarted, s.leaving, s.leavingStored = b, true, false, false
	}
	s.mu.Unlock()
	if !found && !restarted {
		return
	}
	s.applyConfig(restarted)
	if restarted {
		s.log.Warn().Str("bootId", bootID).Msg("backend server restarted")
		s.admission.backendStarted(bootID)
	}
	s.cfg.OnChange()
}

// Run monitors the backend server until the context ends. It also sends
// cancellations and keeps connections open.
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
	reportsEnded := make(chan struct{})
	go func() {
		defer close(reportsEnded)
		s.readColdReports(ctx)
	}()
	defer func() { <-reportsEnded }()
	for {
		select {
		case <-ctx.Done():
			return
		case <-probe.C:
			if s.cfg.Dialect != nil {
				s.checkHeartbeats()
			} else if s.needsProbe() {
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

// needsProbe reports whether health must be requested. That is the case after
// probeAfterIntervals without contact, or half of LostAfter if that is shorter.
// Each extension of the lease brings a response, so health requests would only
// waste processor time of an idle node.
func (s *Server) needsProbe() bool {
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.lastContact) >= min(probeAfterIntervals*s.cfg.HealthInterval, s.cfg.LostAfter/2)
}

func (s *Server) keepWarm(ctx context.Context) {
	s.mu.Lock()
	b, u, lost := s.announced, s.upstream, s.lost
	s.mu.Unlock()
	if b != nil && !lost {
		s.pool.warm(ctx, slotLimit(b, u)+spareConnections)
	}
}

// Stats has the figures of admission control and the connection pool for
// operators.
type Stats struct {
	Limit    int `json:"limit"`
	InFlight int `json:"inFlight"`
	Queued   int `json:"queued"`
	// QueuedLate is the part of Queued that is expected to be answered after its
	// target, and LetInFirst the number of calls so far that went first because their
	// kind or organisation was let in too seldom.
	QueuedLate      int    `json:"queuedLate"`
	LetInFirst      uint64 `json:"letInFirst"`
	ConnectionsOpen int    `json:"connectionsOpen"`
	ConnectionsUsed int    `json:"connectionsUsed"`
	Cold            bool   `json:"cold"`
	Lost            bool   `json:"lost"`
	// Hedged is the number of calls that were sent a second time, and HedgedAhead that
	// of those whose second run ended first.
	Hedged      uint64 `json:"hedged"`
	HedgedAhead uint64 `json:"hedgedAhead"`
	// Reported is the load that the backend server reports itself.
	Reported Load `json:"reported"`
}

// ServiceTime returns the mean time that the backend server takes for a
// request, 0 if unknown.
func (s *Server) ServiceTime() time.Duration { return s.admission.serviceTime() }

// Stats returns the current figures.
func (s *Server) Stats() Stats {
	var t Stats
	t.ConnectionsOpen, t.ConnectionsUsed = s.pool.counts()
	t.Limit, t.InFlight, t.Queued, t.Cold = s.admission.counts()
	t.QueuedLate, t.LetInFirst = s.admission.overload()
	t.Hedged, t.HedgedAhead = s.hedges.counts()
	s.mu.Lock()
	defer s.mu.Unlock()
	t.Lost, t.Reported = s.lost, s.load
	return t
}
