// Package ctl implements jujubeknotctl, the command line program for operators.
package ctl

import (
	"context"
	"io"
	"net"
	"os"
	"os/user"
	"strings"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/ctl/internal/operator"
	"github.com/jujubeknot/jujubeknot/ctl/internal/screen"
)

// Version is the version of the program.
const Version = "0.1.0"

// Exit codes.
const (
	ExitDone = 0
	// ExitRefused means that the command failed or was refused; nothing was
	// changed.
	ExitRefused = 1
	// ExitUsage means wrong usage or settings; nothing was sent.
	ExitUsage = 2
	// ExitConflict means that another change was accepted first; nothing was
	// changed.
	ExitConflict = 3
	// ExitPending means that the change was accepted, but is not in force everywhere,
	// or that the backend server is not drained, within the timeout.
	ExitPending = 4
	// ExitUnreachable means that control did not respond, or could not accept the
	// request in time. The message says whether a change may have been accepted.
	ExitUnreachable = 5
	// ExitInvalid means that the command names something that does not exist, or asks
	// for a change that cannot be made. Nothing was changed, and a retry would get the
	// same response.
	ExitInvalid = 6
)

// Program runs commands. The zero value is ready to use.
type Program struct {
	// Dial opens connections to control. The default is a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Stdin is where the command hash-key reads from. The default is os.Stdin.
	Stdin io.Reader
}

// Run runs one command with the default Program and returns its exit code. args are
// the arguments without the program name. Cancelling ctx ends the command.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	return Program{}.Run(ctx, args, stdout, stderr)
}

// Run runs one command and returns its exit code. args are the arguments without the
// program name. Cancelling ctx ends the command.
func (p Program) Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	s := &session{Screen: screen.New(stdout, stderr), dial: p.Dial, stdin: p.Stdin}
	if s.stdin == nil {
		s.stdin = os.Stdin
	}
	parser, commands := newParser(&s.global)
	rest, err := parser.ParseArgs(args)
	var usage *flags.Error
	switch {
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		s.Printf("%s%s", usage.Message, helpFooter(activeCommandName(parser)))
		return ExitDone
	case err != nil:
		s.PrintErrf("jujubeknotctl: %v", err)
		return ExitUsage
	case s.global.Version:
		s.Printf("jujubeknotctl %s", Version)
		return ExitDone
	case parser.Active == nil && len(rest) > 0:
		s.PrintErrf("jujubeknotctl: unknown command %q; run jujubeknotctl --help for the list", rest[0])
		return ExitUsage
	case parser.Active == nil:
		s.PrintErrf("jujubeknotctl: no command; run jujubeknotctl --help for the list")
		return ExitUsage
	}
	if len(rest) > 0 {
		s.PrintErrf("jujubeknotctl: unexpected argument %q", rest[0])
		return ExitUsage
	}
	if s.global.Timeout < 0 {
		s.PrintErrf("jujubeknotctl: --timeout %s: expected a duration above 0, such as 30s", s.global.Timeout)
		return ExitUsage
	}
	defer s.close()
	err = commands[activeCommand(parser)].run(ctx, s)
	s.ClearProgress()
	if err == nil {
		return ExitDone
	}
	if err.Error() != "" {
		s.PrintErrf("jujubeknotctl: %v", err)
	}
	return exitCode(err)
}

// activeCommand returns the innermost selected command, or nil if there is none.
func activeCommand(parser *flags.Parser) *flags.Command {
	c := parser.Active
	for c != nil && c.Active != nil {
		c = c.Active
	}
	return c
}

// activeCommandName returns the name of the selected command with its parents, such
// as "members add". It is empty if no command is selected.
func activeCommandName(parser *flags.Parser) string {
	var words []string
	for c := parser.Active; c != nil; c = c.Active {
		words = append(words, c.Name)
	}
	return strings.Join(words, " ")
}

// exitError is an error with an exit code. If text is empty, no error message is
// printed.
type exitError struct {
	code int
	text string
}

func (e *exitError) Error() string { return e.text }

func newExitError(code int, text string) error {
	return &exitError{code, text}
}

func exitCode(err error) int {
	var exit *exitError
	var unreachable *operator.UnreachableError
	var unknown *operator.UnknownOutcomeError
	var refused *operator.RefusedError
	switch {
	case errors.As(err, &exit):
		return exit.code
	case errors.As(err, &refused) && refused.Invalid():
		return ExitInvalid
	case errors.As(err, &unreachable), errors.As(err, &unknown):
		return ExitUnreachable
	default:
		return ExitRefused
	}
}

// session is the state of one run of the program.
type session struct {
	*screen.Screen
	global globalOptions
	dial   func(ctx context.Context, network, address string) (net.Conn, error)
	stdin  io.Reader
	// client is nil until connect is called.
	client       *operator.Client
	fileSettings settingsFile
}

func (s *session) close() {
	if s.client != nil {
		s.client.Close()
	}
}

// connect creates the client from flags and settings. It opens no connection.
func (s *session) connect() error {
	c, err := s.operatorConfig()
	if err != nil {
		return err
	}
	c.Dial = s.dial
	s.client = operator.New(c)
	return nil
}

// author returns the author to store with a change: from the flag, the settings, or
// the name of the user who runs the program.
func (s *session) author() string {
	if s.global.Author != "" {
		return s.global.Author
	}
	if s.fileSettings.Operator.Author != "" {
		return s.fileSettings.Operator.Author
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return os.Getenv("USER")
}
