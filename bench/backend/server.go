package backend

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/core/lease"
)

// Server is one stand-in backend server. It is safe for concurrent use.
type Server struct {
	config  Config
	gate    gate
	client  *http.Client
	address string

	mu   sync.Mutex
	boot *boot
	// boots counts the starts of the server.
	boots int
	// closed is set by Close and stops restarts.
	closed   bool
	leaving  bool
	draining bool
	slowdown float64
	faults   Faults
	// grants are those of the node. They survive no restart.
	grants lease.GrantReceiver
	// history has the reports of the last seconds, oldest first.
	history []report
	// previous is the last response, for crossed ones.
	previous *response
	restarts sync.WaitGroup
}

// boot is one life of the server between start and crash.
type boot struct {
	// started is when the clock that announcements tell began.
	started time.Time
	id      string
	server  *http.Server
	ctx     context.Context
	cancel  context.CancelFunc
	// ended is closed when the background work has ended.
	ended   sync.WaitGroup
	running map[string]*job
	// cancelled has the cancellations of the last cancelMemory that named no
	// running request.
	cancelled map[string]time.Time
	inFlight  int
	// capacity is the cold capacity, 0 once the server is warm.
	capacity int
	finished int
	// overload counts requests above the cold capacity, since overloadFrom.
	overload     int
	overloadFrom time.Time
}

// New returns a server that is not started.
func New(config Config) *Server {
	return &Server{
		config: config.withDefaults(), slowdown: 1,
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
		}},
	}
}

// Start listens, begins to announce and serves until Kill or Close. It is an
// error to start a server that runs.
func (s *Server) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return errors.New("server is closed")
	}
	if s.boot != nil {
		return errors.New("server runs already")
	}
	listen := s.config.Listen
	if s.address != "" {
		listen = s.address
	}
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return fmt.Errorf("listen for %s: %w", s.config.Name, err)
	}
	s.address = l.Addr().String()
	s.boots++
	b := &boot{
		id:      fmt.Sprintf("%s-%d-%d", s.config.Name, s.config.Seed, s.boots),
		running: make(map[string]*job), cancelled: make(map[string]time.Time), capacity: s.config.Cold.Capacity,
	}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	b.server = &http.Server{Handler: s.handler(b), ReadHeaderTimeout: time.Minute}
	s.boot = b
	s.leaving, s.draining, s.previous, s.history = false, false, nil, nil
	// The clock starts above 0, which would mean none.
	b.started = time.Now().Add(-time.Millisecond)
	s.grants = lease.GrantReceiver{ClockStart: b.started}
	s.config.Records.add(s.entry(EntryBoot, b))
	limited := newListener(l, s.config.Connections, s.config.ConnectionCost, func() {
		s.config.Records.add(s.entry(EntryConnection, b))
	})
	b.ended.Go(func() {
		// Serve returns when the server is closed; accepting cannot fail
		// otherwise on loopback.
		_ = b.server.Serve(limited)
	})
	b.ended.Go(func() { s.background(b) })
	return nil
}

// Address returns the address that the server listens on, empty before the
// first Start.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// BootID returns the boot id, empty while the server does not run.
func (s *Server) BootID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.boot == nil {
		return ""
	}
	return s.boot.id
}

// Kill ends the server at once: connections are lost, work stops.
func (s *Server) Kill() {
	s.mu.Lock()
	b := s.boot
	s.boot = nil
	s.mu.Unlock()
	if b == nil {
		return
	}
	s.config.Records.add(s.entry(EntryCrash, b))
	b.cancel()
	// Close reports errors of the listener, which is of no use any more.
	_ = b.server.Close()
	b.ended.Wait()
}

// Close ends the server for good and waits for its goroutines.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.gate.resume()
	s.Kill()
	s.restarts.Wait()
	s.client.CloseIdleConnections()
}

// Freeze stops everything in the server except the kernel's part: connections
// stay open and are accepted, nothing is answered.
func (s *Server) Freeze() { s.gate.freeze() }

// Resume lets a frozen server go on as if nothing had happened.
func (s *Server) Resume() { s.gate.resume() }

// SetSlowdown multiplies service times from now on: 10 makes a straggler.
func (s *Server) SetSlowdown(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowdown = factor
}

// SetFaults changes the misbehaviours from now on.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// ResetColdStart makes the server cold again without a restart or any announcement.
func (s *Server) ResetColdStart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.boot != nil {
		s.boot.capacity, s.boot.finished = s.config.Cold.Capacity, 0
	}
}

// Stats describes the server now.
type Stats struct {
	InFlight int
	// Capacity is what the server sustains: slots, or less while it is cold.
	Capacity int
	Cold     bool
	Draining bool
	Granted  int
	// Held is the number of requests and announcements that a frozen server
	// holds.
	Held int
}

// Stats returns figures of the running server.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := Stats{Draining: s.draining, Granted: s.grants.PartitionCount(), Held: s.gate.waiting()}
	if s.boot != nil {
		t.InFlight, t.Capacity, t.Cold = s.boot.inFlight, s.capacity(s.boot), s.boot.capacity > 0
	}
	return t
}

// capacity returns what the server sustains. The lock is held.
func (s *Server) capacity(b *boot) int {
	if b.capacity > 0 {
		return min(b.capacity, s.config.Slots)
	}
	return s.config.Slots
}

func (s *Server) entry(kind EntryKind, b *boot) Entry {
	return Entry{
		At: time.Now(), Kind: kind, Server: s.config.Name, BootID: b.id, Zone: s.config.Zone, Upstream: s.config.Upstream,
	}
}

// failOver ends an overloaded cold server and starts it again later.
func (s *Server) failOver(b *boot) {
	s.restarts.Go(func() {
		s.mu.Lock()
		current := s.boot == b
		s.mu.Unlock()
		if !current {
			return
		}
		s.Kill()
		time.Sleep(s.config.Cold.Restart)
		// The port can be taken for a moment by a connection in its last state.
		for range 50 {
			if err := s.Start(); err == nil || s.isClosed() {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}
