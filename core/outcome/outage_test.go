package outcome_test

import (
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/core/outcome"
)

// TestHoldInOutages guards against requests that are held in vain while a node
// is lost for a whole lease, and against refusals while a node only restarts.
// It simulates 250 requests a second for keys whose node is unavailable. Each
// can be held for 320 ms, and without ShouldHold all would be held.
func TestHoldInOutages(t *testing.T) {
	const holdTime, interval = 320 * time.Millisecond, 4 * time.Millisecond
	for _, c := range []struct {
		name   string
		length time.Duration
		// maxMeanWait bounds the mean time for which refused requests were held.
		// minServed is the smallest share of requests that must be served.
		maxMeanWait time.Duration
		minServed   float64
	}{
		{"restart", 600 * time.Millisecond, 320 * time.Millisecond, 0.5},
		{"lost for a lease", 5 * time.Second, 100 * time.Millisecond, 0},
	} {
		var o outcome.Outage
		start := time.Unix(100, 0)
		requests, served, failed := 0, 0, 0
		var heldWithout, held time.Duration
		for at := time.Duration(0); at < c.length; at += interval {
			requests++
			o = o.WithFailure(start.Add(at))
			wait := time.Duration(0)
			for o.ShouldHold(holdTime) && wait < holdTime && at+wait < c.length {
				wait += interval
			}
			switch {
			case at+wait >= c.length:
				served++
			default:
				failed++
				held += wait
			}
			if at+holdTime < c.length {
				heldWithout += holdTime
			}
		}
		if share := float64(served) / float64(requests); share < c.minServed {
			t.Errorf("%s: %d of %d requests served, want a share of %v", c.name, served, requests, c.minServed)
		}
		if mean := held / time.Duration(max(1, failed)); mean > c.maxMeanWait {
			t.Errorf("%s: refused requests were held for %v on average, want at most %v; %v if all were held", c.name, mean, c.maxMeanWait, heldWithout/time.Duration(max(1, failed)))
		}
	}
}

// TestLongDeadlinesAreHeld guards against refusals of requests that can be held
// for seconds while their keys get another owner.
func TestLongDeadlinesAreHeld(t *testing.T) {
	start := time.Unix(100, 0)
	o := outcome.Outage{}.WithFailure(start).WithFailure(start.Add(3 * time.Second))
	if !o.ShouldHold(2 * time.Second) {
		t.Error("request with 2 s left is not held in an outage of 3 s")
	}
	if o.ShouldHold(300 * time.Millisecond) {
		t.Error("request with 300 ms left is held in an outage of 3 s")
	}
	if got := o.RetryAfter(); got != 750*time.Millisecond {
		t.Errorf("retry after %v, want 750 ms", got)
	}
	if got := (outcome.Outage{}).WithFailure(start); !got.ShouldHold(time.Millisecond) || got.RetryAfter() != 100*time.Millisecond {
		t.Errorf("outage with one failed attempt %+v: want requests held, and a retry after 100 ms", got)
	}
}
