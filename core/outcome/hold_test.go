package outcome_test

import (
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/core/outcome"
)

// TestHoldInOutages replays 250 requests a second for keys whose node is away, each
// with 320 ms for which it can be held. It guards against requests that are held to
// no end while a node is lost for a whole lease, and against refusals while a node
// only restarts. Before the decision all were held.
func TestHoldInOutages(t *testing.T) {
	const patience, between = 320 * time.Millisecond, 4 * time.Millisecond
	for _, c := range []struct {
		name   string
		length time.Duration
		// most is the bound on the mean time for which a request that was not served
		// was held, least that on the share of those held that were.
		most  time.Duration
		least float64
	}{
		{"restart", 600 * time.Millisecond, 320 * time.Millisecond, 0.5},
		{"lost for a lease", 5 * time.Second, 100 * time.Millisecond, 0},
	} {
		var o outcome.Outage
		start := time.Unix(100, 0)
		requests, served, failed := 0, 0, 0
		var heldBefore, held time.Duration
		for at := time.Duration(0); at < c.length; at += between {
			requests++
			o = o.WithFailure(start.Add(at))
			wait := time.Duration(0)
			for o.ShouldHold(patience) && wait < patience && at+wait < c.length {
				wait += between
			}
			switch {
			case at+wait >= c.length:
				served++
			default:
				failed++
				held += wait
			}
			if at+patience < c.length {
				heldBefore += patience
			}
		}
		if share := float64(served) / float64(requests); share < c.least {
			t.Errorf("%s: %d of %d served", c.name, served, requests)
		}
		if mean := held / time.Duration(max(1, failed)); mean > c.most {
			t.Errorf("%s: the refused were held for %v on average, %v before", c.name, mean, heldBefore/time.Duration(max(1, failed)))
		}
	}
}

// TestPatientCallersAreHeld guards against callers with seconds to spare who are
// refused while keys get another owner.
func TestPatientCallersAreHeld(t *testing.T) {
	start := time.Unix(100, 0)
	o := outcome.Outage{}.WithFailure(start).WithFailure(start.Add(3 * time.Second))
	if !o.ShouldHold(2 * time.Second) {
		t.Error("a caller with 2 s is refused after 3 s")
	}
	if o.ShouldHold(300 * time.Millisecond) {
		t.Error("a caller with 300 ms is held after 3 s")
	}
	if got := o.RetryAfter(); got != 750*time.Millisecond {
		t.Errorf("told to return after %v, want 750 ms", got)
	}
	if got := (outcome.Outage{}).WithFailure(start); !got.ShouldHold(time.Millisecond) || got.RetryAfter() != 100*time.Millisecond {
		t.Errorf("the first try that fails: %+v", got)
	}
}
