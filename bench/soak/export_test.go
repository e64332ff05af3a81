package soak

import (
	"context"
	"os"
	"path/filepath"
	"slices"

	"github.com/jujubeknot/jujubeknot/bench/faults"
	"github.com/jujubeknot/jujubeknot/bench/operator"
)

// Laboratory gives tests the processes of a soak without its faults.
type Laboratory struct {
	*soak
}

// NewLaboratory starts the processes; close ends them.
func NewLaboratory(ctx context.Context, config Config) (l *Laboratory, err error) {
	l = &Laboratory{&soak{config: config.withDefaults()}}
	if l.world, err = newWorld(l.config); err != nil {
		return nil, err
	}
	l.group = operator.New(operator.Config{Addresses: l.world.operators})
	if err := l.start(ctx); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

// Close ends the processes.
func (l *Laboratory) Close() { l.world.close() }

// Apply puts a version of the rules in force.
func (l *Laboratory) Apply(ctx context.Context, version int) error {
	revision, err := l.group.Apply(ctx, rulesText(version))
	l.accepted = revision
	return err
}

// Callers returns the URL of the listener for callers of a node, from 0.
func (l *Laboratory) Callers(node int) string { return "http://" + l.world.targets()[node] }

// SilenceServer keeps the answers of the backend server beside a node from it.
func (l *Laboratory) SilenceServer(node int, silent bool) {
	l.world.toServers[node].Set(faults.DirectionDown, faults.Shape{Silent: silent})
}

// Logs returns the log files of all nodes and control members.
func (l *Laboratory) Logs() []string {
	var files []string
	for _, p := range slices.Concat(l.world.controls, l.world.nodes) {
		if _, err := os.Stat(p.log); err == nil {
			files = append(files, filepath.Clean(p.log))
		}
	}
	return files
}
