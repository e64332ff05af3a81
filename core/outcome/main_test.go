package outcome_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes rapid's seed so that each run draws the same cases, and lets it
// draw longer sequences than its defaults, which miss faults that need a server
// at work.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "1000", "rapid.steps": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
