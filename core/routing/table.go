// Package routing decides where a request goes. It keeps a node's view of
// nodes, assignments and rules in immutable tables.
package routing

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/jujubeknot/jujubeknot/core/choice"
	"github.com/jujubeknot/jujubeknot/core/keyspace"
	"github.com/jujubeknot/jujubeknot/core/rules"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// chunkSize is the number of assignments that are copied when one of them
// changes. 256 entries of 48 bytes make a copy of 12 KiB.
const chunkSize = 256

// Assignment is the assignment of one partition to its owner.
type Assignment struct {
	// Owner is the incarnation of the owner, 0 for none.
	Owner uint64
	// Epoch is the fencing token, 0 if the partition was never assigned.
	Epoch uint64
	// Fence is higher than that of each earlier assignment of the partition.
	// Partitions that were assigned together have the same Fence.
	Fence uint64
	// Handover is the token of the previous owner's backend server, empty for
	// none.
	Handover string
	// Planned is true for a planned move, in which the new owner gets the
	// request ids of the previous one.
	Planned bool
}

// chunk has the assignments of consecutive partitions.
type chunk [chunkSize]Assignment

// assignments are the assignments of the partitions of one upstream. Chunks are
// shared between tables and are not changed once a table is returned.
type assignments struct {
	chunks []*chunk
}

func (a *assignments) get(partition uint32) Assignment {
	i := int(partition / chunkSize)
	if i >= len(a.chunks) || a.chunks[i] == nil {
		return Assignment{}
	}
	return a.chunks[i][partition%chunkSize]
}

// Table is the routing state at one index. It is immutable and safe for
// concurrent use. With returns a new Table that shares everything that did not
// change. Index, revision and epochs never decrease from one table to the next.
type Table struct {
	index    uint64
	revision uint64
	rules    rules.Set
	// rulesSource is the revision that rules was parsed from.
	rulesSource *wirev1.RulesRevision
	// nodes are by incarnation.
	nodes map[uint64]*wirev1.Node
	// owners are by upstream.
	owners map[string]*assignments

	// Derived from the fields above.
	upstreams map[string]*rules.Upstream
	// routes are by host, each list with the longest prefix first.
	routes            map[string][]*route
	zonesOutOfService map[string]bool
	drainedServers    map[string]bool
	// serving are the nodes that may get new work, by upstream.
	serving map[string][]choice.Candidate
	limits  Limits
	// organisations are by name, keyHolders by the hash of an API key.
	organisations map[string]*rules.Organisation
	keyHolders    map[rules.APIKeyHash]*rules.Organisation
	// priorities are those of calls, by rank. It is empty if organisations have none.
	priorities map[rank]int
}

// Limits are the values of the rules that apply to all upstreams.
type Limits struct {
	// ResendWindow is the time for which request ids are kept.
	ResendWindow time.Duration
	// HoldTimeout is the longest time for which a request waits for a moving
	// partition.
	HoldTimeout time.Duration
	// MaxDepth is the largest depth of nested calls.
	MaxDepth int
	// LongestTimeout is the longest timeout of any route, at least
	// rules.DefaultTimeout.
	LongestTimeout time.Duration
}

// New returns an empty table at index 0 without rules.
func New() *Table {
	t := &Table{}
	t.deriveRules()
	return t
}

// With returns the table after an update. An update that is older than the
// table changes nothing, so updates may be repeated. An error means that the
// text of the rules could not be parsed. The returned table then has everything
// but the rules of the update, and its revision does not advance.
func (t *Table) With(u *wirev1.Update) (*Table, error) {
	if u.GetIndex() < t.index {
		return t, nil
	}
	n := *t
	n.index = u.GetIndex()
	if u.GetSnapshot() {
		n.nodes, n.owners = nil, nil
	}
	nodesChanged := n.applyNodes(u)
	n.applyAssignments(t, u)
	rulesChanged, err := n.applyRules(u.GetRules())
	if nodesChanged || rulesChanged || u.GetSnapshot() {
		n.deriveServing()
	}
	return &n, err
}

// applyNodes adds and removes the nodes of an update and reports whether the
// update has any.
func (t *Table) applyNodes(u *wirev1.Update) bool {
	if len(u.GetNodes()) == 0 && len(u.GetRemovedNodes()) == 0 {
		return false
	}
	nodes := make(map[uint64]*wirev1.Node, len(t.nodes)+len(u.GetNodes()))
	for id, n := range t.nodes {
		nodes[id] = n
	}
	for _, n := range u.GetNodes() {
		nodes[n.GetIncarnation()] = n
	}
	for _, id := range u.GetRemovedNodes() {
		delete(nodes, id)
	}
	t.nodes = nodes
	return true
}

