// Package routing is a node's immutable view of nodes, assignments and rules,
// and decides where a request goes.
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
// changes. 256 entries of 24 bytes keep a copy under 8 KiB.
const chunkSize = 256

// Assignment is the owner of one partition.
type Assignment struct {
	// Owner is an incarnation, 0 for none.
	Owner uint64
	// Epoch is the fencing token, 0 if the partition was never assigned.
	Epoch uint64
	// Fence is above that of each earlier assignment of the partition, and the
	// same for partitions that were assigned together.
	Fence uint64
	// Handover is the token of the previous owner's backend server, empty for
	// none.
	Handover string
	// Planned assignments come with the request ids of the previous owner.
	Planned bool
}

type chunk [chunkSize]Assignment

// assignments are the owners of the partitions of one upstream. Chunks are
// shared between tables and never changed once a table is returned.
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

// Table is the routing state at one index. It is not changed once made: With
// returns a new Table that shares what did not change, so reading is safe for
// concurrent use. Index, revision and epochs never fall from one table to the
// next.
type Table struct {
	index    uint64
	revision uint64
	rules    rules.Set
	// source is what rules was read from.
	source *wirev1.RulesRevision
	nodes  map[uint64]*wirev1.Node
	owners map[string]*assignments

	// Derived from the fields above.
	upstreams    map[string]*rules.Upstream
	routes       map[string][]*route
	zonesOut     map[string]bool
	serversDrain map[string]bool
	serving      map[string][]choice.Candidate
	limits       Limits
}

// Limits are the values of the rules that hold for all upstreams.
type Limits struct {
	// ResendWindow is how long request ids are kept.
	ResendWindow time.Duration
	// HoldTimeout bounds how long a request waits for a moving partition.
	HoldTimeout time.Duration
	// MaxDepth bounds the depth of nested calls.
	MaxDepth int
	// LongestTimeout is the longest timeout of any route, at least
	// rules.DefaultTimeout.
	LongestTimeout time.Duration
}

// New returns the empty table, at index 0 and without rules.
func New() *Table {
	t := &Table{}
	t.deriveRules()
	return t
}

// With returns the table after an update. An update older than the table
// changes nothing, so deltas may be repeated. The error says that the rules
// text could not be read; the returned table then has everything but the rules
// of the update, and its revision does not advance.
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

// applyAssignments copies the chunks that change and shares the others with
// the old table. Epochs below those of old are left out.
func (t *Table) applyAssignments(old *Table, u *wirev1.Update) {
	if len(u.GetAssignments()) == 0 {
		return
	}
	owners := make(map[string]*assignments, len(t.owners)+1)
	for name, a := range t.owners {
		owners[name] = a
	}
	type place struct {
		upstream string
		chunk    int
	}
	fresh := map[string]bool{}
	copied := map[place]bool{}
	for _, w := range expanded(u.GetAssignments()) {
		if w.GetPartition() >= keyspace.MaxPartitions || w.GetEpoch() < old.Assignment(w.GetUpstream(), w.GetPartition()).Epoch {
			continue
		}
		name, i := w.GetUpstream(), int(w.GetPartition()/chunkSize)
		if !fresh[name] {
			a := &assignments{}
			if owners[name] != nil {
				a.chunks = slices.Clone(owners[name].chunks)
			}
			owners[name], fresh[name] = a, true
		}
		a := owners[name]
		for len(a.chunks) <= i {
			a.chunks = append(a.chunks, nil)
		}
		if !copied[place{name, i}] {
			c := &chunk{}
			if a.chunks[i] != nil {
				*c = *a.chunks[i]
			}
			a.chunks[i], copied[place{name, i}] = c, true
		}
		a.chunks[i][w.GetPartition()%chunkSize] = Assignment{
			Owner: w.GetOwner(), Epoch: w.GetEpoch(), Planned: w.GetPlanned(),
			Fence: w.GetSinceIndex(), Handover: w.GetHandover(),
		}
	}
	t.owners = owners
}

