package leader

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/core/cluster"
	"github.com/jujubeknot/jujubeknot/core/lease"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// ErrRegisterAnew is returned for an incarnation whose lease is over.
var ErrRegisterAnew = errors.New("the lease of this incarnation is over; register again")

// errIncarnationOver is the answer to a repeated registration whose
// incarnation was removed since.
var errIncarnationOver = errors.New("the incarnation of this registration was removed")

// ErrServerChanged is returned where the node of a backend server registered
// anew or left while it was drained, so that nothing was changed.
var ErrServerChanged = errors.New("the backend server's node registered anew or left meanwhile; nothing was changed")

// InvalidError is returned for a registration that can never be accepted.
type InvalidError struct{ Message string }

// Error returns what is wrong.
func (e *InvalidError) Error() string { return e.Message }

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

// EarlierLifeError is returned to a node that shows an earlier life of its backend
// server than the registered one: a report that was on its way for long.
type EarlierLifeError struct {
	// Server is the backend server that is registered for the VM.
	Server string
	// Holder is its incarnation.
	Holder uint64
}

// Error names the later one.
func (e *EarlierLifeError) Error() string {
	return fmt.Sprintf("earlierLife: the backend server %q of incarnation %d on this VM started later", e.Server, e.Holder)
}

// report is what a node said in its latest renewal.
type report struct {
	at      time.Time
	request *wirev1.RenewRequest
}

// draining reports whether the node itself wants to leave. A nil report says no.
func (r *report) draining() bool { return r != nil && r.request.GetDraining() }

// expire returns the nodes whose lease is over and forgets those that are no
// longer registered.
func (l *Leader) expire(state *cluster.State, now time.Time) []uint64 {
	var expired []uint64
	for n := range state.Nodes() {
		incarnation := n.GetIncarnation()
		if _, known := l.seen[incarnation]; !known {
			l.seen[incarnation] = now
		}
		l.granter.Track(now, incarnation)
		if l.granter.Expired(now, incarnation) {
			expired = append(expired, incarnation)
		}
	}
	for incarnation := range l.seen {
		if state.Node(incarnation) == nil {
			l.granter.Forget(incarnation)
			delete(l.seen, incarnation)
			delete(l.reports, incarnation)
			delete(l.updates, incarnation)
		}
	}
	return expired
}

// replace returns commands that remove nodes whose lease is over and give
// their partitions new owners. All nodes are removed by the first command, so
// that no later one meets a registered owner.
func (l *Leader) replace(state *cluster.State, now time.Time, expired []uint64) []*wirev1.Command {
	l.dirty = true
	over := map[uint64]bool{0: true}
	for _, incarnation := range expired {
		over[incarnation] = true
	}
	var ownerless, others []*wirev1.AssignChange
	for _, c := range l.changes(state, now) {
		owner := state.Assignment(c.GetUpstream(), c.GetPartition()).GetOwner()
		if over[owner] || state.Node(owner) == nil {
			ownerless = append(ownerless, c)
		} else {
			others = append(others, c)
		}
	}
	var commands []*wirev1.Command
	for removed := expired; len(removed) > 0 || len(ownerless) > 0; removed = nil {
		n := min(len(ownerless), maxReplaced)
		commands = append(commands, &wirev1.Command{Kind: &wirev1.Command_ReplaceNodes{ReplaceNodes: &wirev1.ReplaceNodes{
			Removed: removed, Reason: "leaseExpired", Changes: ownerless[:n],
		}}})
		ownerless = ownerless[n:]
	}
	return append(commands, assignCommands(others)...)
}

