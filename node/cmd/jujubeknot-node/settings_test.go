package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/jujubeknot/jujubeknot/core/settings"
)

// TestExampleSettings guards against example settings files that this version
// rejects.
func TestExampleSettings(t *testing.T) {
	files, err := filepath.Glob("testdata/examples/one-machine/node-*.ini")
	if err != nil || len(files) != 3 {
		t.Fatalf("example settings: found %v, error %v, want 3 files", files, err)
	}
	for _, path := range files {
		if _, _, err := load(path); err != nil {
			t.Error(err)
		}
	}
}

// TestDocumentedSettings guards against a table of settings in the documentation
// that differs from the settings that the program reads.
func TestDocumentedSettings(t *testing.T) {
	page, err := os.ReadFile("testdata/docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	if table := settings.Table(settings.Describe(&fileSettings{})); !strings.Contains(string(page), table) {
		t.Errorf("docs/OPERATIONS.md lacks this table:\n%s", table)
	}
}

// TestRoutingSampleSetting guards against a sample setting that is not passed to the
// node, and against a value that drops all lines.
func TestRoutingSampleSetting(t *testing.T) {
	example, err := os.ReadFile("testdata/examples/one-machine/node-1.ini")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "node.ini")
	loadWith := func(value string) (int, error) {
		text := string(example)
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
		if got, err := loadWith(value); got != want || err != nil {
			t.Errorf("routingSample %q: got %d, error %v; want %d", value, got, err, want)
		}
	}
	for _, value := range []string{"0", "-1", "100001", "1%", "all"} {
		if _, err := loadWith(value); err == nil || !strings.Contains(err.Error(), "log.routingSample") {
			t.Errorf("routingSample %q: error %v, want one about log.routingSample", value, err)
		}
	}
}
