package cluster

import (
	"cmp"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// maxRecentRequests is the number of registrations whose request ids are kept.
// It is more than three times the design size of 610 nodes, so that a restart
// of all nodes does not evict a request that still waits for its response.
const maxRecentRequests = 2048

// registerNode adds a node. Its incarnation is the log index.
func (s *State) registerNode(command *wirev1.RegisterNode) Result {
	if incarnation, known := s.Registration(command.GetRequestId()); known {
		return Result{Code: CodeUnchanged, Index: incarnation}
	}
	if message := checkRegistration(command); message != "" {
		return invalid("%s", message)
	}
	server := command.GetNode().GetBackendServer().GetName()
	replaced := s.Node(command.GetReplaces())
	if replaced != nil && replaced.GetName() != command.GetNode().GetName() &&
		replaced.GetBackendServer().GetName() != server {
		return conflict("replaced incarnation %d is node %q, not %q", replaced.GetIncarnation(), replaced.GetName(), command.GetNode().GetName())
	}
	holder := s.NodeByServer(server)
	if holder != nil && holder.GetIncarnation() != command.GetReplaces() {
		result := conflict("backend server name %q is held by incarnation %d at %s", server, holder.GetIncarnation(), holder.GetPeerAddress())
		result.Holder = holder.GetIncarnation()
		return result
	}
	delta := &wirev1.Update{}
	nodes := make([]*wirev1.Node, 0, len(s.nodes)+1)
	for _, n := range s.nodes {
		if n == replaced {
			delta.RemovedNodes = append(delta.RemovedNodes, n.GetIncarnation())
			continue
		}
		nodes = append(nodes, n)
	}
	node := proto.CloneOf(command.GetNode())
	node.Incarnation = s.index
	s.applyLeaving(node)
	s.nodes = append(nodes, node)
	delta.Nodes = []*wirev1.Node{node}
	if command.GetKeepsPartitions() && replaced != nil {
		s.transferPartitions(replaced.GetIncarnation(), node, delta)
	}
	if id := command.GetRequestId(); id != "" {
		first := max(0, len(s.recent)+1-maxRecentRequests)
		recent := append(make([]*wirev1.RecentRequest, 0, len(s.recent)+1), s.recent[first:]...)
		s.recent = append(recent, &wirev1.RecentRequest{RequestId: id, Index: s.index})
	}
	return Result{Delta: delta}
}

// transferPartitions makes a node the owner of the partitions of its
// predecessor. SinceIndex of the assignments stays, because the keys of the
// backend server do not change.
func (s *State) transferPartitions(predecessor uint64, node *wirev1.Node, delta *wirev1.Update) {
	name := node.GetBackendServer().GetUpstream()
	var edit *tableEdit
	for r := range s.tables[name].all() {
		if r.current.GetOwner() != predecessor {
			continue
		}
		if edit == nil {
			edit = newTableEdit(s.tables[name])
		}
		next := proto.CloneOf(r.current)
		next.Owner, next.Epoch, next.Planned, next.Handover = node.GetIncarnation(), r.current.GetEpoch()+1, false, ""
		edit.set(next)
		delta.Assignments = append(delta.Assignments, next)
	}
	if edit != nil {
		tables := s.cloneTables()
		tables[name] = edit.table
		s.tables = tables
	}
}

// checkRegistration returns what is invalid about a registration, or an empty
// text.
func checkRegistration(command *wirev1.RegisterNode) string {
	node := command.GetNode()
	server := node.GetBackendServer()
	switch {
	case node.GetName() == "":
		return "node without name"
	case node.GetPeerAddress() == "":
		return fmt.Sprintf("node %q without peer address", node.GetName())
	case server != nil && server.GetName() == "":
		return fmt.Sprintf("node %q: backend server without name", node.GetName())
	case server != nil && server.GetUpstream() == "":
		return fmt.Sprintf("node %q: backend server without upstream", node.GetName())
	default:
		return ""
	}
}

// removeNode removes a node whose lease has ended. Its partitions keep it as
// their owner until they are reassigned. An owner that is not registered has no
// lease. This holds under later leaders too.
func (s *State) removeNode(command *wirev1.RemoveNode) Result {
	at, found := s.nodeIndex(command.GetIncarnation())
	if !found {
		return Result{Code: CodeUnchanged}
	}
	nodes := append(make([]*wirev1.Node, 0, len(s.nodes)), s.nodes[:at]...)
	s.nodes = append(nodes, s.nodes[at+1:]...)
	return Result{Delta: &wirev1.Update{RemovedNodes: []uint64{command.GetIncarnation()}}}
}

// updateNode changes the properties that may change within an incarnation. The
// name and upstream of the backend server may not, because ownership depends on
// them.
func (s *State) updateNode(command *wirev1.UpdateNode) Result {
	at, found := s.nodeIndex(command.GetIncarnation())
	if !found {
		return conflict("incarnation %d is not registered", command.GetIncarnation())
	}
	old := s.nodes[at]
	node := proto.CloneOf(old)
	node.Draining, node.Cold = command.GetDraining(), command.GetCold()
	if server := command.GetBackendServer(); server != nil {
		if server.GetName() != old.GetBackendServer().GetName() || server.GetUpstream() != old.GetBackendServer().GetUpstream() {
			return invalid("backend server %q of upstream %q cannot become %q of %q without a new registration",
				old.GetBackendServer().GetName(), old.GetBackendServer().GetUpstream(), server.GetName(), server.GetUpstream())
		}
		node.BackendServer = proto.CloneOf(server)
	}
	s.applyLeaving(node)
	if proto.Equal(old, node) {
		return Result{Code: CodeUnchanged}
	}
	s.nodes = slices.Clone(s.nodes)
	s.nodes[at] = node
	return Result{Delta: &wirev1.Update{Nodes: []*wirev1.Node{node}}}
}

// nodeIndex returns the index of the node with an incarnation, or the one at
// which it would be inserted.
func (s *State) nodeIndex(incarnation uint64) (int, bool) {
	return slices.BinarySearchFunc(s.nodes, incarnation, func(n *wirev1.Node, i uint64) int {
		return cmp.Compare(n.GetIncarnation(), i)
	})
}
