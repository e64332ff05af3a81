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
	page, err := os.ReadFile("testdata/docs/OPERATING.md")
	if err != nil {
		t.Fatal(err)
	}
	if table := settings.Table(settings.Describe(&fileSettings{})); !strings.Contains(string(page), table) {
		t.Errorf("docs/OPERATING.md lacks this table:\n%s", table)
	}
}
