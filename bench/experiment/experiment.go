// Package experiment measures the service that callers get and the resources
// that the system uses. Each experiment has a seed and a fixed length, states
// its measure and reports tables and plots.
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

// startTimeout is the time within which a started group must serve requests.
const startTimeout = 30 * time.Second

// Env holds the parameters of an experiment's run.
type Env struct {
	Seed uint64
	// Scale multiplies the length of phases and the number of repetitions.
	// Default 1, which is the scale of the figures in the documentation.
	Scale float64
	// Progress receives one line for each step. Default io.Discard.
	Progress io.Writer
	// Logger receives the log lines of all roles. The zero value discards them.
	Logger zerolog.Logger
	// Processes is required by the experiments on single nodes.
	Processes Processes
}

// scaledLength returns d multiplied by the scale.
func (e Env) scaledLength(d time.Duration) time.Duration {
	return time.Duration(float64(d) * e.scale())
}

// scaledCount returns n multiplied by the scale, at least 1.
func (e Env) scaledCount(n int) int {
	return max(1, int(float64(n)*e.scale()))
}

func (e Env) scale() float64 {
	if e.Scale == 0 {
		return 1
	}
	return e.Scale
}

// printProgress writes one line to Progress.
func (e Env) printProgress(format string, a ...any) {
	fmt.Fprintf(e.Progress, format+"\n", a...)
}

// Experiment is an experiment that can be run by its name.
type Experiment struct {
	Name string
	// Measure describes what the experiment measures.
	Measure string
	run     func(ctx context.Context, e Env) (*Report, error)
}

// Run runs the experiment and returns its report.
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

// Find returns the experiment with the given name.
func Find(name string) (Experiment, error) {
	all := All()
	i := slices.IndexFunc(all, func(x Experiment) bool { return x.Name == name })
	if i < 0 {
		return Experiment{}, errors.Errorf("unknown experiment %q", name)
	}
	return all[i], nil
}

// withLab starts a group, waits until it serves requests and calls run with it.
func (e Env) withLab(ctx context.Context, config lab.Config, run func(*lab.Lab) error) error {
	folder, err := os.MkdirTemp("", "jujubeknot-experiment-")
	if err != nil {
		return fmt.Errorf("create data folder: %w", err)
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
