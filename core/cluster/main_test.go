package cluster_test

import (
	"testing"

	"github.com/jujubeknot/jujubeknot/wire/testkit"
)

// TestMain fixes the seed of rapid, so that every run draws the same cases.
func TestMain(m *testing.M) {
	testkit.Main(m, testkit.Config{})
}
