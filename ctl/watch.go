package ctl

import (
	"context"
	"crypto/rand"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/core/rules"
	"github.com/jujubeknot/jujubeknot/ctl/internal/operator"
)

// watchInterval is the time between two reads of the file. A saved file is applied only
// after two reads with the same result, because editors may write a file in parts.
const watchInterval = 250 * time.Millisecond

type watchCommand struct {
	Force bool `long:"force" description:"apply even if an upstream then has no availability zone in service"`
	fileArgument
}

// fileState is the result of reading the file. missing means that it cannot be read.
type fileState struct {
	modified time.Time
	text     string
	missing  bool
}

// readState reads the file. It does not read a file that is larger than
// rules.MaxFileBytes, and returns the path as its text.
func (c *watchCommand) readState() fileState {
	info, err := os.Stat(c.Args.File)
	if err != nil || info.Size() > rules.MaxFileBytes {
		return fileState{missing: err != nil, text: c.Args.File}
	}
	data, err := os.ReadFile(c.Args.File)
	return fileState{modified: info.ModTime(), text: string(data), missing: err != nil}
}

func (c *watchCommand) run(ctx context.Context, s *session) error {
	if _, err := os.Stat(c.Args.File); err != nil {
		return newExitError(ExitUsage, "the rules file cannot be read: "+err.Error())
	}
	if err := s.connect(); err != nil {
		return err
	}
	current, _, err := s.currentRules(ctx)
	if err != nil {
		return err
	}
	applied := c.readState()
	base := current.GetRevision()
	s.Printf("watching %s; the rules are at revision %d%s", c.Args.File, base, choose(applied.text == current.GetText(),
		" and have this content", "; the file differs and is applied when it is saved"))
	previous := applied
	for {
		s.Progressf("waiting for %s to be saved", c.Args.File)
		select {
		case <-ctx.Done():
			s.Printf("watch ended; revision %d was the last one applied or found", base)
			return nil
		case <-time.After(watchInterval):
		}
		now := c.readState()
		stable := now == previous
		previous = now
		if now.missing || !stable || now == applied {
			continue
		}
		applied = now
		if base, err = c.applyFile(ctx, s, base); err != nil {
			return err
		}
	}
}

// applyFile applies the current content of the file and returns the base revision of
// the next change. It prints faults of the file, which can be corrected by the next
// save. A returned error ends the command.
func (c *watchCommand) applyFile(ctx context.Context, s *session, base uint64) (uint64, error) {
	text, set, err := c.read()
	if err != nil {
		s.PrintErrf("%v", err)
		return base, nil
	}
	p := proposal{file: c.fileArgument, text: text, base: base, requestID: rand.Text()}
	for {
		revision, err := c.checkAndPropose(ctx, s, p, set)
		var unknown *operator.UnknownOutcomeError
		var unreachable *operator.UnreachableError
		switch {
		case ctx.Err() != nil && err != nil:
			return base, err
		case errors.As(err, &unknown), errors.As(err, &unreachable):
			// The retry uses the same request id, so that the change is made only
			// once even if this attempt took effect.
			s.PrintErrf("%v\ntrying again", err)
			continue
		case err != nil && exitCode(err) == ExitConflict:
			return base, err
		case err != nil:
			s.PrintErrf("%v", err)
			return base, nil
		}
		if err := s.waitInForce(ctx, revision); err != nil {
			s.PrintErrf("%v", err)
		}
		return revision, nil
	}
}

// checkAndPropose validates the change against the revision that it builds on and
// proposes it.
func (c *watchCommand) checkAndPropose(ctx context.Context, s *session, p proposal, set rules.Set) (uint64, error) {
	before, faults := rules.Set{}, rules.Errors(nil)
	current, err := s.client.GetRules(ctx, p.base)
	if err != nil {
		return 0, err
	}
	if before, faults = rules.Parse(current.GetText()); len(faults) > 0 {
		return 0, faults
	}
	if err := c.faultsError(rules.CheckChange(before, set)); err != nil {
		return 0, err
	}
	if !c.Force {
		if err := s.checkAvailability(ctx, before, set); err != nil {
			return 0, err
		}
	}
	return s.propose(ctx, p)
}

// choose returns ifTrue or ifFalse, depending on the condition.
func choose(condition bool, ifTrue, ifFalse string) string {
	if condition {
		return ifTrue
	}
	return ifFalse
}
