// Program jujubeknot-node runs beside a backend server. It receives callers'
// requests, forwards each to the owner of its key, and limits the load of the
// backend server.
package main

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/jujubeknot/jujubeknot/node"
	"github.com/jujubeknot/jujubeknot/node/loglines"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
	// exitKilled follows a second signal. It is the code that a shell reports for
	// SIGTERM: 128 + 15.
	exitKilled = 143
)

type options struct {
	Config  string `long:"config" value-name:"FILE" description:"settings file (INI)"`
	Version bool   `long:"version" description:"print the version and exit"`
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

func run(args []string, stdout, stderr io.Writer) int {
	var o options
	parser := flags.NewNamedParser("jujubeknot-node", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", &o); err != nil {
		panic(err)
	}
	extra, err := parser.ParseArgs(args)
	var e *flags.Error
	switch {
	case errors.As(err, &e) && e.Type == flags.ErrHelp:
		return exitCode(fmt.Fprintln(stdout, e.Message))
	case err != nil:
		return settingsError(stderr, err.Error())
	case len(extra) > 0:
		return settingsError(stderr, fmt.Sprintf("unexpected argument %q; expected only options", extra[0]))
	case o.Version:
		return exitCode(fmt.Fprintln(stdout, version()))
	case o.Config == "":
		return settingsError(stderr, "--config is missing; expected the path of the settings file")
	}
	cfg, log, err := load(o.Config)
	if err != nil {
		return settingsError(stderr, err.Error())
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(node.GCPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(node.MemoryLimit)
	}
	// A negative value only reads the limit, which GOMEMLIMIT may have set.
	cfg.SoftMemoryLimit = debug.SetMemoryLimit(-1)
	return serve(o.Config, cfg, log, stdout, stderr)
}

func exitCode(_ int, err error) int {
	if err != nil {
		return exitFailed
	}
	return exitOK
}

func settingsError(stderr io.Writer, message string) int {
	_, _ = fmt.Fprintln(stderr, message)
	return exitSettings
}

func version() string {
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return "jujubeknot-node " + info.Main.Version + " " + info.GoVersion
	}
	return "jujubeknot-node"
}

// serve runs the node until SIGTERM or an interrupt. The first signal drains the
// node, the second one ends the process immediately. SIGHUP reloads the settings
// file.
func serve(file string, cfg node.Config, log logSettings, stdout, stderr io.Writer) int {
	lines := loglines.New(stdout)
	cfg.Log = log.logger(lines)
	flushCtx, stopFlushing := context.WithCancel(context.Background())
	var flusher sync.WaitGroup
	flusher.Go(func() { lines.Run(flushCtx) })
	defer flusher.Wait()
	defer stopFlushing()
	// Installed before the node listens, so that a SIGHUP never ends the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)

	n, err := node.New(cfg)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitFailed
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		cancel()
		<-signals
		_ = lines.Flush()
		os.Exit(exitKilled)
	}()
	var reloader sync.WaitGroup
	reloader.Go(func() { reload(ctx, hangups, file, n.SetControlMembers, cfg.Log) })
	defer reloader.Wait()
	defer cancel()
	a := n.Addresses()
	cfg.Log.Info().Str("callers", a.Callers.String()).Str("peer", a.Peer.String()).Str("backend", a.Backend.String()).
		Str("operator", a.Operator.String()).Msg("listening")
	if err := n.Run(ctx); err != nil {
		cfg.Log.Error().Err(err).Msg("failed")
		_, _ = fmt.Fprintln(stderr, err)
		return exitFailed
	}
	cfg.Log.Info().Msg("stopped")
	return exitOK
}

// reload reads the settings again after each SIGHUP until the context ends, and
// passes the control members to setMembers. A change of other settings requires a
// restart. Invalid settings are logged and change nothing.
func reload(ctx context.Context, hangups <-chan os.Signal, file string, setMembers func([]netip.AddrPort), log zerolog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		cfg, _, err := load(file)
		log.Info().Err(err).Msg("settings read again")
		if err == nil {
			setMembers(cfg.ControlMembers)
		}
	}
}

// logger returns a logger with the configured level and format.
func (l logSettings) logger(out io.Writer) zerolog.Logger {
	if l.Format == "console" {
		out = zerolog.ConsoleWriter{Out: out, NoColor: true, TimeFormat: "15:04:05.000"}
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	level, err := zerolog.ParseLevel(l.Level)
	if err != nil {
		panic("log level was validated by the settings: " + err.Error())
	}
	return zerolog.New(out).Level(level).With().Timestamp().Logger()
}
