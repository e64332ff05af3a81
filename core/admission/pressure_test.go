package admission_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jujubeknot/jujubeknot/core/admission"
)

// TestPressureConverges guards against a node that goes on taking more than its
// processor carries, and against one that refuses after the overload has ended.
// The wait for the processor is that of one line in which each request in
// flight takes its turn.
func TestPressureConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		turn := time.Duration(rapid.IntRange(1, 19).Draw(t, "turn")) * time.Microsecond
		offered := rapid.IntRange(256, 100_000).Draw(t, "offered")
		p := admission.NewProcessorLimiter(1 << 20)
		limit := 1 << 20
		for range 300 {
			inFlight := min(offered, limit)
			limit = p.Observe(time.Duration(inFlight)*turn, inFlight)
		}
		if wait := time.Duration(min(offered, limit)) * turn; wait > 6*time.Millisecond {
			t.Fatalf("limit %d: each turn still waits %v", limit, wait)
		}
		if want := min(offered, int(3*time.Millisecond/turn)); limit < want {
			t.Fatalf("limit %d is under %d, which the processor carries easily", limit, want)
		}
		for range 300 {
			limit = p.Observe(0, 0)
		}
		if limit != 1<<20 {
			t.Fatalf("limit %d without pressure", limit)
		}
	})
}

// TestPressureFloor guards against a pause of the machine that makes a quiet
// node refuse its few requests.
func TestPressureFloor(t *testing.T) {
	p := admission.NewProcessorLimiter(1000)
	for range 100 {
		if limit := p.Observe(time.Second, 3); limit < 256 {
			t.Fatalf("limit %d", limit)
		}
	}
}
