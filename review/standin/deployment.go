package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports, the same on all machines. Each machine has a loopback address of its
// own. The port of metrics is that of deploy/system.toml.
const (
	portReady    = 18140
	portOutbound = 18141
	portControl  = 18146
	portApp      = 18147
	portInternal = 17660
	portMetrics  = 9464
)

const (
	heartbeat = 870 * time.Millisecond
	// restartDelay is the pause after which the platform starts an ended process
	// again.
	restartDelay = 700 * time.Millisecond
	drainMs      = 2000
	contactMs    = 3000
)

// deployment is the machines of a small deployment.
type deployment struct {
	b       *bench
	folder  string
	subnet  string
	core    []*machine
	side    []*machine
	seeds   []string
	stopped chan struct{}
}

// machine is one machine with its process.
type machine struct {
	d       *deployment
	name    string
	ip      string
	zone    string
	service string
	role    string
	fields  map[string]string

	mu      sync.Mutex
	process *os.Process
	// keepDown is true while the platform does not start the process again.
	keepDown bool
	starts   int
	startAt  time.Time
	ended    chan struct{}
}

// newDeployment starts three core machines and one sidecar machine for each
// named service, in zones a, b and c in turn.
func newDeployment(b *bench, services ...string) (*deployment, error) {
	folder, err := os.MkdirTemp("", "jujubeknot-review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{b: b, folder: folder, stopped: make(chan struct{})}
	b.d = d
	if d.subnet, err = freeSubnet(len(services) + 3); err != nil {
		return nil, err
	}
	zones := []string{"a", "b", "c"}
	for i := range 3 {
		d.core = append(d.core, &machine{d: d, name: fmt.Sprintf("core-%s-1", zones[i]), ip: fmt.Sprintf("%s.%d", d.subnet, i+1), zone: zones[i], role: "control"})
		d.seeds = append(d.seeds, fmt.Sprintf("%s.%d:%d", d.subnet, i+1, portControl))
	}
	for i, s := range services {
		d.side = append(d.side, &machine{d: d, name: fmt.Sprintf("sidecar-%s-%d", zones[i%3], i/3+1), ip: fmt.Sprintf("%s.%d", d.subnet, i+11), zone: zones[i%3], service: s, role: "node"})
	}
	for _, m := range append(append([]*machine{}, d.core...), d.side...) {
		if err := m.configure(true); err != nil {
			return nil, err
		}
		if err := m.start(); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// freeSubnet returns a prefix of loopback addresses on which all ports are free.
func freeSubnet(machines int) (string, error) {
	for try := range 200 {
		n := (os.Getpid()*7 + try*13) % 40000
		subnet := fmt.Sprintf("127.%d.%d", 80+n/250, 1+n%250)
		if subnetFree(subnet, machines) {
			return subnet, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

func subnetFree(subnet string, machines int) bool {
	for i := range machines + 12 {
		for _, port := range []int{portReady, portOutbound, portControl, portApp, portInternal, portInternal + 1, portMetrics} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", subnet, i+1, port))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

var placeholder = regexp.MustCompile(`\{\{([^}]+)\}\}`)

// configure writes the settings file of the machine from the template in deploy/.
func (m *machine) configure(firstStart bool) error {
	template, err := os.ReadFile(filepath.Join("deploy", m.role+".ini"))
	if err != nil {
		return err
	}
	at := func(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }
	m.fields = map[string]string{
		"node": m.name, "region": "r", "zone": m.zone, "ip": m.ip, "internalPortRange.0": fmt.Sprint(portInternal),
		"limits.memoryMb": map[string]string{"node": "284", "control": "280"}[m.role], "limits.linkMbps": "1000", "limits.cpuShare": "0.32", "seeds": strings.Join(m.d.seeds, ","),
		"bootstrap": fmt.Sprint(firstStart), "faultTolerance.machines": "1", "dataDir": filepath.Join(m.d.folder, m.name),
		"listen.control": at(portControl), "listen.outbound": at(portOutbound), "listen.ready": at(portReady),
		"service": m.service, "heartbeatMs": fmt.Sprint(heartbeat.Milliseconds()), "bounds.drainMs": fmt.Sprint(drainMs), "bounds.evacMs": "5000",
		"bounds.propagationMs": "2000", "bounds.holdMaxMs": "10000", "bounds.graceS": "6",
	}
	var missing error
	text := placeholder.ReplaceAllStringFunc(string(template), func(p string) string {
		v, ok := m.fields[p[2:len(p)-2]]
		if !ok {
			missing = fmt.Errorf("template of %s: no value for %s", m.role, p)
		}
		return v
	})
	if missing != nil {
		return missing
	}
	if m.role == "control" {
		if err := os.MkdirAll(m.fields["dataDir"], 0o755); err != nil {
			return err
		}
	}
	return os.WriteFile(m.settings(), []byte(text), 0o644)
}

func (m *machine) settings() string { return filepath.Join(m.d.folder, m.name+".ini") }

// start starts the process with the command of deploy/system.toml. The platform
// starts it again when it ends.
func (m *machine) start() error {
	logFile, err := os.OpenFile(filepath.Join(m.d.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer logFile.Close()
	c := exec.Command("target/jujubeknot-platform", m.role)
	c.Env = []string{"JUJUBEKNOT_BOOT=" + m.settings(), "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	c.Stdout, c.Stderr = logFile, logFile
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.mu.Lock()
	m.process, m.ended = c.Process, ended
	m.starts++
	m.startAt = time.Now()
	m.mu.Unlock()
	m.d.b.note("%s: process %d started", m.name, c.Process.Pid)
	go func() {
		err := c.Wait()
		close(ended)
		m.d.b.note("%s: process %d ended (%v)", m.name, c.Process.Pid, err)
		for {
			select {
			case <-m.d.stopped:
				return
			case <-time.After(restartDelay):
			}
			m.mu.Lock()
			down := m.keepDown
			m.mu.Unlock()
			if !down {
				break
			}
		}
		err = m.configure(false)
		if err == nil {
			err = m.start()
		}
		if err != nil {
			m.d.b.note("%s: not started again: %v", m.name, err)
		}
	}()
	return nil
}

// signal sends a signal to the process of the machine.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.d.b.note("%s: %v to process %d", m.name, s, m.process.Pid)
	_ = m.process.Signal(s)
}

// upSince returns when the running process was started.
func (m *machine) upSince() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.startAt
}

// hold keeps the platform from starting the process again, or ends that.
func (m *machine) hold(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.keepDown = down
}

func (m *machine) at(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// stop ends all processes.
func (d *deployment) stop() {
	select {
	case <-d.stopped:
		return
	default:
	}
	close(d.stopped)
	for _, m := range append(append([]*machine{}, d.core...), d.side...) {
		m.mu.Lock()
		p, ended := m.process, m.ended
		m.mu.Unlock()
		if p == nil {
			continue
		}
		_ = p.Signal(syscall.SIGCONT)
		_ = p.Kill()
		<-ended
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.Rename(d.folder, keep)
		return
	}
	_ = os.RemoveAll(d.folder)
}

var operator = &http.Client{Timeout: time.Second}

// order sends an order to the members of the core in turn until it is
// acknowledged, for at most 20 s. The client follows redirects.
func (d *deployment) order(method, path string, body []byte) ([]byte, error) {
	var last error
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
		for _, m := range d.core {
			r, err := http.NewRequest(method, "http://"+m.at(portControl)+path, bytes.NewReader(body))
			if err != nil {
				return nil, err
			}
			r.Header.Set("Content-Type", "application/json")
			response, err := operator.Do(r)
			if err != nil {
				last = err
				continue
			}
			content, err := io.ReadAll(response.Body)
			response.Body.Close()
			switch {
			case err == nil && response.StatusCode/100 == 2:
				d.b.note("operator: %s %s acknowledged by %s", method, path, m.name)
				return content, nil
			case response.StatusCode/100 == 4:
				return nil, fmt.Errorf("%s %s: status %d: %s", method, path, response.StatusCode, content)
			}
			last = fmt.Errorf("%s %s: status %d", method, path, response.StatusCode)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return nil, last
}

type route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	PathPrefix  string `json:"pathPrefix"`
	Kind        string `json:"kind"`
	TimeoutMs   int    `json:"timeoutMs"`
	TargetMs    int    `json:"targetLatencyMs"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"maxAttempts"`
}

type service struct {
	Name           string  `json:"name"`
	HealthPath     string  `json:"healthPath"`
	MaxConnections int     `json:"maxConnections"`
	Protocol       string  `json:"protocol"`
	TLS            bool    `json:"tls"`
	ColdStartS     float64 `json:"coldStartS"`
	ColdPerS       float64 `json:"coldPerS"`
	Sharded        bool    `json:"sharded,omitempty"`
	WarmS          float64 `json:"warmS,omitempty"`
	Grants         string  `json:"grants,omitempty"`
}

func newService(name string, sharded bool) service {
	s := service{Name: name, HealthPath: "/healthz", MaxConnections: 110, Protocol: "h1", ColdStartS: 3, ColdPerS: 42}
	if sharded {
		s.Sharded, s.WarmS, s.Grants = true, 3, "heartbeat"
	}
	return s
}

// putConfiguration sends a configuration until it is acknowledged.
func (d *deployment) putConfiguration(version int, routes []route, services []service) error {
	body, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", version), "routes": routes, "services": services,
		"limits": map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		return err
	}
	d.b.note("operator: configuration %08x: %s", version, body)
	_, err = d.order(http.MethodPost, "/-/Config.Replace", body)
	return err
}
