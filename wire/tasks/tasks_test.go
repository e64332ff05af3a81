package tasks_test

import (
	"context"
	"errors"
	"testing"

	"github.com/jujubeknot/jujubeknot/wire/tasks"
)

// TestWaitReturnsFirstError guards against an owner that ends while a task
// still runs, and against an error that nobody sees.
func TestWaitReturnsFirstError(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	g := tasks.New(2)
	failed := errors.New("failed")
	ended := false
	g.Go(ctx, "fails", func(context.Context) error { return failed })
	g.Go(ctx, "waits", func(ctx context.Context) error {
		<-ctx.Done()
		ended = true
		return nil
	})
	if e := <-g.Results(); e.Name != "fails" || !errors.Is(g.Ack(e), failed) {
		t.Errorf("first end: %v", e)
	}
	cancel()
	if err := g.Wait(); err != nil || !ended {
		t.Errorf("Wait returned %v with the other task ended: %v", err, ended)
	}
}
