// Package operator has a client of the control group's Operator service for
// measurements. It finds the leader and waits for conditions.
package operator

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/core/keyspace"
	"github.com/jujubeknot/jujubeknot/wire/leader"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
	"github.com/jujubeknot/jujubeknot/wire/v1/wirev1connect"
)

// Defaults of Config.
const (
	DefaultCallTimeout = 5 * time.Second
	// DefaultPoll is the interval at which conditions are checked, and so the
	// error of times that are measured by waiting for a condition.
	DefaultPoll = 20 * time.Millisecond
)

// Config configures a Client. Only Addresses is required.
type Config struct {
	// Addresses returns the operator addresses of the control members that run.
	Addresses func() []string
	// CallTimeout limits one call to one member. 0 means DefaultCallTimeout.
	CallTimeout time.Duration
	// Poll is the interval at which conditions are checked. 0 means DefaultPoll.
	Poll time.Duration
	// HTTP is the client for calls. Nil means http.DefaultClient.
	HTTP connect.HTTPClient
}

// Client calls the leader of a control group. It is safe for concurrent use.
type Client struct {
	config Config

	mu sync.Mutex
	// leader is the address of the member that answered last.
	leader string
}

// RefusedError means that the control group refused a rules text as invalid.
type RefusedError struct {
	// Errors has the errors in the text.
	Errors []*wirev1.RuleError
}

// Error returns a text with the first error and its line.
func (e *RefusedError) Error() string {
	if len(e.Errors) == 0 {
		return "rules refused"
	}
	return fmt.Sprintf("rules refused: line %d: %s", e.Errors[0].GetLine(), e.Errors[0].GetMessage())
}

// New returns a client. It makes no calls.
func New(config Config) *Client {
	if config.CallTimeout == 0 {
		config.CallTimeout = DefaultCallTimeout
	}
	if config.Poll == 0 {
		config.Poll = DefaultPoll
	}
	if config.HTTP == nil {
		config.HTTP = http.DefaultClient
	}
	return &Client{config: config}
}

// Leader returns the address of the member that last answered as the leader, or
// an empty string if none has.
func (c *Client) Leader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

// call calls members until one answers without an error, each at most once. It
// calls the last known leader first. If a member names the leader, that one is
// next.
func (c *Client) call(ctx context.Context, call func(context.Context, wirev1connect.OperatorClient) error) error {
	members := c.config.Addresses()
	queue := leader.NewQueue(members)
	if latest := c.Leader(); slices.Contains(members, latest) {
		queue.PushFront(latest)
	}
	last := errors.New("no control member runs")
	for ctx.Err() == nil {
		address, ok := queue.Next()
		if !ok {
			break
		}
		limited, cancel := context.WithTimeout(ctx, c.config.CallTimeout)
		err := call(limited, wirev1connect.NewOperatorClient(c.config.HTTP, "http://"+address))
		cancel()
		if err == nil {
			c.mu.Lock()
			c.leader = address
			c.mu.Unlock()
			return nil
		}
		last = fmt.Errorf("%s: %w", address, err)
		if hint := leader.FromError(err); hint.IsValid() {
			queue.PushFront(hint.String())
		}
	}
	return last
}

// Status returns the status of the control group from its leader.
func (c *Client) Status(ctx context.Context) (*wirev1.StatusResponse, error) {
	var status *wirev1.StatusResponse
	err := c.call(ctx, func(ctx context.Context, o wirev1connect.OperatorClient) error {
		response, err := o.Status(ctx, connect.NewRequest(&wirev1.StatusRequest{}))
		if err == nil {
			status = response.Msg
		}
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("status: %w", err)
	}
	return status, nil
}

// Apply proposes a rules text until it is accepted and returns its revision. If
// the text is invalid, it returns a *RefusedError at once.
func (c *Client) Apply(ctx context.Context, text string) (uint64, error) {
	var revision uint64
	err := c.repeat(ctx, "accepted rules", func(ctx context.Context) error {
		var answer *wirev1.ApplyRulesResponse
		err := c.call(ctx, func(ctx context.Context, o wirev1connect.OperatorClient) error {
			current, err := o.GetRules(ctx, connect.NewRequest(&wirev1.GetRulesRequest{}))
			if err != nil {
				return err
			}
			base := current.Msg.GetRules().GetRevision()
			response, err := o.ApplyRules(ctx, connect.NewRequest(&wirev1.ApplyRulesRequest{
				BaseRevision: base, Text: text, Author: "laboratory",
				// Each sending of a change has the same request id, because the
				// response can be lost.
				RequestId: fmt.Sprintf("laboratory-%d-%x", base, keyspace.Hash(text)),
			}))
			if err == nil {
				answer = response.Msg
			}
			return err
		})
		if err != nil {
			return err
		}
		revision = answer.GetRevision()
		switch answer.GetOutcome() {
		case wirev1.ApplyRulesResponse_OUTCOME_ACCEPTED, wirev1.ApplyRulesResponse_OUTCOME_UNCHANGED:
			return nil
		case wirev1.ApplyRulesResponse_OUTCOME_INVALID:
			return &RefusedError{Errors: answer.GetErrors()}
		default:
			return errors.Errorf("%s at revision %d", strings.ToLower(answer.GetOutcome().String()), revision)
		}
	})
	return revision, err
}

// Until polls the status until a condition holds, which is when holds returns
// nil. name names the condition in the error.
func (c *Client) Until(ctx context.Context, name string, holds func(*wirev1.StatusResponse) error) error {
	return c.repeat(ctx, name, func(ctx context.Context) error {
		status, err := c.Status(ctx)
		if err != nil {
			return err
		}
		return holds(status)
	})
}

// repeat calls try until it returns nil or a *RefusedError, or until ctx ends.
// If ctx ends, the error is that of the last call that ended before ctx, or of
// the first call if none did.
func (c *Client) repeat(ctx context.Context, name string, try func(context.Context) error) error {
	var last error
	for {
		err := try(ctx)
		var refused *RefusedError
		if err == nil || errors.As(err, &refused) {
			return err
		}
		if last == nil || ctx.Err() == nil {
			last = err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for %s: %w", name, last)
		case <-time.After(c.config.Poll):
		}
	}
}

// InForce returns an error that names a node unless every node with a lease is
// at the rules revision or a later one.
func InForce(s *wirev1.StatusResponse, revision uint64) error {
	for _, n := range s.GetNodes() {
		if n.GetLeaseLeftMs() > 0 && n.GetRulesRevision() < revision {
			return errors.Errorf("%s is at revision %d, expected %d", n.GetNode().GetName(), n.GetRulesRevision(), revision)
		}
	}
	return nil
}

// Assigned returns an error unless every partition has an owner and no move is
// in flight.
func Assigned(s *wirev1.StatusResponse) error {
	if s.GetUnassignedPartitions() > 0 || s.GetMovesInFlight() > 0 {
		return errors.Errorf("%d partitions without an owner, %d moves in flight", s.GetUnassignedPartitions(), s.GetMovesInFlight())
	}
	return nil
}
