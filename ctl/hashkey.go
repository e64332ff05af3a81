package ctl

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/jujubeknot/jujubeknot/core/rules"
)

// maxAPIKeyBytes limits the length of an API key. A request header has room for it
// beside others.
const maxAPIKeyBytes = 4096

type hashKeyCommand struct{}

// run reads the key from standard input, so that it appears neither in the history of
// a shell nor in the list of processes. No message shows it.
func (*hashKeyCommand) run(_ context.Context, s *session) error {
	data, err := io.ReadAll(io.LimitReader(s.stdin, maxAPIKeyBytes+2))
	if err != nil {
		return newExitError(ExitUsage, fmt.Sprintf("the API key cannot be read: %v", err))
	}
	key := strings.TrimSuffix(strings.TrimSuffix(string(data), "\n"), "\r")
	if key == "" || len(key) > maxAPIKeyBytes || strings.ContainsFunc(key, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return newExitError(ExitUsage, fmt.Sprintf("no API key on standard input; expected one line of at most %d printable characters without spaces", maxAPIKeyBytes))
	}
	s.Printf("%s", rules.HashAPIKey(key))
	return nil
}
