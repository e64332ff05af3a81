// Package demo shows the whole system on loopback in one process: it starts
// all roles, applies rules, sends load, takes an availability zone out and
// back, kills a node and the control leader, and checks the promises.
package demo

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/jujubeknot/jujubeknot/bench/check"
	"github.com/jujubeknot/jujubeknot/bench/lab"
	"github.com/jujubeknot/jujubeknot/bench/load"
)

// Defaults of Config.
const (
	DefaultRate  = 400
	DefaultPhase = 5 * time.Second
)

const (
	// startTimeout bounds the time until all roles serve.
	startTimeout = 15 * time.Second
	// outGrace is the time after which a zone taken out gets no new work.
	outGrace = 3 * time.Second
	// probeKeys is the number of keys whose availability is measured.
	probeKeys = 32
)

// Config configures the demo. The zero value of a field means the default.
type Config struct {
	// Rate is the number of requests per second.
	Rate float64
	// Phase is the time between two events.
	Phase time.Duration
	Seed  uint64
	// Logger gets the log lines of all roles. The zero value drops them.
	Logger zerolog.Logger
	Stdout io.Writer
}

// demo is one run.
type demo struct {
	config Config
	lab    *lab.Lab
	start  time.Time
	outs   []check.Out
}

// Run runs the demo and returns an error if a promise was broken.
func Run(ctx context.Context, config Config) error {
	config.Rate = cmp.Or(config.Rate, DefaultRate)
	config.Phase = cmp.Or(config.Phase, DefaultPhase)
	folder, err := os.MkdirTemp("", "jujubeknot-demo-")
	if err != nil {
		return fmt.Errorf("make a data folder: %w", err)
	}
	defer os.RemoveAll(folder)
	d := &demo{config: config, start: time.Now()}
	d.say("starting 3 control members and the 11 backend servers of %s, each with its node", lab.Rahma().Name)
	if d.lab, err = lab.Start(lab.Config{Folder: folder, Deployment: lab.Rahma(), Logger: config.Logger, Seed: config.Seed}); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	defer d.lab.Close()
	return d.run(ctx)
}

func (d *demo) say(format string, a ...any) {
	fmt.Fprintf(d.config.Stdout, "%5.1f s  %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, a...))
}

func (d *demo) run(ctx context.Context) error {
	ready, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := d.lab.WaitReady(ready); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	d.say("rules are in force at every node, every partition has an owner")
	probe := d.lab.StartProbe(lab.ProbeConfig{Path: "/applications/{key}/status", Keys: lab.KeysOfPartitions(probeKeys, 1024)})
	results := make(chan loaded, 1)
	began := time.Now()
	go func() {
		result, err := load.Run(ctx, d.load(6*d.config.Phase))
		results <- loaded{result, err}
	}()
	d.say("sending %.0f requests a second: reads, submissions and uploads", d.config.Rate)
	err := d.events(ctx)
	r := <-results
	probe.Stop()
	if err != nil {
		return err
	}
	if r.err != nil {
		return fmt.Errorf("load: %w", r.err)
	}
	return d.report(r.result, probe.Unavailable(began, time.Now().Add(-time.Second)))
}

type loaded struct {
	result *load.Result
	err    error
}

// load is a mix of what coordinators do.
func (d *demo) load(duration time.Duration) load.Config {
	return load.Config{
		Seed: d.config.Seed + 1, Targets: d.lab.Targets(), Rate: d.config.Rate, Duration: duration, Keys: 2000,
		Classes: []load.Class{
			{Name: "status", Weight: 70, Path: "/applications/{key}/status", Resends: 3, Timeout: 4 * time.Second},
			{Name: "submission", Weight: 15, Method: "POST", Path: "/applications/{key}/submit", Bytes: 2 << 10, IdempotencyKey: 0.5, Resends: 3, Timeout: 4 * time.Second},
			{Name: "upload", Weight: 15, Method: "POST", Path: "/documents/{key}", Bytes: 100 << 10, Resends: 3, Timeout: 4 * time.Second},
		},
	}
}

// events happen one phase after the other while the load runs.
func (d *demo) events(ctx context.Context) error {
	zone := d.lab.Servers()[1].Zone
	steps := []func() error{
		func() error {
			d.say("taking availability zone %s out of service", zone)
			_, err := d.lab.SetZone(ctx, zone, true)
			d.outs = append(d.outs, check.Out{Zone: zone, From: time.Now(), Grace: outGrace})
			return err
		},
		func() error {
			d.say("returning availability zone %s", zone)
			d.outs[0].To = time.Now()
			_, err := d.lab.SetZone(ctx, zone, false)
			return err
		},
		func() error {
			victim := d.lab.Servers()[0]
			d.say("killing %s and the node beside it", victim.Name)
			d.lab.KillServer(0)
			return nil
		},
		func() error {
			leader, err := d.lab.Leader(ctx)
			if err != nil {
				return err
			}
			d.say("killing the control leader, member %d", leader+1)
			d.lab.KillMember(leader)
			return nil
		},
		func() error {
			d.say("starting %s again", d.lab.Servers()[0].Name)
			return d.lab.StartServer(0)
		},
	}
	for _, step := range steps {
		select {
		case <-ctx.Done():
			return fmt.Errorf("demo: %w", ctx.Err())
		case <-time.After(d.config.Phase):
		}
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// ErrViolation means that a promise was broken.
var ErrViolation = errors.New("a promise was broken")
