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

// ErrLeaseEnded is returned for an incarnation whose lease is over.
var ErrLeaseEnded = errors.New("the lease of this incarnation is over; register again")

// ErrServerChanged is returned where the node of a backend server registered
// anew or left while it was drained, so that nothing was changed.
var ErrServerChanged = errors.New("the backend server's node registered anew or left meanwhile; nothing was changed")

// InvalidError is returned for a registration that can never be accepted.
type InvalidError struct{ Message string }

// Error returns what is wrong.
func (e *InvalidError) Error() string { return e.Message }

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
	superseded := l.superseded(request.GetRulesRevision(), now)
	response := &wirev1.RenewResponse{Sequence: request.GetSequence(), SupersededMs: uint32(superseded.Milliseconds())}
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
	if superseded > rulesGrace {
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

// superseded returns for how long a rules revision has had a later one, 0 if
// there is none. A revision that was accepted before this term counts from the
// start of the term.
func (l *Leader) superseded(revision uint64, now time.Time) time.Duration {
	longest := time.Duration(0)
	for accepted, since := range l.revisions {
		if accepted > revision {
			longest = max(longest, now.Sub(since))
		}
	}
	return longest
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
