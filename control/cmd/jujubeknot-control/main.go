// Command jujubeknot-control runs a member of the control group.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/jujubeknot/jujubeknot/control"
)

// Exit statuses of the process.
const (
	exitFailure  = 1
	exitSettings = 2
)

type options struct {
	Config  string `long:"config" value-name:"FILE" description:"settings file"`
	Version bool   `long:"version" description:"print the version and exit"`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(arguments []string) int {
	var o options
	parser := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash)
	rest, err := parser.ParseArgs(arguments)
	var flagsError *flags.Error
	switch {
	case errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp:
		fmt.Println(err)
		return 0
	case err == nil && len(rest) > 0:
		err = errors.Errorf("unexpected argument %q", rest[0])
	case err == nil && !o.Version && o.Config == "":
		err = errors.New("--config is missing")
	}
	if err != nil {
		return fail(exitSettings, err)
	}
	if o.Version {
		fmt.Println("jujubeknot-control", version())
		return 0
	}
	return serve(o.Config)
}

func serve(file string) int {
	data, err := os.ReadFile(file)
	if err != nil {
		return fail(exitSettings, err)
	}
	settings, err := control.LoadSettings(file, data)
	if err != nil {
		return fail(exitSettings, err)
	}
	config, err := settings.Config()
	if err != nil {
		return fail(exitSettings, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	var hangupLog sync.WaitGroup
	hangupLog.Go(func() { logHangups(ctx, hangups, config.Logger) })
	defer hangupLog.Wait()
	defer stop()
	// Restores the default handling, so that a second signal ends the process at
	// once.
	context.AfterFunc(ctx, stop)
	member, err := control.New(config)
	if err != nil {
		return fail(exitFailure, err)
	}
	if err := member.Run(ctx); err != nil {
		return fail(exitFailure, err)
	}
	return 0
}

// logHangups receives SIGHUP and logs it until the context ends. By default the
// signal would end the process.
func logHangups(ctx context.Context, hangups <-chan os.Signal, log zerolog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			log.Info().Msg("SIGHUP ignored: settings of a control member are read only at its start")
		}
	}
}

func fail(status int, err error) int {
	fmt.Fprintln(os.Stderr, "jujubeknot-control:", err)
	return status
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "unknown"
	}
	return info.Main.Version
}
