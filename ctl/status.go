package ctl

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/jujubeknot/jujubeknot/core/rules"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

type statusCommand struct {
	JSON bool `long:"json" description:"write JSON"`
}

// statusView is the state of the cluster that the command status prints. Its JSON
// encoding is the output of --json.
type statusView struct {
	Leader               uint64       `json:"leader"`
	Term                 uint64       `json:"term"`
	Index                uint64       `json:"index"`
	RulesRevision        uint64       `json:"rulesRevision"`
	UnassignedPartitions uint32       `json:"unassignedPartitions"`
	MovesInFlight        uint32       `json:"movesInFlight"`
	TakeoverWaitMs       uint32       `json:"takeoverWaitMs"`
	Members              []memberView `json:"members"`
	Zones                []zoneView   `json:"zones"`
	Servers              []serverView `json:"servers"`
	// Organisations are those of the rules in force, omitted if there are none.
	Organisations []organisationView `json:"organisations,omitempty"`
}

type memberView struct {
	ID          uint64 `json:"id"`
	Address     string `json:"address"`
	Role        string `json:"role"`
	MatchIndex  uint64 `json:"matchIndex"`
	LagEntries  uint64 `json:"lagEntries"`
	AnswerAgeMs uint64 `json:"answerAgeMs"`
}

type zoneView struct {
	Name              string  `json:"name"`
	State             string  `json:"state"`
	Servers           int     `json:"servers"`
	Partitions        uint32  `json:"partitions"`
	RequestsPerSecond float64 `json:"requestsPerSecond"`
	InFlight          uint32  `json:"inFlight"`
	// Rule is the comment of the rule that names the zone. It says who asked for the
	// rule and why.
	Rule string `json:"rule,omitempty"`
}

type serverView struct {
	Name              string  `json:"name"`
	Upstream          string  `json:"upstream"`
	Zone              string  `json:"zone"`
	Region            string  `json:"region"`
	State             string  `json:"state"`
	Partitions        uint32  `json:"partitions"`
	RequestsPerSecond float64 `json:"requestsPerSecond"`
	InFlight          uint32  `json:"inFlight"`
	RulesRevision     uint64  `json:"rulesRevision"`
	LagEntries        uint64  `json:"lagEntries"`
	LeaseLeftMs       uint32  `json:"leaseLeftMs"`
	RenewAgeMs        uint64  `json:"renewAgeMs"`
	Incarnation       uint64  `json:"incarnation"`
	Address           string  `json:"address"`
}

func (c *statusCommand) run(ctx context.Context, s *session) error {
	if err := s.connect(); err != nil {
		return err
	}
	status, err := s.client.Status(ctx)
	if err != nil {
		return err
	}
	_, set, err := s.currentRules(ctx)
	if err != nil {
		return err
	}
	v := newStatusView(status, set)
	if c.JSON {
		data, err := json.MarshalIndent(v, "", "  ")
		if err != nil {
			return fmt.Errorf("encoding the status: %w", err)
		}
		s.Printf("%s", data)
		return nil
	}
	s.printStatus(v)
	return nil
}

