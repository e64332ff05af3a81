package ctl

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/jujubeknot/jujubeknot/ctl/internal/screen"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// serverName returns the name of the node's backend server, or the name of the node if
// it has no backend server.
func serverName(n *wirev1.Node) string {
	if name := n.GetBackendServer().GetName(); name != "" {
		return screen.Sanitize(name)
	}
	return screen.Sanitize(n.GetName())
}

// waitInForce waits until a revision is in force everywhere: on each node, the revision
// is in force, or the node has no lease and therefore accepts no work. It prints each
// node when it reaches that state.
func (s *session) waitInForce(ctx context.Context, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, s.timeout())
	defer cancel()
	shown := map[uint64]bool{}
	var status *wirev1.StatusResponse
	var lastErr error
	for {
		response, err := s.client.Status(ctx)
		if err == nil {
			status, lastErr = response, nil
			if pending := s.printProgress(revision, status, shown); len(pending) == 0 && status.GetRulesRevision() >= revision {
				s.Printf("revision %d is in force everywhere (%s)", revision, pluralize(len(status.GetNodes()), "node"))
				return nil
			}
		} else if ctx.Err() == nil {
			lastErr = err
		}
		select {
		case <-ctx.Done():
			return newExitError(ExitPending, pendingMessage(revision, status, lastErr))
		case <-time.After(pollInterval):
		}
	}
}

// printProgress prints the nodes that reached the revision or lost their lease since the
// previous call, and adds them to shown. It returns the nodes that are still pending.
func (s *session) printProgress(revision uint64, status *wirev1.StatusResponse, shown map[uint64]bool) []*wirev1.NodeStatus {
	pending := laggingNodes(revision, status)
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

// laggingNodes returns the nodes that have a lease and accept work under an older
// revision.
func laggingNodes(revision uint64, status *wirev1.StatusResponse) []*wirev1.NodeStatus {
	var nodes []*wirev1.NodeStatus
	for _, n := range status.GetNodes() {
		if n.GetRulesRevision() < revision && n.GetLeaseLeftMs() > 0 {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// pendingMessage describes an accepted revision that is not in force everywhere. status
// is the last known status, and lastErr the error of the last call if it failed.
func pendingMessage(revision uint64, status *wirev1.StatusResponse, lastErr error) string {
	text := fmt.Sprintf("revision %d is accepted and will not be lost, but is not in force everywhere yet", revision)
	switch {
	case lastErr != nil:
		return text + "; control does not return the status: " + lastErr.Error()
	case status == nil:
		return text + "; control has not returned a status yet"
	}
	var names []string
	for _, n := range laggingNodes(revision, status) {
		names = append(names, fmt.Sprintf("%s (at %d)", serverName(n.GetNode()), n.GetRulesRevision()))
	}
	if len(names) == 0 {
		return text
	}
	return text + "; behind: " + strings.Join(names, ", ")
}
