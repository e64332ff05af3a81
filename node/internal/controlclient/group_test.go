package controlclient_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/node/internal/controlclient"
)

// TestLateResponseKeepsWatch guards against a renewal that times out and thereby ends
// a working watch stream. The next stream costs a busy leader more work, so that more
// renewals time out. It also guards against a stream that stays with a leader after
// another member has responded as leader.
func TestLateResponseKeepsWatch(t *testing.T) {
	first, second := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	g := controlclient.NewGroup([]netip.AddrPort{first, second}, "secret")
	_, address, changed := controlclient.Watch(g)
	ended := func() bool {
		select {
		case <-changed:
			return true
		default:
			return false
		}
	}
	controlclient.RecordSuccess(g, address)
	controlclient.RecordFailure(g, address, context.DeadlineExceeded)
	if ended() {
		t.Error("the watch stream ended after one late response")
	}
	controlclient.RecordSuccess(g, first.String())
	if ended() {
		t.Error("the watch stream ended although its member is the leader")
	}
	controlclient.RecordSuccess(g, second.String())
	if !ended() {
		t.Error("the watch stream continues although another member is the leader")
	}
}

// TestTimeoutGrowsWithoutResponses guards against a node behind a busy link that
// abandons each attempt before its response can arrive, and so never succeeds. Such a
// node missed a change of the rules for over 2 s. The test also guards against a timeout
// that stays long after members respond again, or that grows while a member responds
// that it is not the leader.
func TestTimeoutGrowsWithoutResponses(t *testing.T) {
	first, second := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	g := controlclient.NewGroup([]netip.AddrPort{first, second}, "secret")
	const base = 300 * time.Millisecond
	fail := func(times int, err error) {
		for range times {
			_, address, _ := controlclient.Watch(g)
			controlclient.RecordFailure(g, address, err)
		}
	}
	for _, c := range []struct {
		failures int
		want     time.Duration
	}{{1, base}, {1, 2 * base}, {2, 4 * base}, {10, 4 * base}} {
		fail(c.failures, context.DeadlineExceeded)
		if got := controlclient.ScaledTimeout(g, base); got != c.want {
			t.Errorf("timeout is %v, want %v", got, c.want)
		}
	}
	controlclient.RecordSuccess(g, first.String())
	if got := controlclient.ScaledTimeout(g, base); got != base {
		t.Errorf("timeout is %v after a response, want the base", got)
	}
}
