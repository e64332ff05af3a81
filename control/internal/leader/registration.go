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

// errIncarnationRemoved is returned for a repeated registration whose
// incarnation has been removed.
var errIncarnationRemoved = errors.New("the incarnation of this registration was removed")

// NameTakenError is returned to a node that registers a backend server name
// which is held by another incarnation whose lease may still be valid.
type NameTakenError struct {
	Server string
	// Holder is the incarnation that holds the name.
	Holder uint64
	// Address is the address of the holder's node-to-node listener.
	Address string
}

func (e *NameTakenError) Error() string {
	return fmt.Sprintf("nameTaken: backend server name %q is held by incarnation %d at %s", e.Server, e.Holder, e.Address)
}

// EarlierBootError is returned to a node that registers a backend server which
// started before the registered one of the same VM. The node acts on a delayed
// report.
type EarlierBootError struct {
	// Server is the name of the backend server that is registered for the VM.
	Server string
	// Holder is the incarnation of that backend server's node.
	Holder uint64
}

func (e *EarlierBootError) Error() string {
	return fmt.Sprintf("earlierLife: backend server %q of incarnation %d on this VM started later", e.Server, e.Holder)
}

// Register registers a node and grants its first lease. A repeated request gets
// the same incarnation again while that one is registered.
func (l *Leader) Register(ctx context.Context, request *wirev1.RegisterRequest) (*wirev1.RegisterResponse, error) {
	if err := l.config.Log.Confirm(ctx); err != nil {
		return nil, err
	}
	state, now, err := l.lockCurrentTerm()
	if err != nil {
		return nil, err
	}
	if err := l.checkBoot(state, now, request); err != nil {
		l.mu.Unlock()
		l.config.Logger.Warn().Err(err).Str("node", request.GetNode().GetName()).
			Str("server", request.GetNode().GetBackendServer().GetName()).Msg("node not registered")
		return nil, err
	}
	l.recordVMs(state)
	name := request.GetNode().GetName()
	replaces, keeps := uint64(0), false
	if !registeredBy(state, request.GetRequestId()) {
		replaces, keeps = l.replacedIncarnation(state, now, request)
		l.joined[name] = latestIncarnation(state, name)
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
		if !errors.Is(err, errIncarnationRemoved) {
			return response, err
		}
		// The response to an earlier attempt was lost and its incarnation has been
		// removed since. The node repeats the request until it gets a response, so it
		// needs a new incarnation. Later attempts find the new incarnation by the
		// derived request id.
		id = nextRequestID(id, result.Index)
	}
}

// nextRequestID returns the request id for repeating a registration whose
// incarnation has been removed.
func nextRequestID(id string, incarnation uint64) string {
	return fmt.Sprintf("%s#%d", id, incarnation)
}

// registeredBy reports whether a request already created an incarnation that is
// still registered. The request was then sent again because its response was
// lost.
func registeredBy(state *cluster.State, id string) bool {
	for {
		incarnation, known := state.Registration(id)
		switch {
		case !known:
			return false
		case state.Node(incarnation) != nil:
			return true
		}
		id = nextRequestID(id, incarnation)
	}
}

// replacedIncarnation returns the incarnation that a registration replaces, and
// whether the registration keeps the partitions of that incarnation. It ends
// the leases of the other incarnations whose processes have ended. It does not
// end the lease of the incarnation whose partitions are kept. Otherwise, these
// partitions would be assigned to other nodes before the registration is
// committed. The caller holds mu.
func (l *Leader) replacedIncarnation(state *cluster.State, now time.Time, request *wirev1.RegisterRequest) (replaces uint64, keeps bool) {
	node := request.GetNode()
	ended := endedIncarnations(state, request)
	if p := state.Node(request.GetPrevious()); p != nil && p.GetName() == node.GetName() {
		// The node itself reports that it returned the lease of this incarnation.
		replaces = p.GetIncarnation()
		ended = append(ended, p)
	}
	if holder := state.NodeByServer(node.GetBackendServer().GetName()); holder != nil && l.granter.Expired(now, holder.GetIncarnation()) {
		replaces = holder.GetIncarnation()
	}
	for _, n := range ended {
		if n.GetName() == node.GetName() && replacementPriority(n, node) >= replacementPriority(state.Node(replaces), node) {
			replaces = n.GetIncarnation()
		}
	}
	keeps = keepsPartitions(state.Node(replaces), node)
	for _, n := range ended {
		if keeps && n.GetIncarnation() == replaces {
			continue
		}
		if n.GetName() != node.GetName() {
			l.config.Logger.Info().Uint64("incarnation", n.GetIncarnation()).Str("node", n.GetName()).Str("peer", n.GetPeerAddress()).
				Str("shownBy", node.GetName()).Msg("lease ended: another VM registered with the node's addresses")
		}
		l.granter.Returned(n.GetIncarnation())
	}
	return replaces, keeps
}

