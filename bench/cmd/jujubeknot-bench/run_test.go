package main

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestOutputsAreCheckedBeforeTheRun guards against an experiment that runs for
// minutes and then cannot write its report because the folder does not exist. It
// also guards against a check that truncates an earlier report.
func TestOutputsAreCheckedBeforeTheRun(t *testing.T) {
	folder := t.TempDir()
	earlier := filepath.Join(folder, "report.json")
	if err := os.WriteFile(earlier, []byte("{}"), 0o600); err != nil {
		t.Fatal(err)
	}
	c := runCommand{Scale: 1, Plots: filepath.Join(folder, "new", "plots"), JSON: earlier}
	if err := c.prepareOutputs(); err != nil {
		t.Fatal(err)
	}
	if info, err := os.Stat(c.Plots); err != nil || !info.IsDir() {
		t.Errorf("folder for plots: got error %v, want an existing folder", err)
	}
	if data, err := os.ReadFile(earlier); err != nil || string(data) != "{}" {
		t.Errorf("earlier report: got %q, error %v, want {}", data, err)
	}
	for wantPrefix, c := range map[string]runCommand{
		"--scale": {Scale: math.NaN()},
		"--plots": {Scale: 1, Plots: filepath.Join(earlier, "plots")},
		"--json":  {Scale: 1, JSON: filepath.Join(folder, "missing", "report.json")},
	} {
		if err := c.prepareOutputs(); err == nil || !strings.HasPrefix(err.Error(), wantPrefix) {
			t.Errorf("%s: got error %v, want one that begins with the option", wantPrefix, err)
		}
	}
}
