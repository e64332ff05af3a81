package ctl

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/jujubeknot/jujubeknot/core/rules"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// fileArgument is the positional argument with the rules file.
type fileArgument struct {
	Args struct {
		File string `positional-arg-name:"FILE" description:"rules file"`
	} `positional-args:"yes" required:"yes"`
}

// read returns the text of the rules file and the parsed rules. The error lists all
// faults of the file.
func (f fileArgument) read() (string, rules.Set, error) {
	info, err := os.Stat(f.Args.File)
	if err != nil {
		return "", rules.Set{}, newExitError(ExitUsage, fmt.Sprintf("the rules file cannot be read: %v", err))
	}
	if info.Size() > rules.MaxFileBytes {
		return "", rules.Set{}, newExitError(ExitRefused, fmt.Sprintf("%s has %d bytes; expected at most %d", f.Args.File, info.Size(), rules.MaxFileBytes))
	}
	data, err := os.ReadFile(f.Args.File)
	if err != nil {
		return "", rules.Set{}, newExitError(ExitUsage, fmt.Sprintf("the rules file cannot be read: %v", err))
	}
	set, faults := rules.Parse(string(data))
	return string(data), set, f.faultsError(faults)
}

// faultsError returns an error with one line for each fault, or nil if there are none.
func (f fileArgument) faultsError(faults rules.Errors) error {
	if len(faults) == 0 {
		return nil
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s is refused, nothing was changed:", f.Args.File)
	for _, e := range faults {
		if e.Line == 0 {
			fmt.Fprintf(&b, "\n%s: %s", f.Args.File, e.Message)
			continue
		}
		fmt.Fprintf(&b, "\n%s:%d:%d: %s", f.Args.File, e.Line, e.Column, e.Message)
	}
	return newExitError(ExitRefused, b.String())
}

// currentRules returns the current revision of the rules and its parsed rules.
func (s *session) currentRules(ctx context.Context) (*wirev1.RulesRevision, rules.Set, error) {
	revision, err := s.client.GetRules(ctx, 0)
	if err != nil {
		return nil, rules.Set{}, err
	}
	set, faults := rules.Parse(revision.GetText())
	if err := faults.Err(); err != nil {
		return nil, rules.Set{}, fmt.Errorf("revision %d cannot be read by this version of jujubeknotctl: %w", revision.GetRevision(), err)
	}
	return revision, set, nil
}

type checkCommand struct {
	Canonical bool `long:"canonical" description:"show the rules sorted and without defaults"`
	fileArgument
}

func (c *checkCommand) run(_ context.Context, s *session) error {
	_, set, err := c.read()
	if err != nil {
		return err
	}
	if c.Canonical {
		s.Printf("%s", strings.TrimSuffix(rules.Format(set), "\n"))
		return nil
	}
	s.Printf("%s: %s, no faults", c.Args.File, pluralize(len(rules.Compare(rules.Set{}, set)), "rule"))
	return nil
}

type diffCommand struct {
	fileArgument
}

func (c *diffCommand) run(ctx context.Context, s *session) error {
	_, set, err := c.read()
	if err != nil {
		return err
	}
	if err := s.connect(); err != nil {
		return err
	}
	revision, before, err := s.currentRules(ctx)
	if err != nil {
		return err
	}
	changes := rules.Compare(before, set)
	if len(changes) == 0 {
		s.Printf("no difference to revision %d", revision.GetRevision())
		return nil
	}
	s.Printf("revision %d -> %s: %s", revision.GetRevision(), c.Args.File, summary(changes))
	for _, change := range changes {
		s.Printf("%s", change)
	}
	return c.faultsError(rules.CheckChange(before, set))
}

// summary returns the number of changes of each kind, such as "1 added, 2 changed".
func summary(changes []rules.Change) string {
	counts := map[rules.ChangeKind]int{}
	for _, c := range changes {
		counts[c.Kind]++
	}
	var parts []string
	for _, part := range []struct {
		kind rules.ChangeKind
		text string
	}{
		{rules.ChangeKindAdded, "added"},
		{rules.ChangeKindRemoved, "removed"},
		{rules.ChangeKindChanged, "changed"},
		{rules.ChangeKindComment, "with only another comment"},
	} {
		if n := counts[part.kind]; n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", n, part.text))
		}
	}
	return strings.Join(parts, ", ")
}

// pluralize returns a number and a noun, in the plural unless n is 1.
func pluralize(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

// indent indents all lines of a text but the first by two spaces.
func indent(text string) string {
	return strings.ReplaceAll(text, "\n", "\n  ")
}
