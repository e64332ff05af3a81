package slope

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/bench/operator"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

func newOperatorClient(addresses []string) *operator.Client {
	return operator.New(operator.Config{Addresses: func() []string { return slices.Clone(addresses) }})
}

// settled waits until exactly the given number of nodes are registered, all have
// a lease and the revision, and every partition has an owner.
func settled(ctx context.Context, c *operator.Client, nodes int, revision uint64) error {
	return c.Until(ctx, "a settled group", func(s *wirev1.StatusResponse) error { return isSettled(s, nodes, revision) })
}

// isSettled returns nil if the status is that of a settled group, and otherwise
// an error that says what is missing.
func isSettled(s *wirev1.StatusResponse, nodes int, revision uint64) error {
	if len(s.GetNodes()) != nodes {
		return errors.Errorf("%d nodes of %d", len(s.GetNodes()), nodes)
	}
	if err := operator.Assigned(s); err != nil {
		return err
	}
	for _, n := range s.GetNodes() {
		// A node registers again once its backend server has announced itself.
		if n.GetNode().GetBackendServer().GetName() == "" {
			return errors.Errorf("%s has no backend server", n.GetNode().GetName())
		}
	}
	return operator.InForce(s, revision)
}

// rulesText returns rules with the given number of lines, at least 3, and of
// partitions. Each variant gives a different text.
func rulesText(lines, partitions, variant int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "upstream applications keyed partitions=%d slots=6 connections=110 # Lina: one owner for each centre\n", partitions)
	b.WriteString("route /applications/ to applications key=segment:2 timeout=5s # Omar: status and deadlines\n")
	fmt.Fprintf(&b, "option moveTimeout=%dms # Lina: variant of a measurement\n", 2000+variant)
	for i := 3; i < lines; i++ {
		fmt.Fprintf(&b, "route /applications/r%05d to applications key=segment:3 # Omar: a form of its own\n", i)
	}
	return b.String()
}
