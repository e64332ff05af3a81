// Package tasks runs functions in goroutines and delivers their results on a
// channel.
package tasks

import "context"

// Result is the result of one task.
type Result struct {
	// Name is the name that was passed to Go.
	Name string
	// Err is the error that the task returned.
	Err error
}

// Group is a set of tasks. Use New to create one. It is not safe for concurrent
// use: only one goroutine, the owner, may call its methods. running is the number
// of tasks whose results are not acknowledged.
type Group struct {
	results chan Result
	running int
}

// New returns an empty group. capacity limits the tasks whose results are not
// acknowledged, so that sending a result never blocks.
func New(capacity int) *Group {
	return &Group{results: make(chan Result, capacity)}
}

// Go starts a task. It panics if the group is at its capacity.
func (g *Group) Go(ctx context.Context, name string, run func(context.Context) error) {
	if g.running == cap(g.results) {
		panic("tasks: more tasks than the capacity of the group")
	}
	g.running++
	go func() { g.results <- Result{name, run(ctx)} }()
}

// Results returns the channel that delivers one Result for each task. The owner
// must pass each result that it receives to Ack.
func (g *Group) Results() <-chan Result { return g.results }

// Ack acknowledges a result that the owner received from Results, and returns its
// error.
func (g *Group) Ack(r Result) error {
	g.running--
	return r.Err
}

// Wait waits until all tasks have returned. It returns the first error among the
// results that were not acknowledged.
func (g *Group) Wait() error {
	var first error
	for ; g.running > 0; g.running-- {
		if r := <-g.results; r.Err != nil && first == nil {
			first = r.Err
		}
	}
	return first
}

// WithoutError converts a function without an error result to a task for Go.
func WithoutError(run func(context.Context)) func(context.Context) error {
	return func(ctx context.Context) error {
		run(ctx)
		return nil
	}
}
