package ctl

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/jujubeknot/jujubeknot/ctl/internal/screen"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// serverName names a node for operators: by its backend server where it has
// one.
func serverName(n *wirev1.Node) string {
	if name := n.GetBackendServer().GetName(); name != "" {
		return screen.Sanitize(name)
	}
	return screen.Sanitize(n.GetName())
}

// waitInForce waits until a revision is in force everywhere: each node has it
// in force, or has no lease and so takes no work. It writes each node as it
// gets there.
func (s *session) waitInForce(ctx context.Context, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, s.timeout())
	defer cancel()
	shown := map[uint64]bool{}
	var status *wirev1.StatusResponse
	var last error
	for {
		answer, err := s.client.Status(ctx)
		if err == nil {
			status, last = answer, nil
			if pending := s.showProgress(revision, status, shown); len(pending) == 0 && status.GetRulesRevision() >= revision {
				s.Printf("revision %d is in force everywhere (%s)", revision, count(len(status.GetNodes()), "node"))
				return nil
			}
		} else if ctx.Err() == nil {
			last = err
		}
		select {
		case <-ctx.Done():
			return coded(ExitPending, notInForce(revision, status, last))
		case <-time.After(pollInterval):
		}
	}
}

// showProgress writes the nodes that are new in force and returns the others.
func (s *session) showProgress(revision uint64, status *wirev1.StatusResponse, shown map[uint64]bool) []*wirev1.NodeStatus {
	pending := behind(revision, status)
	total := len(status.GetNodes())
	done := 0
	for _, n := range status.GetNodes() {
		if shown[n.GetNode().GetIncarnation()] {
			done++
		}
	}
	for _, n := range status.GetNodes() {
		incarnation := n.GetNode().GetIncarnation()
		if shown[incarnation] || n.GetRulesRevision() < revision && n.GetLeaseLeftMs() > 0 {
			continue
		}
		shown[incarnation] = true
		done++
		what := "has it in force"
		if n.GetRulesRevision() < revision {
			what = "has no lease and takes no work"
		}
		s.Printf("  %s %s (%d of %d)", serverName(n.GetNode()), what, done, total)
	}
	s.Progressf("revision %d: in force on %d of %d nodes", revision, total-len(pending), total)
	return pending
}

// behind lists the nodes that take work under an older revision.
func behind(revision uint64, status *wirev1.StatusResponse) []*wirev1.NodeStatus {
	var nodes []*wirev1.NodeStatus
	for _, n := range status.GetNodes() {
		if n.GetRulesRevision() < revision && n.GetLeaseLeftMs() > 0 {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// notInForce describes an accepted revision that did not get everywhere.
func notInForce(revision uint64, status *wirev1.StatusResponse, last error) string {
	text := fmt.Sprintf("revision %d is accepted and will not be lost, but is not in force everywhere yet", revision)
	switch {
	case last != nil:
		return text + "; control does not say where: " + last.Error()
	case status == nil:
		return text + "; control has not said where"
	}
	var names []string
	for _, n := range behind(revision, status) {
		names = append(names, fmt.Sprintf("%s (at %d)", serverName(n.GetNode()), n.GetRulesRevision()))
	}
	if len(names) == 0 {
		return text
	}
	return text + "; behind: " + strings.Join(names, ", ")
}
