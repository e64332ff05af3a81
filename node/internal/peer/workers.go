package peer

import (
	"sync"
	"sync/atomic"
)

// idleWorkers is how many goroutines of a node wait for the next call. Their
// stacks have grown already, which new ones do with each call. They are shared
// by all connections: with 609 of them, even two for each would hold 10 MB.
const maxIdleWorkers = 64

// workers run calls. Use newWorkers.
type workers struct {
	work    chan *serverCall
	idle    atomic.Int64
	closed  chan struct{}
	once    sync.Once
	running sync.WaitGroup
}

func newWorkers() *workers {
	return &workers{work: make(chan *serverCall), closed: make(chan struct{})}
}

// do runs a call in a goroutine that waits for one, or in a new one.
func (w *workers) do(s *serverCall) {
	select {
	case w.work <- s:
	default:
		w.running.Go(func() { w.loop(s) })
	}
}

// loop runs a call and then others, until enough goroutines wait.
func (w *workers) loop(s *serverCall) {
	for s != nil {
		s.run()
		s = w.next()
	}
}

// next waits for a call. It returns nil where the goroutine is to end.
func (w *workers) next() *serverCall {
	defer w.idle.Add(-1)
	if w.idle.Add(1) > maxIdleWorkers {
		return nil
	}
	select {
	case s := <-w.work:
		return s
	case <-w.closed:
		return nil
	}
}

// close ends the goroutines that wait. Calls under way end as they are.
func (w *workers) close() { w.once.Do(func() { close(w.closed) }) }
