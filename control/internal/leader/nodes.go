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

// ErrLeaseEnded is returned for an incarnation whose lease has ended. The node
// must register again.
var ErrLeaseEnded = errors.New("the lease of this incarnation has ended; register again")

// ErrServerChanged is returned if the node of a backend server registered again
// or left while a drain was proposed. Nothing was changed then.
var ErrServerChanged = errors.New("the backend server's node registered again or left during the request; nothing was changed")

// InvalidError is returned for a request that can never be accepted.
type InvalidError struct{ Message string }

func (e *InvalidError) Error() string { return e.Message }

// report is the latest renewal of a node.
type report struct {
	receivedAt time.Time
	request    *wirev1.RenewRequest
}

// draining reports whether the node itself requested to leave. It is false for
// a nil report.
func (r *report) draining() bool { return r != nil && r.request.GetDraining() }

// expiredNodes returns the incarnations whose lease has expired. It also
// deletes what the leader keeps in memory about nodes that are no longer
// registered.
func (l *Leader) expiredNodes(state *cluster.State, now time.Time) []uint64 {
	var expired []uint64
	l.recordVMs(state)
	for n := range state.Nodes() {
		incarnation := n.GetIncarnation()
		if _, known := l.firstSeen[incarnation]; !known {
			l.firstSeen[incarnation] = now
		}
		l.granter.Track(now, incarnation)
		if l.granter.Expired(now, incarnation) {
			expired = append(expired, incarnation)
		}
	}
	for incarnation := range l.firstSeen {
		if state.Node(incarnation) == nil {
			l.granter.Forget(incarnation)
			delete(l.firstSeen, incarnation)
			delete(l.reports, incarnation)
			delete(l.nodeUpdates, incarnation)
		}
	}
	return expired
}

// replaceCommands returns commands that remove nodes whose lease has expired
// and assign their partitions to new owners. The first command removes all of
// these nodes, so that no later command finds one of them still registered as
// owner.
func (l *Leader) replaceCommands(state *cluster.State, now time.Time, expired []uint64) []*wirev1.Command {
	l.planDue = true
	expiring := map[uint64]bool{0: true}
	for _, incarnation := range expired {
		expiring[incarnation] = true
	}
	var unowned, others []*wirev1.AssignChange
	for _, c := range l.dueChanges(state, now) {
		owner := state.Assignment(c.GetUpstream(), c.GetPartition()).GetOwner()
		if expiring[owner] || state.Node(owner) == nil {
			unowned = append(unowned, c)
		} else {
			others = append(others, c)
		}
	}
	var commands []*wirev1.Command
	for removed := expired; len(removed) > 0 || len(unowned) > 0; removed = nil {
		n := min(len(unowned), maxReplaceChanges)
		commands = append(commands, &wirev1.Command{Kind: &wirev1.Command_ReplaceNodes{ReplaceNodes: &wirev1.ReplaceNodes{
			Removed: removed, Reason: "leaseExpired", Changes: unowned[:n],
		}}})
		unowned = unowned[n:]
	}
	return append(commands, assignCommands(others)...)
}

// nodeUpdateCommands returns commands for the changes that nodes reported about
// themselves, and clears these changes.
func (l *Leader) nodeUpdateCommands(state *cluster.State) []*wirev1.Command {
	var commands []*wirev1.Command
	for n := range state.Nodes() {
		if u := l.nodeUpdates[n.GetIncarnation()]; u != nil {
			commands = append(commands, &wirev1.Command{Kind: &wirev1.Command_UpdateNode{UpdateNode: u}})
		}
	}
	clear(l.nodeUpdates)
	return commands
}

