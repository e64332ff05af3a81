// Package soak runs the real programs as processes on loopback and injects faults
// from outside, chosen at random from a seed. It then checks the guarantees of
// the system by comparing the responses that callers received with the requests
// that the backend servers ran.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/bench/backend"
	"github.com/jujubeknot/jujubeknot/bench/check"
	"github.com/jujubeknot/jujubeknot/bench/load"
	"github.com/jujubeknot/jujubeknot/bench/operator"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// Defaults of Config.
const (
	DefaultNodes    = 4
	DefaultDuration = 20 * time.Second
	DefaultRate     = 200
)

const (
	memberCount = 3
	zoneCount   = 3
	// startTimeout bounds the start of all processes.
	startTimeout = 30 * time.Second
	// recoveryTimeout bounds the time from the end of the last fault until all
	// partitions must be served again.
	recoveryTimeout = 30 * time.Second
	// zoneOutGrace is the time after which, by the guarantee, a zone that the rules
	// take out of service receives no new requests.
	zoneOutGrace = 3 * time.Second
	// maxChangeInterval bounds the random time between two changes of the rules.
	maxChangeInterval = 2 * time.Second
	// runNumberBits is the number of low bits of a run number that count the runs
	// of one process. The bits above them number the record files, so runs of
	// different processes stay distinct.
	runNumberBits = 40
)

// Config configures a run. Programs is required. For the other fields the zero
// value means the default.
type Config struct {
	Seed uint64
	// Programs is the folder that holds the built programs.
	Programs string
	// Folder receives settings, logs and records. Empty means a temporary folder,
	// which is removed if the run finds no violation and no error.
	Folder   string
	Nodes    int
	Duration time.Duration
	// Rate is the number of requests per second.
	Rate float64
	// Out receives the injected faults and the result. Nil discards them.
	Out io.Writer
}

// Run runs one soak test. If guarantees were violated, the error gives the number
// of violations and the first one. Errors of the run name its seed and folder.
func Run(ctx context.Context, config Config) (err error) {
	config = config.withDefaults()
	if config.Folder == "" {
		if config.Folder, err = os.MkdirTemp("", "soak"); err != nil {
			return fmt.Errorf("folder: %w", err)
		}
		defer func() {
			if err == nil {
				err = os.RemoveAll(config.Folder)
			}
		}()
	}
	s := &soak{config: config, random: rand.New(rand.NewPCG(config.Seed, config.Seed))}
	if s.deployment, err = newDeployment(config); err != nil {
		return err
	}
	defer s.deployment.close()
	if err := s.run(ctx); err != nil {
		return fmt.Errorf("seed %d, %s: %w", config.Seed, config.Folder, err)
	}
	return nil
}

func (c Config) withDefaults() Config {
	if c.Nodes <= 0 {
		c.Nodes = DefaultNodes
	}
	if c.Duration <= 0 {
		c.Duration = DefaultDuration
	}
	if c.Rate <= 0 {
		c.Rate = DefaultRate
	}
	if c.Out == nil {
		c.Out = io.Discard
	}
	return c
}

// soak is the state of one run.
type soak struct {
	config     Config
	random     *rand.Rand
	deployment *deployment
	group      *operator.Client
	// accepted is the latest accepted revision of the rules.
	accepted uint64
	// zoneOuts lists the periods in which the rules took a zone out of service.
	zoneOuts []check.Exclusion
}

func (s *soak) run(ctx context.Context) error {
	s.group = operator.New(operator.Config{Addresses: s.deployment.operators})
	if err := s.start(ctx); err != nil {
		return err
	}
	loading, stop := context.WithCancel(ctx)
	defer stop()
	type loadOutcome struct {
		result *load.Result
		err    error
	}
	outcome := make(chan loadOutcome, 1)
	go func() {
		result, err := load.Run(loading, s.load())
		outcome <- loadOutcome{result, err}
	}()
	changed := make(chan error, 1)
	changing, stopChanging := context.WithTimeout(ctx, s.config.Duration)
	defer stopChanging()
	go func() { changed <- s.changeRules(changing) }()
	s.injectFaults(ctx)
	if err := <-changed; err != nil {
		return err
	}
	s.deployment.heal()
	if err := s.waitRecovered(ctx); err != nil {
		return err
	}
	stop()
	l := <-outcome
	if l.err != nil && !errors.Is(l.err, context.Canceled) {
		return fmt.Errorf("load: %w", l.err)
	}
	return s.check(l.result)
}

