package caller_test

import (
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/node/internal/caller"
)

// TestHeldRequestsShareAttempts guards against one attempt by each held request at a
// node that is lost, which made thousands of attempts for one loss. It also guards
// against a node that is reachable again and is not noticed.
func TestHeldRequestsShareAttempts(t *testing.T) {
	const unreachable, other, requests = 7, 8, 400
	var u caller.UnreachableNodes
	start := time.Unix(0, 0)
	u.RecordFailure(start, unreachable)
	attempts, lastAttempt := 0, time.Duration(0)
	for at := time.Duration(0); at < 1400*time.Millisecond; at += time.Millisecond {
		for range requests {
			if wait, _ := u.Hold(start.Add(at), unreachable); wait > 0 {
				continue
			}
			if at-lastAttempt > 51*time.Millisecond {
				t.Fatalf("no attempt between %v and %v, want one at least every 51 ms", lastAttempt, at)
			}
			lastAttempt = at
			attempts++
			u.RecordFailure(start.Add(at), unreachable)
		}
	}
	if attempts < 20 || attempts > 40 {
		t.Errorf("%d attempts in 1.4 s, want 20 to 40", attempts)
	}
	now := start.Add(1400 * time.Millisecond)
	if wait, _ := u.Hold(now, other); wait != 0 {
		t.Errorf("request to another node waits for %v, want 0", wait)
	}
	u.Hold(now, unreachable)
	wait, reached := u.Hold(now, unreachable)
	if wait <= 0 {
		t.Fatal("second request is sent before the first one has a result, want it to wait")
	}
	u.RecordSuccess(unreachable)
	select {
	case <-reached:
	default:
		t.Error("waiting requests are not woken when the node is reached")
	}
	if wait, _ = u.Hold(now, unreachable); wait != 0 {
		t.Errorf("request to a node that is reachable again waits for %v, want 0", wait)
	}
}
