package ctl

import (
	"fmt"
	"slices"
	"strings"
)

// ExitCode describes an exit code.
type ExitCode struct {
	Code    int
	Meaning string
}

// ExitCodes returns all exit codes of the program.
func ExitCodes() []ExitCode {
	return []ExitCode{
		{ExitDone, "done"},
		{ExitRefused, "failed or refused; nothing was changed"},
		{ExitUsage, "wrong usage or settings, or a file or folder that cannot be read; nothing was sent"},
		{ExitConflict, "conflict with another change; nothing was changed"},
		{ExitPending, "accepted, but not in force everywhere (or the server not empty) within `--timeout`"},
		{ExitUnreachable, "control gave no answer, or could not take the request within `--timeout`; the message says whether a change may have been accepted"},
		{ExitInvalid, "the command names a server, upstream or member that does not exist, or asks for a change of the members that cannot be made; nothing was changed, and a repeat gets the same answer"},
	}
}

// Command describes a subcommand.
type Command struct {
	// Name is the full name of the command, such as "members add".
	Name string
	// Example is a command line without the program name.
	Example string
	// Codes are the exit codes that the command can return.
	Codes []int
}

// Exit codes of commands that do not call control, that read from control, and that
// name a member, server or upstream.
var (
	offlineCodes = []int{ExitDone, ExitRefused, ExitUsage}
	queryCodes   = []int{ExitDone, ExitRefused, ExitUsage, ExitUnreachable}
	targetCodes  = []int{ExitDone, ExitRefused, ExitUsage, ExitUnreachable, ExitInvalid}
)

// Commands returns the subcommands.
func Commands() []Command {
	return []Command{
		{"check", "check --canonical launch.rules", offlineCodes},
		{"diff", "diff launch.rules", queryCodes},
		{"apply", "apply --wait --expect 7 launch.rules", []int{ExitDone, ExitRefused, ExitUsage, ExitConflict, ExitPending, ExitUnreachable}},
		{"watch", "watch launch.rules", []int{ExitDone, ExitRefused, ExitUsage, ExitConflict, ExitUnreachable}},
		{"status", "status --control 10.0.0.1:7102 --control 10.0.0.2:7102", queryCodes},
		{"explain", "explain centre-9 --upstream applications", targetCodes},
		{"drain", "drain app-3 --wait --timeout 2m", []int{ExitDone, ExitRefused, ExitUsage, ExitPending, ExitUnreachable, ExitInvalid}},
		{"history", "history --limit 3", queryCodes},
		{"inspect", "inspect --rules /var/lib/jujubeknot", offlineCodes},
		{"hash-key", "hash-key", []int{ExitDone, ExitUsage}},
		{"members list", "members list", queryCodes},
		{"members add", "members add 4 10.0.0.4:7101 --timeout 5m", targetCodes},
		{"members remove", "members remove 3", targetCodes},
	}
}

// helpFooter returns the examples and exit codes that follow the options in the help
// of a command. It is not part of the parser's help text, because the flags library
// would wrap it at the terminal width.
func helpFooter(name string) string {
	var b strings.Builder
	codes := ExitCodes()
	for _, c := range Commands() {
		if c.Name != name && !strings.HasPrefix(c.Name, name+" ") {
			continue
		}
		fmt.Fprintf(&b, "\nExample:\n  jujubeknotctl %s\n", c.Example)
		if c.Name == name {
			codes = slices.DeleteFunc(codes, func(e ExitCode) bool { return !slices.Contains(c.Codes, e.Code) })
		}
	}
	fmt.Fprint(&b, "\nExit codes:\n")
	for _, e := range codes {
		fmt.Fprintf(&b, "  %d  %s\n", e.Code, strings.ReplaceAll(e.Meaning, "`", ""))
	}
	return strings.TrimSuffix(b.String(), "\n")
}
