package controlclient_test

import (
	"context"
	"net/netip"
	"testing"

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
