package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// settle asks the node that a lost call was sent to what became of it, until
// it knows or the deadline passes.
func (p *Client) settle(ctx context.Context, to *wirev1.Node, c *relay.Call, lost *outcome.Refusal) (*relay.Response, *outcome.Refusal) {
	for {
		left := c.Deadline.Sub(p.clock.Now())
		if left <= 0 {
			return nil, lost
		}
		s, err := p.ask(ctx, to, c, min(left, settleTimeout))
		if err != nil && c.Idempotent {
			// The node may be gone. A second run is allowed, so the call need
			// not wait for it.
			return nil, lost
		}
		if err == nil {
			switch s.State {
			case outcome.SettleBarred.String(), settleAbsent:
				if c.Idempotent {
					// Not barred, so it may still run. Repeating all of these
					// without the retry budget filled the queues of backend
					// servers: 333 of 2,110 requests were refused.
					return nil, lost
				}
				return nil, relay.NotRun(outcome.ReasonBarred)
			case outcome.SettleResponse.String():
				return relay.NewBufferedResponse(s.Status, s.Header, s.Body).ForMethod(c.Method), nil
			case outcome.SettleUnknown.String():
				return nil, lost
			}
		}
		pause := time.NewTimer(settlePause)
		select {
		case <-ctx.Done():
			pause.Stop()
			return nil, lost
		case <-pause.C:
		}
	}
}

// ask puts one question, on a connection of its own unless the call is
// idempotent.
func (p *Client) ask(ctx context.Context, to *wirev1.Node, c *relay.Call, timeout time.Duration) (*settlement, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := json.Marshal(settleQuestion{Sending: c.Sending, Incarnation: to.GetIncarnation(), Idempotent: c.Idempotent})
	if err != nil {
		return nil, fmt.Errorf("settle: %w", err)
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.GetPeerAddress()+settlePath, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("settle: %w", err)
	}
	p.present(q.Header)
	transport := p.fresh
	if c.Idempotent {
		// The silent connection is closed already, and where another one is
		// silent too the call goes on without an answer.
		transport = p.shared
	}
	response, err := transport.RoundTrip(q)
	if err != nil {
		return nil, fmt.Errorf("settle: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("settle: status %d", response.StatusCode)
	}
	var s settlement
	if err := json.NewDecoder(io.LimitReader(response.Body, settleBytes)).Decode(&s); err != nil {
		return nil, fmt.Errorf("settle: %w", err)
	}
	return &s, nil
}
