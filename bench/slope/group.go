package slope

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
	"github.com/jujubeknot/jujubeknot/wire/v1/wirev1connect"
)

// callTimeout bounds one call to a control member.
const callTimeout = 5 * time.Second

// poll is the time between two looks at a condition, and the error of the times
// measured with it.
const poll = 20 * time.Millisecond

// group calls the leader of a control group.
type group struct {
	clients []wirev1connect.OperatorClient
	leader  int
}

func newGroup(addresses []string) *group {
	g := &group{}
	for _, a := range addresses {
		g.clients = append(g.clients, wirev1connect.NewOperatorClient(http.DefaultClient, "http://"+a))
	}
	return g
}

// call calls the leader, and looks for it where it changed.
func (g *group) call(ctx context.Context, call func(context.Context, wirev1connect.OperatorClient) error) error {
	var last error
	for range g.clients {
		limited, cancel := context.WithTimeout(ctx, callTimeout)
		last = call(limited, g.clients[g.leader])
		cancel()
		if last == nil {
			return nil
		}
		g.leader = (g.leader + 1) % len(g.clients)
	}
	return last
}

// status returns the leader's status.
func (g *group) status(ctx context.Context) (*wirev1.StatusResponse, error) {
	var status *wirev1.StatusResponse
	err := g.call(ctx, func(ctx context.Context, c wirev1connect.OperatorClient) error {
		response, err := c.Status(ctx, connect.NewRequest(&wirev1.StatusRequest{}))
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

// apply proposes a rules text until it is accepted and returns its revision.
func (g *group) apply(ctx context.Context, text string) (uint64, error) {
	var answer *wirev1.ApplyRulesResponse
	err := g.call(ctx, func(ctx context.Context, c wirev1connect.OperatorClient) error {
		current, err := c.Status(ctx, connect.NewRequest(&wirev1.StatusRequest{}))
		if err != nil {
			return err
		}
		response, err := c.ApplyRules(ctx, connect.NewRequest(&wirev1.ApplyRulesRequest{
			BaseRevision: current.Msg.GetRulesRevision(), Text: text, Author: "laboratory",
			RequestId: fmt.Sprintf("slope-%d", time.Now().UnixNano()),
		}))
		if err == nil {
			answer = response.Msg
		}
		return err
	})
	if err != nil {
		return 0, fmt.Errorf("apply rules: %w", err)
	}
	if o := answer.GetOutcome(); o != wirev1.ApplyRulesResponse_OUTCOME_ACCEPTED && o != wirev1.ApplyRulesResponse_OUTCOME_UNCHANGED {
		return 0, errors.Errorf("rules refused: %v %v", o, answer.GetErrors())
	}
	return answer.GetRevision(), nil
}

// until waits until the leader's status fulfils a condition.
func (g *group) until(ctx context.Context, what string, holds func(*wirev1.StatusResponse) error) error {
	last := errors.New("no status")
	for {
		status, err := g.status(ctx)
		if err == nil {
			err = holds(status)
		}
		if err == nil {
			return nil
		}
		if ctx.Err() == nil {
			last = err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for %s: %w", what, last)
		case <-time.After(poll):
		}
	}
}

// settled waits until a number of nodes have a lease and a revision, and every
// partition has an owner.
func (g *group) settled(ctx context.Context, nodes int, revision uint64) error {
	return g.until(ctx, "a settled group", func(s *wirev1.StatusResponse) error {
		if len(s.GetNodes()) != nodes || s.GetUnassignedPartitions() > 0 || s.GetMovesInFlight() > 0 {
			return errors.Errorf("%d nodes of %d, %d partitions without an owner, %d moves", len(s.GetNodes()), nodes,
				s.GetUnassignedPartitions(), s.GetMovesInFlight())
		}
		for _, n := range s.GetNodes() {
			// A node registers anew once its backend server has announced itself.
			if n.GetNode().GetBackendServer().GetName() == "" {
				return errors.Errorf("%s has no backend server", n.GetNode().GetName())
			}
		}
		return inForce(s, revision)
	})
}

// inForce is nil if every node with a lease has a revision.
func inForce(s *wirev1.StatusResponse, revision uint64) error {
	for _, n := range s.GetNodes() {
		if n.GetLeaseLeftMs() > 0 && n.GetRulesRevision() < revision {
			return errors.Errorf("%s is at revision %d, expected %d", n.GetNode().GetName(), n.GetRulesRevision(), revision)
		}
	}
	return nil
}

// rulesText returns rules with a number of lines and partitions. The variant
// makes texts differ.
func rulesText(lines, partitions, variant int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "upstream applications keyed partitions=%d slots=6 connections=110 # Lina: one owner for each centre\n", partitions)
	b.WriteString("route /applications/ to applications key=segment:2 timeout=5s # Omar: status and deadlines\n")
	fmt.Fprintf(&b, "option moveTimeout=%dms # Lina: variant of a measurement\n", 2000+variant)
	for i := 3; i < lines; i++ {
		fmt.Fprintf(&b, "route /applications/r%05d to applications key=segment:3 # Omar: a form of its own\n", i)
	}
	return b.String()
}
