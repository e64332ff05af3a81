package experiment

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/bench/backend"
	"github.com/jujubeknot/jujubeknot/bench/lab"
)

// clockTicks is the unit of processor times in /proc, a constant of Linux.
const clockTicks = 100

// process is a node that runs as a process of its own, so that its processor
// time and memory are those of one node.
type process struct {
	command *exec.Cmd
	output  *os.File
	// callers and announce are its addresses.
	callers, announce string
}

// startProcess starts the program jujubeknot-node that lies beside this one,
// with one processor.
func startProcess(folder, name string, l *lab.Lab) (*process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("find the programs: %w", err)
	}
	addresses, err := freeAddresses(4)
	if err != nil {
		return nil, err
	}
	var members []string
	for _, m := range l.Members() {
		members = append(members, m.String())
	}
	settings := fmt.Sprintf("[node]\nname = %s\navailabilityZone = one\ncontrolMembers = %s\nnodeSecret = %s\n[listen]\ncallers = %s\npeer = %s\nbackend = %s\noperator = %s\n",
		name, strings.Join(members, ", "), lab.NodeSecret, addresses[0], addresses[1], addresses[2], addresses[3])
	file := filepath.Join(folder, name+".ini")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	output, err := os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		return nil, fmt.Errorf("open the log: %w", err)
	}
	p := &process{output: output, callers: addresses[0], announce: addresses[2]}
	p.command = exec.Command(filepath.Join(filepath.Dir(self), "jujubeknot-node"), "--config", file)
	p.command.Stdout, p.command.Stderr = output, output
	p.command.Env = append(os.Environ(), "GOMAXPROCS=1")
	if err := p.command.Start(); err != nil {
		_ = output.Close()
		return nil, fmt.Errorf("start jujubeknot-node, which make build writes beside this program: %w", err)
	}
	return p, nil
}

func freeAddresses(n int) ([]string, error) {
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("find a free port: %w", err)
		}
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

func (p *process) end() {
	// The process is of no use any more, whatever its state.
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
	_ = p.output.Close()
}

// processorTime returns the processor time that the process has used.
func (p *process) processorTime() (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	if err != nil {
		return 0, fmt.Errorf("processor time: %w", err)
	}
	// The second field, the name, may have spaces; user and system time are
	// the 12th and 13th after it.
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0, errors.Errorf("processor time: %d fields in %q", len(fields), data)
	}
	ticks := int64(0)
	for _, f := range fields[11:13] {
		n, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("processor time: %w", err)
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / clockTicks, nil
}

// memory returns resident memory in bytes, now and at its peak.
func (p *process) memory() (now, peak int64, err error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0, 0, fmt.Errorf("memory: %w", err)
	}
	for _, line := range strings.Split(string(data), "\n") {
		name, value, _ := strings.Cut(line, ":")
		if name != "VmRSS" && name != "VmHWM" {
			continue
		}
		kib, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
		if err != nil {
			return 0, 0, fmt.Errorf("memory: %w", err)
		}
		if name == "VmRSS" {
			now = kib << 10
		} else {
			peak = kib << 10
		}
	}
	return now, peak, nil
}

// resetPeak makes the peak of resident memory begin anew.
func (p *process) resetPeak() error {
	if err := os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", p.command.Process.Pid), []byte("5"), 0); err != nil {
		return fmt.Errorf("reset the peak of memory: %w", err)
	}
	return nil
}

// mebibytes formats a size.
func mebibytes(n int64) string { return fmt.Sprintf("%.1f MiB", float64(n)/(1<<20)) }

// twoProcesses is an entry node without a backend server and an owner's node
// with one, each a process.
type twoProcesses struct {
	entry, owner *process
	records      *backend.Recorder
}

// withProcesses runs a function with two nodes that serve.
func (e Env) withProcesses(ctx context.Context, server backend.Config, rules string, run func(twoProcesses) error) error {
	deployment := lab.Deployment{Name: "processes", Zones: []string{"one"}, Upstreams: []lab.Upstream{{Name: server.Upstream, Keyed: true}}, Rules: rules}
	folder, err := os.MkdirTemp("", "jujubeknot-experiment-")
	if err != nil {
		return fmt.Errorf("make a folder: %w", err)
	}
	defer os.RemoveAll(folder)
	l, err := lab.Start(lab.Config{Deployment: deployment, Folder: folder, Members: 1, Seed: e.Seed, Logger: e.Logger})
	if err != nil {
		return err
	}
	defer l.Close()
	s := twoProcesses{records: backend.NewRecorder(0)}
	if s.entry, err = startProcess(folder, "entry", l); err != nil {
		return err
	}
	defer s.entry.end()
	if s.owner, err = startProcess(folder, "owner", l); err != nil {
		return err
	}
	defer s.owner.end()
	server.Name, server.Zone, server.Announce, server.Seed, server.Records = "server", "one", s.owner.announce, e.Seed, s.records
	b := backend.New(server)
	if err := b.Start(); err != nil {
		return err
	}
	defer b.Close()
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
