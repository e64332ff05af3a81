// Package operator calls the Operator service of a control group for
// measurements: it finds the leader and waits for conditions.
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
	// DefaultPoll is the time between two looks at a condition, and the error of
	// the times measured with it.
	DefaultPoll = 20 * time.Millisecond
)

// Config of a Client. Only Addresses is required.
type Config struct {
	// Addresses returns the operator addresses of the members that run.
	Addresses func() []string
	// CallTimeout bounds one call to one member.
	CallTimeout time.Duration
	Poll        time.Duration
	// HTTP is the client for calls. Default http.DefaultClient.
	HTTP connect.HTTPClient
}

// Client calls the leader of a control group. It is safe for concurrent use.
type Client struct {
	config Config

	mu sync.Mutex
	// leader is the address that answered last.
	leader string
}

// RefusedError says that control found a rules text invalid.
type RefusedError struct {
	Errors []*wirev1.RuleError
}

// Error names the first fault.
func (e *RefusedError) Error() string {
	if len(e.Errors) == 0 {
		return "rules refused"
	}
	return fmt.Sprintf("rules refused: line %d: %s", e.Errors[0].GetLine(), e.Errors[0].GetMessage())
}

// New returns a client. It makes no call.
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

// Leader returns the address that answered as the leader last, empty if none
// did.
func (c *Client) Leader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

// call calls members until one answers: the last leader first, and the one
// that a member names next. Each is called once.
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

// Status returns the leader's status.
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

// Apply proposes a rules text until it is accepted and returns its revision. It
// ends at once with a *RefusedError where the text is invalid.
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
				// The same for each sending of a change, whose answer can get lost.
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

// Until waits until the leader's status fulfils a condition.
func (c *Client) Until(ctx context.Context, what string, holds func(*wirev1.StatusResponse) error) error {
	return c.repeat(ctx, what, func(ctx context.Context) error {
		status, err := c.Status(ctx)
		if err != nil {
			return err
		}
		return holds(status)
	})
}

// repeat tries until there is no error, the context ends, or the rules are
// refused. The error is that of the last try that was not cut short.
func (c *Client) repeat(ctx context.Context, what string, try func(context.Context) error) error {
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
			return fmt.Errorf("wait for %s: %w", what, last)
		case <-time.After(c.config.Poll):
		}
	}
}

// InForce is nil if every node with a lease has a revision.
func InForce(s *wirev1.StatusResponse, revision uint64) error {
	for _, n := range s.GetNodes() {
		if n.GetLeaseLeftMs() > 0 && n.GetRulesRevision() < revision {
			return errors.Errorf("%s is at revision %d, expected %d", n.GetNode().GetName(), n.GetRulesRevision(), revision)
		}
	}
	return nil
}

// Assigned is nil if every partition has an owner and no move is in flight.
func Assigned(s *wirev1.StatusResponse) error {
	if s.GetUnassignedPartitions() > 0 || s.GetMovesInFlight() > 0 {
		return errors.Errorf("%d partitions without an owner, %d moves in flight", s.GetUnassignedPartitions(), s.GetMovesInFlight())
	}
	return nil
}
