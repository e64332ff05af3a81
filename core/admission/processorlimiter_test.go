package admission_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jujubeknot/jujubeknot/core/admission"
)

// TestProcessorLimiterConverges guards against a node that keeps accepting more
// requests than its processor can handle, and against one that still refuses
// requests after the overload has ended. The simulated wait for the processor
// is that of one queue in which each request in flight gets one turn.
func TestProcessorLimiterConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		turn := time.Duration(rapid.IntRange(1, 19).Draw(t, "turn")) * time.Microsecond
		offered := rapid.IntRange(256, 100_000).Draw(t, "offered")
		l := admission.NewProcessorLimiter(1 << 20)
		limit := 1 << 20
		for range 300 {
			inFlight := min(offered, limit)
			limit = l.Observe(time.Duration(inFlight)*turn, inFlight)
		}
		if wait := time.Duration(min(offered, limit)) * turn; wait > 6*time.Millisecond {
			t.Fatalf("limit %d: each turn waits %v, want at most 6ms", limit, wait)
		}
		if want := min(offered, int(3*time.Millisecond/turn)); limit < want {
			t.Fatalf("limit %d, want at least %d, at which a turn waits 3ms", limit, want)
		}
		for range 300 {
			limit = l.Observe(0, 0)
		}
		if limit != 1<<20 {
			t.Fatalf("limit %d without waits for the processor, want 1048576", limit)
		}
	})
}

// TestProcessorLimiterMinimum guards against a node with few requests that
// refuses them after a pause of the machine.
func TestProcessorLimiterMinimum(t *testing.T) {
	l := admission.NewProcessorLimiter(1000)
	for range 100 {
		if limit := l.Observe(time.Second, 3); limit < 256 {
			t.Fatalf("limit %d, want at least 256", limit)
		}
	}
}
