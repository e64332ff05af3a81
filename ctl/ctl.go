// Package ctl is the operators' command line.
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

// Version of the program.
const Version = "0.1.0"

// Exit codes.
const (
	ExitDone = 0
	// ExitRefused means that the command failed or was refused; nothing was
	// changed.
	ExitRefused = 1
	// ExitUsage means wrong usage or settings; nothing was sent.
	ExitUsage = 2
	// ExitConflict means that another change was faster; nothing was changed.
	ExitConflict = 3
	// ExitPending means accepted, but not in force everywhere within the time.
	ExitPending = 4
	// ExitUnreachable means that control gave no answer, or could not take the
	// request in time. The message says whether a change may have been accepted.
	ExitUnreachable = 5
	// ExitInvalid means that the command names what does not exist, or asks for
	// a change that cannot be made. Nothing was changed, and a repeat gets the
	// same answer.
	ExitInvalid = 6
)

// Program runs commands. The zero value is ready to use.
type Program struct {
	// Dial opens connections to control. Default a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Run runs one command line, without the name of the program, and returns the
// exit code. The end of the context ends the command.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	return Program{}.Run(ctx, args, stdout, stderr)
}

// Run is as the function of that name.
func (p Program) Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	s := &session{Screen: screen.New(stdout, stderr), dial: p.Dial}
	parser, commands := newParser(&s.global)
	rest, err := parser.ParseArgs(args)
	var usage *flags.Error
	switch {
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		s.Printf("%s%s", usage.Message, help(activeName(parser)))
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
	err = commands[active(parser)].run(ctx, s)
	s.ClearProgress()
	if err == nil {
		return ExitDone
	}
	if err.Error() != "" {
		s.PrintErrf("jujubeknotctl: %v", err)
	}
	return exitCode(err)
}

// active returns the innermost command of a command line, nil for none.
func active(parser *flags.Parser) *flags.Command {
	c := parser.Active
	for c != nil && c.Active != nil {
		c = c.Active
	}
	return c
}

// activeName returns the words of that command, empty for none.
func activeName(parser *flags.Parser) string {
	var words []string
	for c := parser.Active; c != nil; c = c.Active {
		words = append(words, c.Name)
	}
	return strings.Join(words, " ")
}

// codedError is an error with its exit code. An empty text means that the
// command has already written what there is to say.
type codedError struct {
	code int
	text string
}

func (e *codedError) Error() string { return e.text }

func coded(code int, text string) error {
	return &codedError{code, text}
}

func exitCode(err error) int {
	var c *codedError
	var unreachable *operator.UnreachableError
	var unknown *operator.UnknownOutcomeError
	var refused *operator.RefusedError
	switch {
	case errors.As(err, &c):
		return c.code
	case errors.As(err, &refused) && refused.Invalid():
		return ExitInvalid
	case errors.As(err, &unreachable), errors.As(err, &unknown):
		return ExitUnreachable
	default:
		return ExitRefused
	}
}

// session is one run of the program.
type session struct {
	*screen.Screen
	global globalOptions
	dial   func(ctx context.Context, network, address string) (net.Conn, error)
	client *operator.Client
	config settingsFile
}

func (s *session) close() {
	if s.client != nil {
		s.client.Close()
	}
}

// connect makes the client from flags and settings.
func (s *session) connect() error {
	c, err := s.operatorConfig()
	if err != nil {
		return err
	}
	c.Dial = s.dial
	s.client = operator.New(c)
	return nil
}

// author is noted with a change.
func (s *session) author() string {
	if s.global.Author != "" {
		return s.global.Author
	}
	if s.config.Operator.Author != "" {
		return s.config.Operator.Author
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return os.Getenv("USER")
}
