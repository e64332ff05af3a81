// Package testkit provides helpers for the tests of all modules. Only tests may
// import it.
package testkit

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// rapidSeed is the seed of rapid in each package. It is fixed so that each run
// draws the same cases.
const rapidSeed = "20261204"

var update = flag.Bool("update", false, "write the golden files")

// Config sets how many cases rapid draws. Zero values mean rapid's defaults.
type Config struct {
	// Checks is the number of cases of each property.
	Checks int
	// Steps is the average number of actions of a state machine.
	Steps int
}

// Main runs the tests of a package that uses rapid, and exits the process. Flags on
// the command line override the seed and cfg.
func Main(m *testing.M, cfg Config) {
	setRapidFlag("seed", rapidSeed)
	if cfg.Checks > 0 {
		setRapidFlag("checks", strconv.Itoa(cfg.Checks))
	}
	if cfg.Steps > 0 {
		setRapidFlag("steps", strconv.Itoa(cfg.Steps))
	}
	flag.Parse()
	os.Exit(m.Run())
}

func setRapidFlag(name, value string) {
	if err := flag.Set("rapid."+name, value); err != nil {
		panic(err)
	}
}

// Golden compares got with the content of a file. With the flag -update, it writes
// got to the file first.
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
		t.Errorf("%s differs from the result; run with -update to accept it:\n%s", path, got)
	}
}
