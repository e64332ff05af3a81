package admission_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes rapid's seed so that each run draws the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
