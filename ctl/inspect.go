package ctl

import (
	"context"
	"fmt"
	"os"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/control/inspect"
)

type inspectCommand struct {
	JSON      bool   `long:"json" description:"write JSON"`
	From      uint64 `long:"from" value-name:"INDEX" description:"first entry to show"`
	To        uint64 `long:"to" value-name:"INDEX" description:"last entry to show"`
	Rules     bool   `long:"rules" description:"write only the text of the last rules"`
	NoEntries bool   `long:"no-entries" description:"leave out the entries of the log"`
	Args      struct {
		Folder string `positional-arg-name:"FOLDER" description:"data folder of a control member that is stopped"`
	} `positional-args:"yes" required:"yes"`
}

func (c *inspectCommand) run(_ context.Context, s *session) error {
	if info, err := os.Stat(c.Args.Folder); err != nil || !info.IsDir() {
		return newExitError(ExitUsage, fmt.Sprintf("%s is not a folder that can be read", c.Args.Folder))
	}
	if c.To > 0 && c.To < c.From {
		return newExitError(ExitUsage, fmt.Sprintf("--from %d is after --to %d", c.From, c.To))
	}
	options := inspect.Options{JSON: c.JSON, From: c.From, To: c.To, SkipEntries: c.NoEntries, Rules: c.Rules}
	err := inspect.Run(c.Args.Folder, options, s.ResultWriter())
	if errors.Is(err, inspect.ErrNoData) {
		return newExitError(ExitUsage, fmt.Sprintf("%s: %v", c.Args.Folder, err))
	}
	if err != nil {
		return fmt.Errorf("%s: %w", c.Args.Folder, err)
	}
	return nil
}
