// Package owner runs calls at the node that is responsible for them: it checks
// ownership, epoch and lease, keeps non-idempotent requests from running twice,
// and releases partitions for planned moves.
package owner

import (
	"context"
	"io"
	"net/http"
	"sync"
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

// Config has the parts of a Server. All are required but Requests, whose zero
// value means the defaults.
type Config struct {
	Clock    clock.Clock
	Log      zerolog.Logger
	View     *view.View
	Backend  *backend.Server
	Requests outcome.RequestTableConfig
	// GrantsByHeartbeat is true where the backend server is told what it holds by the
	// answers to its beats.
	GrantsByHeartbeat bool
	// HeartbeatInterval is the usual time between two beats.
	HeartbeatInterval time.Duration
	// WithoutLease lets calls without a key run while the node has no lease.
	WithoutLease bool
}

// Server runs calls that are this node's to run. It is safe for concurrent use.
type Server struct {
	cfg        Config
	requests   *requests
	background sync.WaitGroup

	mu         sync.Mutex
	term       *term
	partitions map[PartitionID]*partition
	// released partitions are reported until the table shows a higher epoch.
	released map[PartitionID]*wirev1.ReleasedPartition
	// moved has the partitions whose request ids arrived before the table.
	moved map[movedKey]bool
	// unkeyed counts calls without a key since the last load report.
	unkeyed uint64
	// holdUntil is the end of what the backend server was told to hold, by its
	// own clock at the latest.
	holdUntil time.Time
	// lastBeat is the time of the latest beat, beats its number. News is closed when what the backend
	// server is to hold may have changed.
	lastBeat time.Time
	beats    uint64
	// waiting is the number of beats whose answer waits.
	waiting int
	news    chan struct{}
	// homes are those of the backend server's upstream if it is not keyed.
	homes choice.RendezvousHistory
}

// New returns a server that owns nothing. It panics if a part is missing.
func New(cfg Config) *Server {
	if cfg.Clock == nil || cfg.View == nil || cfg.Backend == nil {
		panic("owner: clock, view and backend are required")
	}
	return &Server{
		cfg: cfg, requests: newRequests(cfg.Requests), partitions: map[PartitionID]*partition{},
		released: map[PartitionID]*wirev1.ReleasedPartition{}, moved: map[movedKey]bool{}, term: newTerm(), news: make(chan struct{}),
	}
}

// Wait returns when the work in the background has ended. The contexts passed
// to the other methods must have ended.
func (s *Server) Wait() { s.background.Wait() }

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

// Configure sets how long request ids are kept. A barred id is kept for at
// least twice the longest route timeout, so that a copy of the request that is
// still on its way cannot arrive after the bar is gone.
func (s *Server) Configure(l routing.Limits) {
	cfg := s.cfg.Requests
	cfg.Window = l.ResendWindow
	cfg.BarWindow = max(l.ResendWindow, 2*l.LongestTimeout)
	s.requests.configure(cfg)
}

// RequestIDs returns the number of ids in the request table and the bytes of
// the responses stored there.
func (s *Server) RequestIDs() (entries int, bytes int64) { return s.requests.size() }

// Do runs a call at the backend server of this node. Answers up to
// relay.MaxBufferedBytes are complete in memory when Do returns.
func (s *Server) Do(ctx context.Context, c *relay.Call) (*relay.Response, *outcome.Refusal) {
	r := &run{s: s, call: c}
	if refusal := r.admit(ctx); refusal != nil {
		return nil, refusal
	}
	answer, refusal := r.do(ctx)
	if refusal != nil {
		r.end()
		return nil, refusal
	}
	if _, kept := answer.BufferedBody(); kept || answer.Body == http.NoBody {
		r.end()
		return answer, nil
	}
	answer.Body = &heldBody{ReadCloser: answer.Body, run: r, answer: answer}
	return answer, nil
}

// Settle says what became of a sending, and bars it if it has not begun.
func (s *Server) Settle(sending string) outcome.SettleAnswer {
	return s.requests.settle(s.cfg.Clock.Now(), sending)
}

// run is one call at its owner.
type run struct {
	s    *Server
	call *relay.Call
	// held is nil for calls without a key.
	held  *partition
	halt  <-chan struct{}
	begun bool
	ended sync.Once
}

// admit checks that the call is this node's to run.
func (r *run) admit(ctx context.Context) *outcome.Refusal {
	s, c := r.s, r.call
	if !c.Keyed {
		return s.admitUnkeyed(c)
	}
	p, refusal := s.hold(c)
	if refusal != nil {
		return refusal
	}
	r.held, r.halt = p, p.halt
	granted := s.grantOf(p)
	select {
	case <-granted:
		return nil
	default:
	}
	wait, next := s.grantWait(c)
	if wait <= 0 {
		s.drop(p)
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
	s.drop(p)
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
	s.unkeyed++
	s.mu.Unlock()
	return nil
}

func (r *run) do(ctx context.Context) (*relay.Response, *outcome.Refusal) {
	if !r.call.Idempotent && r.call.IDFromCaller {
		// An earlier sending may have run: the table must be asked before a
		// refusal can say notRun.
		if answer, refusal := r.begin(ctx); answer != nil || refusal != nil {
			return answer, refusal
		}
	}
	answer, refusal := r.s.cfg.Backend.Do(ctx, r.call, backend.Gate{
		Halt: r.halt, HaltReason: outcome.ReasonMoving,
		BeforeSend: func() (backend.Permit, *outcome.Refusal) { return r.before(ctx) },
	})
	if refusal != nil && refusal.Reason == outcome.ReasonNotHeld && r.held != nil {
		r.s.awaitGrant(r.held)
	}
	if !r.begun {
		return answer, refusal
	}
	now := r.s.cfg.Clock.Now()
	switch {
	case refusal != nil:
		r.s.requests.fail(now, r.call.ID, refusal.Outcome != outcome.OutcomeNotRun)
	case answer.Body == http.NoBody || isKept(answer):
		r.s.requests.finish(now, r.call.ID, answer)
	}
	return answer, refusal
}

func isKept(a *relay.Response) bool {
	_, ok := a.BufferedBody()
	return ok
}

// before is the last check, right before the first byte is written.
func (r *run) before(ctx context.Context) (backend.Permit, *outcome.Refusal) {
	var t backend.Permit
	if r.held != nil {
		var refusal *outcome.Refusal
		if t, refusal = r.s.confirm(r.held); refusal != nil {
			return t, refusal
		}
	}
	if r.call.Idempotent || r.begun {
		return t, nil
	}
	// The id is new by construction, so no other sending of it can run and
	// begin neither waits nor replays.
	if answer, refusal := r.begin(ctx); refusal != nil {
		return t, refusal
	} else if answer != nil {
		return t, relay.Unknown(outcome.ReasonResendUndecided)
	}
	return t, nil
}

// begin enters the call in the request table. Both results are nil if the call
// must run now.
func (r *run) begin(ctx context.Context) (*relay.Response, *outcome.Refusal) {
	b := r.s.requests.begin(ctx, r.s.cfg.Clock.Now(), r.call, r.s.unsure(r.call))
	switch b.Verdict {
	case outcome.BeginRun:
		r.begun = true
		return nil, nil
	case outcome.BeginReplay:
		return replay(b.Response, r.call.Method), nil
	default:
		return nil, b.Refusal
	}
}

// end gives up the hold on the partition, once.
func (r *run) end() {
	r.ended.Do(func() {
		if r.held != nil {
			r.s.drop(r.held)
		}
	})
}

// heldBody keeps the partition held until the answer has been streamed.
type heldBody struct {
	io.ReadCloser
	run    *run
	answer *relay.Response
}

// Close ends the call. Its response was too large to be stored.
func (b *heldBody) Close() error {
	err := b.ReadCloser.Close()
	if b.run.begun {
		b.run.s.requests.finish(b.run.s.cfg.Clock.Now(), b.run.call.ID, b.answer)
	}
	b.run.end()
	return err
}
