package peer

import (
	"sync"
	"sync/atomic"
)

// maxIdleWorkers is the number of idle goroutines that are kept for the next
// call. The stack of a kept goroutine has already grown. The stack of a new
// goroutine grows during its call. All connections share the idle goroutines:
// two goroutines for each of 609 connections would hold 10 MB.
const maxIdleWorkers = 64

// workers is a pool of goroutines that run calls. It is safe for concurrent
// use. Use newWorkers.
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

// do runs a call in an idle goroutine, or in a new one if none is idle.
func (w *workers) do(s *serverCall) {
	select {
	case w.work <- s:
	default:
		w.running.Go(func() { w.loop(s) })
	}
}

// loop runs a call and then further calls, until enough other goroutines are
// idle.
func (w *workers) loop(s *serverCall) {
	for s != nil {
		s.run()
		s = w.next()
	}
}

// next waits for a call. It returns nil if the goroutine must end.
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

// close ends the idle goroutines. Calls in flight complete.
func (w *workers) close() { w.once.Do(func() { close(w.closed) }) }
