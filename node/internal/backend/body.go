package backend

import (
	"context"
	"sync"
	"time"

	"github.com/jujubeknot/jujubeknot/core/admission"
	"github.com/jujubeknot/jujubeknot/core/clock"
	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
)

const (
	// defaultLinkRate is the rate assumed for a link of unknown rate, in
	// bytes/s. At this rate, up to 32 MB of bodies are received at once, a
	// sixth of a node's memory.
	defaultLinkRate = 320e6
	// memoryRetryAfter is the time after which callers that stand still have been
	// dropped.
	memoryRetryAfter = 250 * time.Millisecond
	// unknownBodyBytes is the size assumed for a body of unknown length. Such a
	// body is longer than the relay.MaxBufferedBytes already kept of it.
	unknownBodyBytes = 2 * relay.MaxBufferedBytes
)

// bodyReceiver receives the bodies of calls before the calls request a slot. An
// admission.BodyLimiter decides when each body may be received. A call whose
// body is lost in transit has thus not run, and no slot waits for a body. It is
// safe for concurrent use.
type bodyReceiver struct {
	clock  clock.Clock
	memory Memory

	mu      sync.Mutex
	limiter *admission.BodyLimiter
	lastID  uint64
	waiting map[uint64]chan struct{}
}

// Memory bounds the memory for bodies. Implementations must be safe for concurrent use.
type Memory interface {
	// Reserve reports whether there is room for n bytes, which Unreserve takes back.
	Reserve(n int64) bool
	Unreserve(n int64)
}

// newBodyReceiver returns a bodyReceiver for a link of the given rate, 0 if
// unknown. If memory is nil, it is not bounded.
func newBodyReceiver(c clock.Clock, bytesPerSecond float64, memory Memory) *bodyReceiver {
	if bytesPerSecond <= 0 {
		bytesPerSecond = defaultLinkRate
	}
	return &bodyReceiver{clock: c, memory: memory, limiter: admission.NewBodyLimiter(bytesPerSecond), waiting: map[uint64]chan struct{}{}}
}

// receive reads up to relay.MaxWholeBodyBytes of the body of a call into memory.
// service returns the time for which calls of a kind are expected to run.
func (r *bodyReceiver) receive(ctx context.Context, c *relay.Call, service func(kind uint32) time.Duration) *outcome.Refusal {
	if !c.Body.Streamed() {
		return nil
	}
	size := c.Body.Size()
	if size < 0 {
		size = unknownBodyBytes
	}
	remaining := c.Deadline.Sub(r.clock.Now())
	if remaining <= 0 {
		return relay.NotRun(outcome.ReasonDeadline)
	}
	limit, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	body := admission.Body{Bytes: size, Deadline: c.Deadline}
	if !c.TargetTime.IsZero() && !c.Nested {
		body.Target = c.TargetTime.Add(-service(c.Kind))
	}
	id, refusal := r.acquire(limit, body)
	if refusal != nil {
		return refusal
	}
	received := false
	defer func() { r.release(id, received) }()
	if r.memory != nil {
		reserved := min(size, relay.MaxWholeBodyBytes)
		if !r.memory.Reserve(reserved) {
			refusal := relay.NotRun(outcome.ReasonMemoryBusy)
			refusal.RetryAfter = memoryRetryAfter
			return refusal
		}
		// The body is kept until the call ends.
		context.AfterFunc(ctx, func() { r.memory.Unreserve(reserved) })
	}
	abort, aborted := c.Body.Abort, make(chan struct{})
	stop := context.AfterFunc(limit, func() {
		defer close(aborted)
		abort()
	})
	defer func() {
		if !stop() {
			// The abort accesses the body, which must not happen once the
			// request has ended.
			<-aborted
		}
	}()
	if err := c.Body.Buffer(relay.MaxWholeBodyBytes); err != nil {
		if ctx.Err() == nil && limit.Err() != nil {
			return relay.NotRun(outcome.ReasonDeadline)
		}
		return relay.NotRun(outcome.ReasonCancelled)
	}
	received = true
	return nil
}

// acquire waits until a body may be received. The id of an admitted body must
// be passed to release.
func (r *bodyReceiver) acquire(ctx context.Context, b admission.Body) (uint64, *outcome.Refusal) {
	r.mu.Lock()
	r.lastID++
	id := r.lastID
	b.ID = id
	decision := r.limiter.Acquire(r.clock.Now(), b)
	var admitted chan struct{}
	if decision.Verdict == admission.VerdictQueue {
		admitted = make(chan struct{})
		r.waiting[id] = admitted
	}
	r.mu.Unlock()
	if decision.Verdict != admission.VerdictQueue {
		return id, refusalOf(decision)
	}
	select {
	case <-admitted:
		return id, nil
	case <-ctx.Done():
	}
	r.release(id, false)
	return id, relay.NotRun(outcome.ReasonCancelled)
}

func (r *bodyReceiver) release(id uint64, received bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.waiting, id)
	for _, next := range r.limiter.Release(r.clock.Now(), id, received) {
		close(r.waiting[next])
		delete(r.waiting, next)
	}
}
