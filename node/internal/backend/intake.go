package backend

import (
	"context"
	"sync"

	"github.com/jujubeknot/jujubeknot/core/admission"
	"github.com/jujubeknot/jujubeknot/core/clock"
	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
)

const (
	// receiveBytes bounds the body that is received whole before its call asks
	// for a slot. Larger ones go on to the backend server while they come.
	receiveBytes = 1 << 20
	// defaultRate is that of a link of which nothing is known, in bytes/s: 32 MB of
	// bodies are received at once, a sixth of a node's memory.
	defaultRate = 320e6
	// unknownBytes is what a body of unknown length is taken for: it is longer
	// than what was kept of it.
	unknownBytes = 2 * relay.MaxBufferedBytes
)

// intake receives the bodies of calls before they ask for a slot, as
// admission.BodyLimiter decides: what is lost on the way has not run, and no slot
// waits for a body. It is safe for concurrent use.
type intake struct {
	clock clock.Clock

	mu      sync.Mutex
	state   *admission.BodyLimiter
	last    uint64
	waiting map[uint64]chan struct{}
}

// newIntake returns an intake for a link of so many bytes/s, 0 if it is not known.
func newIntake(c clock.Clock, bytesPerSecond float64) *intake {
	if bytesPerSecond <= 0 {
		bytesPerSecond = defaultRate
	}
	return &intake{clock: c, state: admission.NewBodyLimiter(bytesPerSecond), waiting: map[uint64]chan struct{}{}}
}

// receive takes the body of a call into memory, up to receiveBytes.
func (i *intake) receive(ctx context.Context, c *relay.Call) *outcome.Refusal {
	if !c.Body.Streamed() {
		return nil
	}
	size := c.Body.Size()
	if size < 0 {
		size = unknownBytes
	}
	left := c.Deadline.Sub(i.clock.Now())
	if left <= 0 {
		return relay.NotRun(outcome.ReasonDeadline)
	}
	limit, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	id, refusal := i.enter(limit, c, size)
	if refusal != nil {
		return refusal
	}
	defer i.leave(id)
	abort, aborted := c.Body.Abort, make(chan struct{})
	stop := context.AfterFunc(limit, func() {
		defer close(aborted)
		abort()
	})
	defer func() {
		if !stop() {
			// The body must not be touched once its request has ended.
			<-aborted
		}
	}()
	if err := c.Body.Buffer(receiveBytes); err != nil {
		if ctx.Err() == nil && limit.Err() != nil {
			return relay.NotRun(outcome.ReasonDeadline)
		}
		return relay.NotRun(outcome.ReasonCancelled)
	}
	return nil
}

// enter waits until a body may be received.
func (i *intake) enter(ctx context.Context, c *relay.Call, size int64) (uint64, *outcome.Refusal) {
	i.mu.Lock()
	i.last++
	id := i.last
	answer := i.state.Acquire(i.clock.Now(), id, size, c.Deadline)
	var admitted chan struct{}
	if answer.Verdict == admission.VerdictQueue {
		admitted = make(chan struct{})
		i.waiting[id] = admitted
	}
	i.mu.Unlock()
	if answer.Verdict != admission.VerdictQueue {
		return id, refusalOf(answer)
	}
	select {
	case <-admitted:
		return id, nil
	case <-ctx.Done():
	}
	i.leave(id)
	return id, relay.NotRun(outcome.ReasonCancelled)
}

func (i *intake) leave(id uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.waiting, id)
	for _, next := range i.state.Release(id) {
		close(i.waiting[next])
		delete(i.waiting, next)
	}
}
