package ctl_test

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/jujubeknot/jujubeknot/control"
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
	files, err = filepath.Glob("../examples/one-machine/control-*.ini")
	if err != nil || len(files) != 3 {
		t.Fatal(files, err)
	}
	for _, path := range files {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := control.LoadSettings(path, data); err != nil {
			t.Error(err)
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
