package cluster

import (
	"google.golang.org/protobuf/proto"

	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// maxLeavingServers is the number of leaving backend servers that are kept. It is
// more than three times the design size of 610 nodes, so that a replacement of all
// backend servers evicts none that may still send a heartbeat.
const maxLeavingServers = 2048

// Leaving reports whether the incarnation of a backend server has reported that it
// leaves. That outlasts the registration of its node.
func (s *State) Leaving(server *wirev1.BackendServer) bool {
	for _, l := range s.leaving {
		if l.GetName() == server.GetName() && l.GetBootId() == server.GetBootId() {
			return true
		}
	}
	return false
}

// applyLeaving records that the backend server of a node leaves if the node reports
// it. The node of one that was recorded before drains, whatever the node reports: its
// process may have started after the report. The caller must own the node.
func (s *State) applyLeaving(node *wirev1.Node) {
	server := node.GetBackendServer()
	known := s.Leaving(server)
	if server == nil || !known && !server.GetLeaving() {
		return
	}
	node.Draining = true
	if !known {
		first := max(0, len(s.leaving)+1-maxLeavingServers)
		s.leaving = append(append(make([]*wirev1.BackendServer, 0, len(s.leaving)+1), s.leaving[first:]...),
			&wirev1.BackendServer{Name: server.GetName(), BootId: server.GetBootId()})
		return
	}
	if !server.GetLeaving() {
		node.BackendServer = proto.CloneOf(server)
		node.BackendServer.Leaving = true
	}
}
