// Package testkit has what the tests of all modules share. Only tests import it.
package testkit

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// seed is rapid's in every package, so that each run draws the same cases.
const seed = "20261204"

var update = flag.Bool("update", false, "write the golden files")

// Config sets how much rapid draws. Zeros mean rapid's defaults.
type Config struct {
	// Checks is the number of cases of each property.
	Checks int
	// Steps is the average number of actions of a state machine.
	Steps int
}

// Main runs the tests of a package that uses rapid, and ends the process. The
// command line can set another seed and other numbers.
func Main(m *testing.M, cfg Config) {
	set("seed", seed)
	if cfg.Checks > 0 {
		set("checks", strconv.Itoa(cfg.Checks))
	}
	if cfg.Steps > 0 {
		set("steps", strconv.Itoa(cfg.Steps))
	}
	flag.Parse()
	os.Exit(m.Run())
}

func set(name, value string) {
	if err := flag.Set("rapid."+name, value); err != nil {
		panic(err)
	}
}

// Golden compares a result with a file, or writes the file with -update.
func Golden(t testing.TB, path, got string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s differs, run with -update to accept:\n%s", path, got)
	}
}
