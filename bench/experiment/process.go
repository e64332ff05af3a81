package experiment

import (
	"context"
	"fmt"
	"os"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/bench/backend"
	"github.com/jujubeknot/jujubeknot/bench/lab"
)

// Process is a node that runs as a separate process, so that the processor time and
// memory of the process are those of one node. A script starts it.
type Process struct {
	PID int
	// Callers and Announce are the node's addresses for callers and for backend
	// servers.
	Callers, Announce string
}

// Processes are the processes that an experiment on single nodes uses.
type Processes struct {
	// Operator is the operator address of the control member.
	Operator string
	// Entry has no backend server. The experiment starts one for Owner.
	Entry, Owner *Process
}

// resetPeak sets the process's peak of resident memory to its present value.
func (p *Process) resetPeak() error {
	if err := os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", p.PID), []byte("5"), 0); err != nil {
		return fmt.Errorf("reset peak of resident memory: %w", err)
	}
	return nil
}

// mebibytes formats a size in bytes.
func mebibytes(n uint64) string { return fmt.Sprintf("%.1f MiB", float64(n)/(1<<20)) }

// nodePair is an entry node without a backend server and an owner's node with one.
type nodePair struct {
	entry, owner *Process
	// server is the address of the backend server.
	server  string
	records *backend.Recorder
}

// withProcesses starts a backend server at the owner's node, waits until both nodes
// serve requests and calls run with them.
func (e Env) withProcesses(ctx context.Context, server backend.Config, rules string, run func(nodePair) error) error {
	if e.Processes.Entry == nil || e.Processes.Owner == nil || e.Processes.Operator == "" {
		return errors.New("experiment needs nodes that run as processes: run it with tools/measure-node")
	}
	l := lab.Attach(rules, e.Processes.Operator)
	s := nodePair{records: backend.NewRecorder(0), entry: e.Processes.Entry, owner: e.Processes.Owner}
	server.Name, server.Zone, server.Announce, server.Seed, server.Records = "server", "one", s.owner.Announce, e.Seed, s.records
	b := backend.New(server)
	if err := b.Start(); err != nil {
		return err
	}
	defer b.Close()
	s.server = b.Address()
	ready, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := l.WaitNodes(ready, 2); err != nil {
		return err
	}
	if err := l.WaitReady(ready); err != nil {
		return err
	}
	return run(s)
}
