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
	// closed is set by Close and prevents restarts.
	closed bool
	// leaving stops announcements while Leave waits for the node.
	leaving  bool
	draining bool
	slowdown float64
	faults   Faults
	// grants has the grants of the node. A restart discards them.
	grants lease.GrantReceiver
	// samples has the state samples of the last seconds, oldest first.
	samples []stateSample
	// previous is the latest response, which Faults.Crossed sends again.
	previous *response
	// restarts counts the goroutines that restart the server.
	restarts sync.WaitGroup
}

// boot is the state of the server between one start and the next crash.
type boot struct {
	// started is the zero of the server clock that announcements report.
	started time.Time
	id      string
	server  *http.Server
	ctx     context.Context
	cancel  context.CancelFunc
	// ended counts the goroutines of the boot.
	ended sync.WaitGroup
	// running has the running requests by request id.
	running map[string]*job
	// cancelled has the time of each cancellation within cancellationTTL whose
	// request id was not running.
	cancelled map[string]time.Time
	inFlight  int
	// capacity is the cold capacity, 0 once the server is warm.
	capacity int
	// finished counts the requests that finished while the server was cold.
	finished int
	// overload counts the requests above the cold capacity since overloadFrom.
	overload     int
	overloadFrom time.Time
}

// New returns a server that has not been started.
func New(config Config) *Server {
	return &Server{
		config: config.withDefaults(), slowdown: 1,
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
		}},
	}
}

// Start listens, announces the server and serves until Kill or Close. It
// returns an error if the server is running or closed.
func (s *Server) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return errors.New("start: server is closed")
	}
	if s.boot != nil {
		return errors.New("start: server is already running")
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
	s.leaving, s.draining, s.previous, s.samples = false, false, nil, nil
	// The clock starts above 0, because 0 means that the server has no clock.
	b.started = time.Now().Add(-time.Millisecond)
	s.grants = lease.GrantReceiver{ClockStart: b.started}
	s.config.Records.add(s.entry(EntryBoot, b))
	limited := newListener(l, s.config.Connections, s.config.ConnectionCost, func() {
		s.config.Records.add(s.entry(EntryConnection, b))
	})
	b.ended.Go(func() {
		// Serve returns when the server is closed. Accept does not fail for other
		// reasons on loopback.
		_ = b.server.Serve(limited)
	})
	b.ended.Go(func() { s.background(b) })
	return nil
}

// Address returns the address that the server listens on, or an empty string
// before the first Start.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// BootID returns the boot id, or an empty string while the server is not
// running.
func (s *Server) BootID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.boot == nil {
		return ""
	}
	return s.boot.id
}

// Kill stops the server at once. Its connections are lost and its work stops.
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
	// An error can only come from closing the listener, which is not used again.
	_ = b.server.Close()
	b.ended.Wait()
}

// Close stops the server permanently and waits for its goroutines.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.gate.resume()
	s.Kill()
	s.restarts.Wait()
	s.client.CloseIdleConnections()
}

// Freeze suspends the server as if its process were stopped. The kernel still
// keeps and accepts connections, but nothing is answered.
func (s *Server) Freeze() { s.gate.freeze() }

// Resume continues a frozen server. Its work is not lost.
func (s *Server) Resume() { s.gate.resume() }

// SetSlowdown sets the factor of all further service times. A factor of 10
// makes the server a straggler.
func (s *Server) SetSlowdown(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowdown = factor
}

// SetFaults sets the faults of all further requests.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// ResetColdStart makes the server cold again without a restart. The node is not
// notified.
func (s *Server) ResetColdStart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.boot != nil {
		s.boot.capacity, s.boot.finished = s.config.Cold.Capacity, 0
	}
}

// Stats is the current state of a Server.
type Stats struct {
	InFlight int
	// Capacity is the number of requests that the server can run at once: its
	// slots, or fewer while it is cold.
	Capacity int
	Cold     bool
	Draining bool
	// Granted is the number of partitions in the grants.
	Granted int
	// Held is the number of requests and background tasks that wait because the
	// server is frozen.
	Held int
}

// Stats returns the current state. InFlight, Capacity and Cold are zero while
// the server is not running.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := Stats{Draining: s.draining, Granted: s.grants.PartitionCount(), Held: s.gate.waiting()}
	if s.boot != nil {
		t.InFlight, t.Capacity, t.Cold = s.boot.inFlight, s.capacity(s.boot), s.boot.capacity > 0
	}
	return t
}

// capacity returns the number of requests that the server can run at once. The
// caller must hold s.mu.
func (s *Server) capacity(b *boot) int {
	if b.capacity > 0 {
		return min(b.capacity, s.config.Slots)
	}
	return s.config.Slots
}

// entry returns an entry with the current time and the fields of the server.
func (s *Server) entry(kind EntryKind, b *boot) Entry {
	return Entry{
		At: time.Now(), Kind: kind, Server: s.config.Name, BootID: b.id, Zone: s.config.Zone, Upstream: s.config.Upstream,
	}
}

// failOver stops an overloaded cold server and starts it again after the
// restart time.
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
		// The port may still be in use by a connection that is closing.
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
