package backend

import (
	"context"
	"sync"
)

// gate holds everything while a server is frozen.
type gate struct {
	mu     sync.Mutex
	closed chan struct{}
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
		g.mu.Lock()
		closed := g.closed
		g.mu.Unlock()
		if closed == nil {
			return
		}
		select {
		case <-closed:
		case <-ctx.Done():
			return
		}
	}
}
