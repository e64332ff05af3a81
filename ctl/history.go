package ctl

import (
	"context"

	"github.com/jujubeknot/jujubeknot/core/rules"
	"github.com/jujubeknot/jujubeknot/ctl/internal/screen"
)

type historyCommand struct {
	Limit uint32 `long:"limit" value-name:"N" default:"10" description:"number of revisions, 0 for all that are kept"`
}

func (c *historyCommand) run(ctx context.Context, s *session) error {
	if err := s.connect(); err != nil {
		return err
	}
	limit := c.Limit
	if limit > 0 {
		// The revision before the oldest one shown is needed for the comparison.
		limit++
	}
	revisions, err := s.client.History(ctx, limit)
	if err != nil {
		return err
	}
	for i, r := range revisions {
		if c.Limit > 0 && i == int(c.Limit) {
			break
		}
		if i > 0 {
			s.Printf("")
		}
		s.Printf("revision %d, %s, from %s, request id %s", r.GetRevision(), formatUnixMilli(r.GetAcceptedUnixMs()),
			screen.Sanitize(r.GetAuthor()), screen.Sanitize(r.GetRequestId()))
		before := ""
		if i+1 < len(revisions) {
			before = revisions[i+1].GetText()
		} else if r.GetRevision() > 1 {
			s.Printf("  the revision before it is not kept; the rules of this one:")
		}
		s.printChanges(before, r.GetText())
	}
	if len(revisions) == 0 {
		s.Printf("no rules were applied yet")
	}
	return nil
}

// printChanges prints the rules that differ between two texts, with their comments.
func (s *session) printChanges(before, after string) {
	old, oldFaults := rules.Parse(before)
	set, faults := rules.Parse(after)
	if len(oldFaults)+len(faults) > 0 {
		s.Printf("  this version of jujubeknotctl cannot read the rules of this revision or the one before")
		return
	}
	changes := rules.Compare(old, set)
	for _, change := range changes {
		s.Printf("  %s", indent(change.String()))
	}
	if len(changes) == 0 {
		s.Printf("  no rule differs: only the order, spaces or whole-line comments")
	}
}
