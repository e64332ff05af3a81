package admission_test

import (
	"testing"

	"github.com/jujubeknot/jujubeknot/wire/testkit"
)

// TestMain fixes rapid's seed, so that each run draws the same cases, and lets
// it draw longer sequences than by default, which miss faults that only occur
// on a busy server.
func TestMain(m *testing.M) {
	testkit.Main(m, testkit.Config{Checks: 1000, Steps: 80})
}
