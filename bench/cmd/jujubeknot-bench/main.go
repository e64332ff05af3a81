// Command jujubeknot-bench runs stand-in backend servers, load, experiments, fault
// tests (soak) and the demo.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// version is the version of the program.
const version = "0.1.0"

type options struct {
	Version func()         `long:"version" description:"print the version and exit"`
	Run     runCommand     `command:"run" description:"run an experiment by name; without a name, list them"`
	Demo    demoCommand    `command:"demo" description:"run all roles in one process and check the promises"`
	Backend backendCommand `command:"backend" description:"run one stand-in backend server"`
	Load    loadCommand    `command:"load" description:"send load to nodes"`
	Soak    soakCommand    `command:"soak" description:"run the programs as processes, make faults, and check the promises"`

	Nodes    nodesCommand    `command:"nodes" hidden:"true" description:"run many idle nodes in one process"`
	StandIns standInsCommand `command:"stand-ins" hidden:"true" description:"run the minimal backend servers of idle nodes"`
	Member   memberCommand   `command:"member" hidden:"true" description:"run a control member and profile it"`
	Probe    probeCommand    `command:"probe" hidden:"true" description:"probe keys while a script makes events happen; see tools/measure-recovery"`
	Slope    slopeCommand    `command:"slope" hidden:"true" description:"measure control members and idle nodes; see tools/measure-control"`
}

// runner is a command of this program. Cancelling the context stops it.
type runner interface {
	run(ctx context.Context) error
}

func main() {
	var o options
	o.Version = func() {
		fmt.Println("jujubeknot-bench", version)
		os.Exit(0)
	}
	parser := flags.NewNamedParser("jujubeknot-bench", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("options", "", &o); err != nil {
		panic(err)
	}
	exitCode := 0
	parser.CommandHandler = func(command flags.Commander, _ []string) error {
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
		defer stop()
		// Restores the default handling, so that a second signal ends the process
		// at once.
		context.AfterFunc(ctx, stop)
		if err := command.(runner).run(ctx); err != nil {
			fmt.Fprintln(os.Stderr, "jujubeknot-bench:", err)
			exitCode = exitFailed
		}
		return nil
	}
	_, err := parser.Parse()
	var usage *flags.Error
	switch {
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Println(usage.Message)
	case err != nil:
		fmt.Fprintln(os.Stderr, "jujubeknot-bench:", err)
		os.Exit(exitUsage)
	}
	os.Exit(exitCode)
}
