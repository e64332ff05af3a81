package backend

import (
	"context"
	"sync"
)

// gate blocks all goroutines of a server while the server is frozen. It is safe
// for concurrent use; the zero value is open.
type gate struct {
	mu sync.Mutex
	// opened is closed when the gate opens. It is nil while the gate is open.
	opened chan struct{}
	// held is the number of goroutines that wait.
	held int
}

func (g *gate) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened == nil {
		g.opened = make(chan struct{})
	}
}

func (g *gate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened != nil {
		close(g.opened)
		g.opened = nil
	}
}

// wait returns once the gate is open, or when ctx ends. ctx must be that of the
// server, not of a request: a frozen server does not notice cancellations.
func (g *gate) wait(ctx context.Context) {
	for {
		opened := g.enter()
		if opened == nil {
			return
		}
		select {
		case <-opened:
		case <-ctx.Done():
		}
		g.leave()
		if ctx.Err() != nil {
			return
		}
	}
}

// enter returns the channel to wait for, or nil if the gate is open. Each
// channel that it returns requires a call of leave.
func (g *gate) enter() chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened != nil {
		g.held++
	}
	return g.opened
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
