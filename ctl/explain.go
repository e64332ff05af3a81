package ctl

import (
	"context"
	"fmt"
	"strings"

	"github.com/jujubeknot/jujubeknot/core/rules"
	"github.com/jujubeknot/jujubeknot/ctl/internal/screen"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

type explainCommand struct {
	Upstream string `long:"upstream" value-name:"NAME" description:"keyed upstream of the key"`
	Request  string `long:"request" value-name:"ID" description:"show the way of this request through the logs given, offline"`
	Args     struct {
		Names []string `positional-arg-name:"KEY|LOG" required:"1" description:"key as it stands in requests, or log files"`
	} `positional-args:"yes" required:"yes"`
}

func (c *explainCommand) run(ctx context.Context, s *session) error {
	switch {
	case c.Request != "" && c.Upstream != "":
		return newExitError(ExitUsage, "--request and --upstream exclude each other")
	case c.Request != "":
		return explainRequest(s, c.Request, c.Args.Names)
	case c.Upstream == "" || len(c.Args.Names) != 1:
		return newExitError(ExitUsage, "expected one key and --upstream, or --request and log files")
	}
	return c.explainKey(ctx, s, c.Args.Names[0])
}

func (c *explainCommand) explainKey(ctx context.Context, s *session, key string) error {
	if err := s.connect(); err != nil {
		return err
	}
	_, set, err := s.currentRules(ctx)
	if err != nil {
		return err
	}
	upstream, ok := set.Upstream(c.Upstream)
	if !ok || !upstream.Keyed {
		return newExitError(ExitInvalid, fmt.Sprintf("%q is not a keyed upstream of the rules in force", c.Upstream))
	}
	explained, err := s.client.Explain(ctx, c.Upstream, key)
	if err != nil {
		return err
	}
	status, err := s.client.Status(ctx)
	if err != nil {
		return err
	}
	names := map[uint64]string{}
	for _, n := range status.GetNodes() {
		names[n.GetNode().GetIncarnation()] = serverName(n.GetNode())
	}
	assignment, owner := explained.GetAssignment(), explained.GetOwner()
	rows := [][]string{
		{"key", key},
		{"partition", fmt.Sprintf("%d of %d of upstream %s", assignment.GetPartition(), upstream.Partitions, c.Upstream)},
	}
	if owner.GetIncarnation() == 0 {
		rows = append(rows, []string{"owner", "none"})
	} else {
		rows = append(rows, []string{"owner", fmt.Sprintf("%s in %s at %s, %s", serverName(owner), owner.GetAvailabilityZone(),
			owner.GetPeerAddress(), ownerState(owner, set))})
	}
	rows = append(rows,
		[]string{"epoch", formatUint(assignment.GetEpoch())},
		[]string{"since", formatSince(assignment)},
		[]string{"why", formatReason(assignment)},
	)
	if text := explained.GetWaitingFor(); text != "" {
		rows = append(rows, []string{"waiting for", text})
	}
	s.PrintTable(rows)
	s.Printf("\nrules that bear on it:")
	for _, line := range relevantRules(set, assignment, owner) {
		s.Printf("  %s", line)
	}
	s.Printf("\nlast moves:")
	moves := [][]string{{"  EPOCH", "OWNER", "SINCE", "LOG INDEX", "WHY"}}
	for _, m := range explained.GetLastMoves() {
		moves = append(moves, []string{"  " + formatUint(m.GetEpoch()), ownerName(names, m.GetOwner()), formatSinceTime(m), formatUint(m.GetSinceIndex()), formatReason(m)})
	}
	s.PrintTable(moves)
	return nil
}

// formatSince returns the time and the log index of an assignment.
func formatSince(a *wirev1.Assignment) string {
	if a.GetEpoch() == 0 {
		return "never assigned"
	}
	return fmt.Sprintf("%s, log index %d", formatSinceTime(a), a.GetSinceIndex())
}

// formatSinceTime returns the time of an assignment. Assignments that were made by
// earlier versions have no time.
func formatSinceTime(a *wirev1.Assignment) string {
	if a.GetSinceUnixMs() == 0 {
		return "unknown"
	}
	return formatUnixMilli(a.GetSinceUnixMs())
}

// formatReason returns the reason of an assignment, and whether the previous owner
// released the partition in a planned move.
func formatReason(a *wirev1.Assignment) string {
	reason := a.GetReason()
	if reason == "" {
		reason = "never assigned"
	}
	if a.GetPlanned() {
		reason += ", released by the previous owner"
	}
	return reason
}

func ownerState(n *wirev1.Node, set rules.Set) string {
	switch {
	case n.GetDraining() || set.ServerDraining(n.GetBackendServer().GetName()):
		return "draining"
	case n.GetCold():
		return "cold"
	}
	return "warm"
}

// ownerName returns the backend server of an incarnation. If the incarnation is not in
// names, it is no longer registered.
func ownerName(names map[uint64]string, incarnation uint64) string {
	if incarnation == 0 {
		return "none"
	}
	if name, ok := names[incarnation]; ok {
		return name
	}
	return fmt.Sprintf("gone (incarnation %d)", incarnation)
}

// relevantRules returns the rules that can influence the owner of the partition: its
// upstream and the routes to it, the rules for the owner and its zone, the pin of the
// partition, and all rules that take a zone out of service or drain a server.
func relevantRules(set rules.Set, a *wirev1.Assignment, owner *wirev1.Node) []string {
	var lines []string
	for _, change := range rules.Compare(rules.Set{}, set) {
		fields := strings.Fields(change.Rule)
		kind, name := fields[0], fields[1]
		relevant := false
		switch kind {
		case "upstream":
			relevant = name == a.GetUpstream()
		case "route":
			relevant = strings.Contains(change.New, " to "+a.GetUpstream()+" ")
		case "zone":
			relevant = name == owner.GetAvailabilityZone() || strings.HasSuffix(change.New, " out")
		case "server":
			relevant = name == owner.GetBackendServer().GetName() || strings.HasSuffix(change.New, " drain")
		case "pin":
			relevant = change.Rule == fmt.Sprintf("pin %s partition %d", a.GetUpstream(), a.GetPartition())
		}
		if relevant {
			lines = append(lines, screen.Sanitize(change.New+"  "+change.NewComment.String()))
		}
	}
	return lines
}
