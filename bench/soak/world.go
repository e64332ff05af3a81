package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/bench/check"
	"github.com/jujubeknot/jujubeknot/bench/faults"
)

// leaveTime is how long a process may take to stop before it is killed.
const leaveTime = 15 * time.Second

// process is one program that is started again and again. Only one goroutine
// uses it at a time, but for close.
type process struct {
	name, log string
	// command returns program and arguments of the next start.
	command func(start int) []string

	mu     sync.Mutex
	starts int
	cmd    *exec.Cmd
	ended  chan struct{}
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.starts++
	args := p.command(p.starts)
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("log of %s: %w", p.name, err)
	}
	defer out.Close()
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	ended := make(chan struct{})
	p.cmd, p.ended = cmd, ended
	go func() {
		// How a process ends is in its log; most are killed.
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// signal sends a signal. The process may have ended.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// end sends a signal and waits for the end, and kills the process if it takes
// too long.
func (p *process) end(s syscall.Signal) {
	p.signal(s)
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended == nil {
		return
	}
	select {
	case <-ended:
	case <-time.After(leaveTime):
		p.signal(syscall.SIGKILL)
		<-ended
	}
}

// world has all processes and the proxies before them.
type world struct {
	config   Config
	controls []*process
	nodes    []*process
	servers  []*process
	// toNodes are the proxies before the callers' addresses of nodes, toServers
	// those before backend servers.
	toNodes, toServers []*faults.Proxy
	operatorPorts      []int

	mu sync.Mutex
	// frozen has the times in which servers were suspended.
	frozen []check.Frozen
}

func (w *world) noteFrozen(f check.Frozen) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.frozen = append(w.frozen, f)
}

// newWorld makes settings and proxies. Nothing runs yet.
func newWorld(config Config) (*world, error) {
	w := &world{config: config}
	for _, folder := range []string{"records", "settings", "logs"} {
		if err := os.MkdirAll(filepath.Join(config.Folder, folder), 0o700); err != nil {
			return nil, fmt.Errorf("folder: %w", err)
		}
	}
	ports, err := freePorts(2*members + 5*config.Nodes)
	if err != nil {
		return nil, err
	}
	next := func() int {
		p := ports[0]
		ports = ports[1:]
		return p
	}
	peers, list := "", ""
	memberPorts := make([]int, members)
	for i := range members {
		memberPorts[i] = next()
		separator := ""
		if i > 0 {
			separator = ","
		}
		peers += fmt.Sprintf("%s%d=%s", separator, i+1, address(memberPorts[i]))
		list += separator + address(memberPorts[i])
	}
	for i := range members {
		if err := w.addControl(i+1, peers, memberPorts[i], next()); err != nil {
			w.close()
			return nil, err
		}
	}
	for i := range config.Nodes {
		if err := w.addNode(i+1, list, next); err != nil {
			w.close()
			return nil, err
		}
	}
	return w, nil
}

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// Ports of processes lie below those that the system gives to connections of its
// own: a process that starts again must find its port free.
const (
	firstPort = 12_000
	lastPort  = 30_000
)

// freePorts returns ports that nothing listens at. Processes that look at the same
// time begin at different ones.
func freePorts(count int) ([]int, error) {
	ports := make([]int, 0, count)
	begin := os.Getpid() * 64 % (lastPort - firstPort)
	for i := range lastPort - firstPort {
		port := firstPort + (begin+i)%(lastPort-firstPort)
		l, err := net.Listen("tcp", address(port))
		if err != nil {
			continue
		}
		if err := l.Close(); err != nil {
			return nil, fmt.Errorf("ports: %w", err)
		}
		if ports = append(ports, port); len(ports) == count {
			return ports, nil
		}
	}
	return nil, errors.Errorf("only %d of %d ports from %d to %d are free", len(ports), count, firstPort, lastPort)
}

func (w *world) settings(name, text string) (string, error) {
	file := filepath.Join(w.config.Folder, "settings", name+".ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return "", fmt.Errorf("settings: %w", err)
	}
	return file, nil
}

