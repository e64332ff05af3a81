package peer_test

import (
	"context"
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
)

// TestShutdownClosesIdleHTTP2Connections guards against a stop that waits a second for
// HTTP/2 connections on which no call runs. The keys of the node have no owner
// meanwhile.
func TestShutdownClosesIdleHTTP2Connections(t *testing.T) {
	n := start(t, func(_ context.Context, c *relay.Call) (*relay.Response, *outcome.Refusal) {
		if err := c.Body.Buffer(relay.MaxWholeBodyBytes); err != nil {
			return nil, relay.NotRun(outcome.ReasonBadRequest)
		}
		return relay.NewBufferedResponse(200, nil, []byte("done")), nil
	})
	c := postCall(time.Minute)
	c.Body = &relay.Body{Buffered: make([]byte, 20<<10)}
	answer, refusal := n.client.Do(context.Background(), n.node, c)
	if refusal != nil {
		t.Fatalf("refusal %+v, want a response", refusal)
	}
	_ = answer.Body.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 800*time.Millisecond)
	defer cancel()
	if err := n.server.Shutdown(ctx); err != nil {
		t.Errorf("shutdown with an idle connection: %v, want it to end before the context", err)
	}
}