// applyAssignments adds the assignments of an update. It copies the chunks that
// change and shares the others with the old table. Assignments with an epoch
// below that in the old table are ignored.
func (t *Table) applyAssignments(old *Table, u *wirev1.Update) {
	if len(u.GetAssignments()) == 0 {
		return
	}
	owners := make(map[string]*assignments, len(t.owners)+1)
	for name, a := range t.owners {
		owners[name] = a
	}
	type chunkID struct {
		upstream string
		chunk    int
	}
	cloned := map[string]bool{}
	copied := map[chunkID]bool{}
	for _, w := range expandRuns(u.GetAssignments()) {
		if w.GetPartition() >= keyspace.MaxPartitions || w.GetEpoch() < old.Assignment(w.GetUpstream(), w.GetPartition()).Epoch {
			continue
		}
		name, i := w.GetUpstream(), int(w.GetPartition()/chunkSize)
		if !cloned[name] {
			a := &assignments{}
			if owners[name] != nil {
				a.chunks = slices.Clone(owners[name].chunks)
			}
			owners[name], cloned[name] = a, true
		}
		a := owners[name]
		for len(a.chunks) <= i {
			a.chunks = append(a.chunks, nil)
		}
		if !copied[chunkID{name, i}] {
			c := &chunk{}
			if a.chunks[i] != nil {
				*c = *a.chunks[i]
			}
			a.chunks[i], copied[chunkID{name, i}] = c, true
		}
		a.chunks[i][w.GetPartition()%chunkSize] = Assignment{
			Owner: w.GetOwner(), Epoch: w.GetEpoch(), Planned: w.GetPlanned(),
			Fence: w.GetSinceIndex(), Handover: w.GetHandover(),
		}
	}
	t.owners = owners
}

// expandRuns returns one assignment for each partition. An assignment in an
// update may stand for its partition and a run of consecutive partitions after
// it.
func expandRuns(list []*wirev1.Assignment) []*wirev1.Assignment {
	if !slices.ContainsFunc(list, func(a *wirev1.Assignment) bool { return a.GetFollowing() > 0 }) {
		return list
	}
	var all []*wirev1.Assignment
	for _, a := range list {
		all = append(all, a)
		for i := range min(a.GetFollowing(), keyspace.MaxPartitions) {
			all = append(all, &wirev1.Assignment{
				Upstream: a.GetUpstream(), Partition: a.GetPartition() + i + 1, Owner: a.GetOwner(), Epoch: a.GetEpoch(),
				SinceIndex: a.GetSinceIndex(), Handover: a.GetHandover(), Planned: a.GetPlanned(),
			})
		}
	}
	return all
}

// applyRules replaces the rules if those of an update are newer. It reports
// whether the rules changed.
func (t *Table) applyRules(r *wirev1.RulesRevision) (bool, error) {
	if r == nil || r.GetRevision() <= t.revision {
		return false, nil
	}
	set, faults := rules.Parse(r.GetText())
	if err := faults.Err(); err != nil {
		return false, fmt.Errorf("rules revision %d: %w", r.GetRevision(), err)
	}
	t.revision, t.rules, t.rulesSource = r.GetRevision(), set, r
	t.deriveRules()
	return true, nil
}

// deriveRules prepares what is looked up in the rules for each request.
func (t *Table) deriveRules() {
	set := &t.rules
	t.upstreams = make(map[string]*rules.Upstream, len(set.Upstreams))
	for i := range set.Upstreams {
		t.upstreams[set.Upstreams[i].Name] = &set.Upstreams[i]
	}
	t.routes = routesByHost(sortRoutes(set.Routes))
	t.zonesOutOfService, t.drainedServers = map[string]bool{}, map[string]bool{}
	for _, z := range set.Zones {
		t.zonesOutOfService[z.Name] = z.Out
	}
	for _, s := range set.Servers {
		t.drainedServers[s.Name] = s.Drain
	}
	t.limits = Limits{
		ResendWindow: set.ResendWindow(), HoldTimeout: set.HoldTimeout(), MaxDepth: set.MaxDepth(), LongestTimeout: rules.DefaultTimeout,
	}
	t.deriveOrganisations()
	for _, r := range set.Routes {
		t.limits.LongestTimeout = max(t.limits.LongestTimeout, r.Timeout)
	}
}

