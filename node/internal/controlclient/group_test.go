package controlclient_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/node/internal/controlclient"
)

// TestLateAnswerKeepsWatch guards against a renewal that timed out and ends a
// watch stream that works: the next stream costs a busy leader more work, so
// that more renewals time out. It also guards against a stream that stays with
// a leader after another one has answered.
func TestLateAnswerKeepsWatch(t *testing.T) {
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
	controlclient.Succeeded(g, address)
	controlclient.Failure(g, address, context.DeadlineExceeded)
	if ended() {
		t.Error("the watch stream ended after one late answer")
	}
	controlclient.Succeeded(g, first.String())
	if ended() {
		t.Error("the watch stream ended although its member leads")
	}
	controlclient.Succeeded(g, second.String())
	if !ended() {
		t.Error("the watch stream goes on although another member leads")
	}
}

// TestPatienceGrowsWithSilence guards against a node behind a busy link that gives
// each try up before its answer can arrive, for ever: it missed a change of the
// rules for over 2 s. It also guards against patience that stays when members
// answer again, or grows while a member says that it does not lead.
func TestPatienceGrowsWithSilence(t *testing.T) {
	first, second := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	g := controlclient.NewGroup([]netip.AddrPort{first, second}, "secret")
	const base = 300 * time.Millisecond
	fail := func(times int, err error) {
		for range times {
			_, address, _ := controlclient.Watch(g)
			controlclient.Failure(g, address, err)
		}
	}
	for _, c := range []struct {
		silent int
		want   time.Duration
	}{{1, base}, {1, 2 * base}, {2, 4 * base}, {10, 4 * base}} {
		fail(c.silent, context.DeadlineExceeded)
		if got := controlclient.Patience(g, base); got != c.want {
			t.Errorf("patience %v, want %v", got, c.want)
		}
	}
	controlclient.Succeeded(g, first.String())
	if got := controlclient.Patience(g, base); got != base {
		t.Errorf("patience %v after an answer", got)
	}
}
