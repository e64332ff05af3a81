package node

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/node/dialect"
	"github.com/jujubeknot/jujubeknot/node/internal/backend"
)

// ErrForeignHeartbeat is wrapped by the error of Node.Heartbeat for a heartbeat
// that cannot come from the backend server beside this node.
var ErrForeignHeartbeat = backend.ErrForeignHeartbeat

// errLeavingNotStored is returned for a report that the backend server leaves which
// control has not stored in time.
var errLeavingNotStored = errors.New("control has not stored that the backend server leaves")

// Heartbeat handles a heartbeat of the backend server beside this node and
// returns the response to it, after at most Dialect.MaxHeartbeatWait, or
// Dialect.LeaveTimeout if the backend server drains. Then the error is one of
// Unacknowledged unless control has stored that. It requires Config.Dialect. It is
// safe for concurrent use.
func (n *Node) Heartbeat(ctx context.Context, b dialect.Heartbeat) (dialect.HeartbeatResponse, error) {
	arrived := time.Now()
	if u := n.view.Table().Upstream(b.Upstream); u != nil && u.NumericKeys && !b.ReportsKeys {
		return dialect.HeartbeatResponse{}, fmt.Errorf("heartbeat of backend server %q without keys, of a keyed upstream: %w", b.Name, backend.ErrForeignHeartbeat)
	}
	current, err := n.backend.Heartbeat(ctx, b, n.healthPath(b.Upstream))
	if err != nil {
		return dialect.HeartbeatResponse{}, fmt.Errorf("heartbeat of backend server %q: %w", b.Name, err)
	}
	if b.Draining {
		if err := n.awaitLeavingStored(ctx, arrived, b.Incarnation()); err != nil {
			return dialect.HeartbeatResponse{}, fmt.Errorf("heartbeat of draining backend server %q: %w", b.Name, err)
		}
	}
	if !current {
		return dialect.HeartbeatResponse{OnSent: func() {}}, nil
	}
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
// is not zero, it is the start of the incarnation that is stopping. It waits like
// Heartbeat until control has stored the report.
func (n *Node) Deregister(ctx context.Context, name string, started time.Time) error {
	incarnation, err := n.backend.Deregister(name, started)
	if err == nil && incarnation != "" {
		err = n.awaitLeavingStored(ctx, time.Now(), incarnation)
	}
	if err != nil {
		return fmt.Errorf("deregister backend server %q: %w", name, err)
	}
	return nil
}

// awaitLeavingStored waits until control has stored that an incarnation of the backend
// server leaves, until Dialect.LeaveTimeout after the arrival of the report. An
// acknowledgement binds the next process of the node too, and that process has only what
// control knows.
func (n *Node) awaitLeavingStored(ctx context.Context, arrived time.Time, incarnation string) error {
	timer := time.NewTimer(n.cfg.Dialect.LeaveTimeout - time.Since(arrived))
	defer timer.Stop()
	for {
		changed := n.view.Changed()
		switch stored, known := n.backend.LeavingStored(incarnation); {
		case stored:
			return nil
		case !known:
			return backend.ErrUnknownServer
		}
		select {
		case <-changed:
		case <-timer.C:
			return errLeavingNotStored
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", errLeavingNotStored, ctx.Err())
		}
	}
}

// Unacknowledged reports whether an error of Heartbeat or Deregister concerns a proper
// report, which the backend server may send again.
func Unacknowledged(err error) bool {
	return errors.Is(err, errLeavingNotStored) || errors.Is(err, backend.ErrUnknownServer)
}

// SetControlMembers replaces the configured addresses of control members, after
// a change of the settings. Addresses learnt from control itself are kept.
func (n *Node) SetControlMembers(members []netip.AddrPort) { n.session.SetMembers(members) }
