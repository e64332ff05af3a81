package backend

import (
	"context"
	"sync"
)

// gate holds everything while a server is frozen.
type gate struct {
	mu     sync.Mutex
	closed chan struct{}
	// held counts those that wait.
	held int
}

func (g *gate) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed == nil {
		g.closed = make(chan struct{})
	}
}

func (g *gate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed != nil {
		close(g.closed)
		g.closed = nil
	}
}

// wait returns once the gate is open. A frozen server sees no cancellation, so
// only the end of the server itself, ctx, ends the wait early.
func (g *gate) wait(ctx context.Context) {
	for {
		closed := g.enter()
		if closed == nil {
			return
		}
		select {
		case <-closed:
		case <-ctx.Done():
		}
		g.leave()
		if ctx.Err() != nil {
			return
		}
	}
}

// enter returns the channel to wait for, nil if the gate is open.
func (g *gate) enter() chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed != nil {
		g.held++
	}
	return g.closed
}

func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held--
}

func (g *gate) waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.held
}
