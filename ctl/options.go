package ctl

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/jujubeknot/jujubeknot/core/settings"
	"github.com/jujubeknot/jujubeknot/ctl/internal/operator"
)

// SettingsVariable is the environment variable that contains the path of the settings
// file.
const SettingsVariable = "JUJUBEKNOTCTL_SETTINGS"

// globalOptions are the options of all commands. They may precede or follow the
// command.
type globalOptions struct {
	Settings   string        `long:"settings" value-name:"FILE" description:"settings file (default: $JUJUBEKNOTCTL_SETTINGS)"`
	Control    []string      `long:"control" value-name:"IP:PORT" description:"operator address of a control member; may be repeated"`
	SecretFile string        `long:"secret-file" value-name:"FILE" description:"file with the operators' secret"`
	Timeout    time.Duration `long:"timeout" value-name:"DURATION" description:"time for one call, or for what is waited for (default: 10s)"`
	Author     string        `long:"author" value-name:"NAME" description:"name to note with a change (default: the user's)"`
	Version    bool          `long:"version" description:"show the version"`
}

// settingsFile is the content of the INI settings file.
type settingsFile struct {
	Control struct {
		Addresses  []netip.AddrPort `ini:"addresses" check:"max=7" help:"operator addresses of the control members"`
		SecretFile string           `ini:"secretFile" help:"file with the operators' secret"`
		Timeout    time.Duration    `ini:"timeout" default:"10s" check:"min=100ms|max=1h" help:"time for one call, or for what is waited for"`
	} `ini:"control"`
	Operator struct {
		Author string `ini:"author" check:"max=100" help:"name to note with a change"`
	} `ini:"operator"`
}

// Settings returns descriptions of the settings in the program's INI file, for the
// documentation.
func Settings() []settings.Setting {
	return settings.Describe(&settingsFile{})
}

// command is a subcommand with its options.
type command interface {
	run(ctx context.Context, s *session) error
}

// newParser returns the parser, and the implementation of each of its commands.
func newParser(global *globalOptions) (*flags.Parser, map[*flags.Command]command) {
	parser := flags.NewNamedParser("jujubeknotctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.SubcommandsOptional = true
	parser.LongDescription = "Controls jujubeknot."
	must(parser.AddGroup("General options", "", global))
	commands := map[*flags.Command]command{}
	add := func(parent *flags.Command, name, short, long string, c command) {
		added := must(parent.AddCommand(name, short, long, c))
		commands[added] = c
	}
	root := parser.Command
	add(root, "check", "Check a rules file offline", "Checks a rules file without any connection and shows all faults.", &checkCommand{})
	add(root, "diff", "Show what a rules file would change", "Compares a rules file with the rules in force.", &diffCommand{})
	add(root, "apply", "Apply a rules file", "Proposes a rules file. Accepted means that a majority of the control members "+
		"has stored it; in force means that every node follows it or takes no work.", &applyCommand{})
	add(root, "watch", "Apply a rules file on each save", "Watches a rules file, applies it on each save and shows where it is in force.", &watchCommand{})
	add(root, "status", "Show members, zones and servers", "Shows members, availability zones and servers as the leader sees them, and the organisations of the rules in force.", &statusCommand{})
	add(root, "explain", "Show who owns a key and why", "Shows the owner of a key, its epoch, the reason and the last moves. With --request, "+
		"shows the lines about a request in the log files of processes, ordered by time, and the state changes of these processes meanwhile.", &explainCommand{})
	add(root, "drain", "Drain a backend server", "Moves all work off a backend server; --undo returns it to service.", &drainCommand{})
	add(root, "history", "Show the changes of the rules", "Shows revisions with author, time, and who asked for each change and why.", &historyCommand{})
	add(root, "inspect", "Read a data folder offline", "Shows the log, the snapshots and any damage in the data folder of a control "+
		"member that is stopped. Changes nothing.", &inspectCommand{})
	add(root, "hash-key", "Show the hash of an API key", "Reads an API key from standard input and shows the hash under which the rules list it. "+
		"Neither the key nor the hash is sent or stored.", &hashKeyCommand{})
	members := must(root.AddCommand("members", "Show and change the control members", "Shows, adds and removes control members.", &struct{}{}))
	add(members, "list", "Show the control members", "Shows the control members.", &membersListCommand{})
	add(members, "add", "Add a control member", "Adds a control member. It votes once it has stored the whole log.", &membersAddCommand{})
	add(members, "remove", "Remove a control member", "Removes a control member.", &membersRemoveCommand{})
	return parser, commands
}

// must returns value. It panics if err is not nil, because the declaration of options
// is then invalid.
func must[T any](value T, err error) T {
	if err != nil {
		panic(fmt.Sprintf("ctl: invalid declaration of options: %v", err))
	}
	return value
}

// operatorConfig returns the client configuration from flags and the settings file.
// Flags have precedence.
func (s *session) operatorConfig() (operator.Config, error) {
	var c operator.Config
	file := s.global.Settings
	if file == "" {
		file = os.Getenv(SettingsVariable)
	}
	if file != "" {
		data, err := os.ReadFile(file)
		if err != nil {
			return c, newExitError(ExitUsage, fmt.Sprintf("settings cannot be read: %v", err))
		}
		if err := settings.Decode(file, data, &s.fileSettings); err != nil {
			return c, newExitError(ExitUsage, "settings are wrong:\n"+err.Error())
		}
	}
	c.Addresses = s.fileSettings.Control.Addresses
	if len(s.global.Control) > 0 {
		c.Addresses = nil
		for _, text := range s.global.Control {
			address, err := netip.ParseAddrPort(text)
			if err != nil {
				return c, newExitError(ExitUsage, fmt.Sprintf("--control %q: expected an IP number and port such as 10.0.0.1:7102", text))
			}
			c.Addresses = append(c.Addresses, address)
		}
	}
	if len(c.Addresses) == 0 {
		return c, newExitError(ExitUsage, "no address of control; give --control IP:PORT, or a settings file with [control] addresses")
	}
	c.Timeout = s.timeout()
	secretFile := s.fileSettings.Control.SecretFile
	if s.global.SecretFile != "" {
		secretFile = s.global.SecretFile
	}
	var err error
	if secretFile != "" {
		c.Secret, err = readSecret(secretFile)
	}
	return c, err
}

// timeout returns the limit for one call, and for waiting until a change has taken
// effect.
func (s *session) timeout() time.Duration {
	switch {
	case s.global.Timeout > 0:
		return s.global.Timeout
	case s.fileSettings.Control.Timeout > 0:
		return s.fileSettings.Control.Timeout
	}
	return operator.DefaultTimeout
}

// readSecret reads a secret from a file. It returns an error if the file grants
// permissions to users other than its owner and group.
func readSecret(path string) (string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return "", newExitError(ExitUsage, fmt.Sprintf("the secret cannot be read: %v", err))
	}
	if info.Mode().Perm()&0o007 != 0 {
		return "", newExitError(ExitUsage, fmt.Sprintf("%s is open to all users of the machine; run chmod o= %s", path, path))
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return "", newExitError(ExitUsage, fmt.Sprintf("the secret cannot be read: %v", err))
	}
	secret := strings.TrimSpace(string(data))
	if secret == "" || strings.ContainsFunc(secret, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return "", newExitError(ExitUsage, fmt.Sprintf("%s has no secret; expected one line of printable characters without spaces", path))
	}
	return secret, nil
}