func (w *world) program(name string, command func(start int) []string) *process {
	return &process{name: name, log: filepath.Join(w.config.Folder, "logs", name), command: command}
}

func (w *world) addControl(id int, peers string, peerPort, operatorPort int) error {
	name := fmt.Sprintf("control-%d", id)
	data := filepath.Join(w.config.Folder, name)
	if err := os.MkdirAll(data, 0o700); err != nil {
		return fmt.Errorf("folder: %w", err)
	}
	file, err := w.settings(name, fmt.Sprintf(`[control]
name = %s
memberId = %d
groupId = soak
dataFolder = %s
region = laboratory
availabilityZone = %s
members = %s
memberSecret = soak-member-secret-of-some-length
nodeSecret = soak-node-secret-of-some-length
[listen]
peer = %s
operator = %s
`, name, id, data, zoneName(id-1), peers, address(peerPort), address(operatorPort)))
	if err != nil {
		return err
	}
	w.operatorPorts = append(w.operatorPorts, operatorPort)
	w.controls = append(w.controls, w.program(name, func(int) []string {
		return []string{filepath.Join(w.config.Programs, "jujubeknot-control"), "--config", file}
	}))
	return nil
}

func (w *world) addNode(id int, control string, next func() int) error {
	name := fmt.Sprintf("node-%d", id)
	callers, peer, announce, operator, listen := next(), next(), next(), next(), next()
	file, err := w.settings(name, fmt.Sprintf(`[node]
name = %s
region = laboratory
availabilityZone = %s
controlMembers = %s
nodeSecret = soak-node-secret-of-some-length
[listen]
callers = %s
peer = %s
backend = %s
operator = %s
`, name, zoneName(id-1), control, address(callers), address(peer), address(announce), address(operator)))
	if err != nil {
		return err
	}
	toNode, err := faults.New(address(callers))
	if err != nil {
		return fmt.Errorf("proxy: %w", err)
	}
	w.toNodes = append(w.toNodes, toNode)
	toServer, err := faults.New(address(listen))
	if err != nil {
		return fmt.Errorf("proxy: %w", err)
	}
	w.toServers = append(w.toServers, toServer)
	w.nodes = append(w.nodes, w.program(name, func(int) []string {
		return []string{filepath.Join(w.config.Programs, "jujubeknot-node"), "--config", file}
	}))
	server := fmt.Sprintf("app-%d", id)
	w.servers = append(w.servers, w.program(server, func(start int) []string {
		return []string{
			filepath.Join(w.config.Programs, "jujubeknot-bench"), "backend", "--name", server, "--upstream", "applications",
			"--zone", zoneName(id - 1), "--listen", address(listen), "--announce", address(announce), "--advertise", toServer.Address(), "--node", address(callers),
			"--slots", "18", "--checks-fences", "--seed", fmt.Sprint(id*1000 + start),
			"--records", filepath.Join(w.config.Folder, "records", fmt.Sprintf("%s-%d", server, start)),
		}
	}))
	return nil
}

func (w *world) all() []*process {
	all := slices.Clone(w.controls)
	for i := range w.nodes {
		all = append(all, w.nodes[i], w.servers[i])
	}
	return all
}

func (w *world) operators() []string {
	list := make([]string, 0, members)
	for _, p := range w.operatorPorts {
		list = append(list, address(p))
	}
	return list
}

func (w *world) targets() []string {
	list := make([]string, 0, len(w.toNodes))
	for _, p := range w.toNodes {
		list = append(list, p.Address())
	}
	return list
}

// heal ends what proxies do.
func (w *world) heal() {
	for _, p := range slices.Concat(w.toNodes, w.toServers) {
		p.Heal()
	}
}

// close ends everything that was started.
func (w *world) close() {
	for _, p := range w.all() {
		p.signal(syscall.SIGCONT)
		p.end(syscall.SIGKILL)
	}
	for _, p := range slices.Concat(w.toNodes, w.toServers) {
		_ = p.Close()
	}
}
