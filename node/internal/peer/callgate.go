package peer

import "sync"

// callGate counts calls in flight and can be closed for new ones. It is safe for
// concurrent use. The zero value is open.
type callGate struct {
	mu       sync.Mutex
	inFlight int
	closed   bool
	// idle is closed once the gate is closed and no call is in flight. It is nil until
	// the gate is closed.
	idle chan struct{}
}

// begin counts a call. It reports false, and counts nothing, if the gate is closed.
func (g *callGate) begin() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.inFlight++
	return true
}

// end must be called once for each successful begin.
func (g *callGate) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	if g.closed && g.inFlight == 0 {
		close(g.idle)
	}
}

// close lets no further call begin and returns a channel that is closed when those in
// flight have ended.
func (g *callGate) close() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.closed, g.idle = true, make(chan struct{})
		if g.inFlight == 0 {
			close(g.idle)
		}
	}
	return g.idle
}