// deriveServing collects the nodes that may get new work.
func (t *Table) deriveServing() {
	t.serving = map[string][]choice.Candidate{}
	for _, n := range t.nodes {
		if b := n.GetBackendServer(); b.GetUpstream() != "" && !t.Leaving(n) {
			t.serving[b.GetUpstream()] = append(t.serving[b.GetUpstream()], choice.Candidate{
				Incarnation: n.GetIncarnation(), AvailabilityZone: n.GetAvailabilityZone(), Cold: n.GetCold(),
			})
		}
	}
	for _, list := range t.serving {
		slices.SortFunc(list, func(a, b choice.Candidate) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	}
}

// Index returns the index of control's log that the table reflects.
func (t *Table) Index() uint64 { return t.index }

// Revision returns the revision of the rules in force, 0 for none.
func (t *Table) Revision() uint64 { return t.revision }

// HasRoutes reports whether the rules have a route. Rules without one may have come into
// force before the first configuration, such as a zone that is out of service.
func (t *Table) HasRoutes() bool { return len(t.rules.Routes) > 0 }

// RulesNewerThan returns the rules in force, as control sent them, if they are
// newer than a revision, and nil otherwise. The result must not be changed.
func (t *Table) RulesNewerThan(revision uint64) *wirev1.RulesRevision {
	if t.revision <= revision {
		return nil
	}
	return t.rulesSource
}

// PeerAddresses returns the sorted addresses at which nodes accept connections
// of other nodes.
func (t *Table) PeerAddresses() []string {
	addresses := make([]string, 0, len(t.nodes))
	for _, n := range t.nodes {
		addresses = append(addresses, n.GetPeerAddress())
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// Rules returns the rules in force. The result must not be changed.
func (t *Table) Rules() *rules.Set { return &t.rules }

// Upstream returns the rules of an upstream, or nil if there are none.
func (t *Table) Upstream(name string) *rules.Upstream { return t.upstreams[name] }

// Limits returns the values of the rules that apply to all upstreams.
func (t *Table) Limits() Limits { return t.limits }

// Node returns the node of an incarnation, or nil if it is not registered.
func (t *Table) Node(incarnation uint64) *wirev1.Node { return t.nodes[incarnation] }

// NodeCount returns the number of registered nodes.
func (t *Table) NodeCount() int { return len(t.nodes) }

// Assignment returns the assignment of a partition. The zero value means that
// it was never assigned.
func (t *Table) Assignment(upstream string, partition uint32) Assignment {
	if a := t.owners[upstream]; a != nil {
		return a.get(partition)
	}
	return Assignment{}
}

// EachOwned calls f for each partition that an incarnation owns, ordered by
// upstream name and partition.
func (t *Table) EachOwned(incarnation uint64, f func(upstream string, partition uint32, a Assignment)) {
	if incarnation == 0 {
		return
	}
	names := make([]string, 0, len(t.owners))
	for name := range t.owners {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		count := t.PartitionCount(name)
		for i, c := range t.owners[name].chunks {
			if c == nil {
				continue
			}
			for j := range c {
				p := uint32(i*chunkSize + j)
				if c[j].Owner == incarnation && p < count {
					f(name, p, c[j])
				}
			}
		}
	}
}

// PartitionCount returns the number of partitions of an upstream, 0 if it is
// not keyed.
func (t *Table) PartitionCount(upstream string) uint32 {
	u := t.upstreams[upstream]
	switch {
	case u == nil || !u.Keyed:
		return 0
	case u.Partitions == 0:
		return keyspace.DefaultPartitions
	}
	return u.Partitions
}

// Leaving reports whether a node gets no new work. This is so if the node is
// draining, if the rules drain it or its backend server, or if they take its
// availability zone out of service.
func (t *Table) Leaving(n *wirev1.Node) bool {
	return n.GetDraining() || t.zonesOutOfService[n.GetAvailabilityZone()] || t.drainedServers[n.GetBackendServer().GetName()] ||
		t.drainedServers[n.GetName()]
}

// Serving returns the nodes of an upstream that may get new work, ordered by
// incarnation. The result must not be changed.
func (t *Table) Serving(upstream string) []choice.Candidate { return t.serving[upstream] }
