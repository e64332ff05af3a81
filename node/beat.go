package node

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/jujubeknot/jujubeknot/node/dialect"
	"github.com/jujubeknot/jujubeknot/node/internal/backend"
)

// ErrForeignBeat is wrapped by the error for a beat that cannot be one of the
// backend server beside this node.
var ErrForeignBeat = backend.ErrForeignHeartbeat

// Beat takes a beat of the backend server beside this node and returns what to
// answer, at the latest after Dialect.MaxHeartbeatWait. It needs Config.Dialect and is safe for concurrent use.
func (n *Node) Beat(ctx context.Context, b dialect.Heartbeat) (dialect.HeartbeatResponse, error) {
	current, err := n.backend.Heartbeat(b)
	if err != nil {
		return dialect.HeartbeatResponse{}, fmt.Errorf("beat of %q: %w", b.Name, err)
	}
	if !current {
		return dialect.HeartbeatResponse{OnSent: func() {}}, nil
	}
	received := n.owner.Receive(b)
	n.owner.AwaitGrantChange(ctx, received, n.cfg.Dialect.MaxHeartbeatWait)
	return n.owner.Respond(received, n.cfg.Dialect.MaxHold), nil
}

// Deregister notes that the backend server with a name ends.
func (n *Node) Deregister(name string) { n.backend.Deregister(name) }

// SetControlMembers follows a change of the settings. Members that control
// named stay known.
func (n *Node) SetControlMembers(members []netip.AddrPort) { n.session.SetMembers(members) }
