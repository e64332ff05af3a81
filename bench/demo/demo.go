// Package demo runs a complete group on loopback in one process. It starts all
// roles, applies rules and sends load. It takes an availability zone out of service
// and returns it, and kills a node and the control leader. Then it checks that no
// guarantee was violated.
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
	// startTimeout is the time within which all roles must be ready.
	startTimeout = 15 * time.Second
	// outGrace is the time after which a zone that was taken out must receive no
	// new work.
	outGrace = 3 * time.Second
	// probeKeys is the number of keys whose availability is probed.
	probeKeys = 32
)

// Config configures the demo. Stdout is required. The zero value of any other field
// selects its default.
type Config struct {
	// Rate is the number of requests per second. Default DefaultRate.
	Rate float64
	// Phase is the time between two events. Default DefaultPhase.
	Phase time.Duration
	Seed  uint64
	// Logger receives the log lines of all roles. The zero value discards them.
	Logger zerolog.Logger
	// Stdout receives a line for each step and the final report.
	Stdout io.Writer
}

// demo is one run of the demo.
type demo struct {
	config Config
	lab    *lab.Lab
	start  time.Time
	// zoneOuts are the intervals in which zones are out of service.
	zoneOuts []check.Exclusion
}

// Run runs the demo. It returns an error that wraps ErrViolation if a guarantee was
// violated.
func Run(ctx context.Context, config Config) error {
	config.Rate = cmp.Or(config.Rate, DefaultRate)
	config.Phase = cmp.Or(config.Phase, DefaultPhase)
	folder, err := os.MkdirTemp("", "jujubeknot-demo-")
	if err != nil {
		return fmt.Errorf("create data folder: %w", err)
	}
	defer os.RemoveAll(folder)
	d := &demo{config: config, start: time.Now()}
	d.printStep("starting 3 control members and the 11 backend servers of %s, each with its node", lab.Rahma().Name)
	if d.lab, err = lab.Start(lab.Config{Folder: folder, Deployment: lab.Rahma(), Logger: config.Logger, Seed: config.Seed}); err != nil {
		return fmt.Errorf("start all roles: %w", err)
	}
	defer d.lab.Close()
	return d.run(ctx)
}

// printStep prints a line with the time since the start.
func (d *demo) printStep(format string, a ...any) {
	fmt.Fprintf(d.config.Stdout, "%5.1f s  %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, a...))
}

// run sends load, runs the events meanwhile and prints the report.
func (d *demo) run(ctx context.Context) error {
	ready, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := d.lab.WaitReady(ready); err != nil {
		return fmt.Errorf("wait until all roles are ready: %w", err)
	}
	d.printStep("rules are in force at every node, every partition has an owner")
	probe := d.lab.StartProbe(lab.ProbeConfig{Path: "/applications/{key}/status", Keys: lab.KeysOfPartitions(probeKeys, 1024)})
	done := make(chan loadResult, 1)
	loadStart := time.Now()
	go func() {
		result, err := load.Run(ctx, d.load(6*d.config.Phase))
		done <- loadResult{result, err}
	}()
	d.printStep("sending %.0f requests a second: reads, submissions and uploads", d.config.Rate)
	err := d.events(ctx)
	r := <-done
	probe.Stop()
	if err != nil {
		return err
	}
	if r.err != nil {
		return fmt.Errorf("send load: %w", r.err)
	}
	return d.report(r.result, probe.Unavailable(loadStart, time.Now().Add(-time.Second)))
}

// loadResult is the result of the load.
type loadResult struct {
	result *load.Result
	err    error
}

// load returns a mix of the requests that coordinators send.
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

// events runs the events while the load runs, one at the end of each phase.
func (d *demo) events(ctx context.Context) error {
	zone := d.lab.Servers()[1].Zone
	steps := []func() error{
		func() error {
			d.printStep("taking availability zone %s out of service", zone)
			_, err := d.lab.SetZone(ctx, zone, true)
			d.zoneOuts = append(d.zoneOuts, check.Exclusion{Zone: zone, From: time.Now(), Grace: outGrace})
			return err
		},
		func() error {
			d.printStep("returning availability zone %s", zone)
			d.zoneOuts[0].To = time.Now()
			_, err := d.lab.SetZone(ctx, zone, false)
			return err
		},
		func() error {
			server := d.lab.Servers()[0]
			d.printStep("killing %s and the node beside it", server.Name)
			d.lab.KillServer(0)
			return nil
		},
		func() error {
			leader, err := d.lab.Leader(ctx)
			if err != nil {
				return err
			}
			d.printStep("killing the control leader, member %d", leader+1)
			d.lab.KillMember(leader)
			return nil
		},
		func() error {
			d.printStep("starting %s again", d.lab.Servers()[0].Name)
			return d.lab.StartServer(0)
		},
	}
	for _, step := range steps {
		select {
		case <-ctx.Done():
			return fmt.Errorf("demo cancelled: %w", ctx.Err())
		case <-time.After(d.config.Phase):
		}
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// ErrViolation means that a guarantee was violated.
var ErrViolation = errors.New("a guarantee was violated")
