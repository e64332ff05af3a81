package main

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against an experiment of minutes whose report is lost because its
// folder does not exist, and against one that empties an earlier report.
func TestReportCanBeWrittenBeforeTheRun(t *testing.T) {
	folder := t.TempDir()
	earlier := filepath.Join(folder, "report.json")
	if err := os.WriteFile(earlier, []byte("{}"), 0o600); err != nil {
		t.Fatal(err)
	}
	c := runCommand{Scale: 1, Plots: filepath.Join(folder, "new", "plots"), JSON: earlier}
	if err := c.prepare(); err != nil {
		t.Fatal(err)
	}
	if info, err := os.Stat(c.Plots); err != nil || !info.IsDir() {
		t.Errorf("folder for plots: %v", err)
	}
	if data, err := os.ReadFile(earlier); err != nil || string(data) != "{}" {
		t.Errorf("earlier report: %q, %v", data, err)
	}
	for want, c := range map[string]runCommand{
		"--scale": {Scale: math.NaN()},
		"--plots": {Scale: 1, Plots: filepath.Join(earlier, "plots")},
		"--json":  {Scale: 1, JSON: filepath.Join(folder, "missing", "report.json")},
	} {
		if err := c.prepare(); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%s: error %v", want, err)
		}
	}
}
