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

// settle sends settle requests for a lost call to the node that it was sent to,
// until the outcome is known or the deadline passes. It returns lost if the
// outcome stays unknown.
func (p *Client) settle(ctx context.Context, to *wirev1.Node, c *relay.Call, lost *outcome.Refusal) (*relay.Response, *outcome.Refusal) {
	for {
		remaining := c.Deadline.Sub(p.clock.Now())
		if remaining <= 0 {
			return nil, lost
		}
		s, err := p.querySettlement(ctx, to, c, min(remaining, settleTimeout))
		if err != nil && c.Idempotent {
			// The node may have stopped. The call may run twice, so there is no
			// need to wait for the node.
			return nil, lost
		}
		if err == nil {
			switch s.State {
			case outcome.SettleBarred.String(), settleAbsent:
				if c.Idempotent {
					// The call is not barred, so it may still run. Reporting it
					// as not run would allow retries outside the retry budget.
					// Such retries of all these calls filled the queues of
					// backend servers: 333 of 2,110 requests were refused.
					return nil, lost
				}
				return nil, relay.NotRun(outcome.ReasonBarred)
			case outcome.SettleResponse.String():
				return relay.NewBufferedResponse(s.Status, s.Header, s.Body).ForMethod(c.Method), nil
			case outcome.SettleUnknown.String():
				return nil, lost
			}
		}
		timer := time.NewTimer(settleInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil, lost
		case <-timer.C:
		}
	}
}

// querySettlement sends one settle request. It uses a new connection unless the
// call is idempotent.
func (p *Client) querySettlement(ctx context.Context, to *wirev1.Node, c *relay.Call, timeout time.Duration) (*settlement, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := json.Marshal(settleRequest{Sending: c.Sending, Incarnation: to.GetIncarnation(), Idempotent: c.Idempotent})
	if err != nil {
		return nil, fmt.Errorf("settle: %w", err)
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.GetPeerAddress()+settlePath, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("settle: %w", err)
	}
	p.setCredentials(q.Header)
	transport := p.unpooled
	if c.Idempotent {
		// The half-open connection of the call is closed already. If the pooled
		// connection is half-open too, the settle request fails and settle
		// returns lost.
		transport = p.pooled
	}
	response, err := transport.RoundTrip(q)
	if err != nil {
		return nil, fmt.Errorf("settle: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("settle: response has status %d", response.StatusCode)
	}
	var s settlement
	if err := json.NewDecoder(io.LimitReader(response.Body, maxSettlementBytes)).Decode(&s); err != nil {
		return nil, fmt.Errorf("settle: %w", err)
	}
	return &s, nil
}
