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

// buildPrograms builds the real programs and returns their folder.
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

// TestShortSoak guards against violations of the guarantees by the real programs
// under a short series of faults with a fixed seed: a request that runs twice, a
// request that ran although it was reported as not run, two owners of a key,
// requests in a zone that is out of service, and partitions that are not served
// after the faults.
func TestShortSoak(t *testing.T) {
	programs := buildPrograms(t)
	var out bytes.Buffer
	err := soak.Run(context.Background(), soak.Config{Seed: 1, Programs: programs, Folder: t.TempDir(), Duration: 5 * time.Second, Nodes: 3, Rate: 100, Out: &out})
	if err != nil {
		t.Errorf("%v\n%s", err, out.String())
	}
}