// Renew extends a lease and returns its new duration. It first completes a
// quorum round that starts after the renewal arrived.
func (l *Leader) Renew(ctx context.Context, request *wirev1.RenewRequest) (*wirev1.RenewResponse, error) {
	if err := l.config.Log.Confirm(ctx); err != nil {
		return nil, err
	}
	state, now, err := l.lockCurrentTerm()
	if err != nil {
		return nil, err
	}
	defer l.mu.Unlock()
	superseded := l.supersededFor(request.GetRulesRevision(), now)
	response := &wirev1.RenewResponse{Sequence: request.GetSequence(), SupersededMs: uint32(superseded.Milliseconds())}
	if addresses := l.config.Log.Addresses(); lease.MembersHash(addresses) != request.GetMembersHash() {
		response.Members, response.MembersHash = addresses, lease.MembersHash(addresses)
	}
	node := state.Node(request.GetIncarnation())
	if node == nil || l.granter.Expired(now, request.GetIncarnation()) {
		response.Lost = true
		return response, nil
	}
	l.recordRenewal(state, node, request, now)
	l.recordReleased(state, now, request.GetIncarnation(), request.GetReleased(), nil, false)
	if superseded > rulesUpdateGrace {
		if l.awaitsSnapshot(request.GetIncarnation(), now) {
			// The node gets no lease without the rules. It stays registered while it
			// waits in the leader's queue for snapshots, because another registration
			// would make the queue longer.
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

// recordRenewal stores a renewal and prepares a command if the node reports a
// change of itself. Draining that an operator requested is ended only by the
// operator. A node ends only the draining that it reported itself.
func (l *Leader) recordRenewal(state *cluster.State, node *wirev1.Node, request *wirev1.RenewRequest, now time.Time) {
	incarnation := node.GetIncarnation()
	last := l.reports[incarnation]
	if last != nil && request.GetSequence() <= last.request.GetSequence() {
		return
	}
	l.observeSpeed(node, last, request, now)
	l.observeRates(state, node, last, request, now)
	l.reports[incarnation] = &report{receivedAt: now, request: request}
	draining := node.GetDraining() || request.GetDraining()
	if last != nil && last.request.GetDraining() && !request.GetDraining() {
		draining = false
	}
	server := request.GetBackendServer()
	if server.GetName() != node.GetBackendServer().GetName() || server.GetUpstream() != node.GetBackendServer().GetUpstream() {
		// A different backend server needs a new registration.
		server = nil
	}
	if draining != node.GetDraining() || request.GetCold() != node.GetCold() || server != nil && !sameServer(server, node.GetBackendServer()) {
		l.nodeUpdates[incarnation] = &wirev1.UpdateNode{Incarnation: incarnation, Draining: draining, Cold: request.GetCold(), BackendServer: server}
		l.wake()
	}
}

// sameServer reports whether a report states nothing new about a registered backend
// server.
func sameServer(report, b *wirev1.BackendServer) bool {
	a := report
	return (b.GetLeaving() || !a.GetLeaving()) && a.GetAddress() == b.GetAddress() && a.GetBootId() == b.GetBootId() && a.GetSlots() == b.GetSlots() &&
		a.GetConnections() == b.GetConnections() && a.GetChecksFences() == b.GetChecksFences()
}

// supersededFor returns for how long a later rules revision than the given one
// has been in effect, 0 if there is none. A revision that was accepted before
// this term counts from the start of the term.
func (l *Leader) supersededFor(revision uint64, now time.Time) time.Duration {
	longest := time.Duration(0)
	for accepted, since := range l.revisions {
		if accepted > revision {
			longest = max(longest, now.Sub(since))
		}
	}
	return longest
}

// Deregister removes a node that has returned its lease. It does nothing for an
// incarnation that is not registered.
func (l *Leader) Deregister(ctx context.Context, incarnation uint64) error {
	if err := l.config.Log.Confirm(ctx); err != nil {
		return err
	}
	state, _, err := l.lockCurrentTerm()
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

// Drain starts draining the node of a backend server, or ends it if undo is
// set. It returns the node's incarnation and the number of partitions that it
// still owns.
func (l *Leader) Drain(ctx context.Context, server string, undo bool) (*wirev1.DrainResponse, error) {
	if err := l.config.Log.Confirm(ctx); err != nil {
		return nil, err
	}
	state, _, err := l.lockCurrentTerm()
	if err != nil {
		return nil, err
	}
	node := state.NodeByServer(server)
	l.mu.Unlock()
	if node == nil {
		return nil, &InvalidError{fmt.Sprintf("no node is registered for backend server %q", server)}
	}
	response := &wirev1.DrainResponse{Incarnation: node.GetIncarnation(), PartitionsLeft: uint32(partitionCounts(state)[node.GetIncarnation()])}
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

// partitionCounts returns the number of partitions of each owner.
func partitionCounts(state *cluster.State) map[uint64]int {
	owned := map[uint64]int{}
	for _, upstream := range state.Upstreams() {
		for a := range state.Assignments(upstream) {
			owned[a.GetOwner()]++
		}
	}
	return owned
}

// sortedPartitions returns the keys of a map, sorted by upstream and partition,
// so that logs and commands have a stable order.
func sortedPartitions[V any](m map[partitionID]V) []partitionID {
	ids := make([]partitionID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b partitionID) int {
		if a.upstream != b.upstream {
			if a.upstream < b.upstream {
				return -1
			}
			return 1
		}
		return int(int64(a.partition) - int64(b.partition))
	})
	return ids
}
