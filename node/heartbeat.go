package node

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/jujubeknot/jujubeknot/node/dialect"
	"github.com/jujubeknot/jujubeknot/node/internal/backend"
)

// ErrForeignHeartbeat is wrapped by the error of Node.Heartbeat for a heartbeat
// that cannot come from the backend server beside this node.
var ErrForeignHeartbeat = backend.ErrForeignHeartbeat

// Heartbeat handles a heartbeat of the backend server beside this node and
// returns the response to it, after at most Dialect.MaxHeartbeatWait. It
// requires Config.Dialect. It is safe for concurrent use.
func (n *Node) Heartbeat(ctx context.Context, b dialect.Heartbeat) (dialect.HeartbeatResponse, error) {
	arrived := time.Now()
	if u := n.view.Table().Upstream(b.Upstream); u != nil && u.NumericKeys && !b.ReportsKeys {
		return dialect.HeartbeatResponse{}, fmt.Errorf("heartbeat of backend server %q without keys, of a keyed upstream: %w", b.Name, backend.ErrForeignHeartbeat)
	}
	current, err := n.backend.Heartbeat(ctx, b, n.healthPath(b.Upstream))
	if err != nil {
		return dialect.HeartbeatResponse{}, fmt.Errorf("heartbeat of backend server %q: %w", b.Name, err)
	}
	if !current {
		return dialect.HeartbeatResponse{OnSent: func() {}}, nil
	}
	defer n.backend.AwaitsResponse(ctx)()
	received := n.owner.Receive(b)
	n.owner.AwaitGrantChange(ctx, received, max(n.cfg.Dialect.MaxHeartbeatWait-time.Since(arrived), 0))
	return n.owner.Respond(received, n.cfg.Dialect.MaxHold), nil
}

// healthPath returns the path at which backend servers of an upstream state their
// names, or an empty string if it is unknown.
func (n *Node) healthPath(upstream string) string {
	if u := n.view.Table().Upstream(upstream); u != nil {
		return u.HealthPath
	}
	return ""
}

// Deregister records that the backend server with this name is stopping. If started
// is not zero, it is the start of the incarnation that is stopping.
func (n *Node) Deregister(name string, started time.Time) { n.backend.Deregister(name, started) }

// SetControlMembers replaces the configured addresses of control members, after
// a change of the settings. Addresses learnt from control itself are kept.
func (n *Node) SetControlMembers(members []netip.AddrPort) { n.session.SetMembers(members) }
