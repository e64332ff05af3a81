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

// watchInterval is the time between two looks at the file. A save counts once
// the file is the same at two looks, because editors write in parts.
const watchInterval = 250 * time.Millisecond

type watchCommand struct {
	Force bool `long:"force" description:"apply even if an upstream then has no availability zone in service"`
	fileArgument
}

// fileState is what a look at the file finds.
type fileState struct {
	changed time.Time
	text    string
	missing bool
}

func (c *watchCommand) look() fileState {
	info, err := os.Stat(c.Args.File)
	if err != nil || info.Size() > rules.MaxFileBytes {
		return fileState{missing: err != nil, text: c.Args.File}
	}
	data, err := os.ReadFile(c.Args.File)
	return fileState{changed: info.ModTime(), text: string(data), missing: err != nil}
}

func (c *watchCommand) run(ctx context.Context, s *session) error {
	if _, err := os.Stat(c.Args.File); err != nil {
		return coded(ExitUsage, "the rules file cannot be read: "+err.Error())
	}
	if err := s.connect(); err != nil {
		return err
	}
	current, _, err := s.current(ctx)
	if err != nil {
		return err
	}
	applied := c.look()
	base := current.GetRevision()
	s.Printf("watching %s; the rules are at revision %d%s", c.Args.File, base, either(applied.text == current.GetText(),
		" and have this content", "; the file differs and is applied when it is saved"))
	seen := applied
	for {
		s.Progressf("waiting for %s to be saved", c.Args.File)
		select {
		case <-ctx.Done():
			s.Printf("watch ended; revision %d was the last one applied or found", base)
			return nil
		case <-time.After(watchInterval):
		}
		now := c.look()
		stable := now == seen
		seen = now
		if now.missing || !stable || now == applied {
			continue
		}
		applied = now
		if base, err = c.applyOnce(ctx, s, base); err != nil {
			return err
		}
	}
}

// applyOnce applies the file as it is and returns the revision to build the
// next change on. Faults are written and wait for the next save. The error
// ends the command.
func (c *watchCommand) applyOnce(ctx context.Context, s *session, base uint64) (uint64, error) {
	text, set, err := c.read()
	if err != nil {
		s.PrintErrf("%v", err)
		return base, nil
	}
	p := proposal{file: c.fileArgument, text: text, base: base, requestID: rand.Text()}
	for {
		revision, err := c.try(ctx, s, p, set)
		var unknown *operator.UnknownOutcomeError
		var unreachable *operator.UnreachableError
		switch {
		case ctx.Err() != nil && err != nil:
			return base, err
		case errors.As(err, &unknown), errors.As(err, &unreachable):
			// The same request id makes the next sending safe, whatever became
			// of this one.
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

func (c *watchCommand) try(ctx context.Context, s *session, p proposal, set rules.Set) (uint64, error) {
	before, faults := rules.Set{}, rules.Errors(nil)
	current, err := s.client.GetRules(ctx, p.base)
	if err != nil {
		return 0, err
	}
	if before, faults = rules.Parse(current.GetText()); len(faults) > 0 {
		return 0, faults
	}
	if err := c.refuse(rules.CheckChange(before, set)); err != nil {
		return 0, err
	}
	if !c.Force {
		if err := s.checkService(ctx, before, set); err != nil {
			return 0, err
		}
	}
	return s.propose(ctx, p)
}

func either(first bool, a, b string) string {
	if first {
		return a
	}
	return b
}
