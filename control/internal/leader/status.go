package leader

import (
	"context"
	"fmt"
	"time"

	"github.com/jujubeknot/jujubeknot/core/cluster"
	"github.com/jujubeknot/jujubeknot/core/keyspace"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// Status returns the state of the cluster as the leader sees it.
func (l *Leader) Status(ctx context.Context) (*wirev1.StatusResponse, error) {
	if err := l.config.Log.Confirm(ctx); err != nil {
		return nil, err
	}
	members := l.config.Log.Members()
	leadership := l.config.Log.Leadership()
	state, now, err := l.lockCurrentTerm()
	if err != nil {
		return nil, err
	}
	defer l.mu.Unlock()
	response := &wirev1.StatusResponse{
		Leader: leadership.LeaderID, Term: l.term, Index: state.Index(), RulesRevision: state.Revision(), Members: members,
		MovesInFlight: uint32(len(l.moves)), TakeoverWaitMs: uint32(l.granter.TakeoverWait(now).Milliseconds()),
	}
	owned := partitionCounts(state)
	for n := range state.Nodes() {
		response.Nodes = append(response.Nodes, l.nodeStatus(n, owned[n.GetIncarnation()], now))
	}
	for _, u := range l.rules.set.Upstreams {
		for number := range u.Partitions {
			if state.Node(state.Assignment(u.Name, number).GetOwner()) == nil {
				response.UnassignedPartitions++
			}
		}
	}
	return response, nil
}

func (l *Leader) nodeStatus(n *wirev1.Node, partitions int, now time.Time) *wirev1.NodeStatus {
	shown := &wirev1.Node{
		Incarnation: n.GetIncarnation(), Name: n.GetName(), AvailabilityZone: n.GetAvailabilityZone(), Region: n.GetRegion(),
		PeerAddress: n.GetPeerAddress(), BackendServer: n.GetBackendServer(), Draining: n.GetDraining(), Cold: n.GetCold(),
	}
	s := &wirev1.NodeStatus{
		Node: shown, Partitions: uint32(partitions),
		LeaseLeftMs: uint32(l.granter.Remaining(now, n.GetIncarnation()).Milliseconds()),
		RenewAgeMs:  uint64(now.Sub(l.termStarted).Milliseconds()),
	}
	if r := l.reports[n.GetIncarnation()]; r != nil {
		s.Index, s.RulesRevision = r.request.GetIndex(), r.request.GetRulesRevision()
		s.RequestsPerSecond, s.InFlight = r.request.GetRequestsPerSecond(), r.request.GetInFlight()
		s.RenewAgeMs = uint64(now.Sub(r.receivedAt).Milliseconds())
	}
	return s
}

// Explain returns the owner of a key, the latest moves of its partition, and
// what an assignment is waiting for, if anything.
func (l *Leader) Explain(ctx context.Context, upstream, key string) (*wirev1.ExplainResponse, error) {
	if err := l.config.Log.Confirm(ctx); err != nil {
		return nil, err
	}
	state, now, err := l.lockCurrentTerm()
	if err != nil {
		return nil, err
	}
	defer l.mu.Unlock()
	u, found := l.rules.set.Upstream(upstream)
	if !found || !u.Keyed {
		return nil, &InvalidError{fmt.Sprintf("no keyed upstream %q in the rules at revision %d", upstream, state.Revision())}
	}
	hash, ok := u.KeyHash(key)
	if !ok {
		return nil, &InvalidError{fmt.Sprintf("keys of upstream %s are numbers from 0 to %d, found %q", upstream, keyspace.MaxNumericKey, key)}
	}
	id := partitionID{upstream, keyspace.Partition(hash, u.Partitions)}
	response := &wirev1.ExplainResponse{
		Assignment: state.Assignment(id.upstream, id.partition),
		LastMoves:  state.LastMoves(id.upstream, id.partition),
		WaitingFor: l.waitingFor(state, now, id),
	}
	if response.Assignment == nil {
		response.Assignment = &wirev1.Assignment{Upstream: id.upstream, Partition: id.partition}
	}
	if n := state.Node(response.Assignment.GetOwner()); n != nil {
		response.Owner = l.nodeStatus(n, 0, now).GetNode()
	}
	return response, nil
}

func (l *Leader) waitingFor(state *cluster.State, now time.Time, id partitionID) string {
	if m := l.moves[id]; m != nil {
		return fmt.Sprintf("release by incarnation %d, then assignment to %d (%s), started %v ago",
			m.from, m.to, m.reason, now.Sub(m.startedAt).Round(time.Millisecond))
	}
	if until, deferred := l.deferredUntil[id]; deferred {
		return fmt.Sprintf("the latest move was deferred; the next one is possible in %v", until.Sub(now).Round(time.Millisecond))
	}
	owner := state.Assignment(id.upstream, id.partition).GetOwner()
	if state.Node(owner) == nil {
		return "a backend server that can own the partition"
	}
	if l.reports[owner] == nil {
		if wait := l.granter.TakeoverWait(now); wait > 0 {
			return fmt.Sprintf("a renewal by incarnation %d, or the end of its lease in %v at most", owner, wait.Round(time.Millisecond))
		}
	}
	return ""
}