// newStatusView returns the view of the leader's status response. It sorts members,
// zones and servers, and sums up the servers of each zone.
func newStatusView(status *wirev1.StatusResponse, set rules.Set) statusView {
	v := statusView{
		Leader: status.GetLeader(), Term: status.GetTerm(), Index: status.GetIndex(), RulesRevision: status.GetRulesRevision(),
		UnassignedPartitions: status.GetUnassignedPartitions(), MovesInFlight: status.GetMovesInFlight(),
		TakeoverWaitMs: status.GetTakeoverWaitMs(), Members: memberViews(status),
		Zones: []zoneView{}, Servers: []serverView{}, Organisations: organisationViews(set),
	}
	zones := map[string]*zoneView{}
	zone := func(name string) *zoneView {
		if zones[name] == nil {
			zones[name] = &zoneView{Name: name, State: choose(set.ZoneOut(name), "out", "in")}
		}
		return zones[name]
	}
	for _, z := range set.Zones {
		zone(z.Name).Rule = z.Comment.String()
	}
	for _, n := range status.GetNodes() {
		server := newServerView(n, status.GetIndex(), set)
		v.Servers = append(v.Servers, server)
		z := zone(server.Zone)
		z.Servers++
		z.Partitions += server.Partitions
		z.RequestsPerSecond += server.RequestsPerSecond
		z.InFlight += server.InFlight
	}
	for _, z := range zones {
		v.Zones = append(v.Zones, *z)
	}
	slices.SortFunc(v.Zones, func(a, b zoneView) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(v.Servers, func(a, b serverView) int {
		return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return v
}

func memberViews(status *wirev1.StatusResponse) []memberView {
	all := []memberView{}
	for _, m := range status.GetMembers() {
		role := "follower"
		if m.GetMember().GetLearner() {
			role = "learner"
		}
		if m.GetLeader() {
			role = "leader"
		}
		all = append(all, memberView{
			ID: m.GetMember().GetId(), Address: m.GetMember().GetAddress(), Role: role, MatchIndex: m.GetMatchIndex(),
			LagEntries: lag(status.GetIndex(), m.GetMatchIndex()), AnswerAgeMs: m.GetAnswerAgeMs(),
		})
	}
	slices.SortFunc(all, func(a, b memberView) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

func newServerView(n *wirev1.NodeStatus, index uint64, set rules.Set) serverView {
	node := n.GetNode()
	v := serverView{
		Name: serverName(node), Upstream: node.GetBackendServer().GetUpstream(), Zone: node.GetAvailabilityZone(),
		Region: node.GetRegion(), State: "warm", Partitions: n.GetPartitions(),
		RequestsPerSecond: float64(n.GetRequestsPerSecond()), InFlight: n.GetInFlight(), RulesRevision: n.GetRulesRevision(),
		LagEntries: lag(index, n.GetIndex()), LeaseLeftMs: n.GetLeaseLeftMs(), RenewAgeMs: n.GetRenewAgeMs(),
		Incarnation: node.GetIncarnation(), Address: node.GetPeerAddress(),
	}
	switch {
	case n.GetLeaseLeftMs() == 0:
		v.State = "lost"
	case node.GetDraining() || set.ServerDraining(v.Name):
		v.State = "draining"
	case node.GetBackendServer().GetName() == "":
		v.State = "no backend server"
	case node.GetCold():
		v.State = "cold"
	}
	return v
}

// lag returns the number of entries by which match is behind index, 0 if it is not.
func lag(index, match uint64) uint64 {
	return index - min(index, match)
}

func (s *session) printStatus(v statusView) {
	s.Printf("leader %d, term %d, index %d, rules revision %d", v.Leader, v.Term, v.Index, v.RulesRevision)
	s.Printf("partitions without an owner: %d, moves in flight: %d", v.UnassignedPartitions, v.MovesInFlight)
	if v.TakeoverWaitMs > 0 {
		s.Printf("new leader: partitions of lost nodes are assigned in %s", formatMilliseconds(uint64(v.TakeoverWaitMs)))
	}
	s.Printf("")
	s.PrintTable(memberRows(v.Members))
	s.Printf("")
	rows := [][]string{{"ZONE", "STATE", "SERVERS", "PARTITIONS", "REQUESTS/S", "IN FLIGHT", "RULE"}}
	for _, z := range v.Zones {
		rows = append(rows, []string{
			z.Name, z.State, strconv.Itoa(z.Servers), formatUint(z.Partitions), formatRate(z.RequestsPerSecond), formatUint(z.InFlight), z.Rule,
		})
	}
	s.PrintTable(rows)
	s.Printf("")
	rows = [][]string{{"SERVER", "UPSTREAM", "ZONE", "STATE", "PARTITIONS", "REQUESTS/S", "IN FLIGHT", "RULES", "LAG", "LEASE LEFT", "LAST RENEWAL"}}
	for _, n := range v.Servers {
		rows = append(rows, []string{
			n.Name, n.Upstream, n.Zone, n.State, formatUint(n.Partitions), formatRate(n.RequestsPerSecond), formatUint(n.InFlight),
			formatUint(n.RulesRevision), formatUint(n.LagEntries), formatMilliseconds(uint64(n.LeaseLeftMs)), formatMilliseconds(n.RenewAgeMs),
		})
	}
	s.PrintTable(rows)
	if len(v.Organisations) > 0 {
		s.Printf("")
		s.PrintTable(organisationRows(v.Organisations))
	}
}

func memberRows(members []memberView) [][]string {
	rows := [][]string{{"MEMBER", "ADDRESS", "ROLE", "LAG", "LAST ANSWER"}}
	for _, m := range members {
		answer := formatMilliseconds(m.AnswerAgeMs)
		if m.Role == "leader" {
			answer = "-"
		}
		rows = append(rows, []string{formatUint(m.ID), m.Address, m.Role, formatUint(m.LagEntries), answer})
	}
	return rows
}

func formatUint[T uint32 | uint64](n T) string {
	return strconv.FormatUint(uint64(n), 10)
}

func formatRate(perSecond float64) string {
	return strconv.FormatFloat(perSecond, 'f', 1, 64)
}

func formatMilliseconds(ms uint64) string {
	return (time.Duration(ms) * time.Millisecond).String()
}
