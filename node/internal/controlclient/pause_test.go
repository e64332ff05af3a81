package controlclient_test

import (
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/node/internal/controlclient"
)

// TestSpread guards against nodes that lost their leases together and go on to
// register together, or so late that keys wait for them.
func TestSpread(t *testing.T) {
	const first, limit, tries = 100 * time.Millisecond, 2 * time.Second, 2000
	for failures, longest := range []time.Duration{first, 2 * first, 4 * first, 8 * first, 16 * first, limit, limit} {
		var sum time.Duration
		for range tries {
			pause := controlclient.Spread(first, failures, limit)
			if pause <= 0 || pause > longest {
				t.Fatalf("pause of %v after %d failures, want up to %v", pause, failures, longest)
			}
			sum += pause
		}
		if mean := sum / tries; mean < longest*2/5 || mean > longest*3/5 {
			t.Errorf("pauses after %d failures have a mean of %v, want about half of %v", failures, mean, longest)
		}
	}
	if pause := controlclient.Spread(first, 1000, limit); pause <= 0 || pause > limit {
		t.Errorf("pause of %v after 1000 failures, want up to %v", pause, limit)
	}
}
