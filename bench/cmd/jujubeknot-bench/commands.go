package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/jujubeknot/jujubeknot/bench/backend"
	"github.com/jujubeknot/jujubeknot/bench/demo"
	"github.com/jujubeknot/jujubeknot/bench/load"
	"github.com/jujubeknot/jujubeknot/bench/soak"
)

// command makes a type a command of go-flags. main calls the method run of the type
// instead of Execute.
type command struct{}

// Execute is never called, because main sets a command handler.
func (command) Execute([]string) error { return nil }

type demoCommand struct {
	command
	Rate  float64       `long:"rate" default:"400" description:"requests per second"`
	Phase time.Duration `long:"phase" default:"5s" description:"time between two events"`
	Seed  uint64        `long:"seed" default:"1" description:"seed of load and stand-ins"`
	Log   string        `long:"log" value-name:"FILE" description:"write the log lines of all roles to a file"`
}

func (c *demoCommand) run(ctx context.Context) error {
	logger, closeLog, err := openLog(c.Log)
	if err != nil {
		return err
	}
	defer closeLog()
	return demo.Run(ctx, demo.Config{Rate: c.Rate, Phase: c.Phase, Seed: c.Seed, Logger: logger, Stdout: os.Stdout})
}

type backendCommand struct {
	command
	Name         string        `long:"name" required:"true" description:"name of the backend server"`
	Upstream     string        `long:"upstream" required:"true" description:"upstream that it belongs to"`
	Zone         string        `long:"zone" description:"availability zone, for records"`
	Listen       string        `long:"listen" default:"127.0.0.1:0" description:"address to listen at"`
	Announce     string        `long:"announce" required:"true" description:"the node's address for backend servers"`
	Advertise    string        `long:"advertise" description:"address to announce, if another one than it listens at"`
	Node         string        `long:"node" description:"the node's address for callers, for nested calls"`
	Slots        int           `long:"slots" default:"6" description:"requests at a time"`
	Connections  int           `long:"connections" default:"110" description:"connections at a time"`
	Service      time.Duration `long:"service" default:"5ms" description:"mean service time"`
	ChecksFences bool          `long:"checks-fences" description:"refuse old fencing tokens"`
	Seed         uint64        `long:"seed" default:"1" description:"seed of service times, and part of the boot id"`
	Records      string        `long:"records" value-name:"FILE" description:"write what ran to a file, line by line"`
}

func (c *backendCommand) run(ctx context.Context) error {
	records := backend.NewRecorder(0)
	if c.Records != "" {
		file, err := os.Create(c.Records)
		if err != nil {
			return fmt.Errorf("create records file: %w", err)
		}
		defer file.Close()
		records.Stream(file)
	}
	server := backend.New(backend.Config{
		Seed: c.Seed, Records: records,
		Name: c.Name, Upstream: c.Upstream, Zone: c.Zone, Listen: c.Listen, Announce: c.Announce, Advertise: c.Advertise, Node: c.Node,
		Slots: c.Slots, Connections: c.Connections, ChecksFences: c.ChecksFences,
		Service: backend.Service{Mean: c.Service},
	})
	if err := server.Start(); err != nil {
		return fmt.Errorf("start backend server: %w", err)
	}
	defer server.Close()
	fmt.Printf("%s of %s listens at %s\n", c.Name, c.Upstream, server.Address())
	<-ctx.Done()
	leaveCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	if err := server.Leave(leaveCtx); err != nil {
		return fmt.Errorf("leave the node: %w", err)
	}
	return records.Err()
}

// leaveTimeout is the timeout of a leaving backend server's wait for its node.
const leaveTimeout = 30 * time.Second

type soakCommand struct {
	command
	Seed     uint64        `long:"seed" default:"1" description:"seed of the first run; the next runs have the next seeds"`
	Runs     int           `long:"runs" default:"1" description:"number of runs, one after the other"`
	For      time.Duration `long:"for" default:"20s" description:"time with faults of each run"`
	Nodes    int           `long:"nodes" default:"4" description:"nodes, each with a backend server"`
	Rate     float64       `long:"rate" default:"200" description:"requests per second"`
	Programs string        `long:"programs" default:"bin" description:"folder of the programs"`
	Folder   string        `long:"folder" description:"folder for settings, logs and records; default a temporary one, kept if a promise is broken"`
}

func (c *soakCommand) run(ctx context.Context) error {
	var failures []error
	for seed := c.Seed; seed < c.Seed+uint64(c.Runs) && ctx.Err() == nil; seed++ {
		folder := c.Folder
		if folder != "" {
			folder = filepath.Join(folder, strconv.FormatUint(seed, 10))
		}
		err := soak.Run(ctx, soak.Config{
			Seed: seed, Programs: c.Programs, Folder: folder, Nodes: c.Nodes, Duration: c.For, Rate: c.Rate, Out: os.Stdout,
		})
		if err != nil {
			fmt.Println("FAILED", err)
			failures = append(failures, err)
		}
	}
	return errors.Join(failures...)
}

type loadCommand struct {
	command
	Targets  string        `long:"targets" required:"true" description:"callers' addresses of nodes, separated by commas"`
	Rate     float64       `long:"rate" default:"200" description:"requests per second"`
	Duration time.Duration `long:"duration" default:"10s" description:"length of the run"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the load"`
	Path     string        `long:"path" required:"true" description:"path with the placeholder {key}"`
	Method   string        `long:"method" default:"GET" description:"method"`
	Bytes    int           `long:"bytes" description:"size of request bodies"`
	Keys     int           `long:"keys" default:"10000" description:"number of keys"`
	Resends  int           `long:"resends" default:"3" description:"resends of one request"`
	Timeout  time.Duration `long:"timeout" default:"4s" description:"time after which the caller gives up"`
}

func (c *loadCommand) run(ctx context.Context) error {
	result, err := load.Run(ctx, load.Config{
		Seed: c.Seed, Targets: strings.Split(c.Targets, ","), Rate: c.Rate, Duration: c.Duration, Keys: c.Keys,
		Classes: []load.Class{{Name: "load", Weight: 1, Method: c.Method, Path: c.Path, Bytes: c.Bytes, Resends: c.Resends, Timeout: c.Timeout}},
	})
	if result != nil {
		fmt.Print(result)
	}
	if err != nil {
		return fmt.Errorf("send load: %w", err)
	}
	return nil
}
