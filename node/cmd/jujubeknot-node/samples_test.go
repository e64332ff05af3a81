package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/jujubeknot/jujubeknot/core/settings"
)

// TestSamples guards against sample settings that this version refuses.
func TestSamples(t *testing.T) {
	files, err := filepath.Glob("testdata/examples/one-machine/node-*.ini")
	if err != nil || len(files) != 3 {
		t.Fatal(files, err)
	}
	for _, path := range files {
		if _, _, err := load(path); err != nil {
			t.Error(err)
		}
	}
}

// TestDocumentedSettings guards against a table in the documents that differs
// from what the program reads.
func TestDocumentedSettings(t *testing.T) {
	page, err := os.ReadFile("testdata/docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	if table := settings.Table(settings.Describe(&fileSettings{})); !strings.Contains(string(page), table) {
		t.Errorf("docs/OPERATIONS.md lacks this table:\n%s", table)
	}
}

// TestRoutingSampleSetting guards against a sample that is not handed to the
// node, and against one that leaves out everything.
func TestRoutingSampleSetting(t *testing.T) {
	sample, err := os.ReadFile("testdata/examples/one-machine/node-1.ini")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "node.ini")
	try := func(value string) (int, error) {
		text := string(sample)
		if value != "" {
			text = strings.Replace(text, "[log]\n", "[log]\nroutingSample = "+value+"\n", 1)
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		cfg, _, err := load(path)
		return cfg.RoutingSample, err
	}
	for value, want := range map[string]int{"": 1, "1": 1, "100": 100, "100000": 100000} {
		if got, err := try(value); got != want || err != nil {
			t.Errorf("%q: %d, %v", value, got, err)
		}
	}
	for _, value := range []string{"0", "-1", "100001", "1%", "all"} {
		if _, err := try(value); err == nil || !strings.Contains(err.Error(), "log.routingSample") {
			t.Errorf("%q: %v", value, err)
		}
	}
}
