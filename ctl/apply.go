package ctl

import (
	"context"
	"crypto/rand"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/core/rules"
	"github.com/jujubeknot/jujubeknot/ctl/internal/operator"
	"github.com/jujubeknot/jujubeknot/ctl/internal/screen"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// pollInterval is the time between two status calls while a command waits. A change is
// expected to be in force within 2 s, and the interval is a tenth of that.
const pollInterval = 200 * time.Millisecond

type applyCommand struct {
	Expect    *uint64 `long:"expect" value-name:"REVISION" description:"revision that the change builds on (default: the one in force)"`
	RequestID string  `long:"request-id" value-name:"ID" description:"id of an earlier sending whose answer was lost (default: a new one)"`
	Wait      bool    `long:"wait" description:"wait until the change is in force everywhere"`
	Force     bool    `long:"force" description:"apply even if an upstream then has no availability zone in service"`
	fileArgument
}

func (c *applyCommand) run(ctx context.Context, s *session) error {
	text, set, err := c.read()
	if err != nil {
		return err
	}
	if err := s.connect(); err != nil {
		return err
	}
	current, before, err := s.currentRules(ctx)
	if err != nil {
		return err
	}
	p := proposal{file: c.fileArgument, text: text, base: current.GetRevision(), requestID: c.RequestID}
	if c.Expect != nil {
		p.base = *c.Expect
	}
	if p.requestID == "" {
		p.requestID = rand.Text()
	}
	if err := c.faultsError(rules.CheckChange(before, set)); err != nil {
		return err
	}
	if !c.Force {
		if err := s.checkAvailability(ctx, before, set); err != nil {
			return err
		}
	}
	revision, err := s.propose(ctx, p)
	if err != nil {
		return err
	}
	if !c.Wait {
		s.Printf("nodes follow within seconds; status shows where it is in force")
		return nil
	}
	return s.waitInForce(ctx, revision)
}

// proposal is a proposed change of the rules. base is the revision that it builds on.
type proposal struct {
	file      fileArgument
	text      string
	base      uint64
	requestID string
}

// propose sends a proposal and prints the result. It returns the revision that
// contains the proposed text.
func (s *session) propose(ctx context.Context, p proposal) (uint64, error) {
	response, err := s.client.ApplyRules(ctx, &wirev1.ApplyRulesRequest{
		BaseRevision: p.base, Text: p.text, RequestId: p.requestID, Author: s.author(),
	})
	var unknown *operator.UnknownOutcomeError
	if errors.As(err, &unknown) {
		return 0, fmt.Errorf("%w\nthe change may have been accepted; run the same command again with --request-id %s --expect %d",
			err, p.requestID, p.base)
	}
	if err != nil {
		return 0, err
	}
	revision := response.GetRevision()
	switch response.GetOutcome() {
	case wirev1.ApplyRulesResponse_OUTCOME_ACCEPTED:
		s.Printf("accepted as revision %d", revision)
		return revision, nil
	case wirev1.ApplyRulesResponse_OUTCOME_UNCHANGED:
		s.Printf("accepted earlier: revision %d has this content", revision)
		return revision, nil
	case wirev1.ApplyRulesResponse_OUTCOME_CONFLICT:
		return 0, s.conflictError(ctx, p, response)
	case wirev1.ApplyRulesResponse_OUTCOME_INVALID:
		var faults rules.Errors
		for _, e := range response.GetErrors() {
			faults = append(faults, rules.Error{Line: int(e.GetLine()), Column: int(e.GetColumn()), Message: e.GetMessage()})
		}
		if len(faults) == 0 {
			faults = rules.Errors{{Message: "control refused the rules as invalid and gave no reason"}}
		}
		return 0, p.file.faultsError(faults)
	default:
		return 0, fmt.Errorf("control returned an outcome that this version of jujubeknotctl does not know: %v", response.GetOutcome())
	}
}

// conflictError returns an error that names the conflicting change, with its author and
// time if they can be read.
func (s *session) conflictError(ctx context.Context, p proposal, response *wirev1.ApplyRulesResponse) error {
	revision := response.GetRevision()
	text := fmt.Sprintf("conflict, nothing was changed: the change builds on revision %d, but the rules are at revision %d", p.base, revision)
	if winner, err := s.client.GetRules(ctx, revision); err == nil && winner.GetRevision() == revision {
		text += fmt.Sprintf(", accepted %s from %s", formatUnixMilli(winner.GetAcceptedUnixMs()), screen.Sanitize(winner.GetAuthor()))
	}
	for _, e := range response.GetErrors() {
		text += "\ncontrol says: " + screen.Sanitize(e.GetMessage())
	}
	return newExitError(ExitConflict, text+fmt.Sprintf("\nlook at the difference with diff %s, then apply with --expect %d", p.file.Args.File, revision))
}

// formatUnixMilli formats a time from a control member in UTC, with a precision of
// seconds.
func formatUnixMilli(unixMs int64) string {
	return time.UnixMilli(unixMs).UTC().Format("2006-01-02 15:04:05Z")
}

// checkAvailability returns an error for a change that leaves an upstream without a
// backend server in service. It also returns one for a change that removes all rules,
// because a file that an editor is still writing can be empty.
func (s *session) checkAvailability(ctx context.Context, before, after rules.Set) error {
	if len(rules.Compare(rules.Set{}, after)) == 0 && len(rules.Compare(before, after)) > 0 {
		return newExitError(ExitRefused, "the file has no rules, so this would remove all of them; add --force if that is intended")
	}
	status, err := s.client.Status(ctx)
	if err != nil {
		return err
	}
	var faults []string
	for _, u := range after.Upstreams {
		old := zonesInService(u.Name, before, status.GetNodes())
		if len(old) > 0 && len(zonesInService(u.Name, after, status.GetNodes())) == 0 {
			faults = append(faults, fmt.Sprintf("the last availability zone of upstream %s would go out of service (in service now: %s)",
				u.Name, strings.Join(old, ", ")))
		}
	}
	if len(faults) > 0 {
		return newExitError(ExitRefused, strings.Join(faults, "\n")+"\nnothing was changed; add --force if that is intended")
	}
	return nil
}

// zonesInService returns the availability zones in which an upstream has a backend
// server that accepts work under the rules in set.
func zonesInService(upstream string, set rules.Set, nodes []*wirev1.NodeStatus) []string {
	var zones []string
	seen := map[string]bool{}
	for _, n := range nodes {
		server, zone := n.GetNode().GetBackendServer(), n.GetNode().GetAvailabilityZone()
		if server.GetUpstream() != upstream || seen[zone] || n.GetLeaseLeftMs() == 0 || n.GetNode().GetDraining() ||
			set.ZoneOut(zone) || set.ServerDraining(server.GetName()) {
			continue
		}
		seen[zone] = true
		zones = append(zones, screen.Sanitize(zone))
	}
	return zones
}
