// Package owner runs calls at the node that owns their partition. It checks
// ownership, epoch and lease, prevents non-idempotent requests from running
// twice, and releases partitions for planned moves.
package owner

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/jujubeknot/jujubeknot/core/choice"
	"github.com/jujubeknot/jujubeknot/core/clock"
	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/core/routing"
	"github.com/jujubeknot/jujubeknot/node/internal/backend"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
	"github.com/jujubeknot/jujubeknot/node/internal/view"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// Config configures a Server. Clock, View and Backend are required. The zero
// value of Requests means the defaults.
type Config struct {
	Clock    clock.Clock
	Log      zerolog.Logger
	View     *view.View
	Backend  *backend.Server
	Requests outcome.RequestTableConfig
	// GrantsByHeartbeat is true where responses to the heartbeats of the backend
	// server grant and revoke its keys.
	GrantsByHeartbeat bool
	// HeartbeatInterval is the usual time between two heartbeats.
	HeartbeatInterval time.Duration
	// WithoutLease lets calls without a key run while the node has no lease.
	WithoutLease bool
}

// Server runs the calls that this node owns. It is safe for concurrent use.
type Server struct {
	cfg        Config
	requests   *requests
	background sync.WaitGroup
	// stopEnd is the end of the stop of this node, zero while it is not stopping.
	stopEnd atomic.Pointer[time.Time]

	mu         sync.Mutex
	lease      *leaseContext
	partitions map[PartitionID]*partition
	// activeCalls counts the calls in flight for all partitions, those of earlier
	// leases included. pendingCalls counts those of them that have no response yet.
	activeCalls, pendingCalls callCount
	// released are the released partitions. Each is reported until the table shows
	// a higher epoch for it.
	released map[PartitionID]*wirev1.ReleasedPartition
	// imported has the partitions whose request ids arrived before the table.
	imported map[importKey]bool
	// unkeyedCount counts calls without a key since the last load report.
	unkeyedCount uint64
	// grantExpiry is the latest time at which the grants to the backend server
	// expire by its own clock.
	grantExpiry time.Time
	// leaseReturned is true from the return of a lease until keys are granted under
	// another one.
	leaseReturned bool
	// lastHeartbeat is the time of receipt of the latest heartbeat.
	lastHeartbeat time.Time
	// heartbeats is the number of heartbeats received.
	heartbeats uint64
	// waitingHeartbeats is the number of heartbeats whose response is pending.
	waitingHeartbeats int
	// grantsChanged is closed when the keys that the backend server is to hold may
	// have changed.
	grantsChanged chan struct{}
	// rendezvous is the history of the nodes of the backend server's upstream. It
	// is used if that upstream is not keyed.
	rendezvous choice.RendezvousHistory
}

// New returns a server that owns no partitions. It panics if the clock, the
// view or the backend is missing.
func New(cfg Config) *Server {
	if cfg.Clock == nil || cfg.View == nil || cfg.Backend == nil {
		panic("owner: clock, view and backend are required")
	}
	return &Server{
		cfg: cfg, requests: newRequests(cfg.Requests), partitions: map[PartitionID]*partition{},
		released: map[PartitionID]*wirev1.ReleasedPartition{}, imported: map[importKey]bool{}, lease: newLeaseContext(), grantsChanged: make(chan struct{}),
	}
}

// Wait returns when all background work has ended. The contexts that were
// passed to the other methods must have ended before.
func (s *Server) Wait() { s.background.Wait() }

// StopAt makes the server refuse calls whose deadline is after end, the time at
// which a stop of this node aborts the calls that are still running.
func (s *Server) StopAt(end time.Time) { s.stopEnd.Store(&end) }

// Partitions returns the number of partitions that the node owns and has not
// released.
func (s *Server) Partitions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, p := range s.partitions {
		if p.state != stateReleased {
			n++
		}
	}
	return n
}

// Configure sets how long request ids are kept. A barred sending is kept for at
// least twice the longest route timeout, so that a copy of the request that is
// still in transit cannot arrive after the bar was removed.
func (s *Server) Configure(l routing.Limits) {
	cfg := s.cfg.Requests
	cfg.Window = l.ResendWindow
	cfg.BarWindow = max(l.ResendWindow, 2*l.LongestTimeout)
	s.requests.configure(cfg)
}

// RequestIDs returns the number of ids in the request table and the size of the
// responses stored there in bytes.
func (s *Server) RequestIDs() (entries int, bytes int64) { return s.requests.size() }

// Do runs a call at the backend server of this node. Responses of up to
// relay.MaxBufferedBytes are completely in memory when Do returns.
func (s *Server) Do(ctx context.Context, c *relay.Call) (*relay.Response, *outcome.Refusal) {
	r := &execution{s: s, call: c}
	if refusal := r.admit(ctx); refusal != nil {
		return nil, refusal
	}
	response, refusal := r.doPending(ctx)
	if refusal != nil {
		r.end()
		return nil, refusal
	}
	if _, buffered := response.BufferedBody(); buffered || response.Body == http.NoBody {
		r.end()
		return response, nil
	}
	response.Body = &streamedBody{ReadCloser: response.Body, execution: r, response: response}
	return response, nil
}

// Settle returns the outcome of a sending, and bars the sending if it has not
// begun.
func (s *Server) Settle(sending string) outcome.SettleAnswer {
	return s.requests.settle(s.cfg.Clock.Now(), sending)
}

// execution is the run of one call at its owner.
type execution struct {
	s    *Server
	call *relay.Call
	// partition is nil for calls without a key.
	partition *partition
	halt      <-chan struct{}
	// recorded is true once the call was entered in the request table.
	recorded bool
	ended    sync.Once
}

