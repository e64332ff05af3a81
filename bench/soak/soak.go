// Package soak runs the real programs as processes on loopback, injects faults
// from outside, drawn by a seed, and checks the promises from what callers were
// told and what the backend servers ran.
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
	members = 3
	zones   = 3
	// startTimeout bounds the start of all processes, recoverTimeout the time
	// after the last fault in which everything must be served again.
	startTimeout   = 30 * time.Second
	recoverTimeout = 30 * time.Second
	// outGrace is the promised time after which a zone that was taken out gets no
	// new work.
	outGrace = 3 * time.Second
	// changePause bounds the time between two changes of the rules.
	changePause = 2 * time.Second
	// runBits separates the runs of the processes that wrote records.
	runBits = 40
)

// Config configures a run. Programs is required; the zero value of the others
// means the default.
type Config struct {
	Seed uint64
	// Programs is the folder of the programs.
	Programs string
	// Folder gets settings, logs and records. Empty means a temporary one, which
	// is removed if no promise was broken.
	Folder   string
	Nodes    int
	Duration time.Duration
	// Rate of requests per second.
	Rate float64
	Out  io.Writer
}

// Run runs one soak. The error names the first broken promises.
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
	if s.world, err = newWorld(config); err != nil {
		return err
	}
	defer s.world.close()
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

// soak is one run.
type soak struct {
	config Config
	random *rand.Rand
	world  *world
	group  *operator.Client
	// accepted is the latest accepted revision of the rules, outs the times in
	// which zones were out.
	accepted uint64
	outs     []check.Exclusion
}

func (s *soak) run(ctx context.Context) error {
	s.group = operator.New(operator.Config{Addresses: s.world.operators})
	if err := s.start(ctx); err != nil {
		return err
	}
	loading, stop := context.WithCancel(ctx)
	defer stop()
	type loaded struct {
		result *load.Result
		err    error
	}
	ended := make(chan loaded, 1)
	go func() {
		result, err := load.Run(loading, s.load())
		ended <- loaded{result, err}
	}()
	changed := make(chan error, 1)
	changing, stopChanging := context.WithTimeout(ctx, s.config.Duration)
	defer stopChanging()
	go func() { changed <- s.change(changing) }()
	s.disturb(ctx)
	if err := <-changed; err != nil {
		return err
	}
	s.world.heal()
	if err := s.recovered(ctx); err != nil {
		return err
	}
	stop()
	l := <-ended
	if l.err != nil && !errors.Is(l.err, context.Canceled) {
		return fmt.Errorf("load: %w", l.err)
	}
	return s.check(l.result)
}

// start starts everything and waits until it serves.
func (s *soak) start(ctx context.Context) error {
	for _, p := range s.world.all() {
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
	return s.settled(ctx)
}

// settled waits until all nodes are registered, have the accepted rules, and
// every partition has an owner.
func (s *soak) settled(ctx context.Context) error {
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
		Seed: s.config.Seed, Targets: s.world.targets(), Rate: s.config.Rate, Duration: load.MaxDuration,
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

// rulesText returns a version of the rules, some of which take a zone out.
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

// outZone returns the zone that a version of the rules takes out, empty for none.
func outZone(version int) string {
	if version%4 != 2 {
		return ""
	}
	return zoneName(version)
}

func zoneName(n int) string { return fmt.Sprintf("zone-%d", n%zones+1) }

// change puts one version of the rules after the other in force until the
// context ends. A change without a clear answer is sent again.
func (s *soak) change(ctx context.Context) error {
	random := rand.New(rand.NewPCG(s.config.Seed, 1))
	for version := 1; ctx.Err() == nil; version++ {
		timer := time.NewTimer(time.Duration(random.Int64N(int64(changePause))))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			continue
		}
		// A zone may get work again as soon as the next change is sent.
		if n := len(s.outs); n > 0 && s.outs[n-1].To.IsZero() {
			s.outs[n-1].To = time.Now()
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
			s.outs = append(s.outs, check.Exclusion{Zone: zone, From: time.Now(), Grace: outGrace})
		}
	}
	return nil
}

// recovered checks that everything is served again and nothing accepted is lost.
func (s *soak) recovered(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, recoverTimeout)
	defer cancel()
	if err := s.settled(ctx); err != nil {
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
		read, err := readRecords(name, uint64(i+1)<<runBits)
		if err != nil {
			return err
		}
		entries = append(entries, read...)
	}
	violations := check.Check(check.Input{Entries: entries, Operations: result.Operations, Exclusions: s.outs, Frozen: s.world.frozen})
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
