package main

import (
	"context"
	stderrors "errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"runtime/pprof"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/bench/fleet"
	"github.com/jujubeknot/jujubeknot/bench/slope"
	"github.com/jujubeknot/jujubeknot/control"
	"github.com/jujubeknot/jujubeknot/node"
)

type nodesCommand struct {
	command
	Count     int    `long:"count" required:"true" description:"number of nodes"`
	Control   string `long:"control" required:"true" description:"peer addresses of control members, separated by commas"`
	FirstPort uint16 `long:"first-port" required:"true" description:"port of node 0 for its backend server; node i has the i-th after it"`
	Zones     int    `long:"zones" default:"5" description:"number of availability zones"`
	Secret    string `long:"secret" required:"true" description:"node secret of the control members"`
	Listen    string `long:"listen" default:"127.0.0.1:0" description:"address to take orders at"`
	Log       string `long:"log" value-name:"FILE" description:"write the log lines of all nodes to a file"`
}

func (c *nodesCommand) run(ctx context.Context) error {
	var members []netip.AddrPort
	for _, a := range strings.Split(c.Control, ",") {
		address, err := netip.ParseAddrPort(strings.TrimSpace(a))
		if err != nil {
			return fmt.Errorf("--control: %w", err)
		}
		members = append(members, address)
	}
	logger, closeLog, err := openLog(c.Log)
	if err != nil {
		return err
	}
	defer closeLog()
	// The same garbage collection target as in jujubeknot-node.
	debug.SetGCPercent(node.GCPercent)
	nodes, err := fleet.New(fleet.Config{
		Count: c.Count, Control: members, FirstPort: c.FirstPort, Zones: c.Zones, Secret: c.Secret, Logger: logger,
	})
	if err != nil {
		return err
	}
	defer nodes.Close()
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listen for orders: %w", err)
	}
	server := &http.Server{Handler: nodes.Handler(), ReadHeaderTimeout: time.Minute}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	fmt.Printf("%d nodes take orders at %s\n", c.Count, l.Addr())
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve orders: %w", err)
	}
	return nil
}

type standInsCommand struct {
	command
	Count     int    `long:"count" required:"true" description:"number of stand-ins"`
	FirstPort uint16 `long:"first-port" required:"true" description:"port of node 0 for its backend server"`
	Upstream  string `long:"upstream" default:"applications" description:"upstream of all stand-ins"`
}

func (c *standInsCommand) run(ctx context.Context) error {
	return fleet.StandIns(ctx, c.Count, c.FirstPort, c.Upstream)
}

type slopeCommand struct {
	command
	Members    []int         `long:"member" required:"true" description:"process id of a control member; repeat for each"`
	Operators  []string      `long:"operator" required:"true" description:"its operator address"`
	Folders    []string      `long:"folder" required:"true" description:"its data folder"`
	Fleet      int           `long:"fleet" required:"true" description:"process id of the idle nodes"`
	Orders     string        `long:"orders" required:"true" description:"address at which they take orders"`
	Count      int           `long:"count" required:"true" description:"number of nodes there"`
	Node       int           `long:"node" description:"process id of one more node"`
	Partitions int           `long:"partitions" default:"16384" description:"partitions of the upstream"`
	Lines      int           `long:"lines" default:"10" description:"lines of the rules"`
	Sample     time.Duration `long:"sample" default:"20s" description:"length of the idle sample"`
	Changes    int           `long:"changes" default:"10" description:"number of rule changes"`
	Losses     int           `long:"losses" default:"3" description:"number of losses of an availability zone"`
	Restarts   int           `long:"restarts" description:"number of nodes of a restart wave"`
}

func (c *slopeCommand) run(ctx context.Context) error {
	if len(c.Members) != len(c.Operators) || len(c.Members) != len(c.Folders) {
		return errors.Errorf("%d members, %d operator addresses, %d folders: expected the same number", len(c.Members), len(c.Operators), len(c.Folders))
	}
	return slope.Run(ctx, slope.Config{
		Members: c.Members, Operators: c.Operators, Folders: c.Folders, Fleet: c.Fleet, Orders: c.Orders, Count: c.Count,
		Node: c.Node, Partitions: c.Partitions, Lines: c.Lines, Sample: c.Sample, Changes: c.Changes, Losses: c.Losses,
		Restarts: c.Restarts, Out: os.Stdout,
	})
}

type memberCommand struct {
	command
	Config  string        `long:"config" required:"true" description:"settings file of a control member"`
	Profile string        `long:"profile" required:"true" value-name:"FILE" description:"write a processor profile, begun after the delay"`
	Delay   time.Duration `long:"profile-delay" default:"10s" description:"time from the start to the profile"`
	Length  time.Duration `long:"profile-length" default:"20s" description:"length of the profile"`
}

func (c *memberCommand) run(ctx context.Context) error {
	data, err := os.ReadFile(c.Config)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	settings, err := control.LoadSettings(c.Config, data)
	if err != nil {
		return err
	}
	config, err := settings.Config()
	if err != nil {
		return err
	}
	member, err := control.New(config)
	if err != nil {
		return err
	}
	profileDone := make(chan error, 1)
	go func() { profileDone <- c.profile(ctx) }()
	return stderrors.Join(member.Run(ctx), <-profileDone)
}

// profile writes a CPU profile of the length, begun after the delay. The profile is
// shorter if ctx ends earlier.
func (c *memberCommand) profile(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(c.Delay):
	}
	file, err := os.Create(c.Profile)
	if err != nil {
		return fmt.Errorf("create profile: %w", err)
	}
	defer file.Close()
	if err := pprof.StartCPUProfile(file); err != nil {
		return fmt.Errorf("start profile: %w", err)
	}
	defer pprof.StopCPUProfile()
	select {
	case <-ctx.Done():
	case <-time.After(c.Length):
	}
	return nil
}
