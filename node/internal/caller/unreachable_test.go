package caller_test

import (
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/node/internal/caller"
)

// TestHeldRequestsTryTogether guards against one try for each held request
// towards a node that is gone, which were thousands for one loss, and against a
// node that is back and stays unnoticed.
func TestHeldRequestsTryTogether(t *testing.T) {
	const lost, other, requests = 7, 8, 400
	var u caller.UnreachableNodes
	start := time.Unix(0, 0)
	u.RecordFailure(start, lost)
	sent, last := 0, time.Duration(0)
	for at := time.Duration(0); at < 1400*time.Millisecond; at += time.Millisecond {
		for range requests {
			if wait, _ := u.Hold(start.Add(at), lost); wait > 0 {
				continue
			}
			if at-last > 51*time.Millisecond {
				t.Fatalf("no try between %v and %v", last, at)
			}
			last = at
			sent++
			u.RecordFailure(start.Add(at), lost)
		}
	}
	if sent < 20 || sent > 40 {
		t.Errorf("%d tries in 1.4 s, want 20 to 40", sent)
	}
	now := start.Add(1400 * time.Millisecond)
	if wait, _ := u.Hold(now, other); wait != 0 {
		t.Errorf("a request to another node waits for %v", wait)
	}
	u.Hold(now, lost)
	wait, reached := u.Hold(now, lost)
	if wait <= 0 {
		t.Fatal("a second request is sent before the first one has found out")
	}
	u.RecordSuccess(lost)
	select {
	case <-reached:
	default:
		t.Error("requests are not woken when the node is reached")
	}
	if wait, _ = u.Hold(now, lost); wait != 0 {
		t.Errorf("a request to a node that is back waits for %v", wait)
	}
}