// admit checks that this node may run the call and waits until the backend
// server has been granted its keys.
func (r *execution) admit(ctx context.Context) *outcome.Refusal {
	s, c := r.s, r.call
	if end := s.stopEnd.Load(); end != nil && c.Deadline.After(*end) {
		return relay.NotRun(outcome.ReasonStopping)
	}
	if !c.Keyed {
		return s.admitUnkeyed(c)
	}
	p, refusal := s.beginCall(c)
	if refusal != nil {
		return refusal
	}
	r.partition, r.halt = p, p.halt
	granted := s.grantedChannel(p)
	select {
	case <-granted:
		return nil
	default:
	}
	wait, next := s.grantTimeout(c)
	if wait <= 0 {
		s.endCall(p)
		refusal = relay.NotRun(outcome.ReasonMoving)
		refusal.RetryAfter = next
		return refusal
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-granted:
		return nil
	case <-r.halt:
		refusal = relay.NotRun(outcome.ReasonMoving)
	case <-timer.C:
		refusal = relay.NotRun(outcome.ReasonMoving)
		refusal.RetryAfter = next
	case <-ctx.Done():
		refusal = relay.NotRun(outcome.ReasonCancelled)
	}
	s.endCall(p)
	return refusal
}

func (s *Server) admitUnkeyed(c *relay.Call) *outcome.Refusal {
	if !s.cfg.WithoutLease && !s.cfg.View.HasLease(s.cfg.Clock.Now()) {
		return relay.NotRun(outcome.ReasonNoLease)
	}
	t := s.cfg.View.Table()
	self := t.Node(s.cfg.View.Identity().Incarnation)
	if self == nil && !s.cfg.WithoutLease || s.cfg.Backend.Announced().GetUpstream() != c.Upstream {
		return relay.NotRun(outcome.ReasonNotOwner)
	}
	if self != nil && t.Leaving(self) || s.cfg.Backend.Leaving() {
		return relay.NotRun(outcome.ReasonStopping)
	}
	s.mu.Lock()
	s.unkeyedCount++
	s.mu.Unlock()
	return nil
}

// doPending runs the call. A keyed call counts as pending until it has a response.
func (r *execution) doPending(ctx context.Context) (*relay.Response, *outcome.Refusal) {
	if r.partition != nil {
		r.s.countPending((*callCount).add)
		defer r.s.countPending((*callCount).done)
	}
	return r.do(ctx)
}

func (s *Server) countPending(change func(*callCount)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.pendingCalls)
}

func (r *execution) do(ctx context.Context) (*relay.Response, *outcome.Refusal) {
	if !r.call.Idempotent && r.call.IDFromCaller {
		// An earlier sending may have run. The request table must be checked before
		// a refusal can report notRun.
		if response, refusal := r.begin(ctx); response != nil || refusal != nil {
			return response, refusal
		}
	}
	response, refusal := r.s.cfg.Backend.Do(ctx, r.call, backend.Gate{
		Halt: r.halt, HaltReason: outcome.ReasonMoving,
		BeforeSend: func() (backend.Permit, *outcome.Refusal) { return r.beforeSend(ctx) },
	})
	if refusal != nil && refusal.Reason == outcome.ReasonNotHeld && r.partition != nil {
		r.s.resetGranted(r.partition)
	}
	if !r.recorded {
		return response, refusal
	}
	now := r.s.cfg.Clock.Now()
	switch {
	case refusal != nil:
		r.s.requests.fail(now, r.call.ID, refusal.Outcome != outcome.OutcomeNotRun)
	case response.Body == http.NoBody || isBuffered(response):
		r.s.requests.finish(now, r.call.ID, response)
	}
	return response, refusal
}

func isBuffered(a *relay.Response) bool {
	_, ok := a.BufferedBody()
	return ok
}

// beforeSend is the last check, immediately before the first byte is written.
func (r *execution) beforeSend(ctx context.Context) (backend.Permit, *outcome.Refusal) {
	var t backend.Permit
	if r.partition != nil {
		var refusal *outcome.Refusal
		if t, refusal = r.s.permit(r.partition); refusal != nil {
			return t, refusal
		}
	}
	if r.call.Idempotent || r.recorded {
		return t, nil
	}
	// The id was generated for this call. No other sending of it can run, so begin
	// neither waits nor replays.
	if response, refusal := r.begin(ctx); refusal != nil {
		return t, refusal
	} else if response != nil {
		return t, relay.Unknown(outcome.ReasonResendUndecided)
	}
	return t, nil
}

// begin enters the call in the request table. Both results are nil if the call
// must run now.
func (r *execution) begin(ctx context.Context) (*relay.Response, *outcome.Refusal) {
	b := r.s.requests.begin(ctx, r.s.cfg.Clock.Now(), r.call, r.s.possiblySentElsewhere(r.call))
	switch b.Verdict {
	case outcome.BeginRun:
		r.recorded = true
		return nil, nil
	case outcome.BeginReplay:
		return replay(b.Response, r.call.Method), nil
	default:
		return nil, b.Refusal
	}
}

// end ends the call at its partition. Calling end again has no effect.
func (r *execution) end() {
	r.ended.Do(func() {
		if r.partition != nil {
			r.s.endCall(r.partition)
		}
	})
}

// streamedBody keeps the call active at its partition until the response has
// been streamed.
type streamedBody struct {
	io.ReadCloser
	execution *execution
	response  *relay.Response
}

// Close closes the body and ends the call, whose response was too large to be
// stored.
func (b *streamedBody) Close() error {
	err := b.ReadCloser.Close()
	if b.execution.recorded {
		b.execution.s.requests.finish(b.execution.s.cfg.Clock.Now(), b.execution.call.ID, b.response)
	}
	b.execution.end()
	return err
}
