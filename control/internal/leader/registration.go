package leader

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/core/cluster"
	"github.com/jujubeknot/jujubeknot/core/lease"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// errIncarnationOver is the answer to a repeated registration whose
// incarnation was removed since.
var errIncarnationOver = errors.New("the incarnation of this registration was removed")

// NameTakenError is returned to a node that claims a backend server name of
// another incarnation that may still have its lease.
type NameTakenError struct {
	Server string
	// Holder is the incarnation that has the name.
	Holder uint64
	// Address of the holder's node-to-node listener.
	Address string
}

// Error names the holder and its address.
func (e *NameTakenError) Error() string {
	return fmt.Sprintf("nameTaken: backend server name %q is held by incarnation %d at %s", e.Server, e.Holder, e.Address)
}

// EarlierBootError is returned to a node that shows an earlier life of its backend
// server than the registered one: a report that was on its way for long.
type EarlierBootError struct {
	// Server is the backend server that is registered for the VM.
	Server string
	// Holder is its incarnation.
	Holder uint64
}

// Error names the later one.
func (e *EarlierBootError) Error() string {
	return fmt.Sprintf("earlierLife: the backend server %q of incarnation %d on this VM started later", e.Server, e.Holder)
}

// Register registers a node and grants it its first lease. A repeated request
// gets the same incarnation again.
func (l *Leader) Register(ctx context.Context, request *wirev1.RegisterRequest) (*wirev1.RegisterResponse, error) {
	if err := l.config.Log.Confirm(ctx); err != nil {
		return nil, err
	}
	state, now, err := l.enter()
	if err != nil {
		return nil, err
	}
	if err := l.checkLife(state, now, request); err != nil {
		l.mu.Unlock()
		l.config.Logger.Warn().Err(err).Str("node", request.GetNode().GetName()).
			Str("server", request.GetNode().GetBackendServer().GetName()).Msg("node not registered")
		return nil, err
	}
	replaces, keeps := uint64(0), false
	if !registeredBy(state, request.GetRequestId()) {
		replaces, keeps = l.succeed(state, now, request)
	}
	l.mu.Unlock()
	id := request.GetRequestId()
	for {
		result, err := l.config.Log.Propose(ctx, &wirev1.Command{Kind: &wirev1.Command_RegisterNode{RegisterNode: &wirev1.RegisterNode{
			Node: request.GetNode(), Replaces: replaces, RequestId: id, KeepsPartitions: keeps,
		}}})
		if err != nil {
			return nil, err
		}
		response, err := l.registered(request, result)
		if !errors.Is(err, errIncarnationOver) {
			return response, err
		}
		// The answer to an earlier sending was lost and its incarnation is
		// over. The node repeats the request until it gets an answer, so it
		// needs another incarnation, which later repetitions find in turn.
		id = anotherID(id, result.Index)
	}
}

// anotherID returns the request id by which a registration is repeated whose
// incarnation was removed since.
func anotherID(id string, incarnation uint64) string { return fmt.Sprintf("%s#%d", id, incarnation) }

// registeredBy reports whether a request has made an incarnation that is
// registered: it is sent again because its answer was lost.
func registeredBy(state *cluster.State, id string) bool {
	for {
		incarnation, known := state.Registration(id)
		switch {
		case !known:
			return false
		case state.Node(incarnation) != nil:
			return true
		}
		id = anotherID(id, incarnation)
	}
}

// succeed returns which incarnation a registration replaces, and whether it keeps
// the partitions of that one. The leases of others that have ended are over; that
// of one whose partitions are kept is not, because they would be given to others
// until the registration is committed. The lock is held.
func (l *Leader) succeed(state *cluster.State, now time.Time, request *wirev1.RegisterRequest) (replaces uint64, keeps bool) {
	node := request.GetNode()
	over := ended(state, request)
	if p := state.Node(request.GetPrevious()); p != nil && p.GetName() == node.GetName() {
		// The node itself says that it gave the lease of this incarnation up.
		replaces = p.GetIncarnation()
		over = append(over, p)
	}
	if h := state.NodeByServer(node.GetBackendServer().GetName()); h != nil && l.granter.Expired(now, h.GetIncarnation()) {
		replaces = h.GetIncarnation()
	}
	for _, n := range over {
		if n.GetName() == node.GetName() && claim(n, node) >= claim(state.Node(replaces), node) {
			replaces = n.GetIncarnation()
		}
	}
	keeps = keepsPartitions(state.Node(replaces), node)
	for _, n := range over {
		if keeps && n.GetIncarnation() == replaces {
			continue
		}
		if n.GetName() != node.GetName() {
			l.config.Logger.Info().Uint64("incarnation", n.GetIncarnation()).Str("node", n.GetName()).Str("peer", n.GetPeerAddress()).
				Str("shownBy", node.GetName()).Msg("lease is over: another VM shows the node's addresses")
		}
		l.granter.Returned(n.GetIncarnation())
	}
	return replaces, keeps
}

// claim orders the incarnations that a registration could replace. A process may
// have registered before it knew its backend server: the incarnation that has the
// backend server's partitions, or its name, goes before that one.
func claim(replaced, node *wirev1.Node) int {
	switch {
	case replaced == nil:
		return 0
	case keepsPartitions(replaced, node):
		return 3
	case replaced.GetBackendServer().GetName() == node.GetBackendServer().GetName():
		return 2
	default:
		return 1
	}
}