// expanded returns one assignment for each partition.
func expanded(list []*wirev1.Assignment) []*wirev1.Assignment {
	if !slices.ContainsFunc(list, func(a *wirev1.Assignment) bool { return a.GetFollowing() > 0 }) {
		return list
	}
	var all []*wirev1.Assignment
	for _, a := range list {
		all = append(all, a)
		for i := range min(a.GetFollowing(), keyspace.MaxPartitions) {
			all = append(all, &wirev1.Assignment{
				Upstream: a.GetUpstream(), Partition: a.GetPartition() + i + 1, Owner: a.GetOwner(), Epoch: a.GetEpoch(),
				SinceIndex: a.GetSinceIndex(), Handover: a.GetHandover(),
			})
		}
	}
	return all
}

func (t *Table) applyRules(r *wirev1.RulesRevision) (bool, error) {
	if r == nil || r.GetRevision() <= t.revision {
		return false, nil
	}
	set, faults := rules.Parse(r.GetText())
	if err := faults.Err(); err != nil {
		return false, fmt.Errorf("rules revision %d: %w", r.GetRevision(), err)
	}
	t.revision, t.rules, t.source = r.GetRevision(), set, r
	t.deriveRules()
	return true, nil
}

// deriveRules makes what Decide and others look up for each request.
func (t *Table) deriveRules() {
	set := &t.rules
	t.upstreams = make(map[string]*rules.Upstream, len(set.Upstreams))
	for i := range set.Upstreams {
		t.upstreams[set.Upstreams[i].Name] = &set.Upstreams[i]
	}
	t.routes = byHost(sortedRoutes(set.Routes))
	t.zonesOut, t.serversDrain = map[string]bool{}, map[string]bool{}
	for _, z := range set.Zones {
		t.zonesOut[z.Name] = z.Out
	}
	for _, s := range set.Servers {
		t.serversDrain[s.Name] = s.Drain
	}
	t.limits = Limits{
		ResendWindow: set.ResendWindow(), HoldTimeout: set.HoldTimeout(), MaxDepth: set.MaxDepth(), LongestTimeout: rules.DefaultTimeout,
	}
	for _, r := range set.Routes {
		t.limits.LongestTimeout = max(t.limits.LongestTimeout, r.Timeout)
	}
}

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

// Index returns the applied index that the table reflects.
func (t *Table) Index() uint64 { return t.index }

// Revision returns the revision of the rules in force, 0 for none.
func (t *Table) Revision() uint64 { return t.revision }

// RulesNewerThan returns the rules in force as control sent them if they are newer
// than a revision, nil otherwise. The result must not be changed.
func (t *Table) RulesNewerThan(revision uint64) *wirev1.RulesRevision {
	if t.revision <= revision {
		return nil
	}
	return t.source
}

// PeerAddresses returns the addresses of all nodes for other nodes, in order.
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

// Limits returns the values that hold for all upstreams.
func (t *Table) Limits() Limits { return t.limits }

// Node returns the node of an incarnation, or nil if it is not registered.
func (t *Table) Node(incarnation uint64) *wirev1.Node { return t.nodes[incarnation] }

// NodeCount returns the number of registered nodes.
func (t *Table) NodeCount() int { return len(t.nodes) }

// Assignment returns the owner of a partition. The zero value means that it
// was never assigned.
func (t *Table) Assignment(upstream string, partition uint32) Assignment {
	if a := t.owners[upstream]; a != nil {
		return a.get(partition)
	}
	return Assignment{}
}

// EachOwned calls f for each partition that an incarnation owns, by upstream name
// and partition.
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

// PartitionCount returns the number of partitions of an upstream, 0 if it is not
// divided by key.
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

// Leaving reports whether a node gets no new work: it is draining, or the
// rules drain its backend server or take its availability zone out of service.
func (t *Table) Leaving(n *wirev1.Node) bool {
	return n.GetDraining() || t.zonesOut[n.GetAvailabilityZone()] || t.serversDrain[n.GetBackendServer().GetName()] ||
		t.serversDrain[n.GetName()]
}

// Serving returns the nodes of an upstream that may get new work, by
// incarnation. The result must not be changed.
func (t *Table) Serving(upstream string) []choice.Candidate { return t.serving[upstream] }
