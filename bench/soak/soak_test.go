package soak_test

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/bench/soak"
)

// buildPrograms returns a folder with the real programs.
func buildPrograms(t *testing.T) string {
	t.Helper()
	programs := t.TempDir()
	build := exec.Command("go", "build", "-o", programs+string(filepath.Separator), "./bench/cmd/jujubeknot-bench", "./control/cmd/jujubeknot-control",
		"./ctl/cmd/jujubeknotctl", "./node/cmd/jujubeknot-node")
	build.Dir = filepath.Join("..", "..")
	build.Env = append(os.Environ(), "CGO_ENABLED=1")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return programs
}

// TestShortSoak guards the promises of the real programs under a short series of
// faults with a fixed seed: nothing run twice, true refusals, one owner of a key,
// no work in a zone that is out, and service again after the faults.
func TestShortSoak(t *testing.T) {
	programs := buildPrograms(t)
	var out bytes.Buffer
	err := soak.Run(context.Background(), soak.Config{Seed: 1, Programs: programs, Folder: t.TempDir(), Duration: 5 * time.Second, Nodes: 3, Rate: 100, Out: &out})
	if err != nil {
		t.Errorf("%v\n%s", err, out.String())
	}
}
