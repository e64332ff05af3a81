// Package experiment measures what users feel and what the system costs. Each
// experiment has a seed and a fixed length, says which measure it serves, and
// reports tables and plots.
package experiment

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/jujubeknot/jujubeknot/bench/lab"
)

// startTimeout bounds the time until a system serves.
const startTimeout = 30 * time.Second

// Env is what an experiment runs in.
type Env struct {
	Seed uint64
	// Scale multiplies the length of phases and the number of repetitions. 0
	// means 1. Figures in the docs are at 1.
	Scale float64
	// Progress gets a line for each step.
	Progress io.Writer
	// Logger gets the log lines of all roles. The zero value drops them.
	Logger zerolog.Logger
	// Processes are set for experiments on single nodes.
	Processes Processes
}

// length returns a length at the scale.
func (e Env) length(d time.Duration) time.Duration {
	return time.Duration(float64(d) * e.scale())
}

// times returns a number of repetitions at the scale, at least 1.
func (e Env) times(n int) int {
	return max(1, int(float64(n)*e.scale()))
}

func (e Env) scale() float64 {
	if e.Scale == 0 {
		return 1
	}
	return e.Scale
}

func (e Env) say(format string, a ...any) {
	fmt.Fprintf(e.Progress, format+"\n", a...)
}

// Experiment is one experiment.
type Experiment struct {
	Name string
	// Measure says what it serves.
	Measure string
	run     func(ctx context.Context, e Env) (*Report, error)
}

// Run runs the experiment.
func (x Experiment) Run(ctx context.Context, e Env) (*Report, error) {
	if e.Progress == nil {
		e.Progress = io.Discard
	}
	report, err := x.run(ctx, e)
	if err != nil {
		return nil, fmt.Errorf("experiment %s: %w", x.Name, err)
	}
	report.Experiment, report.Measure, report.Seed = x.Name, x.Measure, e.Seed
	return report, nil
}

// Find returns the experiment of a name.
func Find(name string) (Experiment, error) {
	all := All()
	i := slices.IndexFunc(all, func(x Experiment) bool { return x.Name == name })
	if i < 0 {
		return Experiment{}, errors.Errorf("no experiment is named %q", name)
	}
	return all[i], nil
}

// withLab runs a function with a system that serves.
func (e Env) withLab(ctx context.Context, config lab.Config, run func(*lab.Lab) error) error {
	folder, err := os.MkdirTemp("", "jujubeknot-experiment-")
	if err != nil {
		return fmt.Errorf("make a data folder: %w", err)
	}
	defer os.RemoveAll(folder)
	config.Folder, config.Logger, config.Seed = folder, e.Logger, e.Seed
	l, err := lab.Start(config)
	if err != nil {
		return err
	}
	defer l.Close()
	ready, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := l.WaitReady(ready); err != nil {
		return err
	}
	return run(l)
}
