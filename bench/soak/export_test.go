package soak

import (
	"context"
	"os"
	"path/filepath"
	"slices"

	"github.com/jujubeknot/jujubeknot/bench/faults"
	"github.com/jujubeknot/jujubeknot/bench/operator"
)

// Cluster runs the processes of a soak test without faults or load.
type Cluster struct {
	*soak
}

// NewCluster starts the processes. Close ends them.
func NewCluster(ctx context.Context, config Config) (c *Cluster, err error) {
	c = &Cluster{&soak{config: config.withDefaults()}}
	if c.deployment, err = newDeployment(c.config); err != nil {
		return nil, err
	}
	c.group = operator.New(operator.Config{Addresses: c.deployment.operators})
	if err := c.start(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// Close kills the processes.
func (c *Cluster) Close() { c.deployment.close() }

// Apply applies a version of the rules.
func (c *Cluster) Apply(ctx context.Context, version int) error {
	revision, err := c.group.Apply(ctx, rulesText(version))
	c.accepted = revision
	return err
}

// Callers returns the URL of the listener for callers of a node. Nodes are numbered
// from 0.
func (c *Cluster) Callers(node int) string { return "http://" + c.deployment.targets()[node] }

// SilenceServer starts or stops withholding the responses of a backend server from
// its node.
func (c *Cluster) SilenceServer(node int, silent bool) {
	c.deployment.serverProxies[node].Set(faults.DirectionDown, faults.Shape{Silent: silent})
}

// Logs returns the log files of all nodes and control members.
func (c *Cluster) Logs() []string {
	var files []string
	for _, p := range slices.Concat(c.deployment.controls, c.deployment.nodes) {
		if _, err := os.Stat(p.log); err == nil {
			files = append(files, filepath.Clean(p.log))
		}
	}
	return files
}