// checkLife refuses a node whose backend server started before the one that an
// earlier process of the VM registered, as long as that one may hold keys. The lock
// is held.
func (l *Leader) checkLife(state *cluster.State, now time.Time, request *wirev1.RegisterRequest) error {
	node := request.GetNode()
	started := node.GetBackendServer().GetStartedUnixMs()
	if !request.GetTakesOver() || started == 0 {
		return nil
	}
	for n := range state.Nodes() {
		if n.GetName() == node.GetName() && n.GetPeerAddress() == node.GetPeerAddress() &&
			n.GetBackendServer().GetStartedUnixMs() > started && !l.granter.Expired(now, n.GetIncarnation()) {
			return &EarlierBootError{n.GetBackendServer().GetName(), n.GetIncarnation()}
		}
	}
	return nil
}

// ended returns the incarnations at a node's address whose processes are known to
// have ended: those of the same VM, and those of another VM if the backend
// server's address is taken too. While the new process does not name a backend
// server, the one of the earlier process may still hold keys.
func ended(state *cluster.State, request *wirev1.RegisterRequest) []*wirev1.Node {
	node := request.GetNode()
	if !request.GetTakesOver() || node.GetBackendServer() == nil {
		return nil
	}
	var list []*wirev1.Node
	for n := range state.Nodes() {
		if n.GetPeerAddress() == node.GetPeerAddress() && (n.GetName() == node.GetName() || serverTaken(n, node)) {
			list = append(list, n)
		}
	}
	return list
}

// serverTaken reports whether a node's backend server listens where another one
// did, which has ended then.
func serverTaken(earlier, node *wirev1.Node) bool {
	a, b := earlier.GetBackendServer(), node.GetBackendServer()
	return a.GetAddress() != "" && a.GetAddress() == b.GetAddress() && a.GetName() != b.GetName()
}

// keepsPartitions reports whether a registration replaces one of the same life
// of the same backend server, which then goes on with the partitions it holds.
func keepsPartitions(replaced, node *wirev1.Node) bool {
	a, b := replaced.GetBackendServer(), node.GetBackendServer()
	return a != nil && b != nil && a.GetName() == b.GetName() && a.GetBootId() == b.GetBootId() && a.GetUpstream() == b.GetUpstream()
}

func (l *Leader) registered(request *wirev1.RegisterRequest, result cluster.Result) (*wirev1.RegisterResponse, error) {
	state, now, err := l.enter()
	if err != nil {
		return nil, err
	}
	defer l.mu.Unlock()
	server := request.GetNode().GetBackendServer().GetName()
	switch result.Code {
	case cluster.CodeInvalid:
		return nil, &InvalidError{result.Message}
	case cluster.CodeConflict:
		holder := state.Node(result.Holder)
		l.config.Logger.Warn().Str("node", request.GetNode().GetName()).Str("peer", request.GetNode().GetPeerAddress()).
			Str("refused", result.Message).Msg("node not registered")
		return nil, &NameTakenError{Server: server, Holder: result.Holder, Address: holder.GetPeerAddress()}
	case cluster.CodeUnchanged:
		if state.Node(result.Index) == nil {
			return nil, errIncarnationOver
		}
	}
	duration, granted := l.granter.Renew(now, result.Index)
	if !granted || state.Node(result.Index) == nil {
		return nil, ErrLeaseEnded
	}
	l.dirty = true
	l.wake()
	l.config.Logger.Info().Uint64("incarnation", result.Index).Str("node", request.GetNode().GetName()).
		Str("server", server).Str("zone", request.GetNode().GetAvailabilityZone()).Uint64("previous", request.GetPrevious()).
		Stringer("result", result.Code).Msg("node registered")
	return &wirev1.RegisterResponse{
		Incarnation:     result.Index,
		LeaseMs:         uint32(duration.Milliseconds()),
		RenewIntervalMs: uint32(l.config.Lease.RenewInterval.Milliseconds()),
		Members:         l.config.Log.Addresses(),
		EarlierServer:   earlierServer(state, now, l.granter, request),
	}, nil
}

// earlierServer returns the backend server of the process that a new one takes
// over from, nil if the new one names its own or the earlier one cannot go on. A
// cold one is left out: only its own beat says for how long. So is one without
// partitions, in whose place callers choose another.
func earlierServer(state *cluster.State, now time.Time, granter *lease.Granter, request *wirev1.RegisterRequest) *wirev1.BackendServer {
	node := request.GetNode()
	if !request.GetTakesOver() || node.GetBackendServer() != nil {
		return nil
	}
	for n := range state.Nodes() {
		if n.GetBackendServer() != nil && n.GetName() == node.GetName() && n.GetPeerAddress() == node.GetPeerAddress() &&
			!n.GetDraining() && !n.GetCold() && !granter.Expired(now, n.GetIncarnation()) && owns(state, n) {
			return n.GetBackendServer()
		}
	}
	return nil
}

// owns reports whether a node owns partitions.
func owns(state *cluster.State, n *wirev1.Node) bool {
	for a := range state.Assignments(n.GetBackendServer().GetUpstream()) {
		if a.GetOwner() == n.GetIncarnation() {
			return true
		}
	}
	return false
}
