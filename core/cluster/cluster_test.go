package cluster_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/jujubeknot/jujubeknot/core/cluster"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

func register(server string, replaces uint64, id string) *wirev1.Command {
	return &wirev1.Command{Kind: &wirev1.Command_RegisterNode{RegisterNode: &wirev1.RegisterNode{
		Node:     &wirev1.Node{Name: "node-" + server, PeerAddress: "127.0.0.1:1", BackendServer: &wirev1.BackendServer{Name: server, Upstream: "desk"}},
		Replaces: replaces, RequestId: id,
	}}}
}

func assign(changes ...*wirev1.AssignChange) *wirev1.Command {
	return &wirev1.Command{Kind: &wirev1.Command_Assign{Assign: &wirev1.Assign{Changes: changes}}}
}

func applyRules(base uint64, text, id string) *wirev1.Command {
	return &wirev1.Command{Kind: &wirev1.Command_ApplyRules{ApplyRules: &wirev1.ApplyRules{BaseRevision: base, Text: text, RequestId: id}}}
}

// drawCommand draws a command. Some are based on a state that is not current,
// repeat a request id or name something that does not exist.
func drawCommand(t *rapid.T, s *cluster.State) *wirev1.Command {
	incarnation := rapid.Uint64Range(0, s.Index()+1)
	id := rapid.SampledFrom([]string{"", "a", "b", "c", "d", "e", "f"}).Draw(t, "id")
	kind := rapid.IntRange(0, 9).Draw(t, "kind")
	switch kind {
	case 0, 1:
		c := register(rapid.SampledFrom([]string{"s1", "s2", "s3", "s4"}).Draw(t, "server"), incarnation.Draw(t, "replaces"), id)
		c.GetRegisterNode().GetNode().GetBackendServer().BootId = rapid.SampledFrom([]string{"1", "2"}).Draw(t, "boot")
		return c
	case 2:
		return &wirev1.Command{Kind: &wirev1.Command_RemoveNode{RemoveNode: &wirev1.RemoveNode{Incarnation: incarnation.Draw(t, "remove")}}}
	case 3:
		update := &wirev1.UpdateNode{
			Incarnation: incarnation.Draw(t, "update"), Draining: rapid.Bool().Draw(t, "draining"), Cold: rapid.Bool().Draw(t, "cold"),
		}
		if n := s.Node(update.GetIncarnation()); n != nil && rapid.Bool().Draw(t, "reports its server") {
			update.BackendServer = proto.CloneOf(n.GetBackendServer())
			update.BackendServer.Leaving = rapid.Bool().Draw(t, "leaving")
		}
		return &wirev1.Command{Kind: &wirev1.Command_UpdateNode{UpdateNode: update}}
	case 4:
		return applyRules(rapid.Uint64Range(0, s.Revision()+1).Draw(t, "base"), rapid.SampledFrom([]string{"x", "y", "z", ""}).Draw(t, "text"), id)
	default:
		var changes []*wirev1.AssignChange
		for range rapid.IntRange(0, 4).Draw(t, "changes") {
			c := &wirev1.AssignChange{Upstream: rapid.SampledFrom([]string{"desk", "desk", "desk", "docs", ""}).Draw(t, "upstream")}
			c.Partition = rapid.SampledFrom([]uint32{0, 1, 127, 128, 300, 1 << 20}).Draw(t, "partition")
			c.ExpectedEpoch = s.Assignment(c.Upstream, c.Partition).GetEpoch()
			if rapid.IntRange(0, 4).Draw(t, "stale") == 0 {
				c.ExpectedEpoch++
			}
			if nodes := s.NodeCount(); nodes > 0 {
				at := rapid.IntRange(0, nodes-1).Draw(t, "owner")
				for n := range s.Nodes() {
					if at == 0 {
						c.Owner = n.GetIncarnation()
					}
					at--
				}
			}
			changes = append(changes, c)
		}
		if kind >= 8 {
			return replaceNodes(rapid.SliceOfN(incarnation, 0, 2).Draw(t, "removed"), changes...)
		}
		return assign(changes...)
	}
}

