package experiment

import (
	"context"
	"fmt"
	"os"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/bench/backend"
	"github.com/jujubeknot/jujubeknot/bench/lab"
)

// Process is a node that runs as a process of its own, so that its processor
// time and memory are those of one node. A script starts it.
type Process struct {
	PID int
	// Callers and Announce are its addresses for callers and backend servers.
	Callers, Announce string
}

// Processes are what an experiment on single nodes runs on.
type Processes struct {
	// Operator is the address for operators of the control member.
	Operator string
	// Entry has no backend server, Owner gets one.
	Entry, Owner *Process
}

// resetPeak makes the peak of resident memory begin anew.
func (p *Process) resetPeak() error {
	if err := os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", p.PID), []byte("5"), 0); err != nil {
		return fmt.Errorf("reset the peak of memory: %w", err)
	}
	return nil
}

// mebibytes formats a size.
func mebibytes(n uint64) string { return fmt.Sprintf("%.1f MiB", float64(n)/(1<<20)) }

// nodes are an entry node without a backend server and an owner's node with
// one.
type nodes struct {
	entry, owner *Process
	// server is the address of the backend server.
	server  string
	records *backend.Recorder
}

// withProcesses runs a function with two nodes that serve.
func (e Env) withProcesses(ctx context.Context, server backend.Config, rules string, run func(nodes) error) error {
	if e.Processes.Entry == nil || e.Processes.Owner == nil || e.Processes.Operator == "" {
		return errors.New("this experiment needs nodes as processes: run it with tools/measure-node")
	}
	l := lab.Attach(rules, e.Processes.Operator)
	s := nodes{records: backend.NewRecorder(0), entry: e.Processes.Entry, owner: e.Processes.Owner}
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
