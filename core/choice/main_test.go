package choice_test

import (
	"testing"

	"github.com/jujubeknot/jujubeknot/wire/testkit"
)

// TestMain fixes rapid's seed, so that each run draws the same cases. It also
// draws longer sequences than rapid's defaults, which are too short to find
// faults that occur only while requests are running.
func TestMain(m *testing.M) {
	testkit.Main(m, testkit.Config{Checks: 300, Steps: 80})
}