func replaceNodes(removed []uint64, changes ...*wirev1.AssignChange) *wirev1.Command {
	return &wirev1.Command{Kind: &wirev1.Command_ReplaceNodes{ReplaceNodes: &wirev1.ReplaceNodes{Removed: removed, Changes: changes}}}
}

func encode(t *rapid.T, m proto.Message) string {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// reload returns the state restored from its encoded snapshot.
func reload(t *rapid.T, s *cluster.State) *cluster.State {
	var snapshot wirev1.ClusterState
	if err := proto.Unmarshal([]byte(encode(t, s.Snapshot())), &snapshot); err != nil {
		t.Fatal(err)
	}
	reloaded, err := cluster.FromSnapshot(&snapshot)
	if err != nil {
		t.Fatalf("snapshot of a valid state: %v", err)
	}
	return reloaded
}

// checkStep checks the invariants between a state and the next one.
func checkStep(t *rapid.T, before, after *cluster.State, result cluster.Result) {
	if after.Revision() < before.Revision() || after.Revision() > before.Revision()+1 {
		t.Fatalf("revision changed from %d to %d, want a rise by at most 1", before.Revision(), after.Revision())
	}
	if result.Code == cluster.CodeApplied && result.Delta == nil || result.Code != cluster.CodeApplied && result.Delta != nil {
		t.Fatalf("result %v with delta %v, want a delta exactly if the command was applied", result.Code, result.Delta)
	}
	servers := map[string]uint64{}
	for n := range after.Nodes() {
		name := n.GetBackendServer().GetName()
		if other, held := servers[name]; held {
			t.Fatalf("backend server %s is held by incarnations %d and %d, want one", name, other, n.GetIncarnation())
		}
		servers[name] = n.GetIncarnation()
		if leaves := n.GetBackendServer().GetLeaving(); leaves != after.Leaving(n.GetBackendServer()) || leaves && !n.GetDraining() {
			t.Fatalf("node %v with a server recorded as leaving %v, want it to say so and to drain", n, after.Leaving(n.GetBackendServer()))
		}
	}
	for n := range before.Nodes() {
		if before.Leaving(n.GetBackendServer()) && !after.Leaving(n.GetBackendServer()) {
			t.Fatalf("backend server %v no longer leaves", n.GetBackendServer())
		}
	}
	for _, a := range result.Delta.GetAssignments() {
		if after.Node(a.GetOwner()) == nil && a.GetOwner() != 0 {
			t.Fatalf("new owner %d is not registered", a.GetOwner())
		}
	}
	for _, upstream := range before.Upstreams() {
		for a := range before.Assignments(upstream) {
			now := after.Assignment(upstream, a.GetPartition())
			if now.GetEpoch() < a.GetEpoch() || now.GetEpoch() == a.GetEpoch() && now.GetOwner() != a.GetOwner() {
				t.Fatalf("assignment of %s/%d changed from %v to %v, want a rising epoch", upstream, a.GetPartition(), a, now)
			}
		}
	}
}

// follower is the state that a node builds from updates.
type follower struct {
	index       uint64
	nodes       map[uint64]*wirev1.Node
	assignments map[string]*wirev1.Assignment
	rules       *wirev1.RulesRevision
}

func (f *follower) apply(u *wirev1.Update) {
	if u == nil {
		return
	}
	if u.GetSnapshot() || f.nodes == nil {
		*f = follower{nodes: map[uint64]*wirev1.Node{}, assignments: map[string]*wirev1.Assignment{}}
	}
	for _, n := range u.GetNodes() {
		f.nodes[n.GetIncarnation()] = n
	}
	for _, i := range u.GetRemovedNodes() {
		delete(f.nodes, i)
	}
	for _, a := range u.GetAssignments() {
		f.assignments[fmt.Sprint(a.GetUpstream(), a.GetPartition())] = a
	}
	if u.GetRules() != nil {
		f.rules = u.GetRules()
	}
	f.index = u.GetIndex()
}

// check compares the follower with a full update of the state.
func (f *follower) check(t *rapid.T, s *cluster.State) {
	var want follower
	want.apply(s.FullUpdate())
	if len(want.nodes) != len(f.nodes) || len(want.assignments) != len(f.assignments) || !proto.Equal(want.rules, f.rules) {
		t.Fatalf("follower at index %d has %d nodes, %d assignments, rules %v; want %d, %d, %v at index %d", f.index,
			len(f.nodes), len(f.assignments), f.rules, len(want.nodes), len(want.assignments), want.rules, s.Index())
	}
	for i, n := range want.nodes {
		if !proto.Equal(n, f.nodes[i]) {
			t.Fatalf("node %d: %v, want %v", i, f.nodes[i], n)
		}
	}
	for p, a := range want.assignments {
		if !proto.Equal(a, f.assignments[p]) {
			t.Fatalf("assignment %s: %v, want %v", p, f.assignments[p], a)
		}
	}
}

// TestApply guards against members that diverge after one of them has restored a
// snapshot, and against states that change after they were published. It also
// guards against epochs and revisions that fall, two holders of one backend server
// name, nodes that miss a change, and a leaving backend server that is forgotten.
func TestApply(t *testing.T) {
	codes := map[cluster.Code]int{}
	rapid.Check(t, func(t *rapid.T) {
		s, restored := &cluster.State{}, &cluster.State{}
		var nodes follower
		type published struct {
			state   *cluster.State
			encoded string
		}
		var earlier []published
		for range rapid.IntRange(1, 80).Draw(t, "commands") {
			index := s.Index() + rapid.Uint64Range(1, 2).Draw(t, "gap")
			command := drawCommand(t, s)
			earlier = append(earlier, published{s, encode(t, s.Snapshot())})
			next, result := s.Apply(index, command)
			codes[result.Code]++
			checkStep(t, s, next, result)
			for i, c := range command.GetAssign().GetChanges() {
				stale := c.GetExpectedEpoch() != s.Assignment(c.GetUpstream(), c.GetPartition()).GetEpoch()
				if first := i == 0; first && stale && result.Code != cluster.CodeConflict && !slices.Contains(result.RefusedChanges, 0) {
					t.Fatalf("change that expects epoch %d was applied to assignment %v, want it refused", c.GetExpectedEpoch(), s.Assignment(c.GetUpstream(), c.GetPartition()))
				}
			}
			if rapid.IntRange(0, 4).Draw(t, "reload") == 0 {
				restored = reload(t, restored)
			}
			var same cluster.Result
			restored, same = restored.Apply(index, command)
			if same.Code != result.Code || same.Index != result.Index || same.Revision != result.Revision ||
				encode(t, restored.Snapshot()) != encode(t, next.Snapshot()) {
				t.Fatalf("%v: result of the restored state is %+v, of the other %+v", command, same, result)
			}
			s = next
			if rapid.IntRange(0, 3).Draw(t, "follow") == 0 {
				source := rapid.SampledFrom([]*cluster.State{s, restored}).Draw(t, "source")
				from := nodes.index
				if rapid.Bool().Draw(t, "base") {
					from, _ = source.UpdateBase(from)
				}
				nodes.apply(source.UpdateSince(from))
				nodes.check(t, s)
			}
		}
		for _, p := range earlier {
			if encode(t, p.state.Snapshot()) != p.encoded {
				t.Fatalf("state at index %d changed after it was published", p.state.Index())
			}
		}
	})
	t.Logf("results: %v", codes)
	for code := cluster.CodeApplied; code <= cluster.CodeInvalid; code++ {
		if codes[code] < 50 {
			t.Errorf("%d results are %v, want at least 50", codes[code], code)
		}
	}
}

func mustApply(t *testing.T, s *cluster.State, command *wirev1.Command, want cluster.Code) (*cluster.State, cluster.Result) {
	t.Helper()
	next, result := s.Apply(s.Index()+1, command)
	if result.Code != want {
		t.Fatalf("%v: %v (%s), want %v", command, result.Code, result.Message, want)
	}
	return next, result
}

// TestConcurrentRulesChanges guards against two operators who change the same
// revision and are both told that they succeeded. It also guards against a resent
// change that is refused or makes another revision.
func TestConcurrentRulesChanges(t *testing.T) {
	s, _ := mustApply(t, &cluster.State{}, applyRules(0, "first", "r1"), cluster.CodeApplied)
	s, won := mustApply(t, s, applyRules(1, "mine", "r2"), cluster.CodeApplied)
	s, lost := mustApply(t, s, applyRules(1, "yours", "r3"), cluster.CodeConflict)
	if won.Revision != 2 || lost.Revision != 2 {
		t.Fatalf("results have revisions %d and %d, want 2 for both", won.Revision, lost.Revision)
	}
	s, _ = mustApply(t, s, applyRules(2, "later", "r4"), cluster.CodeApplied)
	for _, c := range []*wirev1.Command{applyRules(1, "mine", "r2"), applyRules(1, "mine", ""), applyRules(1, "mine", "r9")} {
		var again cluster.Result
		if s, again = mustApply(t, s, c, cluster.CodeUnchanged); again.Revision != 2 {
			t.Errorf("resent change got revision %d, want 2", again.Revision)
		}
	}
	s, _ = mustApply(t, s, applyRules(3, "other", "r2"), cluster.CodeConflict)
	if s, _ = mustApply(t, s, applyRules(3, "first", "r5"), cluster.CodeApplied); s.Revision() != 4 {
		t.Errorf("rollback to an earlier text made revision %d, want 4", s.Revision())
	}
}

// TestHistoryIsBounded guards against snapshots that grow with each rules change.
func TestHistoryIsBounded(t *testing.T) {
	s := &cluster.State{}
	text := strings.Repeat("x", cluster.MaxHistoryBytes/4)
	for i := range 2 * cluster.MaxHistory {
		if i == 10 {
			text = "x"
		}
		s, _ = mustApply(t, s, applyRules(uint64(i), fmt.Sprint(text, i), ""), cluster.CodeApplied)
		if i == 9 && len(s.History(0)) != 4 {
			t.Errorf("%d revisions of a quarter of MaxHistoryBytes each are kept, want the current one and 3", len(s.History(0)))
		}
	}
	if kept := len(s.History(0)); kept != cluster.MaxHistory+1 {
		t.Errorf("%d revisions are kept, want %d", kept, cluster.MaxHistory+1)
	}
	mustApply(t, s, applyRules(s.Revision(), strings.Repeat("x", cluster.MaxRulesBytes+1), ""), cluster.CodeInvalid)
}

// TestServerNameHasOneHolder guards against a second process that takes over a
// backend server name whose holder may still have a lease.
func TestServerNameHasOneHolder(t *testing.T) {
	s, first := mustApply(t, &cluster.State{}, register("s1", 0, "a"), cluster.CodeApplied)
	s, refused := mustApply(t, s, register("s1", 0, "b"), cluster.CodeConflict)
	if refused.Holder != first.Index {
		t.Errorf("holder is %d, want %d", refused.Holder, first.Index)
	}
	s, again := mustApply(t, s, register("s1", 0, "a"), cluster.CodeUnchanged)
	if again.Index != first.Index {
		t.Errorf("the repeated registration got incarnation %d, want %d", again.Index, first.Index)
	}
	s, other := mustApply(t, s, register("s2", 0, "c"), cluster.CodeApplied)
	mustApply(t, s, register("s1", other.Index, "d"), cluster.CodeConflict)
	s, next := mustApply(t, s, register("s1", first.Index, "e"), cluster.CodeApplied)
	if s.Node(first.Index) != nil || s.NodeByServer("s1").GetIncarnation() != next.Index {
		t.Error("registration did not replace the earlier incarnation")
	}
}

// TestAssignmentTimeIsKept guards against the loss of the time of an assignment in
// a snapshot, and against commands and snapshots without a time that cannot be
// read.
func TestAssignmentTimeIsKept(t *testing.T) {
	s, owner := mustApply(t, &cluster.State{}, register("s1", 0, ""), cluster.CodeApplied)
	at := func(unixMs int64, c *wirev1.Command) *wirev1.Command {
		c.ProposedUnixMs = unixMs
		return c
	}
	change := func(partition uint32, epoch, owner uint64) *wirev1.AssignChange {
		return &wirev1.AssignChange{Upstream: "desk", Partition: partition, ExpectedEpoch: epoch, Owner: owner}
	}
	s, _ = mustApply(t, s, at(0, assign(change(0, 0, owner.Index), change(1, 0, owner.Index))), cluster.CodeApplied)
	s, _ = mustApply(t, s, at(1000, assign(change(0, 1, 0))), cluster.CodeApplied)
	// A clock that was set back affects nothing but the time shown.
	s, _ = mustApply(t, s, at(900, replaceNodes([]uint64{owner.Index}, change(1, 1, 0))), cluster.CodeApplied)
	restored, err := cluster.FromSnapshot(s.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	for partition, want := range []int64{1000, 900} {
		moves := restored.LastMoves("desk", uint32(partition))
		if len(moves) != 2 || moves[0].GetSinceUnixMs() != want || moves[1].GetSinceUnixMs() != 0 {
			t.Errorf("moves of partition %d: %v, want the times %d and 0", partition, moves, want)
		}
	}
}

// TestReplaceNodes guards against a partition that gets a new owner while the old
// one is registered and may have a lease. It also guards against a new owner that
// the same command removes, and against partitions that are not reassigned.
func TestReplaceNodes(t *testing.T) {
	s, first := mustApply(t, &cluster.State{}, register("s1", 0, ""), cluster.CodeApplied)
	s, second := mustApply(t, s, register("s2", 0, ""), cluster.CodeApplied)
	s, third := mustApply(t, s, register("s3", 0, ""), cluster.CodeApplied)
	change := func(partition uint32, epoch, owner uint64) *wirev1.AssignChange {
		return &wirev1.AssignChange{Upstream: "desk", Partition: partition, ExpectedEpoch: epoch, Owner: owner}
	}
	s, _ = mustApply(t, s, assign(change(0, 0, first.Index), change(1, 0, second.Index), change(2, 0, first.Index)), cluster.CodeApplied)
	mustApply(t, s, replaceNodes(nil, change(0, 1, third.Index)), cluster.CodeConflict)
	s, result := mustApply(t, s, replaceNodes([]uint64{first.Index, 99}, change(0, 1, third.Index), change(1, 1, third.Index), change(2, 1, first.Index)), cluster.CodeApplied)
	if fmt.Sprint(result.RefusedChanges) != "[1 2]" || len(result.Delta.GetRemovedNodes()) != 1 || s.Node(first.Index) != nil {
		t.Errorf("refused changes %v (%s), delta %v; want changes 1 and 2 refused and one node removed", result.RefusedChanges, result.Message, result.Delta)
	}
	if a := s.Assignment("desk", 0); a.GetOwner() != third.Index || a.GetEpoch() != 2 {
		t.Errorf("partition of the removed node: got %v, want the third node as owner at epoch 2", a)
	}
	if a := s.Assignment("desk", 1); a.GetOwner() != second.Index || a.GetEpoch() != 1 {
		t.Errorf("partition of a registered node: got %v, want the second node as owner at epoch 1", a)
	}
	s, _ = mustApply(t, s, replaceNodes(nil, change(2, 1, second.Index)), cluster.CodeApplied)
	mustApply(t, s, replaceNodes([]uint64{first.Index}), cluster.CodeUnchanged)
	mustApply(t, s, replaceNodes(nil), cluster.CodeInvalid)
}

// TestUpdatesAreShared guards against making and encoding a separate update for
// each of hundreds of nodes that are far behind at different indexes. It also
// guards against updates from a base that lack a change, and against updates with
// far more records than a node that follows closely lacks.
func TestUpdatesAreShared(t *testing.T) {
	s, _ := mustApply(t, &cluster.State{}, register("s1", 0, ""), cluster.CodeApplied)
	for i := range 6000 {
		update := &wirev1.UpdateNode{Incarnation: 1, Draining: i%2 == 0}
		s, _ = mustApply(t, s, &wirev1.Command{Kind: &wirev1.Command_UpdateNode{UpdateNode: update}}, cluster.CodeApplied)
	}
	const near = 8192 / 2
	bases := map[uint64]bool{}
	for index := uint64(600); index <= s.Index(); index++ {
		base, records := s.UpdateBase(index)
		if base > index || s.Index()-index <= near && base != index {
			t.Fatalf("base %d for index %d of %d, want no higher one, and the same one for a close follower", base, index, s.Index())
		}
		if changed := 2 * int(s.Index()-base); records != changed {
			t.Fatalf("%d records since %d, want %d", records, base, changed)
		}
		if s.Index()-index > near {
			bases[base] = true
		}
	}
	// 1,300 indexes have 2,600 records, which are in 3 or 4 blocks.
	if len(bases) > 4 {
		t.Errorf("%d different updates for nodes that are far behind, want at most 4", len(bases))
	}
	for base := range bases {
		if u := s.UpdateSince(base); u.GetSnapshot() || len(u.GetNodes()) != 1 {
			t.Fatalf("update from %d: snapshot %v, %d nodes; want changes to 1 node", base, u.GetSnapshot(), len(u.GetNodes()))
		}
	}
	if base, _ := s.UpdateBase(0); base != 0 {
		t.Errorf("base %d for a node without state, want 0", base)
	}
}

// TestDeltasAreBounded guards against an update with missing changes for a node
// that is too far behind.
func TestDeltasAreBounded(t *testing.T) {
	s, node := mustApply(t, &cluster.State{}, register("s1", 0, ""), cluster.CodeApplied)
	change := func(epoch uint64) {
		s, _ = mustApply(t, s, assign(&wirev1.AssignChange{Upstream: "desk", Partition: uint32(epoch % 3), ExpectedEpoch: epoch / 3, Owner: node.Index}), cluster.CodeApplied)
	}
	for epoch := range uint64(1600) {
		change(epoch)
		if u := s.UpdateSince(1); u.GetSnapshot() || len(u.GetAssignments()) != min(3, int(epoch+1)) {
			t.Fatalf("after %d changes the update from index 1 is full or has %d assignments", epoch+1, len(u.GetAssignments()))
		}
	}
	// A delta counts as one record in addition to its own.
	const kept = 16384 / 2
	for epoch := uint64(1600); epoch < 3*kept; epoch++ {
		change(epoch)
		if epoch%101 == 0 && s.KeepsChangesSince(s.Index()-min(kept, epoch)) == s.UpdateSince(s.Index()-min(kept, epoch)).GetSnapshot() {
			t.Fatalf("KeepsChangesSince and UpdateSince disagree after %d changes", epoch+1)
		}
		if !s.KeepsChangesSince(s.Index() - min(kept, epoch)) {
			t.Fatalf("last %d changes are not kept after %d changes", kept, epoch+1)
		}
	}
	if !s.UpdateSince(1).GetSnapshot() || s.UpdateSince(s.Index()-kept).GetSnapshot() {
		t.Errorf("want a full update for index 1 and a delta for the last %d", kept)
	}
	for revision := range uint64(20) {
		text := strings.Repeat("x", cluster.MaxRulesBytes-8) + fmt.Sprint(revision)
		s, _ = mustApply(t, s, applyRules(revision, text, ""), cluster.CodeApplied)
	}
	if s.KeepsChangesSince(s.Index() - 10) {
		t.Error("10 rules texts of 1 MiB are kept as deltas, want them dropped")
	}
	if got := s.LastMoves("desk", 0); len(got) != 4 || got[0].GetEpoch() != got[1].GetEpoch()+1 {
		t.Errorf("last moves %v, want 4 with falling epochs", got)
	}
}