// takeUpdates returns commands for what nodes reported about themselves.
func (l *Leader) takeUpdates(state *cluster.State) []*wirev1.Command {
	var commands []*wirev1.Command
	for n := range state.Nodes() {
		if u := l.updates[n.GetIncarnation()]; u != nil {
			commands = append(commands, &wirev1.Command{Kind: &wirev1.Command_UpdateNode{UpdateNode: u}})
		}
	}
	clear(l.updates)
	return commands
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
			return &EarlierLifeError{n.GetBackendServer().GetName(), n.GetIncarnation()}
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
		return nil, ErrRegisterAnew
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

// Renew answers a renewal after a quorum round that began after it arrived.
func (l *Leader) Renew(ctx context.Context, request *wirev1.RenewRequest) (*wirev1.RenewResponse, error) {
	if err := l.config.Log.Confirm(ctx); err != nil {
		return nil, err
	}
	state, now, err := l.enter()
	if err != nil {
		return nil, err
	}
	defer l.mu.Unlock()
	response := &wirev1.RenewResponse{Sequence: request.GetSequence()}
	if addresses := l.config.Log.Addresses(); lease.MembersHash(addresses) != request.GetMembersHash() {
		response.Members, response.MembersHash = addresses, lease.MembersHash(addresses)
	}
	node := state.Node(request.GetIncarnation())
	if node == nil || l.granter.Expired(now, request.GetIncarnation()) {
		response.Lost = true
		return response, nil
	}
	l.note(node, request, now)
	l.takeReleased(state, now, request.GetIncarnation(), request.GetReleased(), nil, false)
	if l.behind(request.GetRulesRevision(), now) {
		if l.awaitsSnapshot(request.GetIncarnation(), now) {
			// The node has no lease without the rules, but it is not removed for a
			// queue at the leader: another registration would make that longer.
			l.granter.Renew(now, request.GetIncarnation())
		}
		l.config.Logger.Warn().Uint64("incarnation", request.GetIncarnation()).Str("node", node.GetName()).
			Uint64("revision", request.GetRulesRevision()).Uint64("current", state.Revision()).Msg("lease not renewed: node is behind the rules")
		response.Behind = true
		return response, nil
	}
	duration, granted := l.granter.Renew(now, request.GetIncarnation())
	response.Lost = !granted
	response.LeaseMs = uint32(duration.Milliseconds())
	return response, nil
}

// note keeps a renewal and prepares a command where the node's view of itself
// changed. Draining that an operator asked for is only ended by the operator:
// a node ends only the draining that it reported itself.
func (l *Leader) note(node *wirev1.Node, request *wirev1.RenewRequest, now time.Time) {
	incarnation := node.GetIncarnation()
	last := l.reports[incarnation]
	if last != nil && request.GetSequence() <= last.request.GetSequence() {
		return
	}
	l.observeSpeed(node, last, request, now)
	l.reports[incarnation] = &report{at: now, request: request}
	draining := node.GetDraining() || request.GetDraining()
	if last != nil && last.request.GetDraining() && !request.GetDraining() {
		draining = false
	}
	server := request.GetBackendServer()
	if server.GetName() != node.GetBackendServer().GetName() || server.GetUpstream() != node.GetBackendServer().GetUpstream() {
		// Another backend server needs another registration.
		server = nil
	}
	if draining != node.GetDraining() || request.GetCold() != node.GetCold() || server != nil && !sameServer(server, node.GetBackendServer()) {
		l.updates[incarnation] = &wirev1.UpdateNode{Incarnation: incarnation, Draining: draining, Cold: request.GetCold(), BackendServer: server}
		l.wake()
	}
}

func sameServer(a, b *wirev1.BackendServer) bool {
	return a.GetAddress() == b.GetAddress() && a.GetBootId() == b.GetBootId() && a.GetSlots() == b.GetSlots() &&
		a.GetConnections() == b.GetConnections() && a.GetChecksFences() == b.GetChecksFences()
}

// behind reports whether a node has not applied a revision that has been
// accepted for longer than the grace. A revision that was accepted before
// this term counts from the start of the term.
func (l *Leader) behind(revision uint64, now time.Time) bool {
	for accepted, since := range l.revisions {
		if accepted > revision && now.Sub(since) > rulesGrace {
			return true
		}
	}
	return false
}

// Deregister removes a node that has given its lease up.
func (l *Leader) Deregister(ctx context.Context, incarnation uint64) error {
	if err := l.config.Log.Confirm(ctx); err != nil {
		return err
	}
	state, _, err := l.enter()
	if err != nil {
		return err
	}
	registered := state.Node(incarnation) != nil
	if registered {
		l.granter.Returned(incarnation)
	}
	l.mu.Unlock()
	if !registered {
		return nil
	}
	defer l.wake()
	return l.propose(ctx, &wirev1.Command{Kind: &wirev1.Command_RemoveNode{RemoveNode: &wirev1.RemoveNode{
		Incarnation: incarnation, Reason: "leaseReturned",
	}}})
}

// Drain sets or ends draining of the node beside a backend server. It returns
// the node's incarnation and the partitions that it still owns.
func (l *Leader) Drain(ctx context.Context, server string, undo bool) (*wirev1.DrainResponse, error) {
	if err := l.config.Log.Confirm(ctx); err != nil {
		return nil, err
	}
	state, _, err := l.enter()
	if err != nil {
		return nil, err
	}
	node := state.NodeByServer(server)
	l.mu.Unlock()
	if node == nil {
		return nil, &InvalidError{fmt.Sprintf("no node is registered for backend server %q", server)}
	}
	response := &wirev1.DrainResponse{Incarnation: node.GetIncarnation(), PartitionsLeft: uint32(ownedBy(state)[node.GetIncarnation()])}
	if node.GetDraining() != undo {
		return response, nil
	}
	err = l.propose(ctx, &wirev1.Command{Kind: &wirev1.Command_UpdateNode{UpdateNode: &wirev1.UpdateNode{
		Incarnation: node.GetIncarnation(), Draining: !undo, Cold: node.GetCold(),
	}}})
	if err != nil {
		return nil, err
	}
	if l.config.Log.State().Node(node.GetIncarnation()) == nil {
		return nil, ErrServerChanged
	}
	l.wake()
	return response, nil
}

// ownedBy counts the partitions of each owner.
func ownedBy(state *cluster.State) map[uint64]int {
	owned := map[uint64]int{}
	for _, upstream := range state.Upstreams() {
		for a := range state.Assignments(upstream) {
			owned[a.GetOwner()]++
		}
	}
	return owned
}

// sortedKeys returns the places of a map by upstream and partition, so that
// logs and commands have a stable order.
func sortedKeys[V any](m map[place]V) []place {
	places := make([]place, 0, len(m))
	for at := range m {
		places = append(places, at)
	}
	slices.SortFunc(places, func(a, b place) int {
		if a.upstream != b.upstream {
			if a.upstream < b.upstream {
				return -1
			}
			return 1
		}
		return int(int64(a.partition) - int64(b.partition))
	})
	return places
}
