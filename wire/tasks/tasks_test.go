package tasks_test

import (
	"context"
	"errors"
	"testing"

	"github.com/jujubeknot/jujubeknot/wire/tasks"
)

// TestWaitReturnsFirstError guards against a Wait that returns while a task still runs, and against
// an error that is not returned to the owner.
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
	if r := <-g.Results(); r.Name != "fails" || !errors.Is(g.Ack(r), failed) {
		t.Errorf("first result: got %v, want that of the task fails", r)
	}
	cancel()
	if err := g.Wait(); err != nil || !ended {
		t.Errorf("Wait: got error %v and task ended %v, want no error and true", err, ended)
	}
}