// start starts all processes, applies the first rules and waits until all
// partitions are served.
func (s *soak) start(ctx context.Context) error {
	for _, p := range s.deployment.all() {
		if err := p.start(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	revision, err := s.group.Apply(ctx, rulesText(0))
	if err != nil {
		return fmt.Errorf("first rules: %w", err)
	}
	s.accepted = revision
	return s.waitSettled(ctx)
}

// waitSettled waits until all nodes are registered and have the accepted rules,
// and every partition has an owner.
func (s *soak) waitSettled(ctx context.Context) error {
	return s.group.Until(ctx, "all nodes serve", func(status *wirev1.StatusResponse) error {
		if n := len(status.GetNodes()); n != s.config.Nodes {
			return errors.Errorf("%d of %d nodes are registered", n, s.config.Nodes)
		}
		if err := operator.InForce(status, s.accepted); err != nil {
			return err
		}
		return operator.Assigned(status)
	})
}

func (s *soak) load() load.Config {
	return load.Config{
		Seed: s.config.Seed, Targets: s.deployment.targets(), Rate: s.config.Rate, Duration: load.MaxDuration,
		Classes: []load.Class{
			{Name: "read", Weight: 2, Path: "/applications/{key}/status", Resends: 2, Timeout: 2 * time.Second, SendDeadline: true},
			{
				Name: "once", Weight: 1, Method: http.MethodPost, Path: "/applications/{key}/submit", Bytes: 1 << 10,
				IdempotencyKey: 0.5, Resends: 3, Timeout: 4 * time.Second,
			},
			{Name: "upload", Weight: 0.3, Method: http.MethodPost, Path: "/applications/{key}/files", Bytes: 100 << 10, Resends: 2, Timeout: 4 * time.Second},
		},
	}
}

// rulesText returns the rules of a version. Some versions take a zone out of
// service.
func rulesText(version int) string {
	text := "upstream applications keyed partitions=256 slots=18 connections=110 # soak: one owner for each key\n" +
		"route /applications/ to applications key=segment:2 timeout=4s # soak: all requests\n" +
		"option churnPerMinute=100% # soak: returned servers get work back soon\n" +
		fmt.Sprintf("route /version%d/ to applications key=segment:2 # soak: differs with each version\n", version)
	if zone := outZone(version); zone != "" {
		text += "zone " + zone + " out # soak: taken out\n"
	}
	return text
}

// outZone returns the zone that a version of the rules takes out of service, or an
// empty string if there is none.
func outZone(version int) string {
	if version%4 != 2 {
		return ""
	}
	return zoneName(version)
}

func zoneName(n int) string { return fmt.Sprintf("zone-%d", n%zoneCount+1) }

// changeRules applies one version of the rules after another until the context
// ends. A change whose result is unknown is sent again.
func (s *soak) changeRules(ctx context.Context) error {
	random := rand.New(rand.NewPCG(s.config.Seed, 1))
	for version := 1; ctx.Err() == nil; version++ {
		timer := time.NewTimer(time.Duration(random.Int64N(int64(maxChangeInterval))))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			continue
		}
		// The zone may receive requests again as soon as the next change is sent,
		// even before that change is acknowledged.
		if n := len(s.zoneOuts); n > 0 && s.zoneOuts[n-1].To.IsZero() {
			s.zoneOuts[n-1].To = time.Now()
		}
		revision, err := s.group.Apply(context.WithoutCancel(ctx), rulesText(version))
		if err != nil {
			return fmt.Errorf("rules version %d: %w", version, err)
		}
		if revision < s.accepted {
			return errors.Errorf("rules version %d got revision %d after %d", version, revision, s.accepted)
		}
		s.accepted = revision
		if zone := outZone(version); zone != "" {
			s.zoneOuts = append(s.zoneOuts, check.Exclusion{Zone: zone, From: time.Now(), Grace: zoneOutGrace})
		}
	}
	return nil
}

// waitRecovered waits until all partitions are served again and the latest
// accepted rules are in force at every node, so that nothing accepted was lost.
// It returns an error if that takes longer than recoveryTimeout.
func (s *soak) waitRecovered(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	if err := s.waitSettled(ctx); err != nil {
		return fmt.Errorf("after the last fault: %w", err)
	}
	return nil
}

func (s *soak) check(result *load.Result) error {
	files, err := filepath.Glob(filepath.Join(s.config.Folder, "records", "*"))
	if err != nil {
		return fmt.Errorf("records: %w", err)
	}
	var entries []backend.Entry
	for i, name := range files {
		read, err := readRecords(name, uint64(i+1)<<runNumberBits)
		if err != nil {
			return err
		}
		entries = append(entries, read...)
	}
	violations := check.Check(check.Input{Entries: entries, Operations: result.Operations, Exclusions: s.zoneOuts, Frozen: s.deployment.frozen})
	fmt.Fprintf(s.config.Out, "seed %d: %d entries of %d backend processes, %d operations, %d rules revisions, violations: %v\n%s\n",
		s.config.Seed, len(entries), len(files), len(result.Operations), s.accepted, check.Count(violations), result)
	if len(violations) == 0 {
		return nil
	}
	for _, v := range violations[:min(len(violations), 10)] {
		fmt.Fprintf(s.config.Out, "  %s %s %s\n", v.Kind, v.At.Format(time.RFC3339Nano), v.Detail)
	}
	return errors.Errorf("%d violations, the first: %s %s", len(violations), violations[0].Kind, violations[0].Detail)
}

func readRecords(name string, first uint64) ([]backend.Entry, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("records: %w", err)
	}
	defer file.Close()
	entries, err := backend.ReadStream(file, first)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return entries, nil
}
