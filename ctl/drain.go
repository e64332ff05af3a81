package ctl

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/core/rules"
	"github.com/jujubeknot/jujubeknot/ctl/internal/operator"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

type drainCommand struct {
	Undo  bool `long:"undo" description:"return the backend server to service"`
	Wait  bool `long:"wait" description:"wait until all partitions have moved"`
	Force bool `long:"force" description:"drain even the last backend server in service of an upstream"`
	Args  struct {
		Server string `positional-arg-name:"SERVER" description:"name of the backend server"`
	} `positional-args:"yes" required:"yes"`
}

func (c *drainCommand) run(ctx context.Context, s *session) error {
	if c.Undo && c.Wait {
		return newExitError(ExitUsage, "--wait and --undo exclude each other: partitions return over minutes")
	}
	if err := s.connect(); err != nil {
		return err
	}
	if !c.Undo && !c.Force {
		if err := c.checkNotLastServer(ctx, s); err != nil {
			return err
		}
	}
	response, err := s.client.Drain(ctx, c.Args.Server, c.Undo)
	var unknown *operator.UnknownOutcomeError
	if errors.As(err, &unknown) {
		return fmt.Errorf("%w\nthe change may have been accepted; a second drain, or undo, has no further effect: run the same command again", err)
	}
	if err != nil {
		return err
	}
	if c.Undo {
		s.Printf("%s is back in service; partitions return over the next minutes", c.Args.Server)
		return nil
	}
	s.Printf("%s drains: %s left", c.Args.Server, pluralize(int(response.GetPartitionsLeft()), "partition"))
	if !c.Wait {
		return nil
	}
	return c.wait(ctx, s, response.GetIncarnation())
}

// checkNotLastServer returns an error if the backend server is the last one of its
// upstream in service.
func (c *drainCommand) checkNotLastServer(ctx context.Context, s *session) error {
	status, err := s.client.Status(ctx)
	if err != nil {
		return err
	}
	_, set, err := s.currentRules(ctx)
	if err != nil {
		return err
	}
	upstream := ""
	for _, n := range status.GetNodes() {
		if n.GetNode().GetBackendServer().GetName() == c.Args.Server {
			upstream = n.GetNode().GetBackendServer().GetUpstream()
		}
	}
	after := set
	after.Servers = append(after.Servers[:len(after.Servers):len(after.Servers)], rules.Server{Name: c.Args.Server, Drain: true})
	if len(zonesInService(upstream, set, status.GetNodes())) > 0 && len(zonesInService(upstream, after, status.GetNodes())) == 0 {
		return newExitError(ExitRefused, fmt.Sprintf("%s is the last backend server of upstream %s in service; nothing was changed, add --force if that is intended",
			c.Args.Server, upstream))
	}
	return nil
}

// wait waits until the node of the backend server has no partitions and no requests in
// flight, or is no longer registered.
func (c *drainCommand) wait(ctx context.Context, s *session, incarnation uint64) error {
	ctx, cancel := context.WithTimeout(ctx, s.timeout())
	defer cancel()
	lastState := "control has not returned a status yet"
	for {
		status, err := s.client.Status(ctx)
		if err == nil {
			n := findNode(status, incarnation)
			if n == nil || n.GetPartitions() == 0 && n.GetInFlight() == 0 {
				s.Printf("%s has no partitions and no requests in flight", c.Args.Server)
				return nil
			}
			text := fmt.Sprintf("%s left, %s in flight", pluralize(int(n.GetPartitions()), "partition"), pluralize(int(n.GetInFlight()), "request"))
			if text != lastState {
				s.Printf("  %s", text)
			}
			lastState = text
		} else if ctx.Err() == nil {
			lastState = err.Error()
		}
		select {
		case <-ctx.Done():
			return newExitError(ExitPending, fmt.Sprintf("%s drains, but is not empty yet: %s", c.Args.Server, lastState))
		case <-time.After(pollInterval):
		}
	}
}

// findNode returns the node with the given incarnation, or nil if there is none.
func findNode(status *wirev1.StatusResponse, incarnation uint64) *wirev1.NodeStatus {
	for _, n := range status.GetNodes() {
		if n.GetNode().GetIncarnation() == incarnation {
			return n
		}
	}
	return nil
}
