package main

import (
	"context"
	"fmt"
	"math"
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/jujubeknot/jujubeknot/bench/experiment"
)

type runCommand struct {
	command
	Seed  uint64  `long:"seed" default:"1" description:"seed of load and stand-ins"`
	Scale float64 `long:"scale" default:"1" description:"multiplies lengths and repetitions"`
	JSON  string  `long:"json" value-name:"FILE" description:"write the report as JSON"`
	Plots string  `long:"plots" value-name:"FOLDER" description:"write the plots as SVG"`
	Log   string  `long:"log" value-name:"FILE" description:"write the log lines of all roles to a file"`
	// The following options are set by tools/measure-node.
	Operator string `long:"operator" value-name:"ADDRESS" description:"operators' address of a control member that runs" hidden:"yes"`
	Entry    string `long:"entry" value-name:"PID,CALLERS" description:"entry node that runs" hidden:"yes"`
	Owner    string `long:"owner" value-name:"PID,CALLERS,BACKEND" description:"owner's node that runs" hidden:"yes"`
	Names    struct {
		Name string `positional-arg-name:"EXPERIMENT"`
	} `positional-args:"yes"`
}

func (c *runCommand) run(ctx context.Context) error {
	if c.Names.Name == "" {
		for _, x := range experiment.All() {
			fmt.Printf("%-12s %s\n", x.Name, x.Measure)
		}
		return nil
	}
	x, err := experiment.Find(c.Names.Name)
	if err != nil {
		return err
	}
	if err := c.prepareOutputs(); err != nil {
		return err
	}
	logger, closeLog, err := openLog(c.Log)
	if err != nil {
		return err
	}
	defer closeLog()
	env := experiment.Env{Seed: c.Seed, Scale: c.Scale, Progress: os.Stderr, Logger: logger}
	if c.Operator != "" {
		env.Processes.Operator = c.Operator
		if env.Processes.Entry, err = parseProcess(c.Entry); err != nil {
			return fmt.Errorf("--entry: %w", err)
		}
		if env.Processes.Owner, err = parseProcess(c.Owner); err != nil {
			return fmt.Errorf("--owner: %w", err)
		}
	}
	report, err := x.Run(ctx, env)
	if err != nil {
		return err
	}
	if err := report.Markdown(os.Stdout); err != nil {
		return err
	}
	if c.JSON != "" {
		if err := report.WriteJSON(c.JSON); err != nil {
			return err
		}
	}
	if c.Plots != "" {
		return report.WritePlots(c.Plots)
	}
	return nil
}

// prepareOutputs checks the scale, creates the folder for plots and checks that the
// JSON file can be written. It runs before the experiment, which may take minutes.
func (c *runCommand) prepareOutputs() error {
	if !(c.Scale > 0) || math.IsInf(c.Scale, 1) {
		return errors.Errorf("--scale: found %v, expected a number above 0", c.Scale)
	}
	if c.Plots != "" {
		if err := os.MkdirAll(c.Plots, 0o750); err != nil {
			return fmt.Errorf("--plots: %w", err)
		}
	}
	if c.JSON == "" {
		return nil
	}
	// The file is not truncated, so that an earlier report stays until the new one
	// is complete.
	file, err := os.OpenFile(c.JSON, os.O_WRONLY|os.O_CREATE, 0o600)
	if err != nil {
		return fmt.Errorf("--json: %w", err)
	}
	if err := file.Close(); err != nil {
		return fmt.Errorf("--json: %w", err)
	}
	return nil
}

// openLog returns a logger that writes to the file of the given name and a function
// that closes the file. With an empty name the logger discards all lines.
func openLog(name string) (zerolog.Logger, func(), error) {
	if name == "" {
		return zerolog.Nop(), func() {}, nil
	}
	file, err := os.Create(name)
	if err != nil {
		return zerolog.Nop(), nil, fmt.Errorf("create log file: %w", err)
	}
	return zerolog.New(file).With().Timestamp().Logger(), func() { _ = file.Close() }, nil
}

// parseProcess parses a process id, the address for callers and optionally the
// address for backend servers, separated by commas.
func parseProcess(text string) (*experiment.Process, error) {
	parts := strings.Split(text, ",")
	if len(parts) < 2 {
		return nil, errors.Errorf("found %q, expected a process id and addresses, separated by commas", text)
	}
	pid, err := strconv.Atoi(parts[0])
	if err != nil {
		return nil, fmt.Errorf("parse process id: %w", err)
	}
	p := &experiment.Process{PID: pid, Callers: parts[1]}
	if len(parts) > 2 {
		p.Announce = parts[2]
	}
	return p, nil
}
