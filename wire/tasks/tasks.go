// Package tasks runs goroutines that take a context and report their end on a
// channel that their owner reads.
package tasks

import "context"

// Result is the end of one task.
type Result struct {
	// Name is the name given to Go.
	Name string
	// Err is what the task returned.
	Err error
}

// Group is a set of tasks with one owner. Use New. Only the owner's goroutine
// may call its methods.
type Group struct {
	ends    chan Result
	running int
}

// New returns an empty group. Capacity bounds the tasks whose ends were not
// taken, so that none of them ever blocks.
func New(capacity int) *Group {
	return &Group{ends: make(chan Result, capacity)}
}

// Go starts a task. It panics if the group is full.
func (g *Group) Go(ctx context.Context, name string, run func(context.Context) error) {
	if g.running == cap(g.ends) {
		panic("tasks: the group is full")
	}
	g.running++
	go func() { g.ends <- Result{name, run(ctx)} }()
}

// Results returns the channel that has one Result for each task. An owner that takes
// one passes it to Ack.
func (g *Group) Results() <-chan Result { return g.ends }

// Ack notes that the owner took a Result, and returns its error.
func (g *Group) Ack(e Result) error {
	g.running--
	return e.Err
}

// Wait returns when all tasks whose ends were not taken have ended, with the
// first error among them.
func (g *Group) Wait() error {
	var first error
	for ; g.running > 0; g.running-- {
		if e := <-g.ends; e.Err != nil && first == nil {
			first = e.Err
		}
	}
	return first
}

// WithoutError makes a task of a function that cannot fail.
func WithoutError(run func(context.Context)) func(context.Context) error {
	return func(ctx context.Context) error {
		run(ctx)
		return nil
	}
}
