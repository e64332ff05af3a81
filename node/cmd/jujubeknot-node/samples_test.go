package main

import (
	"path/filepath"
	"testing"
)

// TestSamples guards against sample settings that this version refuses.
func TestSamples(t *testing.T) {
	files, err := filepath.Glob("../../../examples/one-machine/node-*.ini")
	if err != nil || len(files) != 3 {
		t.Fatal(files, err)
	}
	for _, path := range files {
		if _, _, err := load(path); err != nil {
			t.Error(err)
		}
	}
}
