package ctl

import (
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
	s.Table(memberRows(memberViews(status)))
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
		return coded(ExitUsage, fmt.Sprintf("%d %s: expected an id of at least 1, and an IP number and port such as 10.0.0.4:7101",
			c.Args.ID, c.Args.Address))
	}
	s.Out("adding member %d; it votes once it has stored the whole log", c.Args.ID)
	return s.changeMembers(ctx, &wirev1.Member{Id: c.Args.ID, Address: address.String()}, 0)
}

type membersRemoveCommand struct {
	Args struct {
		ID uint64 `positional-arg-name:"ID" description:"id of the member"`
	} `positional-args:"yes" required:"yes"`
}

func (c *membersRemoveCommand) run(ctx context.Context, s *session) error {
	if c.Args.ID == 0 {
		return coded(ExitUsage, "0: expected the id of a member")
	}
	return s.changeMembers(ctx, nil, c.Args.ID)
}

func (s *session) changeMembers(ctx context.Context, add *wirev1.Member, remove uint64) error {
	if err := s.connect(); err != nil {
		return err
	}
	members, err := s.client.ChangeMembers(ctx, add, remove)
	var unknown *operator.UnknownError
	if errors.As(err, &unknown) {
		return fmt.Errorf("%w\nthe change may have been accepted; look with members list before you repeat it", err)
	}
	if err != nil {
		return err
	}
	slices.SortFunc(members, func(a, b *wirev1.Member) int { return int(a.GetId()) - int(b.GetId()) })
	rows := [][]string{{"MEMBER", "ADDRESS", "ROLE"}}
	for _, m := range members {
		rows = append(rows, []string{number(m.GetId()), m.GetAddress(), either(m.GetLearner(), "learner", "voter")})
	}
	s.Out("done; the members are now:")
	s.Table(rows)
	return nil
}
