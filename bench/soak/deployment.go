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

// stopTimeout is the time that a process may take to exit before it is killed.
const stopTimeout = 15 * time.Second

// process is one program that can be started repeatedly. Only one goroutine uses
// it at a time, except for close, which may run concurrently.
type process struct {
	name, log string
	// command returns the program and its arguments for a start. Starts count from
	// 1.
	command func(start int) []string

	mu     sync.Mutex
	starts int
	cmd    *exec.Cmd
	// exited is closed once the started process has exited.
	exited chan struct{}
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.starts++
	args := p.command(p.starts)
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log of %s: %w", p.name, err)
	}
	defer out.Close()
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	go func() {
		// The exit status is ignored: most processes are killed on purpose, and
		// the log shows how a process ended.
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process. It does nothing if the process was not
// started or has exited.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// terminate sends a signal and waits until the process has exited. It kills the
// process if that takes longer than stopTimeout.
func (p *process) terminate(s syscall.Signal) {
	p.signal(s)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return
	}
	select {
	case <-exited:
	case <-time.After(stopTimeout):
		p.signal(syscall.SIGKILL)
		<-exited
	}
}

// deployment holds all processes and the proxies in front of them.
type deployment struct {
	config   Config
	controls []*process
	nodes    []*process
	servers  []*process
	// nodeProxies are in front of the listeners for callers of the nodes,
	// serverProxies in front of the backend servers.
	nodeProxies, serverProxies []*faults.Proxy
	operatorPorts              []int

	mu sync.Mutex
	// frozen lists the periods in which backend servers were suspended.
	frozen []check.Frozen
}

func (d *deployment) recordFrozen(f check.Frozen) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.frozen = append(d.frozen, f)
}

// newDeployment writes the settings and starts the proxies. It starts no
// processes.
func newDeployment(config Config) (*deployment, error) {
	d := &deployment{config: config}
	for _, folder := range []string{"records", "settings", "logs"} {
		if err := os.MkdirAll(filepath.Join(config.Folder, folder), 0o700); err != nil {
			return nil, fmt.Errorf("folder: %w", err)
		}
	}
	ports, err := freePorts(2*memberCount + 5*config.Nodes)
	if err != nil {
		return nil, err
	}
	next := func() int {
		p := ports[0]
		ports = ports[1:]
		return p
	}
	peers, list := "", ""
	memberPorts := make([]int, memberCount)
	for i := range memberCount {
		memberPorts[i] = next()
		separator := ""
		if i > 0 {
			separator = ","
		}
		peers += fmt.Sprintf("%s%d=%s", separator, i+1, address(memberPorts[i]))
		list += separator + address(memberPorts[i])
	}
	for i := range memberCount {
		if err := d.addControl(i+1, peers, memberPorts[i], next()); err != nil {
			d.close()
			return nil, err
		}
	}
	for i := range config.Nodes {
		if err := d.addNode(i+1, list, next); err != nil {
			d.close()
			return nil, err
		}
	}
	return d, nil
}

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// The ports of processes lie below the range from which the operating system
// takes the ports of outgoing connections. Otherwise a connection could occupy
// the port of a process that is being restarted.
const (
	firstPort = 12_000
	lastPort  = 30_000
)

// freePorts returns count ports on which nothing listens. The search begins at a
// port that depends on the process id, so that concurrent searches by several
// processes do not find the same ports.
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

func (d *deployment) writeSettings(name, text string) (string, error) {
	file := filepath.Join(d.config.Folder, "settings", name+".ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return "", fmt.Errorf("settings: %w", err)
	}
	return file, nil
}

func (d *deployment) newProcess(name string, command func(start int) []string) *process {
	return &process{name: name, log: filepath.Join(d.config.Folder, "logs", name), command: command}
}

func (d *deployment) addControl(id int, peers string, peerPort, operatorPort int) error {
	name := fmt.Sprintf("control-%d", id)
	data := filepath.Join(d.config.Folder, name)
	if err := os.MkdirAll(data, 0o700); err != nil {
		return fmt.Errorf("folder: %w", err)
	}
	file, err := d.writeSettings(name, fmt.Sprintf(`[control]
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
	d.operatorPorts = append(d.operatorPorts, operatorPort)
	d.controls = append(d.controls, d.newProcess(name, func(int) []string {
		return []string{filepath.Join(d.config.Programs, "jujubeknot-control"), "--config", file}
	}))
	return nil
}

func (d *deployment) addNode(id int, control string, next func() int) error {
	name := fmt.Sprintf("node-%d", id)
	callers, peer, announce, operator, listen := next(), next(), next(), next(), next()
	file, err := d.writeSettings(name, fmt.Sprintf(`[node]
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
	nodeProxy, err := faults.New(address(callers))
	if err != nil {
		return fmt.Errorf("proxy: %w", err)
	}
	d.nodeProxies = append(d.nodeProxies, nodeProxy)
	serverProxy, err := faults.New(address(listen))
	if err != nil {
		return fmt.Errorf("proxy: %w", err)
	}
	d.serverProxies = append(d.serverProxies, serverProxy)
	d.nodes = append(d.nodes, d.newProcess(name, func(int) []string {
		return []string{filepath.Join(d.config.Programs, "jujubeknot-node"), "--config", file}
	}))
	server := fmt.Sprintf("app-%d", id)
	d.servers = append(d.servers, d.newProcess(server, func(start int) []string {
		return []string{
			filepath.Join(d.config.Programs, "jujubeknot-bench"), "backend", "--name", server, "--upstream", "applications",
			"--zone", zoneName(id - 1), "--listen", address(listen), "--announce", address(announce), "--advertise", serverProxy.Address(), "--node", address(callers),
			"--slots", "18", "--checks-fences", "--seed", fmt.Sprint(id*1000 + start),
			"--records", filepath.Join(d.config.Folder, "records", fmt.Sprintf("%s-%d", server, start)),
		}
	}))
	return nil
}

func (d *deployment) all() []*process {
	all := slices.Clone(d.controls)
	for i := range d.nodes {
		all = append(all, d.nodes[i], d.servers[i])
	}
	return all
}

func (d *deployment) operators() []string {
	list := make([]string, 0, memberCount)
	for _, p := range d.operatorPorts {
		list = append(list, address(p))
	}
	return list
}

func (d *deployment) targets() []string {
	list := make([]string, 0, len(d.nodeProxies))
	for _, p := range d.nodeProxies {
		list = append(list, p.Address())
	}
	return list
}

// heal ends the faults of all proxies.
func (d *deployment) heal() {
	for _, p := range slices.Concat(d.nodeProxies, d.serverProxies) {
		p.Heal()
	}
}

// close kills all processes and closes all proxies.
func (d *deployment) close() {
	for _, p := range d.all() {
		p.signal(syscall.SIGCONT)
		p.terminate(syscall.SIGKILL)
	}
	for _, p := range slices.Concat(d.nodeProxies, d.serverProxies) {
		_ = p.Close()
	}
}
