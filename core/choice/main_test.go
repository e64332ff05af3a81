package choice_test

import (
	"testing"

	"github.com/jujubeknot/jujubeknot/wire/testkit"
)

// TestMain fixes rapid's seed so that each run draws the same cases, and lets it
// draw longer sequences than its defaults, which miss faults that need a server
// at work.
func TestMain(m *testing.M) {
	testkit.Main(m, testkit.Config{Checks: 300, Steps: 80})
}