// replacementPriority ranks the incarnations that a registration could replace;
// the highest is replaced. A process may have registered before it knew its
// backend server. The incarnation of that registration ranks below one that has
// the backend server's partitions or name.
func replacementPriority(replaced, node *wirev1.Node) int {
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

// checkBoot refuses a node whose backend server started before the backend
// server that an earlier process of the same VM registered. It does so only
// until the lease of the registered one has expired, because that backend
// server may hold keys until then. The caller holds mu.
func (l *Leader) checkBoot(state *cluster.State, now time.Time, request *wirev1.RegisterRequest) error {
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

// endedIncarnations returns the incarnations at a node's address whose
// processes are known to have ended: those of the same VM, and those of another
// VM if the address of its backend server is reused too. It returns none while
// the new process does not name a backend server, because the earlier process's
// backend server may still hold keys.
func endedIncarnations(state *cluster.State, request *wirev1.RegisterRequest) []*wirev1.Node {
	node := request.GetNode()
	if !request.GetTakesOver() || node.GetBackendServer() == nil {
		return nil
	}
	var list []*wirev1.Node
	for n := range state.Nodes() {
		if n.GetPeerAddress() == node.GetPeerAddress() && (n.GetName() == node.GetName() || serverAddressReused(n, node)) {
			list = append(list, n)
		}
	}
	return list
}

// serverAddressReused reports whether a node's backend server listens at the
// address of an earlier one with another name. The earlier one has ended then.
func serverAddressReused(earlier, node *wirev1.Node) bool {
	a, b := earlier.GetBackendServer(), node.GetBackendServer()
	return a.GetAddress() != "" && a.GetAddress() == b.GetAddress() && a.GetName() != b.GetName()
}

// keepsPartitions reports whether a registration replaces one of the same
// backend server with the same boot id. That backend server keeps the
// partitions it holds.
func keepsPartitions(replaced, node *wirev1.Node) bool {
	a, b := replaced.GetBackendServer(), node.GetBackendServer()
	return a != nil && b != nil && a.GetName() == b.GetName() && a.GetBootId() == b.GetBootId() && a.GetUpstream() == b.GetUpstream()
}

func (l *Leader) registered(request *wirev1.RegisterRequest, result cluster.Result) (*wirev1.RegisterResponse, error) {
	state, now, err := l.lockCurrentTerm()
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
			return nil, errIncarnationRemoved
		}
	}
	duration, granted := l.granter.Renew(now, result.Index)
	if !granted || state.Node(result.Index) == nil {
		return nil, ErrLeaseEnded
	}
	l.joined[request.GetNode().GetName()] = result.Index - 1
	l.planDue = true
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

// earlierServer returns the backend server of the process that a new process
// takes over from. It returns nil if the new process names its own backend
// server, or if the earlier backend server cannot continue. A cold backend
// server is excluded, because only its own heartbeat tells how long it stays
// cold. A backend server without partitions is excluded too, because callers
// choose another one in its place.
func earlierServer(state *cluster.State, now time.Time, granter *lease.Granter, request *wirev1.RegisterRequest) *wirev1.BackendServer {
	node := request.GetNode()
	if !request.GetTakesOver() || node.GetBackendServer() != nil {
		return nil
	}
	for n := range state.Nodes() {
		if n.GetBackendServer() != nil && n.GetName() == node.GetName() && n.GetPeerAddress() == node.GetPeerAddress() &&
			!n.GetDraining() && !n.GetCold() && !granter.Expired(now, n.GetIncarnation()) && ownsPartitions(state, n) {
			return n.GetBackendServer()
		}
	}
	return nil
}

// ownsPartitions reports whether a node owns partitions.
func ownsPartitions(state *cluster.State, n *wirev1.Node) bool {
	for a := range state.Assignments(n.GetBackendServer().GetUpstream()) {
		if a.GetOwner() == n.GetIncarnation() {
			return true
		}
	}
	return false
}
