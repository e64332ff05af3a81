package lab

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
	"github.com/jujubeknot/jujubeknot/wire/v1/wirev1connect"
)

// callTimeout bounds one call to a control member.
const callTimeout = 2 * time.Second

// rulesFile is the rules text and the availability zones that are out.
type rulesFile struct {
	text string
	out  []string
}

// String returns the text of the whole file.
func (f rulesFile) String() string {
	var b strings.Builder
	b.WriteString(f.text)
	for _, zone := range f.out {
		fmt.Fprintf(&b, "zone %s out # laboratory: taken out by the experiment\n", zone)
	}
	return b.String()
}

// eachMember calls a function with the operator client of each running member
// until one call succeeds.
func (l *Lab) eachMember(ctx context.Context, call func(context.Context, wirev1connect.OperatorClient) error) error {
	last := errors.New("no control member runs")
	for _, address := range l.operatorAddresses() {
		client := wirev1connect.NewOperatorClient(http.DefaultClient, "http://"+address)
		limited, cancel := context.WithTimeout(ctx, callTimeout)
		err := call(limited, client)
		cancel()
		if err == nil {
			return nil
		}
		last = err
	}
	return last
}

func (l *Lab) operatorAddresses() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	addresses := slices.Clone(l.attached)
	for _, m := range l.members {
		if m.running != nil {
			addresses = append(addresses, m.Operator.String())
		}
	}
	return addresses
}

// Status returns the leader's status.
func (l *Lab) Status(ctx context.Context) (*wirev1.StatusResponse, error) {
	var status *wirev1.StatusResponse
	err := l.eachMember(ctx, func(ctx context.Context, c wirev1connect.OperatorClient) error {
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

// Leader returns the number of the member that leads.
func (l *Lab) Leader(ctx context.Context) (int, error) {
	leader := -1
	err := wait(ctx, "a leader", func(ctx context.Context) (bool, error) {
		status, err := l.Status(ctx)
		if err != nil {
			return false, err
		}
		leader = slices.IndexFunc(l.members, func(m *Member) bool { return m.ID == status.Leader })
		return leader >= 0, nil
	})
	return leader, err
}

// ApplyRules applies the rules file of the lab as it is now, and returns the
// revision once it is accepted.
func (l *Lab) ApplyRules(ctx context.Context) (uint64, error) {
	l.mu.Lock()
	text := l.rules.String()
	l.mu.Unlock()
	var revision uint64
	err := wait(ctx, "accepted rules", func(ctx context.Context) (bool, error) {
		var answer *wirev1.ApplyRulesResponse
		err := l.eachMember(ctx, func(ctx context.Context, c wirev1connect.OperatorClient) error {
			current, err := c.GetRules(ctx, connect.NewRequest(&wirev1.GetRulesRequest{}))
			if err != nil {
				return err
			}
			response, err := c.ApplyRules(ctx, connect.NewRequest(&wirev1.ApplyRulesRequest{
				BaseRevision: current.Msg.GetRules().GetRevision(), Text: text, Author: "laboratory",
				RequestId: fmt.Sprintf("laboratory-%d-%d", current.Msg.GetRules().GetRevision(), len(text)),
			}))
			if err == nil {
				answer = response.Msg
			}
			return err
		})
		if err != nil {
			return false, err
		}
		revision = answer.GetRevision()
		switch answer.GetOutcome() {
		case wirev1.ApplyRulesResponse_OUTCOME_ACCEPTED, wirev1.ApplyRulesResponse_OUTCOME_UNCHANGED:
			return true, nil
		default:
			return false, errors.Errorf("rules refused: %v %v", answer.GetOutcome(), answer.GetErrors())
		}
	})
	return revision, err
}

// SetZone takes an availability zone out of service or returns it, and waits
// until that is accepted.
func (l *Lab) SetZone(ctx context.Context, zone string, out bool) (uint64, error) {
	l.mu.Lock()
	l.rules.out = slices.DeleteFunc(l.rules.out, func(z string) bool { return z == zone })
	if out {
		l.rules.out = append(l.rules.out, zone)
	}
	l.mu.Unlock()
	return l.ApplyRules(ctx)
}

// WaitInForce waits until each node that runs has a rules revision.
func (l *Lab) WaitInForce(ctx context.Context, revision uint64) error {
	return wait(ctx, fmt.Sprintf("revision %d everywhere", revision), func(ctx context.Context) (bool, error) {
		status, err := l.Status(ctx)
		if err != nil {
			return false, err
		}
		for _, n := range status.Nodes {
			if n.LeaseLeftMs > 0 && n.RulesRevision < revision {
				return false, errors.Errorf("%s is at revision %d", n.Node.GetName(), n.RulesRevision)
			}
		}
		return true, nil
	})
}

// WaitReady applies the rules and waits until every node serves and every
// partition has an owner.
func (l *Lab) WaitReady(ctx context.Context) error {
	revision, err := l.ApplyRules(ctx)
	if err != nil {
		return err
	}
	if err := wait(ctx, "leases of all nodes", func(context.Context) (bool, error) { return l.ready(), nil }); err != nil {
		return err
	}
	if err := l.WaitSettled(ctx); err != nil {
		return err
	}
	return l.WaitInForce(ctx, revision)
}

// WaitSettled waits until every partition has an owner and no move is in
// flight.
func (l *Lab) WaitSettled(ctx context.Context) error {
	return wait(ctx, "assigned partitions", func(ctx context.Context) (bool, error) {
		status, err := l.Status(ctx)
		if err != nil {
			return false, err
		}
		if status.UnassignedPartitions > 0 || status.MovesInFlight > 0 {
			return false, errors.Errorf("%d partitions without an owner, %d moves in flight", status.UnassignedPartitions, status.MovesInFlight)
		}
		return len(status.Nodes) > 0, nil
	})
}

// WaitNodes waits until a number of nodes have leases, for nodes that the lab
// did not start.
func (l *Lab) WaitNodes(ctx context.Context, count int) error {
	return wait(ctx, fmt.Sprintf("leases of %d nodes", count), func(ctx context.Context) (bool, error) {
		status, err := l.Status(ctx)
		if err != nil {
			return false, err
		}
		leased := 0
		for _, n := range status.Nodes {
			if n.LeaseLeftMs > 0 {
				leased++
			}
		}
		return leased >= count, nil
	})
}
