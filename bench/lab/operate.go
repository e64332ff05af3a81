package lab

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/bench/operator"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// callTimeout is the timeout of one call to a control member.
const callTimeout = 2 * time.Second

// rulesFile is a rules text and the availability zones that are out of service.
type rulesFile struct {
	text string
	out  []string
}

// String returns the rules text followed by a rule for each zone that is out.
func (f rulesFile) String() string {
	var b strings.Builder
	b.WriteString(f.text)
	for _, zone := range f.out {
		fmt.Fprintf(&b, "zone %s out # laboratory: taken out by the experiment\n", zone)
	}
	return b.String()
}

func (l *Lab) operatorAddresses() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	addresses := slices.Clone(l.externalOperators)
	for _, m := range l.members {
		if m.running != nil {
			addresses = append(addresses, m.Operator.String())
		}
	}
	return addresses
}

// Status returns the status reported by the leader.
func (l *Lab) Status(ctx context.Context) (*wirev1.StatusResponse, error) {
	return l.operatorClient.Status(ctx)
}

// Leader waits for a leader and returns its index among the members, as for
// KillMember.
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

// ApplyRules applies the current rules file of the Lab and returns the revision
// once it is accepted.
func (l *Lab) ApplyRules(ctx context.Context) (uint64, error) {
	l.mu.Lock()
	text := l.rules.String()
	l.mu.Unlock()
	return l.operatorClient.Apply(ctx, text)
}

// SetZone takes an availability zone out of service or returns it to service. It
// returns the rules revision once it is accepted.
func (l *Lab) SetZone(ctx context.Context, zone string, out bool) (uint64, error) {
	l.mu.Lock()
	l.rules.out = slices.DeleteFunc(l.rules.out, func(z string) bool { return z == zone })
	if out {
		l.rules.out = append(l.rules.out, zone)
	}
	l.mu.Unlock()
	return l.ApplyRules(ctx)
}

// WaitInForce waits until the rules revision is in force at every running node.
func (l *Lab) WaitInForce(ctx context.Context, revision uint64) error {
	return l.operatorClient.Until(ctx, fmt.Sprintf("revision %d at every node", revision), func(s *wirev1.StatusResponse) error {
		return operator.InForce(s, revision)
	})
}

// WaitReady applies the rules. It waits until every node is ready, every partition
// has an owner and the rules are in force at every node.
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

// WaitSettled waits until every partition has an owner and no move is in flight.
func (l *Lab) WaitSettled(ctx context.Context) error {
	return l.operatorClient.Until(ctx, "assigned partitions", func(s *wirev1.StatusResponse) error {
		if len(s.GetNodes()) == 0 {
			return errors.New("no node is registered")
		}
		return operator.Assigned(s)
	})
}

// WaitNodes waits until at least count nodes have leases. It serves groups whose
// nodes the Lab did not start.
func (l *Lab) WaitNodes(ctx context.Context, count int) error {
	return l.operatorClient.Until(ctx, fmt.Sprintf("leases of %d nodes", count), func(s *wirev1.StatusResponse) error {
		leased := 0
		for _, n := range s.GetNodes() {
			if n.GetLeaseLeftMs() > 0 {
				leased++
			}
		}
		if leased < count {
			return errors.Errorf("%d nodes have leases", leased)
		}
		return nil
	})
}
