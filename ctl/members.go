package ctl

import (
	"cmp"
	"context"
	"fmt"
	"net/netip"
	"slices"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/ctl/internal/operator"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

type membersListCommand struct{}

func (c *membersListCommand) run(ctx context.Context, s *session) error {
	if err := s.connect(); err != nil {
		return err
	}
	status, err := s.client.Status(ctx)
	if err != nil {
		return err
	}
	s.PrintTable(memberRows(memberViews(status)))
	return nil
}

type membersAddCommand struct {
	Args struct {
		ID      uint64 `positional-arg-name:"ID" description:"member id that was never used before"`
		Address string `positional-arg-name:"IP:PORT" description:"address of the member's peer listener"`
	} `positional-args:"yes" required:"yes"`
}

func (c *membersAddCommand) run(ctx context.Context, s *session) error {
	address, err := netip.ParseAddrPort(c.Args.Address)
	if err != nil || address.Port() == 0 || c.Args.ID == 0 {
		return newExitError(ExitUsage, fmt.Sprintf("%d %s: expected an id of at least 1, and an IP number and port such as 10.0.0.4:7101",
			c.Args.ID, c.Args.Address))
	}
	members, err := s.members(ctx)
	if err != nil {
		return err
	}
	for _, m := range members {
		if m.GetId() == c.Args.ID && m.GetAddress() != address.String() {
			return newExitError(ExitInvalid, fmt.Sprintf("member %d is at %s; a new member needs an id that was never used; nothing was changed", m.GetId(), m.GetAddress()))
		}
		if m.GetId() != c.Args.ID && m.GetAddress() == address.String() {
			return newExitError(ExitInvalid, fmt.Sprintf("member %d has the address %s; remove it first; nothing was changed", m.GetId(), address))
		}
	}
	s.Printf("adding member %d; it votes once it has stored the whole log", c.Args.ID)
	return s.changeMembers(ctx, &wirev1.Member{Id: c.Args.ID, Address: address.String()}, 0)
}

type membersRemoveCommand struct {
	Args struct {
		ID uint64 `positional-arg-name:"ID" description:"id of the member"`
	} `positional-args:"yes" required:"yes"`
}

func (c *membersRemoveCommand) run(ctx context.Context, s *session) error {
	if c.Args.ID == 0 {
		return newExitError(ExitUsage, "0: expected the id of a member")
	}
	members, err := s.members(ctx)
	if err != nil {
		return err
	}
	index := slices.IndexFunc(members, func(m *wirev1.Member) bool { return m.GetId() == c.Args.ID })
	if index < 0 {
		return newExitError(ExitInvalid, fmt.Sprintf("there is no member %d; nothing was changed", c.Args.ID))
	}
	if voters(members) == 1 && !members[index].GetLearner() {
		return newExitError(ExitInvalid, "the last voting member cannot be removed; nothing was changed")
	}
	return s.changeMembers(ctx, nil, c.Args.ID)
}

// members connects to control and returns the current members.
func (s *session) members(ctx context.Context) ([]*wirev1.Member, error) {
	if err := s.connect(); err != nil {
		return nil, err
	}
	status, err := s.client.Status(ctx)
	if err != nil {
		return nil, err
	}
	var members []*wirev1.Member
	for _, m := range status.GetMembers() {
		members = append(members, m.GetMember())
	}
	return members, nil
}

// voters returns the number of members that are not learners.
func voters(members []*wirev1.Member) int {
	count := 0
	for _, m := range members {
		if !m.GetLearner() {
			count++
		}
	}
	return count
}

func (s *session) changeMembers(ctx context.Context, add *wirev1.Member, remove uint64) error {
	members, err := s.client.ChangeMembers(ctx, add, remove)
	var unknown *operator.UnknownOutcomeError
	if errors.As(err, &unknown) {
		return fmt.Errorf("%w\nthe change may have been accepted; look with members list before you repeat it", err)
	}
	if err != nil {
		return err
	}
	slices.SortFunc(members, func(a, b *wirev1.Member) int { return cmp.Compare(a.GetId(), b.GetId()) })
	rows := [][]string{{"MEMBER", "ADDRESS", "ROLE"}}
	for _, m := range members {
		rows = append(rows, []string{formatUint(m.GetId()), m.GetAddress(), choose(m.GetLearner(), "learner", "voter")})
	}
	s.Printf("done; the members are now:")
	s.PrintTable(rows)
	n := voters(members)
	s.Printf("with %s, %d may fail at a time", pluralize(n, "voter"), (n-1)/2)
	return nil
}
