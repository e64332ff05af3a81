package ctl_test

import (
	"context"
	"path/filepath"
	"strings"
	"testing"

	"github.com/jujubeknot/jujubeknot/ctl"
)

// TestExamples guards against sample rules and settings that this version
// refuses.
func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../examples/*.rules")
	if err != nil || len(files) != 2 {
		t.Fatal(files, err)
	}
	for _, path := range files {
		var out strings.Builder
		if code := ctl.Run(t.Context(), []string{"check", path}, &out, &out); code != ctl.ExitDone {
			t.Error(out.String())
		}
	}
	var out strings.Builder
	// The context has ended, so that only the settings are tried.
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	args := []string{"--settings", "../examples/one-machine/ctl.ini", "status"}
	if code := ctl.Run(ctx, args, &out, &out); code != ctl.ExitUnreachable {
		t.Errorf("exit %d: %s", code, out.String())
	}
}
